// Package rendezvous implements rendezvous hashing. It assigns keys to nodes so
// that all processes agree without communication, and few keys move when a node
// joins or leaves (Thaler and Ravishankar, "Using name-based mappings to increase
// hit rates", IEEE/ACM Transactions on Networking, 1998).
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank is the position of a node for one key relative to other nodes. A key is assigned
// to the node whose rank compares lowest, and to the next one when that is gone.
type Rank struct {
	weight uint64
	node   string
}

// RankOf returns the rank of the node for the key.
func RankOf(key, node string) Rank { return Rank{weight(key, node), node} }

// Compare orders two ranks for the same key by weight, then by name.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.weight, other.weight), cmp.Compare(r.node, other.node))
}

// Compare orders two nodes by their ranks for the key.
func Compare(key, node, other string) int {
	return RankOf(key, node).Compare(RankOf(key, other))
}

// Sort sorts nodes by their ranks for the key. It hashes each node once.
func Sort[T any](key string, nodes []T, name func(T) string) {
	type ranked struct {
		node T
		rank Rank
	}
	sorted := make([]ranked, len(nodes))
	for i, node := range nodes {
		sorted[i] = ranked{node, RankOf(key, name(node))}
	}
	slices.SortFunc(sorted, func(a, b ranked) int { return a.rank.Compare(b.rank) })
	for i := range sorted {
		nodes[i] = sorted[i].node
	}
}

// weight returns the hash of the key and the node, separated by a zero byte.
func weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// The digest's writes return no errors.
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
