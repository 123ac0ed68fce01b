// Command measure runs the measurements of package loadgen/measure against a
// system of separate processes on the loopback interface. It is a developer tool
// and not part of the product, whose processes start no other process.
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

const help = `Starts a complete figring system, with stand-ins for the platform and the minions, on the loopback interface, runs seeded load against it and compares the measured figures with their goals. Up to 40 processes are started and stopped. The exit code is 1 if a figure misses its goal or the run fails.

The measurements: response, waste, zone, overload, burst, faulty, cpu, control; or all.`

// File modes of the written reports and of the output directory.
const (
	outMode    = 0o644
	outDirMode = 0o755
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

var errGoalMissed = errors.New("a figure misses its goal")

// options holds the command-line flags.
type options struct {
	Measures []string      `long:"measure" value-name:"NAME" default:"all" description:"measurement to run; may be repeated"`
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the traces"`
	Duration time.Duration `long:"duration" value-name:"TIME" default:"30s" description:"time span over which the jobs of each run arrive"`
	Out      string        `long:"out" value-name:"DIR" description:"directory for report.md, report.json and plots"`
	Binary   string        `long:"binary" value-name:"FILE" required:"true" description:"figring binary to measure"`
}

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.LongDescription = help
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitUsage)
	}
	if err := run(&opts); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(exitFailed)
	}
}

func run(opts *options) error {
	measureOpts, err := opts.measureOptions()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	report, err := measure.Run(ctx, opts.Measures, measureOpts)
	if err != nil {
		return err
	}
	if err := opts.write(report); err != nil {
		return err
	}
	if report.Short() {
		return errGoalMissed
	}
	return nil
}

func (o *options) measureOptions() (measure.Options, error) {
	if o.Duration < time.Second || o.Duration > 5*time.Minute {
		return measure.Options{}, errors.New("duration must be between 1s and 5m")
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
