package command

import (
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/figring/figring/operatorclient"
)

// operatorFlags are the flags of every command of an operator.
type operatorFlags struct {
	outputFlags
	Operators []string `long:"operators" value-name:"URL" default:"http://127.0.0.1:8081" description:"operators' interface of an entry; may be repeated"`
	Token     string   `long:"token" value-name:"TOKEN" env:"FIGRING_OPERATOR_TOKEN" description:"bearer token of the operator"`
}

// withClient calls work withClient a client until a signal, and shows progress.
func (f *operatorFlags) withClient(streams *IO, activity string, call func(context.Context, *operatorclient.Client) error) error {
	client := operatorclient.New(f.Operators, f.Token)
	defer client.Close()
	ctx, cancel := signalContext()
	defer cancel()
	err := withProgress(streams.Err, activity, func() error { return call(ctx, client) })
	var problem *operatorclient.Problem
	if f.Output == outputJSON && errors.As(err, &problem) {
		_ = json.NewEncoder(streams.Out).Encode(problem)
	}
	return err
}

// callAndPrint prints what read returns.
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
