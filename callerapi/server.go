package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figring/figring/api"
	"github.com/figring/figring/common/httproute"
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
func New(options Options) http.Handler {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = api.MaxBodyBytes
	}
	s := &server{options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", s.submitJob)
	mux.HandleFunc("GET /v1/jobs/{key}", s.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{key}", s.cancelJob)
	mux.HandleFunc("POST /v1/requests", s.runRequest)
	return httproute.Handler(mux, writeUnmatchedRoute)
}

// writeUnmatchedRoute refuses requests for paths or methods that the interface does
// not have.
func writeUnmatchedRoute(w http.ResponseWriter, r *http.Request, _ int) {
	problem.Write(w, model.NewRefusal(model.CodeNotFound, 0, "no such path or method: %s %s", r.Method, r.URL.Path))
}

func (s *server) submitJob(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	caller, ok := s.authenticate(w, r, started)
	if !ok {
		return
	}
	var body api.JobRequest
	if refusal := s.decode(r, &body); refusal != nil {
		s.writeRefusal(w, Observation{Caller: caller}, started, refusal)
		return
	}
	spec, refusal := body.Spec(caller)
	if refusal != nil {
		s.writeRefusal(w, Observation{Caller: caller}, started, refusal)
		return
	}
	s.runAndReply(w, r, spec, started, s.options.Jobs.Submit)
}

func (s *server) runRequest(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	caller, ok := s.authenticate(w, r, started)
	if !ok {
		return
	}
	var body api.SingleRequest
	if refusal := s.decode(r, &body); refusal != nil {
		s.writeRefusal(w, Observation{Caller: caller}, started, refusal)
		return
	}
	job := body.Job(caller)
	spec, refusal := job.Spec(caller)
	if refusal != nil {
		s.writeRefusal(w, Observation{Caller: caller}, started, refusal)
		return
	}
	if body.Key == "" {
		s.runAndReply(w, r, spec, started, s.options.Jobs.Request)
		return
	}
	s.runAndReply(w, r, spec, started, s.options.Jobs.Submit)
}

// runAndReply runs a job or single request with submit and writes its answer.
func (s *server) runAndReply(w http.ResponseWriter, r *http.Request, spec model.JobSpec, started time.Time, submit func(context.Context, model.JobSpec) wire.JobReply) {
	waitCtx, cancel := context.WithTimeout(r.Context(), spec.Timeout+waitMargin)
	defer cancel()
	observation := Observation{Caller: spec.Key.Caller, Class: spec.Tasks[0].Class}
	s.writeReply(w, observation, started, submit(waitCtx, spec))
}

func (s *server) getJob(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	key, ok := s.parseKey(w, r, started)
	if !ok {
		return
	}
	wait, refusal := parseWait(r.URL.Query().Get("wait"))
	if refusal != nil {
		s.writeRefusal(w, Observation{Caller: key.Caller}, started, refusal)
		return
	}
	waitCtx, cancel := context.WithTimeout(r.Context(), wait+waitMargin)
	defer cancel()
	reply := s.options.Jobs.Join(waitCtx, key, wait > 0)
	if reply.Refusal != nil && reply.Refusal.Code == model.CodeInProgress {
		s.writeJSON(w, http.StatusOK, api.JobResponse{Key: key.ID.String(), State: api.JobRunning, Outcome: model.InProgress})
		return
	}
	if reply.Answer != nil {
		s.writeJSON(w, http.StatusOK, api.NewJobResponse(reply.Answer))
		return
	}
	s.writeReply(w, Observation{Caller: key.Caller}, started, reply)
}

func (s *server) cancelJob(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	key, ok := s.parseKey(w, r, started)
	if !ok {
		return
	}
	waitCtx, cancel := context.WithTimeout(r.Context(), waitMargin)
	defer cancel()
	s.writeReply(w, Observation{Caller: key.Caller}, started, s.options.Jobs.Cancel(waitCtx, key))
}

// parseKey authenticates the caller and parses the job key in the path. When either
// fails it writes the refusal and returns false.
func (s *server) parseKey(w http.ResponseWriter, r *http.Request, started time.Time) (model.JobKey, bool) {
	caller, ok := s.authenticate(w, r, started)
	if !ok {
		return model.JobKey{}, false
	}
	key, err := model.ParseJobKey(caller, r.PathValue("key"))
	if err != nil {
		refusal := model.NewRefusal(model.CodeInvalid, 0, "key: %v", err)
		s.writeRefusal(w, Observation{Caller: caller}, started, refusal)
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
func (s *server) authenticate(w http.ResponseWriter, r *http.Request, started time.Time) (string, bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if found {
		if caller, ok := s.options.Authenticate(token); ok {
			return caller, true
		}
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	s.writeRefusal(w, Observation{}, started, model.NewRefusal(model.CodeUnauthenticated, 0, "no valid bearer token"))
	return "", false
}

func (s *server) decode(r *http.Request, v any) *model.Refusal {
	err := strictjson.Decode(r.Body, s.options.MaxBodyBytes, v)
	switch {
	case err == nil:
		return nil
	case isTooLarge(err):
		return model.NewRefusal(model.CodeTooLarge, 0, "body: %v", err)
	default:
		return model.NewRefusal(model.CodeInvalid, 0, "body: %v", err)
	}
}

func (s *server) writeReply(w http.ResponseWriter, observation Observation, started time.Time, reply wire.JobReply) {
	switch {
	case reply.Refusal != nil:
		s.writeRefusal(w, observation, started, reply.Refusal)
	case reply.Answer == nil:
		s.writeRefusal(w, observation, started, &model.Refusal{Code: model.CodeInternal, Outcome: model.Unknown, Detail: "empty answer"})
	case reply.Answer.State == model.Complete:
		s.observe(observation, started, "")
		s.writeJSON(w, http.StatusOK, api.NewJobResponse(reply.Answer))
	default:
		s.writeRefusal(w, observation, started, failedJobRefusal(reply.Answer))
	}
}

// failedJobRefusal returns the answer of a failed job as a refusal, so that it is
// written as a problem document like every other error.
func failedJobRefusal(answer *model.Answer) *model.Refusal {
	return &model.Refusal{Code: answer.Code, Outcome: answer.Outcome, Detail: answer.Detail}
}

func (s *server) writeRefusal(w http.ResponseWriter, observation Observation, started time.Time, refusal *model.Refusal) {
	s.observe(observation, started, refusal.Code)
	s.closeWhenDraining(w)
	problem.Write(w, refusal)
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

func (s *server) writeJSON(w http.ResponseWriter, status int, body any) {
	s.closeWhenDraining(w)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *server) closeWhenDraining(w http.ResponseWriter) {
	if s.options.Draining != nil && s.options.Draining() {
		w.Header().Set("Connection", "close")
	}
}
