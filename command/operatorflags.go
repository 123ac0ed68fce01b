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

// with calls work with a client until a signal, and shows progress.
func (f *operatorFlags) with(streams *IO, what string, work func(context.Context, *operatorclient.Client) error) error {
	asked := operatorclient.New(f.Operators, f.Token)
	defer asked.Close()
	ctx, cancel := untilSignal()
	defer cancel()
	err := withProgress(streams.Err, what, func() error { return work(ctx, asked) })
	var told *operatorclient.Problem
	if f.Output == outputJSON && errors.As(err, &told) {
		_ = json.NewEncoder(streams.Out).Encode(told)
	}
	return err
}

// ask prints what read returns.
func ask[T any](f *operatorFlags, streams *IO, what string, read func(context.Context, *operatorclient.Client) (T, error), table func(T) func(io.Writer)) error {
	var answer T
	err := f.with(streams, what, func(ctx context.Context, asked *operatorclient.Client) (err error) {
		answer, err = read(ctx, asked)
		return err
	})
	if err != nil {
		return err
	}
	return f.print(streams.Out, answer, table(answer))
}
