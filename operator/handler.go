package operator

import (
	"context"
	"net/http"

	"github.com/figring/figring/common/httproute"
	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/common/problem"
	"github.com/figring/figring/model"
)

// api holds the dependencies of the endpoints.
type api struct {
	options Options
}

// New returns the handler of the operator API. It starts no goroutine and no
// listener.
func New(options Options) (http.Handler, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	a := &api{options: options}
	return a.withAuthAndLimits(httproute.Handler(a.routes(), writeUnmatchedRoute)), nil
}

// routes returns the endpoints by method and path.
func (a *api) routes() *http.ServeMux {
	mux := http.NewServeMux()
	for pattern, serve := range map[string]endpoint{
		"GET /v1/status":                   a.status,
		"GET /v1/bundle":                   a.currentBundle,
		"GET /v1/bundle/in-force":          a.inForce,
		"GET /v1/bundles/history":          a.history,
		"GET /v1/bundles":                  a.listProposals,
		"POST /v1/bundles":                 a.propose,
		"GET /v1/bundles/{id}":             a.proposal,
		"POST /v1/bundles/{id}/sign-off":   a.signOff,
		"POST /v1/bundles/{id}/reject":     a.reject,
		"POST /v1/bundles/{id}/roll-out":   a.rollOut,
		"POST /v1/zones/{name}/{action}":   a.edit(zoneEdits),
		"POST /v1/targets/{name}/{action}": a.edit(targetEdits),
		"POST /v1/entries/{name}/{action}": a.edit(entryEdits),
		"PUT /v1/callers/{name}":           a.setCaller,
	} {
		mux.Handle(pattern, handle(serve))
	}
	return mux
}

// writeUnmatchedRoute writes a problem for a request that matches no route, or a
// route only with another method.
func writeUnmatchedRoute(w http.ResponseWriter, r *http.Request, status int) {
	code := model.CodeNotFound
	if status == http.StatusMethodNotAllowed {
		code = model.CodeInvalid
	}
	details := problem.From(model.NewRefusal(code, 0, "%s %s isn't part of this interface", r.Method, r.URL.Path))
	details.Status = status
	details.Write(w)
}

// withAuthAndLimits rejects requests without the token of an operator and limits
// the duration and the body size of the others.
func (a *api) withAuthAndLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := a.authenticate(r)
		if !ok {
			problem.Write(w, model.NewRefusal(model.CodeUnauthenticated, 0, "want the bearer token of an operator"))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), a.options.Timeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, a.options.MaxBodyBytes)
		next.ServeHTTP(w, r.WithContext(withOperator(ctx, name)))
	})
}

func (a *api) authenticate(r *http.Request) (string, bool) {
	token, ok := identity.Bearer(r.Header.Get("Authorization"))
	if !ok {
		return "", false
	}
	return a.options.Operators.Authenticate(token)
}

// operatorContextKey is the key of the operator's name in a request's context.
type operatorContextKey struct{}

func withOperator(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, operatorContextKey{}, name)
}

func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorContextKey{}).(string)
	return name
}
