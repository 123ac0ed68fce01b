package operator

import (
	"encoding/json"
	"net/http"
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
type endpoint func(r *http.Request) (response, error)

// handle returns a handler that writes the response of an endpoint, or its error
// as a problem.
func handle(serve endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		result, err := serve(r)
		if err != nil {
			problemDetails(err).Write(w)
			return
		}
		result.write(w)
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
