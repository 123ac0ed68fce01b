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
	// workersPerRack is the number of consecutive workers that share a rack.
	workersPerRack = 3
	// minionConnections is the number of connections that a minion accepts.
	minionConnections = 64
)

// startWorker starts a sidecar and the minion that announces itself to it. Both
// carry the same worker name.
func (s *System) startWorker(index int) error {
	workerSidecar, err := s.startSidecar(index)
	if err != nil {
		return err
	}
	workerMinion, err := minion.New(minion.Options{
		Name:        fmt.Sprintf("minion-%d", index+1),
		Worker:      workerName(index),
		Zone:        s.zoneFor(index),
		Slots:       s.options.Slots,
		Connections: minionConnections,
		AnnounceURL: "http://" + workerSidecar.AnnounceAddress(),
		Logger:      s.options.Log,
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return err
	}
	s.minions = append(s.minions, workerMinion)
	s.minionRoles.run(func(ctx context.Context) error { return workerMinion.Serve(ctx, listener, nil) })
	return nil
}

func (s *System) startSidecar(index int) (*sidecar.Sidecar, error) {
	receiver := announce.NewReceiver()
	newSidecar, err := sidecar.New(sidecar.Settings{
		Name:           fmt.Sprintf("sidecar-%d", index+1),
		Zone:           s.zoneFor(index),
		Rack:           fmt.Sprintf("rack-%d", index/workersPerRack+1),
		Worker:         workerName(index),
		RPCListen:      loopbackAnyPort,
		AnnounceListen: loopbackAnyPort,
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
	s.sidecarRoles.run(newSidecar.Run)
	return newSidecar, nil
}

func workerName(index int) string { return fmt.Sprintf("worker-%d", index+1) }
