package identity

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/settings"
)

func TestHashIsSHA256InHex(t *testing.T) {
	must.EqOp(t, "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", Hash("test"))
}

func TestBearer(t *testing.T) {
	cases := []struct {
		header, token string
		ok            bool
	}{
		{"Bearer abc", "abc", true},
		{"bearer  abc ", "abc", true},
		{"Basic abc", "", false},
		{"Bearer", "", false},
		{"Bearer ", "", false},
		{"", "", false},
		{"Bearer " + strings.Repeat("a", maxTokenBytes+1), "", false},
	}
	for _, tc := range cases {
		token, ok := Bearer(tc.header)
		must.EqOp(t, tc.ok, ok, must.Sprint(tc.header))
		if ok {
			must.EqOp(t, tc.token, token)
		}
	}
}

// TestCallersIgnoreOlderBundles checks that an update replaces the tokens, and that
// an older bundle that arrives late does not restore a removed one.
func TestCallersIgnoreOlderBundles(t *testing.T) {
	callers := NewCallers(model.Bundle{})
	_, ok := callers.Authenticate("")
	must.False(t, ok)
	first := model.Bundle{Version: 1, Callers: []model.Caller{
		{Name: "a", TokenHash: Hash("one"), Weight: 2}, {Name: "without a token"}, {Name: "bad", TokenHash: "zz"},
	}}
	callers.Update(first)
	caller, ok := callers.Authenticate("one")
	must.True(t, ok)
	must.EqOp(t, 2, caller.Weight)
	callers.Update(model.Bundle{Version: 2, Callers: []model.Caller{{Name: "a", TokenHash: Hash("two")}}})
	callers.Update(first)
	_, ok = callers.Authenticate("one")
	must.False(t, ok)
	_, ok = callers.Authenticate("two")
	must.True(t, ok)
	_, ok = callers.Authenticate("")
	must.False(t, ok)
}

func TestOperators(t *testing.T) {
	operators := NewOperators([]settings.Operator{{Name: "anna", TokenHash: strings.ToUpper(Hash("x"))}})
	name, ok := operators.Authenticate("x")
	must.True(t, ok)
	must.EqOp(t, "anna", name)
	_, ok = operators.Authenticate("y")
	must.False(t, ok)
}
