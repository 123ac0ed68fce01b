// Package metrics names every metric of figring's processes in one place and
// builds the scope that they report to.
package metrics
