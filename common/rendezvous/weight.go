// Package rendezvous implements rendezvous hashing. It assigns keys to nodes so
// that all processes agree without communication, and few keys move when a node
// joins or leaves (Thaler and Ravishankar, "Using name-based mappings to increase
// hit rates", IEEE/ACM Transactions on Networking, 1998).
package rendezvous

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Compare orders two nodes by their weight for the key, then by name. A key is
// assigned to the first node in this order, and to the next one when the first is
// gone.
func Compare(key, node, other string) int {
	return cmp.Or(cmp.Compare(weight(key, node), weight(key, other)), cmp.Compare(node, other))
}

func weight(key, node string) uint64 {
	return xxhash.Sum64String(key + "\x00" + node)
}
