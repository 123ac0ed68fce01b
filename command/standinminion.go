package command

import (
	"net"
	"time"

	"github.com/figring/figring/minion"
	"github.com/phuslu/log"
)

const standinMinionLong = `Serves a stand-in for a minion, whose tasks only sleep. It announces itself to the sidecar every second and records every task start in a ledger. On SIGTERM it tells the sidecar that it is leaving, finishes the running tasks, and exits.

Examples:
  figring standin-minion --listen 127.0.0.1:7300 --name m1 --zone schwabing --announce http://127.0.0.1:7200
  figring standin-minion --listen 127.0.0.1:0 --name m2 --speed 0.5 --slots 8 --ledger-file m2.jsonl
  curl -X PUT -d '{"failEverything":true}' http://127.0.0.1:7300/control
  curl http://127.0.0.1:7300/ledger
  curl http://127.0.0.1:7300/counters`

type standinMinionCommand struct {
	streams        *IO
	Listen         string        `long:"listen" value-name:"ADDRESS" default:"127.0.0.1:7300" description:"address to listen on, which is also announced; port 0 picks a free port, see the log line \"listening\""`
	ControlListen  string        `long:"control-listen" value-name:"ADDRESS" description:"second address to listen on, whose connections don't count against the limit"`
	Name           string        `long:"name" value-name:"NAME" default:"minion" description:"name of the minion"`
	Worker         string        `long:"worker" value-name:"NAME" description:"name of the worker; the name of the minion by default"`
	Zone           string        `long:"zone" value-name:"NAME" description:"availability zone of the worker"`
	Announce       string        `long:"announce" value-name:"URL" description:"base URL of the sidecar's announcement API; none by default"`
	Slots          int           `long:"slots" value-name:"N" default:"8" description:"limit of concurrent tasks"`
	Connections    int           `long:"connections" value-name:"N" default:"64" description:"limit of open connections"`
	Speed          float64       `long:"speed" value-name:"FACTOR" default:"1" description:"divides the run time of every task"`
	Run            time.Duration `long:"run" value-name:"TIME" default:"20ms" description:"run time of a task whose payload sets none"`
	Delay          time.Duration `long:"delay" value-name:"TIME" default:"0s" description:"one-way delay added before a request and before its answer"`
	FailEverything bool          `long:"fail-everything" description:"make every task fail immediately"`
	LedgerFile     string        `long:"ledger-file" value-name:"FILE" description:"file to which task starts and ends are appended"`
	Cores          int           `long:"cores" value-name:"N" description:"number of cores to announce; that of this machine by default"`
	MemoryBytes    int64         `long:"memory-bytes" value-name:"N" default:"137438953472" description:"memory in bytes to announce"`
}

// Execute implements flags.Commander.
func (c *standinMinionCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	logger := newLogger(c.streams)
	server, err := minion.New(c.options(logger))
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	listener, control, err := c.listen(logger)
	if err != nil {
		_ = server.Close()
		return err
	}
	return server.Serve(ctx, listener, control)
}

func (c *standinMinionCommand) options(logger *log.Logger) minion.Options {
	worker := c.Worker
	if worker == "" {
		worker = c.Name
	}
	return minion.Options{
		Name:        c.Name,
		Worker:      worker,
		Zone:        c.Zone,
		Slots:       c.Slots,
		Connections: c.Connections,
		Run:         c.Run,
		AnnounceURL: c.Announce,
		LedgerFile:  c.LedgerFile,
		Cores:       c.Cores,
		MemoryBytes: c.MemoryBytes,
		Logger:      logger,
		Control: minion.Control{
			Speed:          c.Speed,
			FailEverything: c.FailEverything,
			DelayMillis:    float64(c.Delay) / float64(time.Millisecond),
		},
	}
}

// listen opens the listeners. The control listener is nil if no address is set for
// it.
func (c *standinMinionCommand) listen(logger *log.Logger) (listener, control net.Listener, err error) {
	if c.ControlListen != "" {
		control, err = listen(logger, "standin-minion-control", c.ControlListen)
		if err != nil {
			return nil, nil, err
		}
	}
	listener, err = listen(logger, "standin-minion", c.Listen)
	if err != nil && control != nil {
		_ = control.Close()
	}
	return listener, control, err
}
