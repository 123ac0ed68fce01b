package schedules

import (
	"slices"
	"time"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/decision/dedup"
	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	answerBudget = 1 << 16
	maxAttempts  = 6
	bundleKey    = "bundle"
)

// entry is one incarnation of an entry. It combines the decision packages as
// packages entry and membership do.
type entry struct {
	w      *simulation
	self   model.Incarnation
	clock  clock
	ended  bool
	paused bool
	fenced bool
	// closing is set when a graceful stop has given up the session.
	closing bool
	session session
	monitor *ownership.Monitor
	members members
	view    bundle.View
	echo    map[model.Incarnation]uint64
	// targets lists the sidecars from which a message has arrived.
	targets   []*sidecar
	keys      *dedup.Table
	jobs      []*job
	undecided []*model.Answer
	// claiming lists the claims whose outcome is not known yet.
	claiming []model.JobKey
	// retries are called by the next periodic run.
	retries []func()
}

func (w *simulation) newEntry() *entry {
	return &entry{
		w:       w,
		self:    w.name("e"),
		clock:   w.drawClock(),
		session: session{sent: make(map[int64]time.Time)},
		monitor: ownership.NewMonitor(),
		members: members{held: make(map[int]bool), blocked: make(map[int]bool)},
		echo:    make(map[model.Incarnation]uint64),
		keys:    dedup.NewTable(answerBudget),
	}
}

func (e *entry) alive() bool    { return !e.ended }
func (e *entry) awake() bool    { return !e.paused }
func (e *entry) now() time.Time { return e.clock.at(e.w.now) }

// lease returns the expiry of the lease, or the zero time when none is valid.
func (e *entry) lease() time.Time {
	if e.closing || !e.session.lease.Valid(e.now()) {
		return time.Time{}
	}
	return e.session.lease.Expiry()
}

func (e *entry) holdsLease() bool {
	return !e.fenced && e.lease().After(e.now())
}

func (e *entry) admitting() bool {
	return e.lease().After(e.now()) && e.view.FreshUntil.After(e.now())
}

// permit returns the permit for the sidecar to start tasks of this entry now.
func (e *entry) permit(at *sidecar) wire.Permit {
	zoneOpen := e.view.Bundle.ZoneOpen(at.zone)
	targetOpen := e.view.Bundle.TargetOpen(at.name)
	ttl := permit.Grant(e.lease(), e.view.FreshUntil, zoneOpen, targetOpen, e.now())
	return wire.Permit{Echo: e.echo[at.self], TTL: ttl, BundleVersion: e.view.Bundle.Version}
}

func (e *entry) heard(at *sidecar, number uint64) {
	e.echo[at.self] = max(e.echo[at.self], number)
	if !slices.Contains(e.targets, at) {
		e.targets = append(e.targets, at)
	}
}

// duties does the periodic work of the entry.
func (e *entry) duties() {
	retries := e.retries
	e.retries = nil
	for _, retry := range retries {
		retry()
	}
	if e.fenced || e.closing {
		return
	}
	e.renew()
	e.observe()
	e.poll()
	e.tick()
}

// later schedules a retry for the next periodic run.
func (e *entry) later(retry func()) {
	e.retries = append(e.retries, retry)
}

// poll reads the bundle. Its freshness counts from the time at which the read was
// sent.
func (e *entry) poll() {
	sent := e.now()
	e.w.readAt(e, func() any { return e.w.bundle() }, func(read any) {
		before := e.view.Bundle
		e.view, _ = e.view.Observe(read.(model.Bundle), sent)
		if e.view.Bundle.Version < before.Version {
			e.w.checker.fail("BUNDLE: version fell from %d to %d", before.Version, e.view.Bundle.Version)
		}
		e.dispatch()
	})
}

// bundle returns the bundle in force.
func (w *simulation) bundle() model.Bundle {
	row := w.table.read(bundleKey)
	if row.Version == 0 {
		return model.Bundle{}
	}
	return decode[model.Bundle](row.Value)
}
