// Package adoption derives what the sidecars' records prove about a job whose owner
// is gone. It does no I/O and reads no clock.
package adoption
