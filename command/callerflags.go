package command

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/figring/figring/api"
	"github.com/figring/figring/client"
)

// callerFlags are the flags that all caller commands share.
type callerFlags struct {
	outputFlags
	Entries []string `long:"entry" value-name:"URL" default:"http://127.0.0.1:8080" description:"base URL of the caller API, at an entry or a load balancer; may be repeated"`
	Token   string   `long:"token" value-name:"TOKEN" env:"FIGRING_TOKEN" description:"bearer token of the caller"`
}

// call runs request with a client of the caller API, shows progress, and prints
// the answer.
func (f *callerFlags) call(streams *IO, activity string, request func(context.Context, *client.Client) (*api.JobResponse, error)) error {
	callerClient, err := client.New(client.Options{BaseURLs: f.Entries, Token: f.Token})
	if err != nil {
		return usageError(err)
	}
	defer callerClient.Close()
	ctx, cancel := signalContext()
	defer cancel()
	var answer *api.JobResponse
	err = withProgress(streams.Err, activity, func() error {
		answer, err = request(ctx, callerClient)
		return err
	})
	if err != nil {
		return f.printProblem(streams, err)
	}
	return f.printAnswer(streams, answer)
}

// printAnswer prints the answer to a job, and returns an error if the job failed.
func (f *callerFlags) printAnswer(streams *IO, answer *api.JobResponse) error {
	if err := f.print(streams.Out, answer, answerTable(answer)); err != nil {
		return err
	}
	if answer.State == api.JobFailed {
		return errors.New("the job failed")
	}
	return nil
}

// printProblem prints err to the output if it is a problem reported by the API and
// the output is JSON. It returns err unchanged.
func (f *callerFlags) printProblem(streams *IO, err error) error {
	var apiProblem *client.Problem
	if f.Output == outputJSON && errors.As(err, &apiProblem) {
		_ = json.NewEncoder(streams.Out).Encode(apiProblem)
	}
	return err
}
