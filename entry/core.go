package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/figring/figring/answers"
	"github.com/figring/figring/claims"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/decision/routing"
	"github.com/figring/figring/membership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/rollout"
	"github.com/figring/figring/settings"
	"github.com/figring/figring/wire"
)

// core is one incarnation of an entry, with its session, partitions and jobs.
// After its session was taken over, the entry continues with a new core, and the
// forwarders that wait for jobs of the old core resubmit them to the new owners.
type core struct {
	self         wire.EntryInfo
	ctx          context.Context
	cancel       context.CancelFunc
	members      sessionManager
	claimWriter  *claims.Writer
	bundles      *rollout.Watcher
	peers        *messageTracker
	sessions     *sessionWatcher
	owner        *Owner
	adopter      *adopter
	answerWriter *answers.Writer
	// permitsEnded is set once this incarnation grants no more permits.
	permitsEnded atomic.Bool
	// answerCtx ends with stopAnswerWriter; answersWritten is closed when
	// answerWriter has written its last batch after that.
	answerCtx        context.Context
	stopAnswerWriter context.CancelFunc
	answersWritten   chan struct{}
	sweeper          *sweeper
}

// newCore builds an incarnation without starting any goroutine.
func (e *Entry) newCore() *core {
	self := e.self
	self.Incarnation = model.NewIncarnation(self.Name)
	c := &core{self: self, bundles: e.bundles, peers: newMessageTracker(), answersWritten: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.answerCtx, c.stopAnswerWriter = context.WithCancel(context.Background())
	c.members = membership.New(membership.Options{
		Table:     e.options.Table,
		Self:      self,
		Log:       e.options.Log,
		OnAcquire: func(partition int, stored []claims.Stored) { c.owner.Acquire(partition, stored) },
		OnRelease: func(partition int) { c.owner.Release(partition) },
		OnFenced:  func() { e.replaceCore(c) },
	})
	c.sessions = newSessionWatcher(c.members)
	c.claimWriter = claims.New(e.options.Table, self.Incarnation, c.members.Fence, claims.Options{
		Mode:        e.options.ClaimMode,
		MinInterval: c.minClaimInterval,
		OnResolved:  func(resolved []claims.Claim, err error) { c.owner.claimResolved(resolved, err) },
	})
	c.adopter = newAdopter(self.Incarnation, e.options.Table, e.options.Objects, e.pool, func(result adoptionResult) { c.owner.post(adoptionResultEvent{result}) })
	c.answerWriter = answers.NewWriter(answers.Options{
		Table:     e.options.Table,
		Objects:   e.options.Objects,
		Self:      self.Incarnation,
		OnDropped: func(count int) { e.metrics.AnswersDropped.Inc(int64(count)) },
	})
	c.sweeper = newSweeper(e.options.Table, e.options.Objects, self.Incarnation, c.members)
	c.owner = newOwner(c.ctx, ownerDeps{
		self:         self,
		members:      c.members,
		claimWriter:  c.claimWriter,
		dispatcher:   c.newDispatcher(e.pool, e.metrics),
		adopter:      c.adopter,
		answerWriter: c.answerWriter,
		pool:         e.pool,
		peers:        c.peers,
		sessions:     c.sessions,
		admitting:    c.admitting,
		router:       newRouter(e.options.Routing),
		metrics:      e.metrics,
	})
	return c
}

func (c *core) newDispatcher(pool rpcCaller, entryMetrics *Metrics) *dispatcher {
	return &dispatcher{
		self:    c.self.Incarnation,
		pool:    pool,
		peers:   c.peers,
		permits: c,
		metrics: entryMetrics,
		report:  func(result dispatchResult) { c.owner.post(dispatchResultEvent{result}) },
	}
}

// start starts the goroutines of the incarnation.
func (c *core) start() {
	go c.owner.run()
	go c.adopter.run(c.ctx)
	go c.sessions.run(c.ctx)
	go c.sweeper.run(c.ctx)
	go c.runAnswerWriter()
	go func() { _ = c.members.Run(c.ctx) }()
	c.owner.post(bundleChangedEvent{c.bundles.View().Bundle})
}

func (c *core) runAnswerWriter() {
	defer close(c.answersWritten)
	c.answerWriter.Run(c.answerCtx)
}

// flushAnswers writes the answers that wait to be stored. It is called once no
// job is in progress and before the session ends, so that the next owners of the
// partitions find the answers.
func (c *core) flushAnswers() {
	c.stopAnswerWriter()
	<-c.answersWritten
}

// endPermits stops granting permits and waits until every permit granted before
// must have expired or no dispatch is open. After that, no message of this
// incarnation that is still in transit can start a task, so other entries may
// adopt the jobs.
func (c *core) endPermits(ctx context.Context) {
	c.permitsEnded.Store(true)
	ctx, cancel := context.WithTimeout(ctx, model.BundleTTL+model.ClockMargin)
	defer cancel()
	for ctx.Err() == nil && c.owner.Status(ctx).Running > 0 {
		_ = pause.For(ctx, drainPollInterval)
	}
}

// stop writes the waiting answers and ends the goroutines of the incarnation.
func (c *core) stop() {
	c.flushAnswers()
	c.cancel()
	c.claimWriter.Close()
}

// Permit returns the permit of this entry for a sidecar at this moment. The echo
// is read before the clock, so that the message that the permit's TTL counts from
// arrived before the TTL was computed.
func (c *core) Permit(target *wire.Target) wire.Permit {
	echo := c.peers.lastMessage(target.Incarnation)
	view := c.bundles.View()
	zoneOpen := view.Bundle.ZoneOpen(target.Zone)
	targetOpen := view.Bundle.TargetOpen(target.Sidecar)
	if c.permitsEnded.Load() {
		return wire.Permit{Echo: echo, BundleVersion: view.Bundle.Version}
	}
	ttl := permit.Grant(c.members.Lease(), view.FreshUntil, zoneOpen, targetOpen, time.Now())
	return wire.Permit{Echo: echo, TTL: ttl, BundleVersion: view.Bundle.Version}
}

// admitting reports whether new work may be accepted. Without a valid lease and a
// fresh bundle no task could be started.
func (c *core) admitting(now time.Time) bool {
	return c.members.Lease().After(now) && c.bundles.View().FreshUntil.After(now)
}

// minClaimInterval returns the minimum interval between two claim writes. The
// table's budget for claim writes is divided evenly among the live entries.
func (c *core) minClaimInterval() time.Duration {
	entries, _ := c.members.Entries()
	return time.Duration(max(1, len(entries))) * time.Second / claimWritesPerSecond
}

// newRouter returns the router called name, which is a baseline for measurements,
// or routing.Expected for any other name.
func newRouter(name string) routing.Router {
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	switch name {
	case settings.RoutingRandom:
		return routing.NewRandom(source)
	case settings.RoutingRoundRobin:
		return routing.NewRoundRobin(source)
	case settings.RoutingLeastOutstanding:
		return routing.NewLeastOutstanding(source)
	default:
		return routing.NewShortestExpectedDelay(source)
	}
}
