package demo

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/entry"
	"github.com/figring/figring/minion"
	"github.com/figring/figring/model"
	"github.com/figring/figring/rollout"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/memory"
)

const (
	// loopbackAnyPort makes the kernel choose a free port.
	loopbackAnyPort = "127.0.0.1:0"
	// readyDelay can be short because there is no load balancer in front of the
	// entries.
	readyDelay = 50 * time.Millisecond
	// readyPollInterval is the interval between the readiness checks in Start.
	readyPollInterval = 20 * time.Millisecond
	// faultSeed seeds the fault injector. It is fixed, so that runs with the same
	// requests get the same faults.
	faultSeed = 1
)

// System is a running figring system in this process: entries, sidecars and
// stand-in minions over an in-memory platform.
type System struct {
	options  Options
	secret   string
	injector *fault.Injector
	table    store.Table
	objects  store.Objects
	entries  []*entry.Entry
	minions  []*minion.Minion
	metrics  []*metrics.Root
	// Stop stops the groups in this order.
	entryRoles, minionRoles, sidecarRoles *roleGroup
}

// Start starts a system and returns once every entry accepts jobs and has every
// minion as a ready target. If it fails, it stops whatever it has started.
func Start(ctx context.Context, options Options) (*System, error) {
	s := newSystem(options)
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(Error.Wrap(err), s.Stop())
	}
	return s, nil
}

func newSystem(options Options) *System {
	options = options.withDefaults()
	injector := fault.New(options.Faults, faultSeed, nil)
	return &System{
		options:      options,
		secret:       rand.Text(),
		injector:     injector,
		table:        fault.NewTable(memory.NewTable(), injector),
		objects:      fault.NewObjects(memory.NewObjects(), injector),
		entryRoles:   newRoleGroup(),
		minionRoles:  newRoleGroup(),
		sidecarRoles: newRoleGroup(),
	}
}

func (s *System) start(ctx context.Context) error {
	if err := s.rollOutInitialBundle(ctx); err != nil {
		return err
	}
	for index := range s.options.Entries {
		if err := s.startEntry(index); err != nil {
			return err
		}
	}
	for index := range s.options.Minions {
		if err := s.startWorker(index); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// rollOutInitialBundle proposes, signs off and rolls out the first bundle. The
// sign-off comes from a second operator.
func (s *System) rollOutInitialBundle(ctx context.Context) error {
	editor := rollout.NewEditor(s.table, rollout.EditorOptions{Rules: bundle.Rules{Zones: s.options.Zones}})
	proposal, err := editor.Propose(ctx, "demo", 0, model.Bundle{Callers: s.options.Callers})
	if err != nil {
		return err
	}
	if _, err := editor.SignOff(ctx, "demo-second", proposal.ID); err != nil {
		return err
	}
	_, err = editor.RollOut(ctx, "demo", proposal.ID)
	return err
}

// awaitReady polls until the system is ready. It returns the error of ctx if ctx
// ends first.
func (s *System) awaitReady(ctx context.Context) error {
	for !s.ready(ctx) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// ready reports whether every entry accepts jobs, owns a partition and has every
// minion as a ready target, and whether all partitions are owned.
func (s *System) ready(ctx context.Context) bool {
	partitions := 0
	for _, runningEntry := range s.entries {
		status := runningEntry.Status(ctx)
		if !status.Ready || status.Partitions == 0 || countReadyTargets(status) < s.options.Minions {
			return false
		}
		partitions += status.Partitions
	}
	return partitions == model.Partitions
}

func countReadyTargets(status entry.Status) int {
	count := 0
	for _, target := range status.Owner.Targets {
		if target.State == "ready" {
			count++
		}
	}
	return count
}

// Stop gracefully shuts down the entries, then the minions, then the sidecars,
// closes the metrics and returns the joined errors.
func (s *System) Stop() error {
	err := errors.Join(s.entryRoles.stop(), s.minionRoles.stop(), s.sidecarRoles.stop())
	for _, root := range s.metrics {
		err = errors.Join(err, root.Close())
	}
	return Error.Wrap(err)
}

// CallersURLs returns the base URL of each entry's API for callers.
func (s *System) CallersURLs() []string {
	var urls []string
	for _, runningEntry := range s.entries {
		urls = append(urls, "http://"+runningEntry.CallersAddress())
	}
	return urls
}

// OperatorsURLs returns the base URL of each entry's API for operators. It skips
// entries without one.
func (s *System) OperatorsURLs() []string {
	var urls []string
	for _, runningEntry := range s.entries {
		if address := runningEntry.OperatorsAddress(); address != "" {
			urls = append(urls, "http://"+address)
		}
	}
	return urls
}

// Minions returns the stand-in minions, in the order of their start.
func (s *System) Minions() []*minion.Minion { return s.minions }

// SetFaults replaces the latencies and faults that are injected into the table and
// the object store.
func (s *System) SetFaults(settings fault.Settings) { s.injector.Set(settings) }
