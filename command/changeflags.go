package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/rollout"
)

// changeFlags are the flags of the commands that change the bundle in force.
type changeFlags struct {
	operatorFlags
	Wait time.Duration `long:"wait" value-name:"TIME" default:"10s" description:"how long to wait until the change is in force everywhere; 0s not to wait"`
}

// changeResult is the output of a change.
type changeResult struct {
	rollout.ChangeResult
	// InForceEverywhere is true if nothing in the system uses an older version.
	InForceEverywhere bool `json:"inForceEverywhere"`
	// WaitedMs is how long the command waited, after the change was accepted, for
	// it to be in force everywhere.
	WaitedMs int64 `json:"waitedMs"`
}

// applyAndWait makes a change, waits up to Wait until it is in force everywhere,
// and prints the result. It returns an error if the change is not known to be in
// force everywhere by then. With a Wait of 0 it neither waits nor checks.
func (f *changeFlags) applyAndWait(streams *IO, activity string, apply func(context.Context, *operatorclient.Client) (rollout.ChangeResult, error)) error {
	var result changeResult
	err := f.withClient(streams, activity, func(ctx context.Context, client *operatorclient.Client) (err error) {
		result.ChangeResult, err = apply(ctx, client)
		if err != nil {
			return err
		}
		f.waitInForce(ctx, client, &result)
		return nil
	})
	if err != nil {
		return err
	}
	if err := f.print(streams.Out, result, result.table); err != nil {
		return err
	}
	if f.Wait > 0 && !result.InForceEverywhere {
		return fmt.Errorf("version %d is accepted, but not known to be in force everywhere after %s", result.Version, f.Wait)
	}
	return nil
}

// waitInForce waits up to Wait until the version in result is in force
// everywhere, and records in result whether it is and the time waited.
func (f *changeFlags) waitInForce(ctx context.Context, client *operatorclient.Client, result *changeResult) {
	if f.Wait <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.Wait)
	defer cancel()
	started := time.Now()
	result.InForceEverywhere = client.AwaitInForce(ctx, result.Version) == nil
	result.WaitedMs = time.Since(started).Milliseconds()
}

func (r changeResult) table(out io.Writer) {
	if r.Changed {
		writeRow(out, fmt.Sprintf("version %d accepted", r.Version))
	} else {
		writeRow(out, fmt.Sprintf("nothing to change: version %d already has this state", r.Version))
	}
	if r.InForceEverywhere {
		writeRow(out, fmt.Sprintf("in force everywhere after %d ms", r.WaitedMs))
		return
	}
	writeRow(out, "in force everywhere by "+r.InForceBy.Format(time.RFC3339))
}
