package demo

import (
	"fmt"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/entry"
)

func (s *System) startEntry(index int) error {
	root := metrics.NewRoot()
	s.metrics = append(s.metrics, root)
	newEntry, err := entry.New(entry.Options{
		Name:            fmt.Sprintf("entry-%d", index+1),
		Zone:            s.zoneFor(index),
		Region:          s.options.Region,
		RPCListen:       loopbackAnyPort,
		CallersListen:   loopbackAnyPort,
		OperatorsListen: loopbackAnyPort,
		StatusListen:    loopbackAnyPort,
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
	s.entries = append(s.entries, newEntry)
	s.entryRoles.run(newEntry.Run)
	return nil
}

// zoneFor returns the availability zone of the process with index; processes are
// assigned to the zones round-robin.
func (s *System) zoneFor(index int) string {
	return s.options.Zones[index%len(s.options.Zones)]
}
