package fault_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/contract"
	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/memory"
	"github.com/shoenig/test/must"
)

func TestTable_Contract(t *testing.T) {
	contract.Table(t, func(*testing.T) store.Table {
		return fault.NewTable(memory.NewTable(), fault.New(fault.Settings{}, 1, nil))
	})
}

func TestObjects_Contract(t *testing.T) {
	contract.Objects(t, func(*testing.T) store.Objects {
		return fault.NewObjects(memory.NewObjects(), fault.New(fault.Settings{}, 1, nil))
	})
}

func TestTable_Faults(t *testing.T) {
	contract.TableFaults(t, func(*testing.T) (store.Table, func(fault.Settings)) {
		injector := fault.New(fault.Settings{}, 1, nil)
		return fault.NewTable(memory.NewTable(), injector), injector.Set
	})
}

func TestObjects_Faults(t *testing.T) {
	contract.ObjectsFaults(t, func(*testing.T) (store.Objects, func(fault.Settings)) {
		injector := fault.New(fault.Settings{}, 1, nil)
		return fault.NewObjects(memory.NewObjects(), injector), injector.Set
	})
}

func TestTable_Latency(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := fault.NewTable(memory.NewTable(), fault.New(fault.Defaults(), 1, nil))
		start := time.Now()
		_, err := table.Commit(t.Context(), writeTxn("a"))
		must.NoError(t, err)
		must.Eq(t, 5*time.Millisecond, time.Since(start))
		start = time.Now()
		_, err = table.Get(t.Context(), "a")
		must.NoError(t, err)
		must.Eq(t, time.Millisecond, time.Since(start))
	})
}

func TestTable_InjectedSleep(t *testing.T) {
	var slept []time.Duration
	sleep := func(_ context.Context, d time.Duration) error {
		slept = append(slept, d)
		return nil
	}
	settings := fault.Settings{WriteMillis: 4, BeforeMillis: 10, AfterMillis: 20}
	table := fault.NewTable(memory.NewTable(), fault.New(settings, 1, sleep))
	_, err := table.Commit(t.Context(), writeTxn("a"))
	must.NoError(t, err)
	must.Eq(t, []time.Duration{12 * time.Millisecond, 22 * time.Millisecond}, slept)
}

func TestInjector_SameSeedSameFaults(t *testing.T) {
	first := lossPattern(t, 7)
	must.Eq(t, first, lossPattern(t, 7))
	must.NotEq(t, first, lossPattern(t, 8))
}

// lossPattern commits 64 writes and returns one character for each: 'w' if the
// write was lost, 'r' if only its reply was lost, '.' otherwise.
func lossPattern(t *testing.T, seed uint64) string {
	t.Helper()
	inner := memory.NewTable()
	table := fault.NewTable(inner, fault.New(fault.Settings{ReplyLoss: 0.3, WriteLoss: 0.3}, seed, nil))
	var pattern []byte
	for i := range 64 {
		key := fmt.Sprint(i)
		_, err := table.Commit(t.Context(), writeTxn(key))
		if err != nil {
			must.ErrorIs(t, err, store.ErrUnknownOutcome)
		}
		_, getErr := inner.Get(t.Context(), key)
		pattern = append(pattern, outcomeSymbol(err != nil, errors.Is(getErr, store.ErrNotFound)))
	}
	must.StrContains(t, string(pattern), "r")
	must.StrContains(t, string(pattern), "w")
	return string(pattern)
}

func outcomeSymbol(unknown, absent bool) byte {
	switch {
	case absent:
		return 'w'
	case unknown:
		return 'r'
	default:
		return '.'
	}
}

func writeTxn(key string) store.Txn {
	return store.Txn{Writes: []store.Write{{Key: key, Value: []byte("x")}}}
}
