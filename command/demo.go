package command

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/demo"
	"github.com/figring/figring/model"
	"github.com/figring/figring/settings"
	"github.com/figring/figring/store/fault"
)

const demoLong = `Runs a whole system in one process, on free loopback ports: two entries, three
availability zones, and six sidecars with stand-in minions. Its platform is kept
in memory and lost when the demo ends. With --job it submits the jobs, prints
their answers, drains and exits. Without --job it serves until SIGTERM.

Examples:
  figring demo --job examples/jobs/nomination-desk.json
  figring demo --output json --job examples/jobs/subscription-desk.json
  figring demo --minions 12`

const (
	demoCaller = "demo"
	// demoStartLimit is the timeout for starting the system.
	demoStartLimit = 30 * time.Second
)

// demoZones are the availability zones of the demo system.
var demoZones = []string{"schwabing", "maxvorstadt", "garching"}

// demoOperators are two operators, because the operator who proposed a bundle cannot
// sign it off.
var demoOperators = []string{"anna", "bert"}

type demoCommand struct {
	streams *IO
	outputFlags
	Jobs           []string `long:"job" value-name:"FILE" description:"job to submit; may be repeated"`
	Entries        int      `long:"entries" value-name:"N" default:"2" description:"entries to run"`
	Minions        int      `long:"minions" value-name:"N" default:"6" description:"minions to run, each with a sidecar"`
	callerToken    string
	operatorTokens map[string]string
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if c.Entries < 1 || c.Entries > 16 || c.Minions < 1 || c.Minions > 64 {
		return usageError(errors.New("--entries must be 1 to 16 and --minions 1 to 64"))
	}
	jobs, err := c.loadJobs()
	if err != nil {
		return err
	}
	c.generateTokens()
	ctx, cancel := signalContext()
	defer cancel()
	fmt.Fprintln(c.streams.Err, "The demo's platform is kept in memory: its contents are lost when the demo ends.")
	system, err := c.start(ctx)
	if err != nil {
		return err
	}
	if len(jobs) == 0 {
		c.printAccess(system)
		<-ctx.Done()
		return system.Stop()
	}
	return errors.Join(c.submit(ctx, system, jobs), system.Stop())
}

func (c *demoCommand) loadJobs() ([]*api.JobRequest, error) {
	var jobs []*api.JobRequest
	for _, path := range c.Jobs {
		job, err := loadJob(path, "")
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}

// generateTokens generates the bearer tokens of the caller and the operators.
func (c *demoCommand) generateTokens() {
	c.callerToken = rand.Text()
	c.operatorTokens = make(map[string]string)
	for _, operator := range demoOperators {
		c.operatorTokens[operator] = rand.Text()
	}
}

func (c *demoCommand) start(ctx context.Context) (*demo.System, error) {
	var system *demo.System
	ctx, cancel := context.WithTimeout(ctx, demoStartLimit)
	defer cancel()
	err := withProgress(c.streams.Err, "starting", func() (err error) {
		system, err = demo.Start(ctx, c.options())
		return err
	})
	return system, err
}

func (c *demoCommand) options() demo.Options {
	var operators []settings.Operator
	for _, name := range demoOperators {
		operators = append(operators, settings.Operator{Name: name, TokenHash: identity.Hash(c.operatorTokens[name])})
	}
	return demo.Options{
		Region:    "munich",
		Zones:     demoZones,
		Entries:   c.Entries,
		Minions:   c.Minions,
		Callers:   []model.Caller{{Name: demoCaller, TokenHash: identity.Hash(c.callerToken)}},
		Operators: operatorHandlerFactory(demoZones, operators),
		Faults:    fault.Defaults(),
		Log:       &log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: c.streams.Err}},
	}
}

// printAccess prints the URLs of the system, and its tokens as shell exports.
func (c *demoCommand) printAccess(system *demo.System) {
	for _, url := range system.CallersURLs() {
		fmt.Fprintln(c.streams.Out, "callers:  ", url)
	}
	for _, url := range system.OperatorsURLs() {
		fmt.Fprintln(c.streams.Out, "operators:", url)
	}
	fmt.Fprintln(c.streams.Out, "export FIGRING_TOKEN="+c.callerToken)
	for _, name := range demoOperators {
		fmt.Fprintf(c.streams.Out, "export FIGRING_OPERATOR_TOKEN=%s  # %s\n", c.operatorTokens[name], name)
	}
}

// submit submits the jobs one after another and prints their answers.
func (c *demoCommand) submit(ctx context.Context, system *demo.System, jobs []*api.JobRequest) error {
	callerClient, err := client.New(client.Options{BaseURLs: system.CallersURLs(), Token: c.callerToken})
	if err != nil {
		return err
	}
	defer callerClient.Close()
	for index, job := range jobs {
		name := strings.TrimSuffix(filepath.Base(c.Jobs[index]), ".json")
		if err := c.submitJob(ctx, callerClient, name, job); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (c *demoCommand) submitJob(ctx context.Context, callerClient *client.Client, name string, job *api.JobRequest) error {
	var answer *api.JobResponse
	started := time.Now()
	activity := fmt.Sprintf("%s: %d tasks submitted", name, len(job.Tasks))
	err := withProgress(c.streams.Err, activity, func() (err error) {
		answer, err = callerClient.Submit(ctx, job)
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.streams.Err, "%s: answered in %d ms\n", name, time.Since(started).Milliseconds())
	return c.print(c.streams.Out, answer, answerTable(answer))
}
