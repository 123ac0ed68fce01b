package dedup

import (
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

var testStart = time.UnixMilli(1_800_000_000_000)

// keyAt returns the key with the given creation time and number.
func keyAt(created time.Time, number uint64) model.JobKey {
	var id uuid.UUID
	millis := created.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	for i := range 7 {
		id[9+i] = byte(number >> (8 * i))
	}
	return model.JobKey{Caller: "verbund", ID: id}
}

func servingTable(budget int64) *Table {
	table := NewTable(budget)
	for p := range model.Partitions {
		table.BeginLoad(p)
		table.Serve(p)
	}
	return table
}

func TestSubmitVerdicts(t *testing.T) {
	key := keyAt(testStart, 1)
	part := key.Partition()
	cases := []struct {
		name  string
		setup func(*Table)
		now   time.Time
		want  Verdict
	}{
		{"first", func(*Table) {}, testStart, New},
		{"claiming", func(s *Table) { s.Submit(key, 7, testStart) }, testStart, Join},
		{"other digest", func(s *Table) { s.Submit(key, 8, testStart) }, testStart, Conflict},
		{"claim failed", func(s *Table) { s.Submit(key, 7, testStart); s.ClaimFailed(key) }, testStart, New},
		{"failed after written", func(s *Table) { s.Submit(key, 7, testStart); s.Claimed(key); s.ClaimFailed(key) }, testStart, Join},
		{"loaded claim", func(s *Table) { s.LoadClaim(key, 7, "e.1", 0) }, testStart, Adopt},
		{"loaded other digest", func(s *Table) { s.LoadClaim(key, 8, "e.1", 0) }, testStart, Conflict},
		{"adopted", func(s *Table) { s.LoadClaim(key, 7, "e.1", 0); s.Adopted(key) }, testStart, Join},
		{"released", func(s *Table) { s.LoadClaim(key, 7, "e.1", 0); s.Adopted(key); s.Released(key) }, testStart, Adopt},
		{"own job is not released", func(s *Table) { s.Submit(key, 7, testStart); s.Claimed(key); s.Released(key) }, testStart, Join},
		{"at retention", func(*Table) {}, testStart.Add(model.Retention), New},
		{"past retention", func(*Table) {}, testStart.Add(model.Retention + 1), Expired},
		{"at skew", func(*Table) {}, testStart.Add(-model.KeySkew), New},
		{"beyond skew", func(*Table) {}, testStart.Add(-model.KeySkew - 1), Invalid},
		{"clock set back", func(s *Table) { s.Expire(testStart.Add(2 * model.Retention)) }, testStart, Expired},
		{"clock set back between expiries", func(s *Table) {
			s.Expire(testStart.Add(2 * model.Retention))
			s.Expire(testStart)
		}, testStart, Expired},
		{"loading", func(s *Table) { s.BeginLoad(part) }, testStart, Loading},
		{"dropped", func(s *Table) { s.DropPartition(part) }, testStart, NotOwned},
		{"drop removes loaded", func(s *Table) { s.LoadClaim(key, 7, "e.1", 0); s.DropPartition(part); s.Serve(part) }, testStart, New},
		{"drop keeps own", func(s *Table) { s.Submit(key, 7, testStart); s.DropPartition(part); s.Serve(part) }, testStart, Join},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := servingTable(1 << 20)
			c.setup(table)
			got, _ := table.Submit(key, 7, c.now)
			must.Eq(t, c.want, got)
		})
	}
}

func TestAnswerBudgetKeepsKey(t *testing.T) {
	table := servingTable(3000)
	for i := range uint64(4) {
		key := keyAt(testStart, i)
		table.Submit(key, 7, testStart)
		table.Claimed(key)
		answer := &model.Answer{Key: key, Results: []model.TaskResult{{Body: make([]byte, 1000)}}}
		must.True(t, table.Answered(key, answer))
		must.False(t, table.Answered(key, &model.Answer{}))
	}
	for i, dropped := range []bool{true, true, false, false} {
		verdict, record := table.Submit(keyAt(testStart, uint64(i)), 7, testStart)
		must.Eq(t, Join, verdict)
		must.Eq(t, dropped, record.AnswerDropped())
	}
	must.Eq(t, 4, table.Expire(testStart.Add(2*model.Retention)))
	must.Eq(t, 0, table.keptAnswerBytes)
	must.SliceEmpty(t, table.keptAnswers)
}

