package minion

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/figring/figring/minion/exampletasks"
)

// maxRunTime is the maximum run time of a task.
const maxRunTime = time.Hour

// payload holds the fields of a task payload that control its simulated run.
type payload struct {
	RunMs  *float64 `json:"runMs"`
	Fail   bool     `json:"fail"`
	Output *string  `json:"output"`
}

// parsePayload decodes body. Tasks may have payloads in any format, so it returns
// a zero payload if body is not a JSON object of these fields.
func parsePayload(body []byte) payload {
	var parsed payload
	if json.Unmarshal(body, &parsed) != nil {
		return payload{}
	}
	return parsed
}

// runTime returns the run time at the given speed, between zero and maxRunTime. The
// default applies if the payload sets no run time.
func (p payload) runTime(defaultRunTime time.Duration, speed float64) time.Duration {
	millis := float64(defaultRunTime) / float64(time.Millisecond)
	if p.RunMs != nil {
		millis = max(0, *p.RunMs)
	}
	millis = min(millis/speed, float64(maxRunTime/time.Millisecond))
	return time.Duration(millis * float64(time.Millisecond))
}

// responseBody returns the response body of a successful task of the given class. It is
// Output if that is set, else the result computed by exampletasks, else the size
// and digest of the payload.
func (p payload) responseBody(class string, body []byte) []byte {
	if p.Output != nil {
		return []byte(*p.Output)
	}
	if result, ok := exampletasks.Answer(class, body); ok {
		return result
	}
	return fmt.Appendf(nil, `{"bytes":%d,"digest":"%016x"}`, len(body), xxhash.Sum64(body))
}
