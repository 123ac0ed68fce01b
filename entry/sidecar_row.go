package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

const (
	// sidecarPrefix is the prefix of the rows that sidecars write at their start.
	sidecarPrefix = "sidecars/"
	// sidecarPage is the number of rows in one page of a listing.
	sidecarPage = 1000
)

// sidecarRow is the value of a sidecar's row.
type sidecarRow struct {
	Target wire.Target
	// Started is the Unix time of the incarnation's start in milliseconds.
	Started int64
	// First is true when no incarnation of that name came before.
	First bool
	// Left is set by a sidecar that stopped in order.
	Left bool
	// LeftAt is the Unix time of that stop in milliseconds.
	LeftAt int64
	// version is that of the stored row.
	version int64
}

// listSidecars reads the rows of every sidecar that started within the last
// retention time or has not been removed since.
func listSidecars(ctx context.Context, table store.Table) ([]sidecarRow, error) {
	var rows []sidecarRow
	from := ""
	for {
		page, err := table.List(ctx, sidecarPrefix, from, sidecarPage)
		if err != nil {
			return nil, errStore.Wrap(err)
		}
		for _, stored := range page.Rows {
			var row sidecarRow
			if err := json.Unmarshal(stored.Value, &row); err != nil {
				return nil, errStore.New("row %q: %v", stored.Key, err)
			}
			if row.Target.Sidecar == "" {
				row.Target.Sidecar = strings.TrimPrefix(stored.Key, sidecarPrefix)
			}
			row.version = stored.Version
			rows = append(rows, row)
		}
		if page.Next == "" {
			return rows, nil
		}
		from = page.Next
	}
}

// leftAt returns the time of the ordered stop, and zero when there was none.
func (r *sidecarRow) leftAt() time.Time {
	if !r.Left || r.LeftAt <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.LeftAt)
}
