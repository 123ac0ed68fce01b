// Package subset decides which entries a sidecar keeps sessions with, so that
// the number of sessions grows with the number of sidecars and not with its
// product with the number of entries.
//
// It is built for fleets of tens to hundreds of entries, of which some come and
// go at any time. Every process ranks the entries for a sidecar in the same way
// from what it knows of them: by rendezvous hashing (Thaler and Ravishankar,
// "Using name-based mappings to increase hit rates", 1998), with entries of the
// sidecar's own availability zone and of others in turn. A different view of the
// fleet costs a session more or less, never a wrong start.
package subset
