package callerapi

import (
	"errors"

	"github.com/figring/figring/common/strictjson"
)

func isTooLarge(err error) bool {
	return errors.Is(err, strictjson.ErrTooLarge)
}
