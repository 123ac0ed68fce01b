package demo

import (
	"context"
	"fmt"
	"net"

	"github.com/figring/figring/minion"
	"github.com/figring/figring/sidecar"
	"github.com/figring/figring/store/announce"
)

const (
	// workersPerRack is the number of workers in one rack.
	workersPerRack = 3
	// minionConnections is the number of connections that a minion takes.
	minionConnections = 64
)

// startWorker starts a minion and the sidecar beside it.
func (s *System) startWorker(index int) error {
	role, err := s.startSidecar(index)
	if err != nil {
		return err
	}
	served, err := minion.New(minion.Options{
		Name:        fmt.Sprintf("minion-%d", index+1),
		Worker:      workerName(index),
		Zone:        s.zone(index),
		Slots:       s.options.Slots,
		Connections: minionConnections,
		AnnounceURL: "http://" + role.AnnounceAddress(),
		Logger:      s.options.Log,
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	s.minions = append(s.minions, served)
	s.minionRoles.run(func(ctx context.Context) error { return served.Serve(ctx, listener, nil) })
	return nil
}

func (s *System) startSidecar(index int) (*sidecar.Sidecar, error) {
	receiver := announce.NewReceiver()
	role, err := sidecar.New(sidecar.Settings{
		Name:           fmt.Sprintf("sidecar-%d", index+1),
		Zone:           s.zone(index),
		Rack:           fmt.Sprintf("rack-%d", index/workersPerRack+1),
		Worker:         workerName(index),
		RPCListen:      loopback,
		AnnounceListen: loopback,
		Secret:         s.secret,
	}, sidecar.Dependencies{
		Table:         s.table,
		Announcements: receiver,
		Announce:      receiver,
		Logger:        s.options.Log,
	})
	if err != nil {
		return nil, err
	}
	s.sidecarRoles.run(role.Run)
	return role, nil
}

func workerName(index int) string { return fmt.Sprintf("worker-%d", index+1) }
