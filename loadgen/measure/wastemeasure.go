package measure

import (
	"context"

	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
)

// wasted measures the wasted messages of both shapes at 70 % of the slots.
func (b *bench) wasted(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, shape := range []trace.Shape{trace.Nomination(), trace.Subscription()} {
		settings := b.desk(shape.Caller)
		run, err := b.play(ctx, "waste, "+shape.Name, settings, b.usual(shape, settings, responseLoad), runner.Options{}, nil)
		if err != nil {
			return rows, err
		}
		for _, row := range run.waste() {
			row.Name = shape.Name + ": " + row.Name
			rows = append(rows, row)
		}
	}
	return rows, nil
}
