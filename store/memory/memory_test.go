package memory_test

import (
	"testing"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/contract"
	"github.com/figring/figring/store/memory"
)

func TestTable_Contract(t *testing.T) {
	contract.Table(t, func(*testing.T) store.Table { return memory.NewTable() })
}

func TestObjects_Contract(t *testing.T) {
	contract.Objects(t, func(*testing.T) store.Objects { return memory.NewObjects() })
}
