package jsonrequest_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/jsonrequest"
)

// TestNew covers requests with and without a body, and a body that has no JSON form.
func TestNew(t *testing.T) {
	request, err := jsonrequest.New(t.Context(), http.MethodPost, "http://127.0.0.1/x", "key", map[string]int{"a": 1})
	must.NoError(t, err)
	must.EqOp(t, "Bearer key", request.Header.Get("Authorization"))
	must.EqOp(t, "application/json", request.Header.Get("Content-Type"))
	content, err := io.ReadAll(request.Body)
	must.NoError(t, err)
	must.EqOp(t, `{"a":1}`, string(content))

	request, err = jsonrequest.New(t.Context(), http.MethodGet, "http://127.0.0.1/x", "key", nil)
	must.NoError(t, err)
	must.Nil(t, request.Body)
	must.EqOp(t, "", request.Header.Get("Content-Type"))

	_, err = jsonrequest.New(t.Context(), http.MethodPost, "http://127.0.0.1/x", "key", func() {})
	must.Error(t, err)
}
