package claims

import (
	"context"
	"fmt"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// pageRows bounds the rows of one listing.
const pageRows = 500

// Load returns the claims that the given entries wrote at or after since, in
// the partitions for which partitions returns true.
func Load(ctx context.Context, table store.Table, incarnations []model.Incarnation, since time.Time, partitions func(int) bool) ([]Stored, error) {
	var found []Stored
	for _, incarnation := range incarnations {
		claims, err := loadOne(ctx, table, incarnation, since, partitions)
		if err != nil {
			return nil, err
		}
		found = append(found, claims...)
	}
	return found, nil
}

func loadOne(ctx context.Context, table store.Table, incarnation model.Incarnation, since time.Time, partitions func(int) bool) ([]Stored, error) {
	var found []Stored
	from := rowsFrom(incarnation, since)
	for from != "" {
		page, err := table.List(ctx, prefixOf(incarnation), from, pageRows)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRead, err)
		}
		for _, row := range page.Rows {
			_, claims, err := decode(row.Value)
			if err != nil {
				return nil, fmt.Errorf("row %s: %w", row.Key, err)
			}
			found = appendChosen(found, claims, incarnation, partitions)
		}
		from = page.Next
	}
	return found, nil
}

func appendChosen(found []Stored, claims []Claim, claimer model.Incarnation, partitions func(int) bool) []Stored {
	for _, claim := range claims {
		if partitions(claim.Key.Partition()) {
			found = append(found, Stored{Claim: claim, Claimer: claimer})
		}
	}
	return found
}
