package command

import (
	"context"
	"io"
	"maps"
	"slices"

	"github.com/figring/figring/operatorclient"
)

const zoneListLong = `Lists the availability zones that hold an entry or a sidecar, and the closed
ones.

Examples:
  figring zone list`

type zoneListCommand struct {
	streams *IO
	operatorFlags
}

// zoneState is one availability zone as it stands.
type zoneState struct {
	Zone     string `json:"zone"`
	Open     bool   `json:"open"`
	Entries  int    `json:"entries"`
	Sidecars int    `json:"sidecars"`
}

// Execute implements flags.Commander.
func (c *zoneListCommand) Execute([]string) error {
	var state systemState
	err := c.with(c.streams, "reading the zones", func(ctx context.Context, asked *operatorclient.Client) (err error) {
		state, err = readState(ctx, asked)
		return err
	})
	if err != nil {
		return err
	}
	zones := zonesOf(state)
	return c.print(c.streams.Out, zones, func(out io.Writer) { zoneTable(out, zones) })
}

func zonesOf(state systemState) []zoneState {
	zones := make(map[string]zoneState)
	change := func(name string, apply func(*zoneState)) {
		one := zones[name]
		one.Zone = name
		one.Open = state.Bundle.Bundle.ZoneOpen(name)
		apply(&one)
		zones[name] = one
	}
	for _, name := range state.Bundle.Bundle.ClosedZones {
		change(name, func(*zoneState) {})
	}
	for _, report := range state.Entries {
		if report.Status != nil {
			change(report.Status.Zone, func(one *zoneState) { one.Entries++ })
		}
	}
	for _, target := range targetsOf(state.Entries) {
		change(target.Zone, func(one *zoneState) { one.Sidecars++ })
	}
	var list []zoneState
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		list = append(list, zones[name])
	}
	return list
}

func zoneTable(out io.Writer, zones []zoneState) {
	row(out, "ZONE", "OPEN", "ENTRIES", "SIDECARS")
	for _, one := range zones {
		row(out, one.Zone, yesNo(one.Open), one.Entries, one.Sidecars)
	}
}
