package contract

import (
	"errors"

	"github.com/figring/figring/store"
)

func isConflict(err error) bool {
	return errors.Is(err, store.ErrConflict)
}
