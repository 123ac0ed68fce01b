package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/rollout"
)

// The tokens of the two operators.
const (
	annaToken = "anna-token"
	bertToken = "bert-token"
)

// operatorTimeout bounds one call of an operator.
const operatorTimeout = 15 * time.Second

// operate calls the operators' interface of an entry and decodes the answer.
func (c *cluster) operate(entry *process, token, method, path string, body, into any) (int, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	if body == nil {
		content = nil
	}
	request, err := http.NewRequest(method, "http://"+entry.addresses["operators"]+path, bytes.NewReader(content))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	one := http.Client{Timeout: operatorTimeout}
	response, err := one.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if into == nil || response.StatusCode >= http.StatusBadRequest {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.NewDecoder(response.Body).Decode(into)
}

// change makes an emergency edit and returns what was accepted and the time at
// which the operator knew it.
func (c *cluster) change(entry int, path string) (rollout.ChangeResult, time.Time) {
	c.t.Helper()
	var accepted rollout.ChangeResult
	status, err := c.operate(c.entryList()[entry], annaToken, http.MethodPost, path, nil, &accepted)
	must.NoError(c.t, err)
	must.EqOp(c.t, http.StatusOK, status, must.Sprint(path))
	return accepted, time.Now()
}

func closeZone(zone string) string { return fmt.Sprintf("/v1/zones/%s/close", zone) }

func openZone(zone string) string { return fmt.Sprintf("/v1/zones/%s/open", zone) }
