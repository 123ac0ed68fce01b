// Package rollout stores bundles in the platform's table, lets operators change
// them, and maintains a view of the bundle in force that reports whether it is
// fresh. The row of the bundle in force is written only by compare-and-set,
// together with an audit row of the same version. So the versions have no gaps,
// and after a lost reply a read shows whether the write took effect.
package rollout
