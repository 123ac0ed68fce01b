package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/manifestsource"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

// manifestFetcher gets the manifests that the entry has not read from the table from its
// sidecars. It uses connections of its own, because a large reply would delay the
// heartbeats of a session.
type manifestFetcher struct {
	dispatcher *Dispatcher
	// changed receives a value when there may be something to fetch.
	changed chan struct{}

	mu      sync.Mutex
	planner *manifestsource.Planner
}

func newManifestFetcher(d *Dispatcher) *manifestFetcher {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &manifestFetcher{dispatcher: d, changed: make(chan struct{}, 1), planner: manifestsource.New(random)}
}

// reported records the version of a sidecar's manifest.
func (f *manifestFetcher) reported(sidecar string, version int64) {
	f.mu.Lock()
	newer := f.planner.Reported(time.Now(), sidecar, version)
	f.mu.Unlock()
	if !newer {
		return
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// forget removes a sidecar without a session.
func (f *manifestFetcher) forget(sidecar string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner.Forget(sidecar)
}

// run fetches manifests, one at a time, until ctx ends.
func (f *manifestFetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, wait := f.next()
		if attempt.Sidecar == "" {
			f.wait(ctx, wait)
			continue
		}
		if err := f.fetch(ctx, attempt); err != nil {
			f.failed(attempt, err)
		}
	}
}

// next returns the next attempt, or else how long to wait for one.
func (f *manifestFetcher) next() (manifestsource.Fetch, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.planner.Adopted(now, f.version())
	return f.planner.Next(now)
}

// version returns the version of the entry's manifest, 0 for none.
func (f *manifestFetcher) version() int64 {
	newest := f.dispatcher.deps.Holder.Newest()
	return newest.ManifestVersion()
}

// wait waits for the given time, or until a report if that is 0.
func (f *manifestFetcher) wait(ctx context.Context, length time.Duration) {
	if length == 0 {
		select {
		case <-f.changed:
		case <-ctx.Done():
		}
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fetch asks one sidecar for its manifest.
func (f *manifestFetcher) fetch(ctx context.Context, attempt manifestsource.Fetch) error {
	d := f.dispatcher
	peer, ok := d.deps.Directory.Get(attempt.Sidecar)
	if !ok {
		return errNoManifest
	}
	request := session.ManifestRequest{Known: f.version()}
	var reply session.ManifestReply
	err := link.CallOnce(ctx, peer.Address, d.settings.Secret, session.MethodManifest, &request, &reply, attempt.Timeout)
	if err != nil {
		return err
	}
	if reply.Manifest == nil || reply.Manifest.Version <= request.Known {
		return errNoManifest
	}
	adopted := d.deps.Holder.Offer(attempt.Sidecar, manifest.Snapshot{Manifest: reply.Manifest})
	d.meters.manifests.CountReceived(adopted)
	return nil
}

// failed records and logs a failed attempt.
func (f *manifestFetcher) failed(attempt manifestsource.Fetch, err error) {
	f.mu.Lock()
	f.planner.Failed(time.Now(), attempt.Sidecar, errors.Is(err, link.ErrTimeout))
	f.mu.Unlock()
	f.dispatcher.deps.Log.Routine(eventlog.KindManifest).Str(eventlog.FieldSource, attempt.Sidecar).
		Str(eventlog.FieldOutcome, "failed").Dur(eventlog.FieldDuration, attempt.Timeout).Err(err).Msg("")
}