func TestExpireKeepsJobsInProgress(t *testing.T) {
	table := servingTable(1 << 20)
	key := keyAt(testStart, 1)
	table.Submit(key, 7, testStart)
	later := testStart.Add(2 * model.Retention)
	must.Eq(t, 0, table.Expire(later))
	verdict, _ := table.Submit(key, 7, later)
	must.Eq(t, Join, verdict)
	must.True(t, table.Answered(key, &model.Answer{Key: key}))
	must.Eq(t, 1, table.Expire(later))
	must.Eq(t, 0, table.Len())
}

// TestNeverNewWhileClaimMayExist applies random operations to a Table, with a
// wall clock that may also be set back, and tracks the claims that may exist.
// Submit must not return New for any of them, because the job could run twice.
func TestNeverNewWhileClaimMayExist(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := servingTable(2000)
		now := testStart
		claims := make(map[model.JobKey]bool)
		key := func() model.JobKey {
			age := time.Duration(rapid.IntRange(-20, 700).Draw(t, "age")) * time.Second
			return keyAt(testStart.Add(age), rapid.Uint64Range(0, 2).Draw(t, "number"))
		}
		var used []model.JobKey
		pick := func() model.JobKey {
			if len(used) == 0 || rapid.Bool().Draw(t, "fresh") {
				return key()
			}
			return rapid.SampledFrom(used).Draw(t, "used")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				k := pick()
				verdict, _ := table.Submit(k, 7, now)
				if verdict != New {
					return
				}
				if claims[k] {
					t.Fatalf("Submit returned New for %s although its claim may exist", k)
				}
				claims[k] = true
				used = append(used, k)
			},
			"written": func(*rapid.T) { table.Claimed(pick()) },
			"not written": func(*rapid.T) {
				k := pick()
				if table.ClaimFailed(k) {
					delete(claims, k)
				}
			},
			"answered": func(*rapid.T) { k := pick(); table.Answered(k, &model.Answer{Key: k}) },
			"expire":   func(*rapid.T) { table.Expire(now) },
			"handover": func(*rapid.T) {
				p := pick().Partition()
				table.DropPartition(p)
				table.BeginLoad(p)
				for k := range claims {
					if k.Partition() == p {
						table.LoadClaim(k, 7, "e.1", 0)
					}
				}
				table.Serve(p)
			},
			"clock": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-300, 600).Draw(t, "step")) * time.Second)
			},
		})
	})
}

func BenchmarkMemoryPerKey(b *testing.B) {
	const keys = 500_000
	for b.Loop() {
		table := servingTable(1 << 20)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range uint64(keys) {
			created := testStart.Add(time.Duration(i) * time.Millisecond)
			table.Submit(keyAt(created, i), i, created)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(table)
	}
}

func BenchmarkSubmit(b *testing.B) {
	table := servingTable(1 << 20)
	i := uint64(0)
	for b.Loop() {
		i++
		table.Submit(keyAt(testStart.Add(time.Duration(i/1000)*time.Millisecond), i), i, testStart)
	}
}

// TestLoadClaimKeepsLatestAdoption checks that the claim with the most adoptions
// wins, in whichever order the claims of a key are loaded.
func TestLoadClaimKeepsLatestAdoption(t *testing.T) {
	key := keyAt(testStart, 1)
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		table := NewTable(1 << 20)
		table.BeginLoad(key.Partition())
		for _, adoptions := range order {
			table.LoadClaim(key, 7, model.Incarnation([]string{"e.1", "f.1", "g.1"}[adoptions]), adoptions)
		}
		table.Serve(key.Partition())
		verdict, record := table.Submit(key, 7, testStart)
		must.Eq(t, Adopt, verdict)
		must.Eq(t, model.Incarnation("g.1"), record.Claimer)
		must.EqOp(t, 2, record.Adoptions)
		table.Adopted(key)
		must.False(t, table.LoadClaim(key, 7, "h.1", 3))
	}
}
