package fleet

import (
	"fmt"
	"time"

	"github.com/figring/figring/loadgen/ideal"
	"github.com/figring/figring/model"
)

const (
	// MaxProcesses bounds the processes of a fleet.
	MaxProcesses = 40
	// zoneDelay is the one-way delay between two availability zones.
	zoneDelay = 1400 * time.Microsecond
	// ClientDelay is the one-way delay between an entry and a caller.
	ClientDelay = time.Millisecond

	deskEntries = 3
	deskWorkers = 11
	rackSize    = 3
	slots       = 8
	connections = 64
)

// deskSpeeds are the speeds of the desk's workers: no two racks match.
var deskSpeeds = []float64{1, 0.8, 1.25, 0.9, 1.1, 0.7, 1, 1.3, 0.85, 1.15, 0.95}

// Settings describe a fleet.
type Settings struct {
	// Binary is the program that every process runs.
	Binary string
	// Dir is a directory for settings files.
	Dir string
	// Zones are the availability zones.
	Zones   []string
	Entries int
	Workers []Worker
	// Routing is an entry's setting of that name; empty for the default.
	Routing string
	// ClaimMode is an entry's setting of that name; empty for the default.
	ClaimMode string
	// Callers are rolled out at the start; each one's token is Token(name).
	Callers []model.Caller
	Limits  model.Limits
}

// Desk returns the settings of either user's desk: three entries in three
// zones, and eleven minions of 8 slots and 64 connections, three to a rack.
func Desk(binary, dir string) Settings {
	settings := Settings{
		Binary:  binary,
		Dir:     dir,
		Zones:   []string{"schwabing", "maxvorstadt", "garching"},
		Entries: deskEntries,
	}
	for i := range deskWorkers {
		rack := i / rackSize
		settings.Workers = append(settings.Workers, Worker{
			Zone:        settings.Zones[rack%len(settings.Zones)],
			Rack:        fmt.Sprintf("rack-%d", rack+1),
			Speed:       deskSpeeds[i],
			Slots:       slots,
			Connections: connections,
			Delay:       MeanDelay(len(settings.Zones)),
		})
	}
	return settings
}

// MeanDelay returns the mean one-way delay between an entry and a minion when
// entries and minions are spread over zones.
func MeanDelay(zones int) time.Duration {
	return zoneDelay * time.Duration(zones-1) / time.Duration(zones)
}

// Capacity returns the workers as the ideal scheduler takes them.
func (s *Settings) Capacity() []ideal.Worker {
	var workers []ideal.Worker
	for _, worker := range s.Workers {
		workers = append(workers, ideal.Worker{Slots: worker.Slots, Speed: worker.Speed})
	}
	return workers
}

// Processes returns the number of processes of the fleet.
func (s *Settings) Processes() int {
	return 1 + s.Entries + 2*len(s.Workers)
}

// WorkerName returns the name of the worker with that index.
func WorkerName(index int) string { return fmt.Sprintf("worker-%d", index+1) }

// Token returns the bearer token of a caller or an operator.
func Token(name string) string { return name + "-token" }

// Tokens returns the bearer token of each caller.
func (s *Settings) Tokens() map[string]string {
	tokens := make(map[string]string)
	for _, caller := range s.Callers {
		tokens[caller.Name] = Token(caller.Name)
	}
	return tokens
}
