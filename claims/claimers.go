package claims

import (
	"context"
	"fmt"
	"strings"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// afterSlash is the character after '/' in UTF-8. A prefix that ends in it
// instead of the slash sorts after every key under the slash.
const afterSlash = "0"

// Claimers returns the incarnations that have stored claims, so that the caller
// can sweep the rows of the ones that have ended. It reads one row per
// incarnation.
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
