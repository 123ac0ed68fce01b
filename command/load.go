package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/figring/figring/loadgen/fleet"
	"github.com/figring/figring/loadgen/plot"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
)

const loadLong = `Generates seeded open-loop load against the caller API of a running system with stand-in minions, which take the run time of a task from its payload. Response times are measured from the intended arrival time. Load is sent only to IP addresses in 127.0.0.0/8. The exit code is 1 if a job gets no complete answer or two answers to one key differ.

The shapes: nomination, subscription, hundred.

Examples:
  figring load --callers http://127.0.0.1:7100 --token-file token.txt --rate 20 --duration 10s
  figring load --callers http://127.0.0.1:7100 --callers http://127.0.0.1:7200 --token-file token.txt --shape subscription --seed 7 --load 0.7 --capacity 88 --json run.json --plot run.png`

// outputFileMode is the permission mode of the files that the command writes.
const outputFileMode = 0o644

var errLoadFailed = errors.New("a job got no complete answer, or two answers to one key differ")

type loadCommand struct {
	streams   *IO
	Callers   []string      `long:"callers" value-name:"URL" required:"true" description:"base URL of an entry's caller API; may be repeated"`
	Token     string        `long:"token" value-name:"TOKEN" description:"bearer token of the caller; prefer --token-file"`
	TokenFile string        `long:"token-file" value-name:"FILE" description:"file with the bearer token of the caller"`
	Shape     string        `long:"shape" value-name:"NAME" default:"nomination" description:"workload shape"`
	Seed      uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the trace"`
	Rate      float64       `long:"rate" value-name:"N" description:"jobs per second"`
	Load      float64       `long:"load" value-name:"SHARE" default:"0.7" description:"share of the capacity to use if no rate is given"`
	Capacity  float64       `long:"capacity" value-name:"N" default:"88" description:"sum over all minions of slots times speed"`
	Duration  time.Duration `long:"duration" value-name:"TIME" default:"30s" description:"time over which jobs arrive"`
	Timeout   time.Duration `long:"timeout" value-name:"TIME" default:"30s" description:"timeout of each job"`
	Retry     bool          `long:"retry" description:"resubmit refused jobs after the retry time in the refusal"`
	JSON      string        `long:"json" value-name:"FILE" description:"JSON file for the outcomes of all jobs"`
	Plot      string        `long:"plot" value-name:"FILE" description:"PNG file for the completed jobs over time"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	config, err := c.config()
	if err != nil {
		return usageError(err)
	}
	token, err := c.token()
	if err != nil {
		return usageError(err)
	}
	jobs := trace.Generate(config)
	ctx, cancel := signalContext()
	defer cancel()
	result, err := runner.Run(ctx, jobs.Jobs, runner.Options{
		Targets:     c.Callers,
		Tokens:      map[string]string{config.Shape.Caller: token},
		ClientDelay: fleet.ClientDelay,
		Timeout:     c.Timeout,
		Retry:       c.Retry,
	})
	if err != nil {
		return usageError(err)
	}
	c.print(result)
	if err := c.write(result); err != nil {
		return err
	}
	if result.Codes[runner.CodeLost] > 0 || result.Mismatches > 0 {
		return errLoadFailed
	}
	return nil
}

// config validates the flags and returns the configuration of the trace.
func (c *loadCommand) config() (trace.Config, error) {
	shape, known := trace.Shapes()[c.Shape]
	if !known {
		return trace.Config{}, fmt.Errorf("shape: must be one of %q", slices.Sorted(maps.Keys(trace.Shapes())))
	}
	if c.Duration < time.Second || c.Duration > runner.MaxDuration {
		return trace.Config{}, fmt.Errorf("duration: must be 1s to %s", runner.MaxDuration)
	}
	if c.Rate < 0 || c.Rate*c.Duration.Seconds() > runner.MaxJobs {
		return trace.Config{}, fmt.Errorf("rate: must give at most %d jobs in total", runner.MaxJobs)
	}
	if c.Load <= 0 || c.Load > 10 || c.Capacity <= 0 || c.Capacity > 1e5 {
		return trace.Config{}, errors.New("load: must be above 0 and at most 10, with a capacity above 0 and at most 100000")
	}
	config := trace.DefaultConfig(shape, c.Seed, c.Duration, c.Capacity, c.Load)
	config.Jobs = int(c.Rate * c.Duration.Seconds())
	return config, nil
}

// token returns the bearer token from --token or --token-file.
func (c *loadCommand) token() (string, error) {
	if (c.Token == "") == (c.TokenFile == "") {
		return "", errors.New("token: set either --token or --token-file")
	}
	if c.Token != "" {
		return c.Token, nil
	}
	content, err := os.ReadFile(c.TokenFile)
	return strings.TrimSpace(string(content)), err
}

// print writes the response times and the counts of outcomes as Markdown tables.
func (c *loadCommand) print(result *runner.Result) {
	fmt.Fprintf(c.streams.Out, "Seed %d, shape %s, %d jobs, %s to the last answer.\n\n", c.Seed, c.Shape, len(result.Outcomes), result.Elapsed.Round(time.Millisecond))
	fmt.Fprintln(c.streams.Out, "| caller | class | complete | mean ms | p50 ms | p90 ms | p99 ms | max ms |\n|---|---|---|---|---|---|---|---|")
	for _, series := range result.Series() {
		s := result.Responses[series].Summary()
		fmt.Fprintf(c.streams.Out, "| %s | %s | %d | %.1f | %.1f | %.1f | %.1f | %.1f |\n", series.Caller, series.Class, s.Count, s.MeanMs, s.P50Ms, s.P90Ms, s.P99Ms, s.MaxMs)
	}
	fmt.Fprintln(c.streams.Out, "\n| jobs ended | number |\n|---|---|")
	for _, code := range slices.Sorted(maps.Keys(result.Codes)) {
		fmt.Fprintf(c.streams.Out, "| %s | %d |\n", code, result.Codes[code])
	}
	for _, code := range slices.Sorted(maps.Keys(result.Resubmits)) {
		fmt.Fprintf(c.streams.Out, "| second submission: %s | %d |\n", code, result.Resubmits[code])
	}
	fmt.Fprintf(c.streams.Out, "| second submission: another answer | %d |\n", result.Mismatches)
}

// write writes the JSON document and the plot to the files given by flags.
func (c *loadCommand) write(result *runner.Result) error {
	if c.JSON != "" {
		content, err := json.MarshalIndent(result.Document(), "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(content, '\n'), outputFileMode); err != nil {
			return err
		}
	}
	if c.Plot == "" {
		return nil
	}
	picture := plot.Chart{Title: "completed jobs: " + c.Shape, Unit: "jobs in each half second", Curve: result.Completed(plot.Step)}
	return picture.Write(c.Plot)
}
