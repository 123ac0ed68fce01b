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
	// loopback is an address with a free port.
	loopback = "127.0.0.1:0"
	// readyDelay is short, because no balancer stands before the entries.
	readyDelay = 50 * time.Millisecond
	// readyPoll is the interval at which Start looks whether all is ready.
	readyPoll = 20 * time.Millisecond
	// faultSeed is the seed of the platform's faults.
	faultSeed = 1
)

// System is a running system.
type System struct {
	options  Options
	secret   string
	injector *fault.Injector
	table    store.Table
	objects  store.Objects
	entries  []*entry.Entry
	minions  []*minion.Minion
	metrics  []*metrics.Root
	// The roles stop in this order.
	entryRoles, minionRoles, sidecarRoles *roles
}

// Start starts a system and returns once every entry takes work in and knows
// every minion. After an error nothing is left running.
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
		entryRoles:   newRoles(),
		minionRoles:  newRoles(),
		sidecarRoles: newRoles(),
	}
}

func (s *System) start(ctx context.Context) error {
	if err := s.rollOut(ctx); err != nil {
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

// rollOut puts the first bundle in force.
func (s *System) rollOut(ctx context.Context) error {
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

// awaitReady returns once the system is ready, or with the error of ctx.
func (s *System) awaitReady(ctx context.Context) error {
	for !s.ready(ctx) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// ready reports whether every entry takes work in and knows every minion, and
// the partitions are shared out.
func (s *System) ready(ctx context.Context) bool {
	partitions := 0
	for _, one := range s.entries {
		status := one.Status(ctx)
		if !status.Ready || status.Partitions == 0 || readyTargets(status) < s.options.Minions {
			return false
		}
		partitions += status.Partitions
	}
	return partitions == model.Partitions
}

func readyTargets(status entry.Status) int {
	count := 0
	for _, target := range status.Owner.Targets {
		if target.State == "ready" {
			count++
		}
	}
	return count
}

// Stop drains the entries, then the minions, then the sidecars, and returns
// the errors that they ended with.
func (s *System) Stop() error {
	err := errors.Join(s.entryRoles.stop(), s.minionRoles.stop(), s.sidecarRoles.stop())
	for _, root := range s.metrics {
		err = errors.Join(err, root.Close())
	}
	return Error.Wrap(err)
}

// CallersURLs returns the bases of the callers' interfaces.
func (s *System) CallersURLs() []string {
	var urls []string
	for _, one := range s.entries {
		urls = append(urls, "http://"+one.CallersAddress())
	}
	return urls
}

// OperatorsURLs returns the bases of the operators' interfaces, if any.
func (s *System) OperatorsURLs() []string {
	var urls []string
	for _, one := range s.entries {
		if address := one.OperatorsAddress(); address != "" {
			urls = append(urls, "http://"+address)
		}
	}
	return urls
}

// Minions returns the stand-in minions.
func (s *System) Minions() []*minion.Minion { return s.minions }

// SetFaults replaces the faults of the platform.
func (s *System) SetFaults(settings fault.Settings) { s.injector.Set(settings) }
