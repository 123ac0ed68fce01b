package measure

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestPercentile(t *testing.T) {
	var values []float64
	for i := range 200 {
		values = append(values, float64(200-i))
	}
	must.Eq(t, 100, percentile(values, p50))
	must.Eq(t, 198, percentile(values, p99))
	must.Eq(t, 7, percentile([]float64{7}, p50))
	must.Eq(t, 100.5, mean(values))
}

func TestSlope(t *testing.T) {
	must.Eq(t, 2, slope([]point{{0, 1}, {1, 3}, {2, 5}}))
	must.Eq(t, 0, slope([]point{{0, 4}, {10, 4}}))
}

func TestVerdicts(t *testing.T) {
	must.Eq(t, Pass, atMost("a", 2, 2, "").Verdict)
	must.Eq(t, Short, atMost("a", 2.1, 2, "").Verdict)
	must.Eq(t, Pass, atLeast("a", 2, 2, "").Verdict)
	must.Eq(t, Short, atLeast("a", 1.9, 2, "").Verdict)

	report := Report{Rows: []Row{atMost("a", 1, 2, "ms"), info("b", 3, "")}}
	must.False(t, report.Short())
	report.Rows = append(report.Rows, atMost("c", 3, 2, ""))
	must.True(t, report.Short())
	must.True(t, (&Report{Failures: []string{"d"}}).Short())

	var table strings.Builder
	must.NoError(t, report.WriteTable(&table))
	must.StrContains(t, table.String(), "| a | <= 2 ms | 1 ms | pass |")
}

func TestChoose(t *testing.T) {
	all, err := choose([]string{All})
	must.NoError(t, err)
	must.Len(t, len(Names()), all)
	one, err := choose([]string{"waste"})
	must.NoError(t, err)
	must.Len(t, 1, one)
	_, err = choose([]string{"waste", "speed"})
	must.ErrorContains(t, err, "speed")
}
