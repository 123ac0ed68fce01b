package command

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/figring/figring/loadgen/measure"
)

const measureHelp = `Starts a whole system of this binary's roles and stand-ins on the loopback, plays seeded load over it and sets the figures beside their goals. It is a tool for developers: up to 40 processes are started and stopped. The exit code is 1 when a figure misses its goal.

The measures: response, waste, zone, overload, burst, faulty, cpu, control; or all.

Examples:
  figring measure --measure response --seed 7 --duration 30s --out /tmp/figures
  figring measure --measure all --out /tmp/figures`

// outMode is the mode of written files, outDirMode that of directories.
const (
	outMode    = 0o644
	outDirMode = 0o755
)

var errShort = errors.New("a figure misses its goal")

type measureCommand struct {
	streams  *IO
	Measures []string      `long:"measure" value-name:"NAME" default:"all" description:"measure to run; may be repeated"`
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the traces"`
	Duration time.Duration `long:"duration" value-name:"TIME" default:"30s" description:"time over which the jobs of each run arrive"`
	Out      string        `long:"out" value-name:"DIR" description:"directory for report.md, report.json and pictures"`
	Binary   string        `long:"binary" value-name:"FILE" description:"program to measure; this one by default"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return usageError(err)
	}
	ctx, cancel := untilSignal()
	defer cancel()
	report, err := measure.Run(ctx, c.Measures, options)
	if err != nil {
		return usageError(err)
	}
	if err := c.write(report); err != nil {
		return err
	}
	if report.Short() {
		return errShort
	}
	return nil
}

func (c *measureCommand) options() (measure.Options, error) {
	if c.Duration < time.Second || c.Duration > 5*time.Minute {
		return measure.Options{}, errors.New("duration: want 1s to 5m")
	}
	binary := c.Binary
	if binary == "" {
		own, err := os.Executable()
		if err != nil {
			return measure.Options{}, err
		}
		binary = own
	}
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, outDirMode); err != nil {
			return measure.Options{}, err
		}
	}
	return measure.Options{Binary: binary, OutDir: c.Out, Seed: c.Seed, Duration: c.Duration, Progress: c.streams.Err}, nil
}

func (c *measureCommand) write(report *measure.Report) error {
	if err := report.WriteTable(c.streams.Out); err != nil {
		return err
	}
	if c.Out == "" {
		return nil
	}
	table, err := os.Create(filepath.Join(c.Out, "report.md"))
	if err != nil {
		return err
	}
	if err := errors.Join(report.WriteTable(table), table.Close()); err != nil {
		return err
	}
	content, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Out, "report.json"), append(content, '\n'), outMode)
}
