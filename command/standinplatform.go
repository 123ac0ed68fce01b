package command

import (
	"errors"
	"time"

	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/standin"
)

const standinPlatformLong = `Serves a table service and an object store over HTTP as a stand-in for those of the platform. Their contents are kept in memory and lost when it exits. SIGTERM stops it.

Examples:
  figring standin-platform --listen 127.0.0.1:7000
  figring standin-platform --listen 127.0.0.1:0 --write-latency 20ms --seed 7
  curl -X PUT -d '{"outage":true}' http://127.0.0.1:7000/control/faults
  curl -X PUT -d '{}' http://127.0.0.1:7000/control/faults
  curl http://127.0.0.1:7000/control/counters`

type standinPlatformCommand struct {
	streams      *IO
	Listen       string        `long:"listen" value-name:"ADDRESS" default:"127.0.0.1:7000" description:"address to listen on; port 0 picks a free port, see the log line \"listening\""`
	ReadLatency  time.Duration `long:"read-latency" value-name:"TIME" default:"1ms" description:"base latency of a read"`
	WriteLatency time.Duration `long:"write-latency" value-name:"TIME" default:"5ms" description:"base latency of a write"`
	Seed         uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the injected faults"`
}

// Execute implements flags.Commander.
func (c *standinPlatformCommand) Execute([]string) error {
	settings, err := c.settings()
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	ctx, cancel := signalContext()
	defer cancel()
	listener, err := listen(newLogger(c.streams), "standin-platform", c.Listen)
	if err != nil {
		return err
	}
	return standin.Serve(ctx, listener, standin.New(fault.New(settings, c.Seed, nil)))
}

// settings returns the latencies as fault settings, after checking their range.
func (c *standinPlatformCommand) settings() (fault.Settings, error) {
	settings := fault.Settings{ReadMillis: millis(c.ReadLatency), WriteMillis: millis(c.WriteLatency)}
	if min(settings.ReadMillis, settings.WriteMillis) < 0 {
		return settings, errors.New("a latency must not be negative")
	}
	if max(settings.ReadMillis, settings.WriteMillis) > fault.MaxMillis {
		return settings, errors.New("a latency must not be longer than ten minutes")
	}
	return settings, nil
}

func millis(d time.Duration) fault.Millis {
	return fault.Millis(float64(d) / float64(time.Millisecond))
}
