package claims

import (
	"context"
	"fmt"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// pageRows is the maximum number of rows in one read.
const pageRows = 500

// Load returns the claims that the given entries wrote at or after since, in
// the partitions for which wanted returns true.
func Load(ctx context.Context, table store.Table, incarnations []model.Incarnation, since time.Time, wanted func(int) bool) ([]Stored, error) {
	var found []Stored
	for _, incarnation := range incarnations {
		claims, err := loadEntry(ctx, table, incarnation, since, wanted)
		if err != nil {
			return nil, err
		}
		found = append(found, claims...)
	}
	return found, nil
}

// loadEntry returns the wanted claims of one entry.
func loadEntry(ctx context.Context, table store.Table, incarnation model.Incarnation, since time.Time, wanted func(int) bool) ([]Stored, error) {
	var found []Stored
	from := firstRowKey(incarnation, since)
	for from != "" {
		page, err := table.List(ctx, entryPrefix(incarnation), from, pageRows)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRead, err)
		}
		for _, row := range page.Rows {
			_, claims, err := decode(row.Value)
			if err != nil {
				return nil, fmt.Errorf("row %s: %w", row.Key, err)
			}
			found = appendWanted(found, claims, incarnation, wanted)
		}
		from = page.Next
	}
	return found, nil
}

func appendWanted(found []Stored, claims []Claim, claimer model.Incarnation, wanted func(int) bool) []Stored {
	for _, claim := range claims {
		if wanted(claim.Key.Partition()) {
			found = append(found, Stored{Claim: claim, Claimer: claimer})
		}
	}
	return found
}
