// Package subset selects the entries that a sidecar keeps sessions with, so that the
// number of sessions grows with the number of sidecars and not with the product of
// the numbers of sidecars and entries.
//
// It is designed for fleets of tens to hundreds of entries that may join and leave at
// any time. Every process ranks the known entries for a sidecar in the same way: by
// rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase
// hit rates", 1998), alternating between the sidecar's own availability zone and the
// other zones. Processes that know different entries keep a few sessions too many or
// too few, but never cause a wrong start of a task.
package subset
