package callerapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/figring/figring/api"
	"github.com/figring/figring/common/problem"
	"github.com/figring/figring/common/strictjson"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// server implements the HTTP handlers.
type server struct {
	options Options
}

// New returns the handler of the callers' interface.
func New(options Options) (http.Handler, error) {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = api.MaxBodyBytes
	}
	s := &server{options: options}
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutBanner, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Logger().SetLevel("disable")
	app.OnAnyErrorCode(s.handleRouteError)
	v1 := app.Party("/v1")
	v1.Post("/jobs", s.submitJob)
	v1.Get("/jobs/{key:string}", s.getJob)
	v1.Delete("/jobs/{key:string}", s.cancelJob)
	v1.Post("/requests", s.runRequest)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// handleRouteError refuses requests for paths or methods that the interface does
// not have.
func (s *server) handleRouteError(ctx iris.Context) {
	refusal := model.NewRefusal(model.CodeNotFound, 0, "no such path or method: %s %s", ctx.Method(), ctx.Path())
	problem.Write(ctx.ResponseWriter(), refusal)
}

func (s *server) submitJob(ctx iris.Context) {
	started := time.Now()
	caller, ok := s.authenticate(ctx, started)
	if !ok {
		return
	}
	var body api.JobRequest
	if refusal := s.decode(ctx, &body); refusal != nil {
		s.writeRefusal(ctx, Observation{Caller: caller}, started, refusal)
		return
	}
	spec, refusal := body.Spec(caller)
	if refusal != nil {
		s.writeRefusal(ctx, Observation{Caller: caller}, started, refusal)
		return
	}
	s.runAndReply(ctx, spec, started, s.options.Jobs.Submit)
}

func (s *server) runRequest(ctx iris.Context) {
	started := time.Now()
	caller, ok := s.authenticate(ctx, started)
	if !ok {
		return
	}
	var body api.SingleRequest
	if refusal := s.decode(ctx, &body); refusal != nil {
		s.writeRefusal(ctx, Observation{Caller: caller}, started, refusal)
		return
	}
	job := body.Job(caller)
	spec, refusal := job.Spec(caller)
	if refusal != nil {
		s.writeRefusal(ctx, Observation{Caller: caller}, started, refusal)
		return
	}
	if body.Key == "" {
		s.runAndReply(ctx, spec, started, s.options.Jobs.Request)
		return
	}
	s.runAndReply(ctx, spec, started, s.options.Jobs.Submit)
}

// runAndReply runs a job or single request with submit and writes its answer.
func (s *server) runAndReply(ctx iris.Context, spec model.JobSpec, started time.Time, submit func(context.Context, model.JobSpec) wire.JobReply) {
	waitCtx, cancel := context.WithTimeout(ctx.Request().Context(), spec.Timeout+waitMargin)
	defer cancel()
	observation := Observation{Caller: spec.Key.Caller, Class: spec.Tasks[0].Class}
	s.writeReply(ctx, observation, started, submit(waitCtx, spec))
}

func (s *server) getJob(ctx iris.Context) {
	started := time.Now()
	key, ok := s.parseKey(ctx, started)
	if !ok {
		return
	}
	wait, refusal := parseWait(ctx.URLParam("wait"))
	if refusal != nil {
		s.writeRefusal(ctx, Observation{Caller: key.Caller}, started, refusal)
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx.Request().Context(), wait+waitMargin)
	defer cancel()
	reply := s.options.Jobs.Join(waitCtx, key, wait > 0)
	if reply.Refusal != nil && reply.Refusal.Code == model.CodeInProgress {
		s.writeJSON(ctx, http.StatusOK, api.JobResponse{Key: key.ID.String(), State: api.JobRunning, Outcome: model.InProgress})
		return
	}
	if reply.Answer != nil {
		s.writeJSON(ctx, http.StatusOK, api.NewJobResponse(reply.Answer))
		return
	}
	s.writeReply(ctx, Observation{Caller: key.Caller}, started, reply)
}

