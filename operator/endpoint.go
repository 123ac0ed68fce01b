package operator

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"
)

// response is the result of an endpoint that succeeds.
type response struct {
	status int
	// location is the path of the created resource, or empty.
	location string
	body     any
}

func ok(body any) response {
	return response{status: http.StatusOK, body: body}
}

// endpoint handles a request of one route. Its response counts only when the
// error is nil.
type endpoint func(ctx iris.Context) (response, error)

// handle returns a handler that writes the response of an endpoint, or its error
// as a problem.
func (a *api) handle(serve endpoint) iris.Handler {
	return func(ctx iris.Context) {
		result, err := serve(ctx)
		if err != nil {
			problemDetails(err).Write(ctx.ResponseWriter())
			return
		}
		result.write(ctx.ResponseWriter())
	}
}

func (r response) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	if r.location != "" {
		header.Set("Location", r.location)
	}
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(r.body)
}
