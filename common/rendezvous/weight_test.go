package rendezvous_test

import (
	"cmp"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/rendezvous"
)

func owner(key string, nodes []string) string {
	return slices.MinFunc(nodes, func(a, b string) int { return rendezvous.Compare(key, a, b) })
}

// TestFewKeysMove checks that every node is assigned keys, and that only the keys
// of a removed node move.
func TestFewKeysMove(t *testing.T) {
	nodes := []string{"a", "b", "c", "d"}
	remaining := nodes[:3]
	counts := make(map[string]int)
	for i := range 1000 {
		key := strconv.Itoa(i)
		before := owner(key, nodes)
		counts[before]++
		if before != "d" {
			must.EqOp(t, before, owner(key, remaining))
		}
	}
	for _, node := range nodes {
		must.Greater(t, 150, counts[node])
	}
}

// TestSortMatchesCompare checks that Sort and Compare agree on the order, and that the
// order is the one that deployed processes use: the hash of key, zero byte and node.
func TestSortMatchesCompare(t *testing.T) {
	for key := range 50 {
		var nodes []string
		for node := range 20 {
			nodes = append(nodes, "node-"+strconv.Itoa(node))
		}
		byCompare := slices.Clone(nodes)
		name := strconv.Itoa(key)
		slices.SortFunc(byCompare, func(a, b string) int { return rendezvous.Compare(name, a, b) })
		byHash := slices.Clone(nodes)
		slices.SortFunc(byHash, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(name+"\x00"+a), xxhash.Sum64String(name+"\x00"+b))
		})
		rendezvous.Sort(name, nodes, func(node string) string { return node })
		must.Eq(t, byCompare, nodes)
		must.Eq(t, byHash, nodes)
	}
}
