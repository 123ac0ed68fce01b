package command

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/go-playground/validator/v10"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/platform"
	"github.com/figring/figring/platform/announce"
	"github.com/figring/figring/platform/remote"
	"github.com/figring/figring/sidecar"
)

type sidecarCommand struct {
	Name           string `long:"name" description:"name of the sidecar, kept over restarts" required:"true"`
	Zone           string `long:"zone" description:"availability zone" required:"true"`
	Rack           string `long:"rack" description:"rack of the worker"`
	Worker         string `long:"worker" description:"name of the worker" required:"true"`
	RPCListen      string `long:"rpc-listen" description:"ip:port for calls of entries" required:"true"`
	RPCAdvertise   string `long:"rpc-advertise" description:"ip:port that entries dial, if it is another one"`
	AnnounceListen string `long:"announce-listen" description:"ip:port where the minion announces itself" required:"true"`
	StatusListen   string `long:"status-listen" description:"ip:port of /livez, /readyz and /metrics"`
	PlatformURL    string `long:"platform" description:"URL of the platform" required:"true"`
	Secret         string `long:"secret" env:"FIGRING_SECRET" description:"secret shared by figring's processes" required:"true"`
	QueueCapacity  int    `long:"queue" description:"tasks that may wait; 0 means the number of slots"`
	RecordLimit    int    `long:"records" description:"records of started tasks; 0 means 100000"`
	ResultBytes    int    `long:"result-bytes" description:"bytes of kept results; 0 means 8 MiB"`

	streams *IO
}

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute([]string) error {
	settings := c.settings()
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(settings); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store := remote.New(settings.PlatformURL, 0)
	defer store.Close()
	return serveSidecar(ctx, settings, store.Table())
}

func serveSidecar(ctx context.Context, settings sidecar.Settings, table platform.Table) error {
	receiver := announce.NewReceiver()
	mux := http.NewServeMux()
	mux.Handle(announce.Path, receiver)
	root := metrics.NewRoot()
	defer func() { _ = root.Close() }()
	role, err := sidecar.New(settings, sidecar.Parts{
		Table:         table,
		Announcements: receiver,
		Announce:      mux,
		Metrics:       root.Handler,
		Scope:         root.Scope,
	})
	if err != nil {
		return err
	}
	return role.Run(ctx)
}

func (c *sidecarCommand) settings() sidecar.Settings {
	return sidecar.Settings{
		Name:           c.Name,
		Zone:           c.Zone,
		Rack:           c.Rack,
		Worker:         c.Worker,
		RPCListen:      c.RPCListen,
		RPCAdvertise:   c.RPCAdvertise,
		AnnounceListen: c.AnnounceListen,
		StatusListen:   c.StatusListen,
		PlatformURL:    c.PlatformURL,
		Secret:         c.Secret,
		QueueCapacity:  c.QueueCapacity,
		RecordLimit:    c.RecordLimit,
		ResultBytes:    c.ResultBytes,
	}
}
