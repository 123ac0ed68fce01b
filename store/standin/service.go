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

// maxControlBodyBytes is the maximum size of the body of a control request.
const maxControlBodyBytes = 64 << 10

// Service is the HTTP handler of the table service, the object store and the
// control requests.
type Service struct {
	table           store.Table
	objects         store.Objects
	injector        *fault.Injector
	initialSettings fault.Settings
	counters        counters
	validate        *validator.Validate
	mux             *http.ServeMux
}

var _ http.Handler = (*Service)(nil)

// New returns a service without data that injects the faults of injector. The
// current settings of injector become the defaults for fields that a PUT of
// /control/faults omits.
func New(injector *fault.Injector) *Service {
	s := &Service{
		table:           fault.NewTable(memory.NewTable(), injector),
		objects:         fault.NewObjects(memory.NewObjects(), injector),
		injector:        injector,
		initialSettings: injector.Settings(),
		validate:        validator.New(validator.WithRequiredStructEnabled()),
		mux:             http.NewServeMux(),
	}
	s.registerTable()
	s.registerObjects()
	s.mux.HandleFunc("GET /control/faults", s.getFaults)
	s.mux.HandleFunc("PUT /control/faults", s.putFaults)
	s.mux.HandleFunc("GET /control/counters", s.getCounters)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Service) registerTable() {
	c := &s.counters
	handlePost(s.mux, protocol.PathTableGet, &c.tableReads, s.tableGet)
	handlePost(s.mux, protocol.PathTableList, &c.tableReads, s.tableList)
	handlePost(s.mux, protocol.PathTableCommit, &c.tableWrites, s.tableCommit)
}

func (s *Service) registerObjects() {
	c := &s.counters
	handlePost(s.mux, protocol.PathObjectsPut, &c.objectWrites, s.objectsPut)
	handlePost(s.mux, protocol.PathObjectsGet, &c.objectReads, s.objectsGet)
	handlePost(s.mux, protocol.PathObjectsList, &c.objectReads, s.objectsList)
	handlePost(s.mux, protocol.PathObjectsDelete, &c.objectWrites, s.objectsDelete)
}

// handlePost registers a handler for POST requests at path. It counts the requests,
// calls method with the decoded body, and sends the reply or the error.
func handlePost[Req, Resp any](mux *http.ServeMux, path string, counter *atomic.Int64,
	method func(context.Context, Req) (Resp, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		counter.Add(1)
		var request Req
		if err := decodeBody(w, r, protocol.MaxBodyBytes, &request); err != nil {
			writeError(w, err)
			return
		}
		reply, err := method(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeReply(w, http.StatusOK, reply)
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
	writeReply(w, http.StatusOK, s.injector.Settings())
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	settings := s.initialSettings
	if err := decodeBody(w, r, maxControlBodyBytes, &settings); err != nil {
		writeError(w, err)
		return
	}
	if err := s.validate.Struct(settings); err != nil {
		writeError(w, fmt.Errorf("%v: %w", err, store.ErrInvalid))
		return
	}
	s.injector.Set(settings)
	writeReply(w, http.StatusOK, settings)
}

func (s *Service) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, http.StatusOK, s.counters.snapshot())
}

// decodeBody decodes a JSON body of at most limit bytes into value.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, value any) error {
	// Read the body to its end, because the HTTP server detects that the client
	// has disconnected only after that.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return fmt.Errorf("body: %v: %w", err, store.ErrInvalid)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("body: %v: %w", err, store.ErrInvalid)
	}
	return nil
}

func writeReply(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encode fails if the connection is broken. The error is ignored, because the
	// client detects the incomplete reply.
	_ = json.NewEncoder(w).Encode(reply)
}

// writeError sends the reply for err. If the protocol has no code for err, it closes
// the connection without a reply, so that the outcome is unknown to the client.
func writeError(w http.ResponseWriter, err error) {
	status, failure, ok := protocol.NewFailure(err)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, status, failure)
}
