package contract

import (
	"context"
	"testing"

	"github.com/figring/figring/store"
	"github.com/shoenig/test/must"
)

// Objects tests the contract of store.Objects. Every call of open must return an
// empty store.
func Objects(t *testing.T, open func(t *testing.T) store.Objects) {
	cases := []struct {
		name string
		run  func(t *testing.T, objects store.Objects)
	}{
		{"absent object", absentObject},
		{"put, replace and delete", putReplaceDelete},
		{"empty body", emptyObjectBody},
		{"bodies are copied", objectBodiesAreCopied},
		{"listing of names", listObjectNames},
		{"invalid requests", invalidObjectRequests},
		{"requests with a cancelled context have no effect", cancelledObjectContext},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { tc.run(t, open(t)) })
	}
}

func mustPut(t *testing.T, objects store.Objects, name, body string) {
	t.Helper()
	must.NoError(t, objects.Put(t.Context(), name, []byte(body)))
}

func mustBody(t *testing.T, objects store.Objects, name, body string) {
	t.Helper()
	got, err := objects.Get(t.Context(), name)
	must.NoError(t, err)
	must.Eq(t, body, string(got))
}

func mustNoObject(t *testing.T, objects store.Objects, name string) {
	t.Helper()
	_, err := objects.Get(t.Context(), name)
	must.ErrorIs(t, err, store.ErrNotFound)
}

func absentObject(t *testing.T, objects store.Objects) {
	mustNoObject(t, objects, "a")
	must.NoError(t, objects.Delete(t.Context(), "a"))
}

func putReplaceDelete(t *testing.T, objects store.Objects) {
	mustPut(t, objects, "a", "\x00\xff 1")
	mustBody(t, objects, "a", "\x00\xff 1")
	mustPut(t, objects, "a", "2")
	mustBody(t, objects, "a", "2")
	must.NoError(t, objects.Delete(t.Context(), "a"))
	mustNoObject(t, objects, "a")
}

func objectBodiesAreCopied(t *testing.T, objects store.Objects) {
	body := []byte("1")
	must.NoError(t, objects.Put(t.Context(), "a", body))
	body[0] = '2'
	got, err := objects.Get(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, "1", string(got))
	got[0] = '3'
	mustBody(t, objects, "a", "1")
}

func emptyObjectBody(t *testing.T, objects store.Objects) {
	must.NoError(t, objects.Put(t.Context(), "a", nil))
	mustBody(t, objects, "a", "")
}

func listObjectNames(t *testing.T, objects store.Objects) {
	for _, name := range []string{"p/b", "q", "p/a", "p/c", "o"} {
		mustPut(t, objects, name, "x")
	}
	cases := []struct {
		prefix, after string
		limit         int
		want          []string
	}{
		{"p/", "", 10, []string{"p/a", "p/b", "p/c"}},
		{"p/", "", 2, []string{"p/a", "p/b"}},
		{"p/", "p/b", 2, []string{"p/c"}},
		{"p/", "p/c", 2, nil},
		{"p/", "o", 1, []string{"p/a"}},
		{"", "", 10, []string{"o", "p/a", "p/b", "p/c", "q"}},
		{"z", "", 10, nil},
	}
	for _, tc := range cases {
		names, err := objects.List(t.Context(), tc.prefix, tc.after, tc.limit)
		must.NoError(t, err)
		must.Eq(t, tc.want, names, must.Sprintf("%+v", tc))
	}
}

func invalidObjectRequests(t *testing.T, objects store.Objects) {
	must.ErrorIs(t, objects.Put(t.Context(), "", nil), store.ErrInvalid)
	must.ErrorIs(t, objects.Put(t.Context(), "\xff", nil), store.ErrInvalid)
	// JSON encoding would replace the invalid byte with U+FFFD, so that the two
	// names would refer to the same object.
	mustPut(t, objects, "\uFFFD", "x")
	mustNoObject(t, objects, "\xff")
	must.NoError(t, objects.Delete(t.Context(), "\xff"))
	mustBody(t, objects, "\uFFFD", "x")
	_, err := objects.List(t.Context(), "", "", 0)
	must.ErrorIs(t, err, store.ErrInvalid)
	_, err = objects.List(t.Context(), "\xff", "", 1)
	must.ErrorIs(t, err, store.ErrInvalid)
	_, err = objects.List(t.Context(), "", "\xff", 1)
	must.ErrorIs(t, err, store.ErrInvalid)
}

func cancelledObjectContext(t *testing.T, objects store.Objects) {
	mustPut(t, objects, "kept", "x")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.ErrorIs(t, objects.Put(ctx, "a", nil), context.Canceled)
	must.ErrorIs(t, objects.Delete(ctx, "kept"), context.Canceled)
	_, err := objects.Get(ctx, "kept")
	must.ErrorIs(t, err, context.Canceled)
	_, err = objects.List(ctx, "", "", 1)
	must.ErrorIs(t, err, context.Canceled)
	mustNoObject(t, objects, "a")
	mustBody(t, objects, "kept", "x")
}
