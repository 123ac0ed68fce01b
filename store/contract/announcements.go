package contract

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/figring/figring/store"
	"github.com/shoenig/test/must"
)

// Announcements tests the contract of store.Announcements. Every call of open must
// return a new implementation and a function that sends an announcement to it and
// returns an error when the implementation rejects the announcement. Each case runs
// in a bubble of package testing/synctest.
func Announcements(t *testing.T, open func(t *testing.T) (store.Announcements, func(store.Announcement) error)) {
	cases := []struct {
		name string
		run  func(t *testing.T, announcements store.Announcements, announce func(store.Announcement) error)
	}{
		{"delivered in order", deliveredInOrder},
		{"next blocks until there is an announcement", nextBlocksUntilAnnouncement},
		{"next returns when its context is cancelled", nextReturnsOnCancel},
		{"invalid announcements are rejected", invalidAnnouncementsRejected},
		{"the latest is kept when none are received", latestAnnouncementKept},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				announcements, announce := open(t)
				tc.run(t, announcements, announce)
			})
		})
	}
}

func newAnnouncement(state store.AnnouncementState) store.Announcement {
	return store.Announcement{
		Minion: "m1", State: state, Address: "127.0.0.1:9000",
		Slots: 8, Connections: 16, Cores: 2, MemoryBytes: 1 << 30,
	}
}

func deliveredInOrder(t *testing.T, announcements store.Announcements, announce func(store.Announcement) error) {
	want := []store.Announcement{newAnnouncement(store.MinionReady), newAnnouncement(store.MinionLeaving)}
	for _, sent := range want {
		must.NoError(t, announce(sent))
	}
	for _, sent := range want {
		got, err := announcements.Next(t.Context())
		must.NoError(t, err)
		must.Eq(t, sent, got)
	}
}

func nextBlocksUntilAnnouncement(t *testing.T, announcements store.Announcements, announce func(store.Announcement) error) {
	got := make(chan store.Announcement, 1)
	go func() {
		delivered, err := announcements.Next(t.Context())
		if err == nil {
			got <- delivered
		}
	}()
	synctest.Wait()
	must.Eq(t, 0, len(got))
	must.NoError(t, announce(newAnnouncement(store.MinionReady)))
	synctest.Wait()
	must.Eq(t, 1, len(got))
	must.Eq(t, newAnnouncement(store.MinionReady), <-got)
}

func nextReturnsOnCancel(t *testing.T, announcements store.Announcements, _ func(store.Announcement) error) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := announcements.Next(ctx)
	must.ErrorIs(t, err, context.Canceled)
}

func invalidAnnouncementsRejected(t *testing.T, announcements store.Announcements, announce func(store.Announcement) error) {
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
	for _, tc := range cases {
		invalid := newAnnouncement(store.MinionReady)
		tc.change(&invalid)
		must.Error(t, announce(invalid), must.Sprint(tc.name))
	}
	valid := newAnnouncement(store.MinionLeaving)
	must.NoError(t, announce(valid))
	got, err := announcements.Next(t.Context())
	must.NoError(t, err)
	must.Eq(t, valid, got)
}

func latestAnnouncementKept(t *testing.T, announcements store.Announcements, announce func(store.Announcement) error) {
	const count = 1000
	for i := range count {
		ready := newAnnouncement(store.MinionReady)
		ready.Cores = i
		must.NoError(t, announce(ready))
	}
	must.NoError(t, announce(newAnnouncement(store.MinionLeaving)))
	for range count + 1 {
		got, err := announcements.Next(t.Context())
		must.NoError(t, err)
		if got.State == store.MinionLeaving {
			return
		}
	}
	t.Fatal("the latest announcement was not delivered")
}
