package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// view is the result of the last complete read of the table. It is replaced as a whole
// and never modified.
type view struct {
	loaded     bool
	assignment ownership.Assignment
	// version is the version of the assignment row, or 0 if there is none.
	version int64
	live    map[model.Incarnation]SessionRow
	entries []wire.EntryInfo
	// entriesVersion is a hash of entries: equal lists have equal versions
	// on all entries.
	entriesVersion int64
}

func newView(assignment ownership.Assignment, version int64, live map[model.Incarnation]SessionRow) view {
	v := view{loaded: true, assignment: assignment, version: version, live: live}
	for _, row := range live {
		v.entries = append(v.entries, row.Entry)
	}
	slices.SortFunc(v.entries, func(a, b wire.EntryInfo) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	v.entriesVersion = entriesHash(v.entries)
	return v
}

func entriesHash(entries []wire.EntryInfo) int64 {
	digest := xxhash.New()
	for _, entry := range entries {
		for _, field := range []string{string(entry.Incarnation), entry.Zone, entry.Address} {
			_, _ = digest.WriteString(field)
			_, _ = digest.Write([]byte{0})
		}
	}
	return int64(digest.Sum64() >> 1)
}

// hasOtherCandidate reports whether another live entry is not leaving and so may take
// partitions.
func (v *view) hasOtherCandidate(self model.Incarnation) bool {
	for incarnation, row := range v.live {
		if incarnation != self && !row.Leaving {
			return true
		}
	}
	return false
}
