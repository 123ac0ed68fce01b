// Package rollout stores bundles in the platform's table, lets operators
// change them, and keeps a view of the bundle in force that is fresh or says
// that it isn't. The row of the bundle in force is written only by
// compare-and-set, together with an audit row of the same version, so that the
// versions have no gaps and a lost reply can be settled by reading.
package rollout
