package announce_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/figring/figring/store"
	"github.com/figring/figring/store/announce"
	"github.com/figring/figring/store/contract"
	"github.com/shoenig/test/must"
)

func post(receiver *announce.Receiver, method, body string) int {
	recorder := httptest.NewRecorder()
	receiver.ServeHTTP(recorder, httptest.NewRequest(method, announce.Path, strings.NewReader(body)))
	return recorder.Code
}

func TestReceiver_Contract(t *testing.T) {
	contract.Announcements(t, func(*testing.T) (store.Announcements, func(store.Announcement) error) {
		receiver := announce.NewReceiver()
		return receiver, func(announcement store.Announcement) error {
			body, err := json.Marshal(announcement)
			if err != nil {
				return err
			}
			if post(receiver, http.MethodPost, string(body)) != http.StatusNoContent {
				return errors.New("announcement rejected")
			}
			return nil
		}
	})
}

func TestReceiver_RejectsInvalidRequests(t *testing.T) {
	valid := `{"minion":"m","state":"ready","address":"127.0.0.1:1","slots":1,"connections":1}`
	padding := string(bytes.Repeat([]byte(" "), 16<<10))
	cases := []struct {
		name, method, body string
		want               int
	}{
		{"valid", http.MethodPost, valid, http.StatusNoContent},
		{"method other than POST", http.MethodGet, valid, http.StatusMethodNotAllowed},
		{"not JSON", http.MethodPost, "minion", http.StatusBadRequest},
		{"body too large", http.MethodPost, padding + valid, http.StatusBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, post(announce.NewReceiver(), tc.method, tc.body))
		})
	}
}
