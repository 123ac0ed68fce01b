// Package metrics defines the names of all metrics of figring's processes and
// creates the root scope to which they are reported.
package metrics
