package command

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
)

// callerFlags are the flags of every command of a caller.
type callerFlags struct {
	outputFlags
	Entries []string `long:"entry" value-name:"URL" default:"http://127.0.0.1:8080" description:"callers' interface of an entry or of the balancer; may be repeated"`
	Token   string   `long:"token" value-name:"TOKEN" env:"FIGRING_TOKEN" description:"bearer token of the caller"`
}

// call asks an entry by ask, shows progress, and prints the answer.
func (f *callerFlags) call(streams *IO, what string, ask func(context.Context, *client.Client) (*api.JobResponse, error)) error {
	asked, err := client.New(client.Options{BaseURLs: f.Entries, Token: f.Token})
	if err != nil {
		return usageError(err)
	}
	defer asked.Close()
	ctx, cancel := untilSignal()
	defer cancel()
	var answer *api.JobResponse
	err = withProgress(streams.Err, what, func() error {
		answer, err = ask(ctx, asked)
		return err
	})
	if err != nil {
		return f.problem(streams, err)
	}
	return f.answer(streams, answer)
}

// answer prints an answer. That of a failed job is also an error.
func (f *callerFlags) answer(streams *IO, answer *api.JobResponse) error {
	if err := f.print(streams.Out, answer, answerTable(answer)); err != nil {
		return err
	}
	if answer.State == api.JobFailed {
		return errors.New("the job failed")
	}
	return nil
}

// problem prints a refusal as JSON when scripts read the output.
func (f *callerFlags) problem(streams *IO, err error) error {
	var told *client.Problem
	if f.Output == outputJSON && errors.As(err, &told) {
		_ = json.NewEncoder(streams.Out).Encode(told)
	}
	return err
}
