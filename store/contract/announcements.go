package contract

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/figring/figring/store"
	"github.com/shoenig/test/must"
)

// Announcements tests what store.Announcements promises. Every call of open
// returns a fresh implementation and the function that announces to it, which
// returns an error when the announcement is refused. The test runs in a bubble
// of package synctest.
func Announcements(t *testing.T, open func(t *testing.T) (store.Announcements, func(store.Announcement) error)) {
	cases := []struct {
		name string
		run  func(t *testing.T, from store.Announcements, announce func(store.Announcement) error)
	}{
		{"delivered in order", deliveredInOrder},
		{"next blocks until there is one", nextBlocks},
		{"next ends with its context", nextEnds},
		{"invalid ones are refused", invalidRefused},
		{"the last one is kept when nobody takes them", lastIsKept},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				from, announce := open(t)
				one.run(t, from, announce)
			})
		})
	}
}

func announcement(state store.AnnouncementState) store.Announcement {
	return store.Announcement{
		Minion: "m1", State: state, Address: "127.0.0.1:9000",
		Slots: 8, Connections: 16, Cores: 2, MemoryBytes: 1 << 30,
	}
}

func deliveredInOrder(t *testing.T, from store.Announcements, announce func(store.Announcement) error) {
	want := []store.Announcement{announcement(store.MinionReady), announcement(store.MinionLeaving)}
	for _, one := range want {
		must.NoError(t, announce(one))
	}
	for _, one := range want {
		got, err := from.Next(t.Context())
		must.NoError(t, err)
		must.Eq(t, one, got)
	}
}

func nextBlocks(t *testing.T, from store.Announcements, announce func(store.Announcement) error) {
	got := make(chan store.Announcement, 1)
	go func() {
		one, err := from.Next(t.Context())
		if err == nil {
			got <- one
		}
	}()
	synctest.Wait()
	must.Eq(t, 0, len(got))
	must.NoError(t, announce(announcement(store.MinionReady)))
	synctest.Wait()
	must.Eq(t, 1, len(got))
	must.Eq(t, announcement(store.MinionReady), <-got)
}

func nextEnds(t *testing.T, from store.Announcements, _ func(store.Announcement) error) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := from.Next(ctx)
	must.ErrorIs(t, err, context.Canceled)
}

func invalidRefused(t *testing.T, from store.Announcements, announce func(store.Announcement) error) {
	cases := []struct {
		name   string
		change func(*store.Announcement)
	}{
		{"no name", func(a *store.Announcement) { a.Minion = "" }},
		{"unknown state", func(a *store.Announcement) { a.State = "asleep" }},
		{"address without a port", func(a *store.Announcement) { a.Address = "127.0.0.1" }},
		{"no slots", func(a *store.Announcement) { a.Slots = 0 }},
		{"too many slots", func(a *store.Announcement) { a.Slots = 4097 }},
		{"no connections", func(a *store.Announcement) { a.Connections = 0 }},
	}
	for _, one := range cases {
		wrong := announcement(store.MinionReady)
		one.change(&wrong)
		must.Error(t, announce(wrong), must.Sprint(one.name))
	}
	right := announcement(store.MinionLeaving)
	must.NoError(t, announce(right))
	got, err := from.Next(t.Context())
	must.NoError(t, err)
	must.Eq(t, right, got)
}

func lastIsKept(t *testing.T, from store.Announcements, announce func(store.Announcement) error) {
	const many = 1000
	for i := range many {
		one := announcement(store.MinionReady)
		one.Cores = i
		must.NoError(t, announce(one))
	}
	must.NoError(t, announce(announcement(store.MinionLeaving)))
	for range many + 1 {
		got, err := from.Next(t.Context())
		must.NoError(t, err)
		if got.State == store.MinionLeaving {
			return
		}
	}
	t.Fatal("the last announcement was not delivered")
}
