package manifest

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// configured returns a snapshot with a manifest.
func configured(table, manifest int64, zones ...string) Snapshot {
	return Snapshot{Version: table, Manifest: &Manifest{Version: manifest}, EvacuatedZones: zones}
}

// TestOffer checks which parts of an offered snapshot are adopted.
func TestOffer(t *testing.T) {
	cases := []struct {
		name            string
		known, offered  Snapshot
		changed         bool
		manifest, table int64
		zones           []string
	}{
		{"first", Snapshot{}, configured(3, 7, "a"), true, 7, 3, []string{"a"}},
		{"newer manifest", configured(3, 7), configured(4, 9), true, 9, 4, nil},
		{"older manifest", configured(3, 7), configured(4, 6), false, 7, 4, nil},
		{"same contents at a newer version of the table", configured(3, 7, "a"), configured(8, 7, "a"), true, 7, 8, []string{"a"}},
		{"newer zones without a manifest", configured(3, 7, "a"), Snapshot{Version: 4}, true, 7, 4, nil},
		{"older zones", configured(3, 7), Snapshot{Version: 2, EvacuatedZones: []string{"a"}}, false, 7, 3, nil},
		{"only a newer version of the table", configured(3, 7, "a"), Snapshot{Version: 5, EvacuatedZones: []string{"a"}}, false, 7, 5, []string{"a"}},
		{"newer manifest with older zones", configured(3, 7, "a"), configured(2, 8, "b"), true, 8, 3, []string{"a"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			holder := &Holder{}
			holder.Offer(SourceTable, tc.known)
			must.EqOp(t, tc.changed, holder.Offer("peer", tc.offered))
			newest := holder.Newest()
			must.EqOp(t, tc.table, newest.Version)
			must.EqOp(t, tc.manifest, newest.ManifestVersion())
			must.SliceEqFunc(t, tc.zones, newest.EvacuatedZones, func(a, b string) bool { return a == b })
		})
	}
}

// TestRewrittenManifestIsAdopted checks that a manifest that was written again under its
// version replaces the one read before, although a peer's zones are newer than both.
func TestRewrittenManifestIsAdopted(t *testing.T) {
	holder := &Holder{}
	holder.Offer(SourceTable, configured(3, 7))
	holder.OfferZones("peer", Zones{Version: 9})
	rewritten := configured(5, 7)
	must.True(t, holder.Offer(SourceTable, rewritten))
	must.True(t, holder.Newest().Manifest == rewritten.Manifest)
	must.False(t, holder.Offer("peer", Snapshot{Manifest: &Manifest{Version: 7}}))
}

// TestWatchDeliversFetchedManifest checks that a watcher that starts after a peer sent a
// manifest, but before any read of the table, receives it.
func TestWatchDeliversFetchedManifest(t *testing.T) {
	holder := &Holder{}
	holder.Offer("peer", Snapshot{Manifest: &Manifest{Version: 7}})
	select {
	case got := <-holder.Watch():
		must.EqOp(t, 7, got.ManifestVersion())
	default:
		t.Fatal("nothing was delivered")
	}
}

// TestZonesFor checks that a peer is sent the zones only if its snapshot is older.
func TestZonesFor(t *testing.T) {
	holder := &Holder{}
	must.Nil(t, holder.ZonesFor(0))
	holder.Offer(SourceTable, configured(5, 7, "a"))
	must.Nil(t, holder.ZonesFor(5))
	must.Nil(t, holder.ZonesFor(9))
	must.Eq(t, &Zones{Version: 5, Evacuated: []string{"a"}}, holder.ZonesFor(4))
}

// TestExchangesConverge checks, over drawn reads and exchanges, that no process ever goes
// back to an older part, and that exchanges in both directions leave both the same.
func TestExchangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := []*Holder{{}, {}, {}}
		table, manifest := int64(0), int64(0)
		var zones []string
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			table++
			switch rapid.IntRange(0, 3).Draw(t, "write") {
			case 0:
				manifest++
			case 1:
				zones = slices.Clone(rapid.SampledFrom([][]string{nil, {"a"}, {"a", "b"}}).Draw(t, "zones"))
			}
			reader := rapid.SampledFrom(holders).Draw(t, "reader")
			reader.Offer(SourceTable, configured(table, manifest, zones...))
			sender, receiver := rapid.SampledFrom(holders).Draw(t, "sender"), rapid.SampledFrom(holders).Draw(t, "receiver")
			before := receiver.Newest()
			exchange(sender, receiver)
			after := receiver.Newest()
			if after.ManifestVersion() < before.ManifestVersion() || after.Version < before.Version {
				t.Fatalf("went back from %v to %v", before, after)
			}
		}
		for _, a := range holders {
			for _, b := range holders {
				exchange(a, b)
			}
		}
		for _, a := range holders {
			for _, b := range holders {
				exchange(a, b)
			}
		}
		want := holders[0].Newest()
		for _, holder := range holders[1:] {
			got := holder.Newest()
			must.EqOp(t, want.Version, got.Version)
			must.EqOp(t, want.ManifestVersion(), got.ManifestVersion())
			must.SliceEqFunc(t, want.EvacuatedZones, got.EvacuatedZones, func(a, b string) bool { return a == b })
		}
	})
}

// exchange offers the receiver the sender's snapshot.
func exchange(sender, receiver *Holder) { receiver.Offer("peer", sender.Newest()) }
