package session

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// NewBoot returns the identity of a new incarnation of a process. Identities of
// later incarnations sort after those of earlier ones, provided that the wall
// clock has not gone backwards between them.
func NewBoot() string {
	return fmt.Sprintf("%013d-%08x", time.Now().UnixMilli(), rand.Uint32())
}
