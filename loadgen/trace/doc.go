// Package trace generates the arrivals of a load run. It is pure: the same
// configuration and seed give the same trace. Arrivals are open-loop: their
// times never depend on answers.
package trace
