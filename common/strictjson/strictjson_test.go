package strictjson

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestDecode(t *testing.T) {
	cases := []struct {
		name, input string
		want        error
	}{
		{"whole", `{"a":1}`, nil},
		{"trailing white space", "{\"a\":1}\n ", nil},
		{"empty", ``, ErrMalformed},
		{"truncated", `{"a":1`, ErrMalformed},
		{"unknown field", `{"b":1}`, ErrMalformed},
		{"wrong type", `{"a":"x"}`, ErrMalformed},
		{"number out of range", `{"a":1e999}`, ErrMalformed},
		{"second value", `{"a":1}{"a":2}`, ErrMalformed},
		{"too large", `{"a":1}` + strings.Repeat(" ", 40), ErrTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var value struct{ A int }
			err := Decode(strings.NewReader(c.input), 32, &value)
			if c.want == nil {
				must.NoError(t, err)
				must.Eq(t, 1, value.A)
				return
			}
			must.ErrorIs(t, err, c.want)
		})
	}
}
