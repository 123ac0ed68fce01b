package entry

import (
	"context"
	"sync"
	"time"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// announceTimeout bounds a notification of, or a status request to, other
// entries.
const announceTimeout = time.Second

// Table returns the platform's table service.
func (e *Entry) Table() store.Table { return e.options.Table }

// AnnounceBundle notifies every live entry that a newer bundle was accepted, so
// that it reads the bundle at once. It does not wait for the replies: an entry
// that misses the notification reads the bundle at its next poll.
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

// liveEntries returns the live entries, including this one.
func (e *Entry) liveEntries() []wire.EntryInfo {
	entries, _ := e.current().members.Entries()
	return entries
}

// SystemStatus returns the status of every live entry, or the error for an
// entry that did not answer within announceTimeout.
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
