package entry

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// sidecarPageSize is the number of sidecar rows read with one List call.
const sidecarPageSize = 1000

// sidecarRow is a sidecar's row in the table.
type sidecarRow struct {
	wire.SidecarRow
	// version is the version of the row in the table.
	version int64
}

// listSidecars reads the rows of all sidecars. That includes every sidecar that
// started within the last model.Retention, because the sweeper deletes the row
// of a sidecar only when it stopped in order longer ago than that.
func listSidecars(ctx context.Context, table store.Table) ([]sidecarRow, error) {
	var rows []sidecarRow
	from := ""
	for {
		page, err := table.List(ctx, wire.SidecarRowPrefix, from, sidecarPageSize)
		if err != nil {
			return nil, errStore.Wrap(err)
		}
		for _, stored := range page.Rows {
			var row sidecarRow
			if err := json.Unmarshal(stored.Value, &row.SidecarRow); err != nil {
				return nil, errStore.New("row %q: %v", stored.Key, err)
			}
			if row.Target.Sidecar == "" {
				row.Target.Sidecar = strings.TrimPrefix(stored.Key, wire.SidecarRowPrefix)
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
