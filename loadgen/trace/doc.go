// Package trace generates the job arrivals of a load run. Generation is
// deterministic: the same configuration and seed yield the same trace. Arrivals
// are open-loop: their times do not depend on responses.
package trace
