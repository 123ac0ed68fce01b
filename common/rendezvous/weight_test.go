package rendezvous_test

import (
	"slices"
	"strconv"
	"testing"

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
