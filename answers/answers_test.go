package answers

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/memory"
)

const testEntry = model.Incarnation("entry-1.a")

// faultyStore is an in-memory platform with fault injection.
type faultyStore struct {
	table   store.Table
	objects store.Objects
	faults  *fault.Injector
}

func newFaultyStore() faultyStore {
	faults := fault.New(fault.Settings{ReadMillis: 1, WriteMillis: 5}, 1, nil)
	return faultyStore{
		table:   fault.NewTable(memory.NewTable(), faults),
		objects: fault.NewObjects(memory.NewObjects(), faults),
		faults:  faults,
	}
}

// keyAt returns a key whose version 7 UUID has the given creation time and last
// byte.
func keyAt(at time.Time, last byte) model.JobKey {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, last
	return model.JobKey{Caller: "desk", ID: id}
}

func testAnswer(key model.JobKey, body string) *model.Answer {
	return &model.Answer{Key: key, State: model.Complete, Outcome: model.Run,
		Results: []model.TaskResult{{Status: 200, Body: []byte(body), RunTime: time.Second}}}
}

// TestFindReturnsWrittenAnswers checks that no answer is dropped and that each
// one is found, without faults and with each fault injected while the batches are
// written. A key without an answer gives ErrNotFound.
func TestFindReturnsWrittenAnswers(t *testing.T) {
	cases := []struct {
		name   string
		faults fault.Settings
	}{
		{"no faults", fault.Settings{}},
		{"lost replies", fault.Settings{ReplyLoss: 0.5}},
		{"lost writes", fault.Settings{WriteLoss: 0.5}},
		{"temporary outage", fault.Settings{Outage: true}},
		{"slow replies", fault.Settings{AfterMillis: 900}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newFaultyStore()
				dropped := 0
				writer := NewWriter(Options{Table: s.table, Objects: s.objects, Self: testEntry, OnDropped: func(n int) { dropped += n }})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { writer.Run(ctx); close(done) }()

				s.faults.Set(c.faults)
				var keys []model.JobKey
				for i := range 50 {
					key := keyAt(time.Now(), byte(i))
					keys = append(keys, key)
					writer.Enqueue(testAnswer(key, string(rune('a'+i))))
					time.Sleep(100 * time.Millisecond)
				}
				s.faults.Set(fault.Settings{})
				time.Sleep(10 * time.Second)
				cancel()
				<-done

				must.Zero(t, dropped)
				for i, key := range keys {
					found, err := Find(t.Context(), s.table, s.objects, testEntry, key)
					must.NoError(t, err)
					must.Eq(t, testAnswer(key, string(rune('a'+i))), found)
				}
				_, err := Find(t.Context(), s.table, s.objects, testEntry, keyAt(time.Now(), 99))
				must.ErrorIs(t, err, ErrNotFound)
			})
		})
	}
}

// TestWriterBatchesAndWritesQueuedOnStop checks that answers queued together are
// written as one object when the writer's context ends, the last one included.
func TestWriterBatchesAndWritesQueuedOnStop(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFaultyStore()
		writer := NewWriter(Options{Table: s.table, Objects: s.objects, Self: testEntry, OnDropped: func(int) {}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { writer.Run(ctx); close(done) }()
		last := keyAt(time.Now(), 0)
		for i := range 200 {
			last = keyAt(time.Now(), byte(i))
			writer.Enqueue(testAnswer(last, "x"))
		}
		synctest.Wait()
		cancel()
		<-done
		names, err := s.objects.List(t.Context(), Prefix, "", 100)
		must.NoError(t, err)
		must.Len(t, 1, names)
		_, err = Find(t.Context(), s.table, s.objects, testEntry, last)
		must.NoError(t, err)
	})
}

// TestSweepDeletesOnlyOlderBatches checks that Sweep deletes the object and the
// index row of a batch older than the given time, and keeps a newer batch.
func TestSweepDeletesOnlyOlderBatches(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFaultyStore()
		writer := NewWriter(Options{Table: s.table, Objects: s.objects, Self: testEntry, OnDropped: func(int) {}})
		old := testAnswer(keyAt(time.Now(), 1), "old")
		writer.writeBatch(t.Context(), []*model.Answer{old}, 1)
		time.Sleep(time.Hour)
		fresh := testAnswer(keyAt(time.Now(), 2), "fresh")
		writer.writeBatch(t.Context(), []*model.Answer{fresh}, 1)

		deleted, err := Sweep(t.Context(), s.table, s.objects, testEntry, time.Now().Add(-time.Minute))
		must.NoError(t, err)
		must.EqOp(t, 1, deleted)
		_, err = Find(t.Context(), s.table, s.objects, testEntry, old.Key)
		must.ErrorIs(t, err, ErrNotFound)
		_, err = Find(t.Context(), s.table, s.objects, testEntry, fresh.Key)
		must.NoError(t, err)
		names, err := s.objects.List(t.Context(), Prefix, "", 100)
		must.NoError(t, err)
		must.Len(t, 1, names)
	})
}
