package session

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// NewBoot returns the identity of a new life of a process. Identities of
// later lives sort after those of earlier ones, as far as the time of day is
// right.
func NewBoot() string {
	return fmt.Sprintf("%013d-%08x", time.Now().UnixMilli(), rand.Uint32())
}
