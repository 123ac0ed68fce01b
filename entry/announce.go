package entry

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// announceTimeout bounds one hint to another entry.
const announceTimeout = time.Second

// Table returns the platform's table service.
func (e *Entry) Table() store.Table { return e.options.Table }

// AnnounceBundle tells every entry that a newer bundle was accepted, so that
// they read it at once. It does not wait: a hint that is lost costs the others
// no more than the wait for their next poll.
func (e *Entry) AnnounceBundle(version int64) {
	for _, other := range e.liveEntries() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			var reply wire.BundleChangedReply
			request := &wire.BundleChangedRequest{Version: version}
			_ = e.pool.Call(ctx, other.Address, wire.MethodBundleChanged, request, &reply)
		}()
	}
}

// liveEntries lists the living entries, this one among them.
func (e *Entry) liveEntries() []wire.EntryInfo {
	entries, _ := e.current().members.Entries()
	return entries
}

// SystemStatus sums up every entry that answers.
func (e *Entry) SystemStatus(ctx context.Context) SystemStatus {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	entries := e.liveEntries()
	system := SystemStatus{Entries: make([]EntryReport, len(entries))}
	var wait sync.WaitGroup
	for index, other := range entries {
		wait.Go(func() {
			report := EntryReport{Name: other.Name, Incarnation: other.Incarnation}
			var status Status
			err := e.pool.Call(ctx, other.Address, wire.MethodStatus, &struct{}{}, &status)
			if err == nil {
				report.Status = &status
			} else {
				report.Error = err.Error()
			}
			system.Entries[index] = report
		})
	}
	wait.Wait()
	return system
}
