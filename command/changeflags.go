package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/figring/figring/operatorclient"
	"github.com/figring/figring/rollout"
)

// changeFlags are the flags of every command that changes what is in force.
type changeFlags struct {
	operatorFlags
	Wait time.Duration `long:"wait" value-name:"TIME" default:"10s" description:"how long to wait until the change is in force everywhere; 0s not to wait"`
}

// changeResult is what a change prints.
type changeResult struct {
	rollout.ChangeResult
	// InForceEverywhere is true when nothing rests on an older version.
	InForceEverywhere bool `json:"inForceEverywhere"`
	// WaitedMs is the time from the answer to that.
	WaitedMs int64 `json:"waitedMs"`
}

// change makes a change, waits until it is in force everywhere, and says so.
func (f *changeFlags) change(streams *IO, what string, edit func(context.Context, *operatorclient.Client) (rollout.ChangeResult, error)) error {
	var result changeResult
	err := f.with(streams, what, func(ctx context.Context, asked *operatorclient.Client) (err error) {
		result.ChangeResult, err = edit(ctx, asked)
		if err != nil {
			return err
		}
		f.await(ctx, asked, &result)
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

func (f *changeFlags) await(ctx context.Context, asked *operatorclient.Client, result *changeResult) {
	if f.Wait <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.Wait)
	defer cancel()
	begun := time.Now()
	result.InForceEverywhere = asked.AwaitInForce(ctx, result.Version) == nil
	result.WaitedMs = time.Since(begun).Milliseconds()
}

func (r changeResult) table(out io.Writer) {
	if r.Changed {
		row(out, fmt.Sprintf("version %d accepted", r.Version))
	} else {
		row(out, fmt.Sprintf("nothing to change: version %d has it so already", r.Version))
	}
	if r.InForceEverywhere {
		row(out, fmt.Sprintf("in force everywhere after %d ms", r.WaitedMs))
		return
	}
	row(out, "in force everywhere by "+r.InForceBy.Format(time.RFC3339))
}
