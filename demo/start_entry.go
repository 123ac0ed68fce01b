package demo

import (
	"fmt"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/entry"
)

func (s *System) startEntry(index int) error {
	root := metrics.NewRoot()
	s.metrics = append(s.metrics, root)
	role, err := entry.New(entry.Options{
		Name:            fmt.Sprintf("entry-%d", index+1),
		Zone:            s.zone(index),
		Region:          s.options.Region,
		RPCListen:       loopback,
		CallersListen:   loopback,
		OperatorsListen: loopback,
		StatusListen:    loopback,
		Secret:          s.secret,
		Table:           s.table,
		Objects:         s.objects,
		Operators:       s.options.Operators,
		ReadyDelay:      readyDelay,
		MaxBodyBytes:    s.options.MaxBodyBytes,
		Metrics:         root,
		Log:             s.options.Log,
	})
	if err != nil {
		return err
	}
	s.entries = append(s.entries, role)
	s.entryRoles.run(role.Run)
	return nil
}

// zone spreads processes over the availability zones in turn.
func (s *System) zone(index int) string {
	return s.options.Zones[index%len(s.options.Zones)]
}
