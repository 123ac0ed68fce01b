package operator

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"

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
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutInterruptHandler, iris.WithoutPathCorrection, iris.WithFireMethodNotAllowed)
	a.registerRoutes(app)
	if err := app.Build(); err != nil {
		return nil, Error.Wrap(err)
	}
	return a.withAuthAndLimits(app), nil
}

func (a *api) registerRoutes(app *iris.Application) {
	app.OnAnyErrorCode(writeUnmatchedRoute)
	v1 := app.Party("/v1")
	v1.Get("/status", a.handle(a.status))
	v1.Get("/bundle", a.handle(a.currentBundle))
	v1.Get("/bundle/in-force", a.handle(a.inForce))
	v1.Get("/bundles/history", a.handle(a.history))
	v1.Get("/bundles", a.handle(a.listProposals))
	v1.Post("/bundles", a.handle(a.propose))
	v1.Get("/bundles/{id}", a.handle(a.proposal))
	v1.Post("/bundles/{id}/sign-off", a.handle(a.signOff))
	v1.Post("/bundles/{id}/reject", a.handle(a.reject))
	v1.Post("/bundles/{id}/roll-out", a.handle(a.rollOut))
	v1.Post("/zones/{name}/{action}", a.handle(a.edit(zoneEdits)))
	v1.Post("/targets/{name}/{action}", a.handle(a.edit(targetEdits)))
	v1.Post("/entries/{name}/{action}", a.handle(a.edit(entryEdits)))
	v1.Put("/callers/{name}", a.handle(a.setCaller))
}

// writeUnmatchedRoute writes a problem for a request that matches no route, or a
// route only with another method.
func writeUnmatchedRoute(ctx iris.Context) {
	code := model.CodeNotFound
	if ctx.GetStatusCode() == http.StatusMethodNotAllowed {
		code = model.CodeInvalid
	}
	details := problem.From(model.NewRefusal(code, 0, "%s %s isn't part of this interface", ctx.Method(), ctx.Path()))
	details.Status = ctx.GetStatusCode()
	details.Write(ctx.ResponseWriter())
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
