package claims

import (
	"context"
	"fmt"
	"strings"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// afterSlash is the character that follows '/': a key with it in place of the
// slash is greater than every key below the slash.
const afterSlash = "0"

// Claimers returns the entries that have rows of claims, with one read for
// each entry, so that the rows of those that are gone can be swept.
func Claimers(ctx context.Context, table store.Table) ([]model.Incarnation, error) {
	var found []model.Incarnation
	from := Prefix
	for {
		page, err := table.List(ctx, Prefix, from, 1)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRead, err)
		}
		if len(page.Rows) == 0 {
			return found, nil
		}
		incarnation, _, _ := strings.Cut(strings.TrimPrefix(page.Rows[0].Key, Prefix), "/")
		found = append(found, model.Incarnation(incarnation))
		from = Prefix + incarnation + afterSlash
	}
}
