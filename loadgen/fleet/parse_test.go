package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const page = `# HELP figring_entry_refused refusals
# TYPE figring_entry_refused counter
figring_entry_refused{code="overloaded"} 3
figring_entry_refused{code="quota_exceeded"} 4
figring_entry_refused_other 9
figring_entry_dispatches 1e+06
`

func TestSamples(t *testing.T) {
	samples, err := ParseSamples(strings.NewReader(page))
	must.NoError(t, err)
	must.Eq(t, 7, samples.Sum("figring_entry_refused"))
	must.Eq(t, 3, samples.Sum("figring_entry_refused", `code="overloaded"`))
	must.Eq(t, map[string]float64{"overloaded": 3, "quota_exceeded": 4}, samples.By("figring_entry_refused", "code"))
	must.Eq(t, 1e6, samples.Sum("figring_entry_dispatches"))
	must.Eq(t, 0, samples.Sum("figring_entry"))

	later, err := ParseSamples(strings.NewReader(page))
	must.NoError(t, err)
	later.Add(samples)
	must.Eq(t, 7, later.Since(samples).Sum("figring_entry_refused"))

	_, err = ParseSamples(strings.NewReader("figring_entry_dispatches many\n"))
	must.ErrorContains(t, err, "many")
}

func TestParseStat(t *testing.T) {
	// The name in parentheses may hold spaces and parentheses.
	spent, err := parseStat("12 (a) b (c) S 1 12 12 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 7 0 1000")
	must.NoError(t, err)
	must.Eq(t, 2*time.Second, spent)
	_, err = parseStat("12 (short) S 1")
	must.Error(t, err)
}

func TestParseResident(t *testing.T) {
	resident, err := parseResident("Name:\tfigring\nVmRSS:\t   20480 kB\nThreads:\t9\n")
	must.NoError(t, err)
	must.Eq(t, 20<<20, resident)
	_, err = parseResident("Name:\tfigring\n")
	must.Error(t, err)
}

func TestDesk(t *testing.T) {
	desk := Desk("figring", "")
	must.Len(t, 11, desk.Workers)
	must.LessEq(t, MaxProcesses, desk.Processes())
	racks := make(map[string]int)
	zoneOf := make(map[string]string)
	for _, worker := range desk.Workers {
		racks[worker.Rack]++
		must.LessEq(t, 3, racks[worker.Rack])
		if zone, known := zoneOf[worker.Rack]; known {
			must.Eq(t, zone, worker.Zone)
		}
		zoneOf[worker.Rack] = worker.Zone
	}
	must.Eq(t, 0, MeanDelay(1))
	must.Eq(t, 700*time.Microsecond, MeanDelay(2))
}

func TestTooManyProcesses(t *testing.T) {
	desk := Desk("/nonexistent", "")
	desk.Workers = append(desk.Workers, desk.Workers...)
	running, err := Start(t.Context(), desk)
	must.ErrorContains(t, err, "at most")
	running.Stop()
}