func (s *server) cancelJob(ctx iris.Context) {
	started := time.Now()
	key, ok := s.parseKey(ctx, started)
	if !ok {
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx.Request().Context(), waitMargin)
	defer cancel()
	s.writeReply(ctx, Observation{Caller: key.Caller}, started, s.options.Jobs.Cancel(waitCtx, key))
}

// parseKey authenticates the caller and parses the job key in the path. When either
// fails it writes the refusal and returns false.
func (s *server) parseKey(ctx iris.Context, started time.Time) (model.JobKey, bool) {
	caller, ok := s.authenticate(ctx, started)
	if !ok {
		return model.JobKey{}, false
	}
	key, err := model.ParseJobKey(caller, ctx.Params().Get("key"))
	if err != nil {
		refusal := model.NewRefusal(model.CodeInvalid, 0, "key: %v", err)
		s.writeRefusal(ctx, Observation{Caller: caller}, started, refusal)
		return model.JobKey{}, false
	}
	return key, true
}

func parseWait(param string) (time.Duration, *model.Refusal) {
	if param == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(param, 10, 64)
	if err != nil || millis < 0 || millis > maxWait.Milliseconds() {
		return 0, model.NewRefusal(model.CodeInvalid, 0, "wait: must be 0 to %d milliseconds", maxWait.Milliseconds())
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// authenticate returns the caller that the bearer token belongs to. Without a valid
// token it writes the refusal and returns false.
func (s *server) authenticate(ctx iris.Context, started time.Time) (string, bool) {
	token, found := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if found {
		if caller, ok := s.options.Authenticate(token); ok {
			return caller, true
		}
	}
	ctx.Header("WWW-Authenticate", "Bearer")
	s.writeRefusal(ctx, Observation{}, started, model.NewRefusal(model.CodeUnauthenticated, 0, "no valid bearer token"))
	return "", false
}

func (s *server) decode(ctx iris.Context, v any) *model.Refusal {
	err := strictjson.Decode(ctx.Request().Body, s.options.MaxBodyBytes, v)
	switch {
	case err == nil:
		return nil
	case isTooLarge(err):
		return model.NewRefusal(model.CodeTooLarge, 0, "body: %v", err)
	default:
		return model.NewRefusal(model.CodeInvalid, 0, "body: %v", err)
	}
}

func (s *server) writeReply(ctx iris.Context, observation Observation, started time.Time, reply wire.JobReply) {
	switch {
	case reply.Refusal != nil:
		s.writeRefusal(ctx, observation, started, reply.Refusal)
	case reply.Answer == nil:
		s.writeRefusal(ctx, observation, started, &model.Refusal{Code: model.CodeInternal, Outcome: model.Unknown, Detail: "empty answer"})
	case reply.Answer.State == model.Complete:
		s.observe(observation, started, "")
		s.writeJSON(ctx, http.StatusOK, api.NewJobResponse(reply.Answer))
	default:
		s.writeRefusal(ctx, observation, started, failedJobRefusal(reply.Answer))
	}
}

// failedJobRefusal returns the answer of a failed job as a refusal, so that it is
// written as a problem document like every other error.
func failedJobRefusal(answer *model.Answer) *model.Refusal {
	return &model.Refusal{Code: answer.Code, Outcome: answer.Outcome, Detail: answer.Detail}
}

func (s *server) writeRefusal(ctx iris.Context, observation Observation, started time.Time, refusal *model.Refusal) {
	s.observe(observation, started, refusal.Code)
	s.closeWhenDraining(ctx)
	problem.Write(ctx.ResponseWriter(), refusal)
}

// observe completes the observation of a request and passes it to Options.Observe.
func (s *server) observe(observation Observation, started time.Time, code model.Code) {
	if s.options.Observe == nil {
		return
	}
	observation.Code = string(code)
	observation.Elapsed = time.Since(started)
	s.options.Observe(observation)
}

func (s *server) writeJSON(ctx iris.Context, status int, body any) {
	s.closeWhenDraining(ctx)
	ctx.StatusCode(status)
	_ = ctx.JSON(body)
}

func (s *server) closeWhenDraining(ctx iris.Context) {
	if s.options.Draining != nil && s.options.Draining() {
		ctx.Header("Connection", "close")
	}
}
