package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/store/protocol"
	"github.com/go-playground/validator/v10"
)

// maxControlBody bounds the body of a control request, in bytes.
const maxControlBody = 64 << 10

// Service is the HTTP handler of the two services and of their control.
type Service struct {
	table    store.Table
	objects  store.Objects
	injector *fault.Injector
	initial  fault.Settings
	counters counters
	validate *validator.Validate
	mux      *http.ServeMux
}

var _ http.Handler = (*Service)(nil)

// New returns an empty service that injects the faults of injector. The
// settings that injector has now are those that an omitted field returns to.
func New(injector *fault.Injector) *Service {
	s := &Service{
		table:    fault.NewTable(memory.NewTable(), injector),
		objects:  fault.NewObjects(memory.NewObjects(), injector),
		injector: injector,
		initial:  injector.Settings(),
		validate: validator.New(validator.WithRequiredStructEnabled()),
		mux:      http.NewServeMux(),
	}
	s.routeTable()
	s.routeObjects()
	s.mux.HandleFunc("GET /control/faults", s.getFaults)
	s.mux.HandleFunc("PUT /control/faults", s.putFaults)
	s.mux.HandleFunc("GET /control/counters", s.getCounters)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Service) routeTable() {
	c := &s.counters
	route(s.mux, protocol.PathTableGet, &c.tableReads, s.tableGet)
	route(s.mux, protocol.PathTableList, &c.tableReads, s.tableList)
	route(s.mux, protocol.PathTableCommit, &c.tableWrites, s.tableCommit)
}

func (s *Service) routeObjects() {
	c := &s.counters
	route(s.mux, protocol.PathObjectsPut, &c.objectWrites, s.objectsPut)
	route(s.mux, protocol.PathObjectsGet, &c.objectReads, s.objectsGet)
	route(s.mux, protocol.PathObjectsList, &c.objectReads, s.objectsList)
	route(s.mux, protocol.PathObjectsDelete, &c.objectWrites, s.objectsDelete)
}

// route serves method at path, counts its requests, and answers its errors.
func route[Q, A any](mux *http.ServeMux, path string, count *atomic.Int64,
	method func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		var request Q
		if err := decode(w, r, protocol.MaxBodyBytes, &request); err != nil {
			fail(w, err)
			return
		}
		reply, err := method(r.Context(), request)
		if err != nil {
			fail(w, err)
			return
		}
		answer(w, http.StatusOK, reply)
	})
}

func (s *Service) tableGet(ctx context.Context, request protocol.GetRequest) (protocol.Row, error) {
	row, err := s.table.Get(ctx, request.Key)
	return protocol.Row(row), err
}

func (s *Service) tableList(ctx context.Context, request protocol.ListRequest) (protocol.ListReply, error) {
	page, err := s.table.List(ctx, request.Prefix, request.From, request.Limit)
	return protocol.NewListReply(page), err
}

func (s *Service) tableCommit(ctx context.Context, request protocol.CommitRequest) (protocol.CommitReply, error) {
	versions, err := s.table.Commit(ctx, request.Txn())
	if errors.Is(err, store.ErrConflict) {
		s.counters.conflicts.Add(1)
	}
	return protocol.CommitReply{Versions: versions}, err
}

func (s *Service) objectsPut(ctx context.Context, request protocol.PutRequest) (protocol.EmptyReply, error) {
	return protocol.EmptyReply{}, s.objects.Put(ctx, request.Name, request.Body)
}

func (s *Service) objectsGet(ctx context.Context, request protocol.ObjectRequest) (protocol.ObjectReply, error) {
	body, err := s.objects.Get(ctx, request.Name)
	return protocol.ObjectReply{Body: body}, err
}

func (s *Service) objectsList(ctx context.Context, request protocol.ListObjectsRequest) (protocol.ListObjectsReply, error) {
	names, err := s.objects.List(ctx, request.Prefix, request.After, request.Limit)
	return protocol.ListObjectsReply{Names: names}, err
}

func (s *Service) objectsDelete(ctx context.Context, request protocol.ObjectRequest) (protocol.EmptyReply, error) {
	return protocol.EmptyReply{}, s.objects.Delete(ctx, request.Name)
}

func (s *Service) getFaults(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.injector.Settings())
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	settings := s.initial
	if err := decode(w, r, maxControlBody, &settings); err != nil {
		fail(w, err)
		return
	}
	if err := s.validate.Struct(settings); err != nil {
		fail(w, fmt.Errorf("%v: %w", err, store.ErrInvalid))
		return
	}
	s.injector.Set(settings)
	answer(w, http.StatusOK, settings)
}

func (s *Service) getCounters(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, s.counters.counts())
}

// decode reads a JSON body of at most limit bytes.
func decode(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	// The body is read to its end, because the server notices that a client
	// has gone only after that.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return fmt.Errorf("body: %v: %w", err, store.ErrInvalid)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("body: %v: %w", err, store.ErrInvalid)
	}
	return nil
}

func answer(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A reply that can't be written is lost, and the client knows it.
	_ = json.NewEncoder(w).Encode(reply)
}

// fail answers err, or closes the connection when the outcome must stay
// unknown to the client.
func fail(w http.ResponseWriter, err error) {
	status, failure, told := protocol.NewFailure(err)
	if !told {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, failure)
}
