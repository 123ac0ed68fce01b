// Command measure runs the measures of package loadgen/measure over a system of
// separate processes on the loopback. It is a developers' tool beside the
// product: a process of the product itself starts no other process.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	flags "github.com/jessevdk/go-flags"

	"github.com/figring/figring/loadgen/measure"
)

const help = `Starts a whole system of figring's roles and stand-ins on the loopback, plays seeded load over it and sets the figures beside their goals. Up to 40 processes are started and stopped. The exit code is 1 when a figure misses its goal.

The measures: response, waste, zone, overload, burst, faulty, cpu, control; or all.`

// outMode is the mode of written files, outDirMode that of directories.
const (
	outMode    = 0o644
	outDirMode = 0o755
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

var errShort = errors.New("a figure misses its goal")

// options are the flags of the command.
type options struct {
	Measures []string      `long:"measure" value-name:"NAME" default:"all" description:"measure to run; may be repeated"`
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the traces"`
	Duration time.Duration `long:"duration" value-name:"TIME" default:"30s" description:"time over which the jobs of each run arrive"`
	Out      string        `long:"out" value-name:"DIR" description:"directory for report.md, report.json and pictures"`
	Binary   string        `long:"binary" value-name:"FILE" required:"true" description:"the figring program to measure"`
}

func main() {
	var chosen options
	parser := flags.NewParser(&chosen, flags.Default)
	parser.LongDescription = help
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitUsage)
	}
	if err := run(&chosen); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(exitFailed)
	}
}

func run(chosen *options) error {
	settings, err := chosen.settings()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	report, err := measure.Run(ctx, chosen.Measures, settings)
	if err != nil {
		return err
	}
	if err := chosen.write(report); err != nil {
		return err
	}
	if report.Short() {
		return errShort
	}
	return nil
}

func (o *options) settings() (measure.Options, error) {
	if o.Duration < time.Second || o.Duration > 5*time.Minute {
		return measure.Options{}, errors.New("duration: want 1s to 5m")
	}
	if o.Out != "" {
		if err := os.MkdirAll(o.Out, outDirMode); err != nil {
			return measure.Options{}, err
		}
	}
	return measure.Options{Binary: o.Binary, OutDir: o.Out, Seed: o.Seed, Duration: o.Duration, Progress: os.Stderr}, nil
}

func (o *options) write(report *measure.Report) error {
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if o.Out == "" {
		return nil
	}
	table, err := os.Create(filepath.Join(o.Out, "report.md"))
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
	return os.WriteFile(filepath.Join(o.Out, "report.json"), append(content, '\n'), outMode)
}
