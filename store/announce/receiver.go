package announce

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/figring/figring/store"
	"github.com/go-playground/validator/v10"
)

// Path is the URL path to which minions send their announcements.
const Path = "/v1/announce"

// maxBodyBytes is the maximum size of the body of an announcement.
const maxBodyBytes = 16 << 10

// maxPending is the maximum number of announcements that wait for a call of Next.
const maxPending = 16

// Receiver is the HTTP handler for announcements and implements
// store.Announcements. It delivers announcements in order. When maxPending of
// them are waiting, a new one replaces the oldest. An announcement that equals the
// latest one waiting is not queued again.
type Receiver struct {
	validate *validator.Validate

	mu      sync.Mutex
	pending []store.Announcement
	// available has capacity 1. It holds a token while pending is not empty and
	// no call of Next has taken the token.
	available chan struct{}
}

var (
	_ http.Handler        = (*Receiver)(nil)
	_ store.Announcements = (*Receiver)(nil)
)

// NewReceiver returns a receiver with no pending announcements.
func NewReceiver() *Receiver {
	return &Receiver{
		validate:  validator.New(validator.WithRequiredStructEnabled()),
		available: make(chan struct{}, 1),
	}
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "use POST", http.StatusMethodNotAllowed)
		return
	}
	var announcement store.Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	if err := decoder.Decode(&announcement); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.validate.Struct(announcement); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.push(announcement)
	w.WriteHeader(http.StatusNoContent)
}

func (r *Receiver) push(announcement store.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lastIndex := len(r.pending) - 1
	if lastIndex >= 0 && r.pending[lastIndex] == announcement {
		return
	}
	if len(r.pending) == maxPending {
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, announcement)
	r.signalAvailable()
}

// Next implements store.Announcements.
func (r *Receiver) Next(ctx context.Context) (store.Announcement, error) {
	for {
		if announcement, ok := r.pop(); ok {
			return announcement, nil
		}
		select {
		case <-r.available:
		case <-ctx.Done():
			return store.Announcement{}, ctx.Err()
		}
	}
}

func (r *Receiver) pop() (store.Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 {
		return store.Announcement{}, false
	}
	announcement := r.pending[0]
	r.pending = r.pending[1:]
	if len(r.pending) > 0 {
		r.signalAvailable()
	}
	return announcement, true
}

func (r *Receiver) signalAvailable() {
	select {
	case r.available <- struct{}{}:
	default:
	}
}
