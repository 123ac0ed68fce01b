package announce

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/figring/figring/store"
	"github.com/go-playground/validator/v10"
)

// Path is the path that minions announce themselves at.
const Path = "/v1/announce"

// maxBody bounds an announcement, in bytes.
const maxBody = 16 << 10

// maxPending bounds the announcements that nobody has taken yet.
const maxPending = 16

// Receiver is the HTTP handler for announcements. It implements
// store.Announcements: announcements are delivered in order, and the oldest
// is dropped when too many wait. One that equals the last waiting one is
// delivered once.
type Receiver struct {
	validate *validator.Validate

	mu      sync.Mutex
	pending []store.Announcement
	// arrived has one item while pending is not empty and nobody is woken.
	arrived chan struct{}
}

var (
	_ http.Handler        = (*Receiver)(nil)
	_ store.Announcements = (*Receiver)(nil)
)

// NewReceiver returns a receiver without announcements.
func NewReceiver() *Receiver {
	return &Receiver{
		validate: validator.New(validator.WithRequiredStructEnabled()),
		arrived:  make(chan struct{}, 1),
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
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxBody))
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
	last := len(r.pending) - 1
	if last >= 0 && r.pending[last] == announcement {
		return
	}
	if len(r.pending) == maxPending {
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, announcement)
	r.wake()
}

// Next implements store.Announcements.
func (r *Receiver) Next(ctx context.Context) (store.Announcement, error) {
	for {
		if announcement, ok := r.pop(); ok {
			return announcement, nil
		}
		select {
		case <-r.arrived:
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
		r.wake()
	}
	return announcement, true
}

func (r *Receiver) wake() {
	select {
	case r.arrived <- struct{}{}:
	default:
	}
}
