package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/figring/figring/where"
)

const whereLong = `Asks a running dispatcher where a job would be placed now, and prints the decision of admission control with its inputs and their age, the sidecars that were compared for each task, and why others are ruled out. Nothing is run, stored or counted. Without --job the job has one task with one core and 100 ms.

Examples:
  figring where --status 10.0.0.1:9100 --host jobs.example --path /long/
  figring where --status 10.0.0.1:9100 --host jobs.example --path /long/ --job job.json --json`

// whereTimeout bounds the time for the answer of the dispatcher.
const whereTimeout = 10 * time.Second

type whereCommand struct {
	streams *IO
	Status  string `long:"status" value-name:"ADDRESS" required:"true" description:"status listener of the dispatcher, as host:port"`
	Host    string `long:"host" value-name:"HOST" required:"true" description:"host to which the job would be submitted"`
	Path    string `long:"path" value-name:"PATH" required:"true" description:"path to which the job would be submitted, with or without a job id"`
	Job     string `long:"job" value-name:"FILE" description:"body of the submission, as JSON"`
	JSON    bool   `long:"json" description:"print the reply as it is"`
}

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	request, err := c.request()
	if err != nil {
		return usageError(err)
	}
	interrupted, cancel := signalContext()
	defer cancel()
	ctx, cancel := context.WithTimeout(interrupted, whereTimeout)
	defer cancel()
	raw, err := where.Ask(ctx, c.Status, request)
	switch {
	case where.ErrInvalid.Has(err):
		return usageError(err)
	case err != nil:
		return err
	case c.JSON:
		_, err = c.streams.Out.Write(raw)
		return err
	}
	var reply where.Reply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return fmt.Errorf("%s does not answer as a dispatcher does: %w", c.Status, err)
	}
	output := outputFlags{Output: outputTable}
	return output.print(c.streams.Out, &reply, func(out io.Writer) { writeWhere(out, &reply) })
}

// request returns the request to send.
func (c *whereCommand) request() (*where.Request, error) {
	request := &where.Request{Host: c.Host, Path: c.Path}
	if host, port, err := net.SplitHostPort(c.Status); err != nil || host == "" || port == "" {
		return nil, fmt.Errorf("--status %q is not of the form host:port", c.Status)
	}
	if c.Host == "" || !strings.HasPrefix(c.Path, "/") {
		return nil, errors.New("--host must not be empty, and --path begins with /")
	}
	if c.Job == "" {
		return request, nil
	}
	job, err := os.ReadFile(c.Job)
	if err != nil {
		return nil, err
	}
	if !json.Valid(job) || !bytes.HasPrefix(bytes.TrimSpace(job), []byte("{")) {
		return nil, fmt.Errorf("%s: not a JSON object", c.Job)
	}
	request.Job = job
	return request, nil
}
