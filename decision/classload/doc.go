// Package classload shares scarce capacity between the classes of a service. A class is
// all routes of a service with one priority; 0 is the most urgent. Each entry measures
// the work that is offered to it by class and tells it to its sidecars; each sidecar
// sums what its entries tell it. From the sums of its sidecars an entry knows what
// competes for the capacity within its reach, and sheds the work of the least urgent
// classes that exceeds it.
//
// The package is designed for bursts of one class to several times the capacity, and
// for loads above the capacity that last. Below the capacity it sheds nothing. It does
// no I/O and reads no clock.
package classload
