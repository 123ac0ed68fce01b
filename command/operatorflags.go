package command

import (
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/figring/figring/operatorclient"
)

// operatorFlags are the flags that all operator commands share.
type operatorFlags struct {
	outputFlags
	Operators []string `long:"operators" value-name:"URL" default:"http://127.0.0.1:8081" description:"base URL of an entry's operator API; may be repeated"`
	Token     string   `long:"token" value-name:"TOKEN" env:"FIGRING_OPERATOR_TOKEN" description:"bearer token of the operator"`
}

// withClient runs call with a client of the operator API and shows progress. The
// context of call ends at SIGTERM or SIGINT. With JSON output, a problem reported
// by the API is also printed to the output.
func (f *operatorFlags) withClient(streams *IO, activity string, call func(context.Context, *operatorclient.Client) error) error {
	client := operatorclient.New(f.Operators, f.Token)
	defer client.Close()
	ctx, cancel := signalContext()
	defer cancel()
	err := withProgress(streams.Err, activity, func() error { return call(ctx, client) })
	var apiProblem *operatorclient.Problem
	if f.Output == outputJSON && errors.As(err, &apiProblem) {
		_ = json.NewEncoder(streams.Out).Encode(apiProblem)
	}
	return err
}

// callAndPrint runs call with a client of the operator API and prints its result
// as JSON or with table.
func callAndPrint[T any](f *operatorFlags, streams *IO, activity string, call func(context.Context, *operatorclient.Client) (T, error), table func(T) func(io.Writer)) error {
	var result T
	err := f.withClient(streams, activity, func(ctx context.Context, client *operatorclient.Client) (err error) {
		result, err = call(ctx, client)
		return err
	})
	if err != nil {
		return err
	}
	return f.print(streams.Out, result, table(result))
}
