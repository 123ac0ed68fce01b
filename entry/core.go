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

// core is one incarnation of an entry: its session, its partitions, its jobs.
// When the session was taken over, the entry goes on with a new core, and the
// forwarders that wait for jobs of the old core resubmit them to the new owners.
type core struct {
	self    wire.EntryInfo
	ctx     context.Context
	cancel  context.CancelFunc
	members sessionManager
	writer  *claims.Writer
	bundles *rollout.Watcher
	peers   *messageTracker
	watch   *ownerWatch
	owner   *Owner
	adopter *adopter
	keeper  *answers.Keeper
	// closing is set once no task of this incarnation may be started any more.
	closing atomic.Bool
	// keepCtx ends with endKeeping; kept is closed when the keeper has written
	// its last group after that.
	keepCtx    context.Context
	endKeeping context.CancelFunc
	kept       chan struct{}
	sweeper    *sweeper
}

// newCore builds an incarnation; nothing of it runs yet.
func (e *Entry) newCore() *core {
	self := e.self
	self.Incarnation = model.NewIncarnation(self.Name)
	c := &core{self: self, bundles: e.bundles, peers: newMessageTracker(), kept: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.keepCtx, c.endKeeping = context.WithCancel(context.Background())
	c.members = membership.New(membership.Options{
		Table:     e.options.Table,
		Self:      self,
		Log:       e.options.Log,
		OnAcquire: func(partition int, stored []claims.Stored) { c.owner.Acquire(partition, stored) },
		OnRelease: func(partition int) { c.owner.Release(partition) },
		OnFenced:  func() { e.replaceCore(c) },
	})
	c.watch = newOwnerWatch(c.members)
	c.writer = claims.New(e.options.Table, self.Incarnation, c.members.Fence, claims.Options{
		Mode:        e.options.ClaimMode,
		MinInterval: c.claimInterval,
		Resolved:    func(resolved []claims.Claim, err error) { c.owner.claimResolved(resolved, err) },
	})
	c.adopter = newAdopter(self.Incarnation, e.options.Table, e.options.Objects, e.pool, func(result adoptionResult) { c.owner.post(adopted{result}) })
	c.keeper = answers.NewKeeper(answers.Options{
		Table:   e.options.Table,
		Objects: e.options.Objects,
		Self:    self.Incarnation,
		Dropped: func(count int) { e.metrics.AnswersDropped.Inc(int64(count)) },
	})
	c.sweeper = newSweeper(e.options.Table, e.options.Objects, self.Incarnation, c.members)
	c.owner = newOwner(c.ctx, ownerDeps{
		self:       self,
		members:    c.members,
		writer:     c.writer,
		dispatcher: c.newDispatcher(e.pool, e.metrics),
		adopter:    c.adopter,
		keeper:     c.keeper,
		pool:       e.pool,
		peers:      c.peers,
		watch:      c.watch,
		admitting:  c.admitting,
		router:     newRouter(e.options.Routing),
		metrics:    e.metrics,
	})
	return c
}

func (c *core) newDispatcher(pool rpcCaller, counts *Metrics) *dispatcher {
	return &dispatcher{
		self:    c.self.Incarnation,
		pool:    pool,
		peers:   c.peers,
		permits: c,
		metrics: counts,
		report:  func(end dispatchEnd) { c.owner.post(taskEnded{end}) },
	}
}

// start starts the duties of the incarnation.
func (c *core) start() {
	go c.owner.run()
	go c.adopter.run(c.ctx)
	go c.watch.run(c.ctx)
	go c.sweeper.run(c.ctx)
	go c.keep()
	go func() { _ = c.members.Run(c.ctx) }()
	c.owner.post(bundleChanged{c.bundles.View().Bundle})
}

func (c *core) keep() {
	defer close(c.kept)
	c.keeper.Run(c.keepCtx)
}

// storeAnswers writes the answers that wait to be stored. It is called once no
// job is in progress, and before the session ends: whoever takes the keys over
// then finds them.
func (c *core) storeAnswers() {
	c.endKeeping()
	<-c.kept
}

// endPermits grants no more permits and waits until none given before can be
// live, or until no dispatch is open. After it, no message of this incarnation
// that is still on its way can start a task, so that the jobs may be adopted.
func (c *core) endPermits(ctx context.Context) {
	c.closing.Store(true)
	ctx, cancel := context.WithTimeout(ctx, model.BundleTTL+model.ClockMargin)
	defer cancel()
	for ctx.Err() == nil && c.owner.Status(ctx).Running > 0 {
		_ = pause.For(ctx, drainPollInterval)
	}
}

// stop ends the duties.
func (c *core) stop() {
	c.storeAnswers()
	c.cancel()
	c.writer.Close()
}

// Permit returns what a sidecar may start for this entry. The echo is read
// before the time is, so that the permit's age counts from an earlier message.
func (c *core) Permit(target *wire.Target) wire.Permit {
	echo := c.peers.lastMessage(target.Incarnation)
	view := c.bundles.View()
	zoneOpen := view.Bundle.ZoneOpen(target.Zone)
	targetOpen := view.Bundle.TargetOpen(target.Sidecar)
	if c.closing.Load() {
		return wire.Permit{Echo: echo, BundleVersion: view.Bundle.Version}
	}
	ttl := permit.Grant(c.members.Lease(), view.FreshUntil, zoneOpen, targetOpen, time.Now())
	return wire.Permit{Echo: echo, TTL: ttl, BundleVersion: view.Bundle.Version}
}

// admitting reports whether new work may be taken: without the lease or a
// fresh bundle nothing could be started.
func (c *core) admitting(now time.Time) bool {
	return c.members.Lease().After(now) && c.bundles.View().FreshUntil.After(now)
}

// claimInterval is the least time between two claim writes: the write budget
// of the table is shared evenly by the living entries.
func (c *core) claimInterval() time.Duration {
	entries, _ := c.members.Entries()
	return time.Duration(max(1, len(entries))) * time.Second / claimWritesPerSecond
}

// newRouter returns the router of that name; the default is the product's own.
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
		return routing.NewExpected(source)
	}
}
