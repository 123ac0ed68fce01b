package callerapi

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// FuzzWait checks that an accepted wait is within its bounds, and that a refused
// one has the code CodeInvalid and the outcome NotRun.
func FuzzWait(f *testing.F) {
	for _, seed := range []string{"", "0", "1500", "300000", "300001", "-1", "1.5", "1e3", "99999999999999999999", "ten"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, param string) {
		wait, refusal := parseWait(param)
		if refusal != nil {
			must.EqOp(t, model.CodeInvalid, refusal.Code)
			must.EqOp(t, model.NotRun, refusal.Outcome)
			must.EqOp(t, 0, wait)
			return
		}
		must.True(t, wait >= 0 && wait <= maxWait)
	})
}
