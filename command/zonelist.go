package command

import (
	"context"
	"io"
	"maps"
	"slices"

	"github.com/figring/figring/operatorclient"
)

const zoneListLong = `Lists the availability zones that have an entry or a sidecar, and the closed
ones.

Examples:
  figring zone list`

type zoneListCommand struct {
	streams *IO
	operatorFlags
}

// zoneState is the state of one availability zone.
type zoneState struct {
	Zone     string `json:"zone"`
	Open     bool   `json:"open"`
	Entries  int    `json:"entries"`
	Sidecars int    `json:"sidecars"`
}

// Execute implements flags.Commander.
func (c *zoneListCommand) Execute([]string) error {
	var state systemState
	err := c.withClient(c.streams, "reading the zones", func(ctx context.Context, client *operatorclient.Client) (err error) {
		state, err = fetchSystemState(ctx, client)
		return err
	})
	if err != nil {
		return err
	}
	zones := zoneStates(state)
	return c.print(c.streams.Out, zones, func(out io.Writer) { writeZones(out, zones) })
}

// zoneStates returns the zones of all entries, sidecars and closed zones in state,
// sorted by name.
func zoneStates(state systemState) []zoneState {
	zones := make(map[string]zoneState)
	update := func(name string, apply func(*zoneState)) {
		zone := zones[name]
		zone.Zone = name
		zone.Open = state.Bundle.Bundle.ZoneOpen(name)
		apply(&zone)
		zones[name] = zone
	}
	for _, name := range state.Bundle.Bundle.ClosedZones {
		update(name, func(*zoneState) {})
	}
	for _, report := range state.Entries {
		if report.Status != nil {
			update(report.Status.Zone, func(zone *zoneState) { zone.Entries++ })
		}
	}
	for _, target := range latestTargets(state.Entries) {
		update(target.Zone, func(zone *zoneState) { zone.Sidecars++ })
	}
	var sorted []zoneState
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		sorted = append(sorted, zones[name])
	}
	return sorted
}

// writeZones writes a table with one row per availability zone.
func writeZones(out io.Writer, zones []zoneState) {
	writeRow(out, "ZONE", "OPEN", "ENTRIES", "SIDECARS")
	for _, zone := range zones {
		writeRow(out, zone.Zone, yesNo(zone.Open), zone.Entries, zone.Sidecars)
	}
}
