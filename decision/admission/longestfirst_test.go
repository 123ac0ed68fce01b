package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestLongestFirst(t *testing.T) {
	cases := []struct {
		name string
		runs []time.Duration
		give []int
		want []int
	}{
		{"descending", []time.Duration{1, 3, 2}, []int{0, 1, 2}, []int{1, 2, 0}},
		{"equal run times keep their order", []time.Duration{2, 2, 2}, []int{2, 0, 1}, []int{2, 0, 1}},
		{"undeclared counts as the mean", []time.Duration{0, 1, 5}, []int{0, 1, 2}, []int{2, 0, 1}},
		{"nothing declared", []time.Duration{0, 0, 0}, []int{0, 1, 2}, []int{0, 1, 2}},
		{"subset of the indexes", []time.Duration{1, 3, 2, 4}, []int{0, 2}, []int{2, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, LongestFirst(specWithRunTimes(1, c.runs...).Tasks, c.give))
		})
	}
}

// TestLongestFirstIsSortedPermutation checks that no task is lost or duplicated,
// that none is preceded by a shorter one, and that the argument is not modified.
func TestLongestFirstIsSortedPermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := rapid.SliceOfN(rapid.IntRange(1, 50), 1, 40).Draw(t, "runs")
		runs := make([]time.Duration, len(millis))
		for i, one := range millis {
			runs[i] = time.Duration(one) * time.Millisecond
		}
		give := firstIndexes(len(runs))
		got := LongestFirst(specWithRunTimes(1, runs...).Tasks, give)
		must.Eq(t, firstIndexes(len(runs)), give)
		must.Eq(t, give, slices.Sorted(slices.Values(got)))
		for i := range got[1:] {
			must.GreaterEq(t, runs[got[i+1]], runs[got[i]])
		}
	})
}
