package minion

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/figring/figring/minion/exampletasks"
)

// maxRun bounds the run time that a payload may ask for.
const maxRun = time.Hour

// payload is what a task may say about itself.
type payload struct {
	RunMs  *float64 `json:"runMs"`
	Fail   bool     `json:"fail"`
	Output *string  `json:"output"`
}

// parsePayload returns what body says; any body that says nothing is valid.
func parsePayload(body []byte) payload {
	var parsed payload
	if json.Unmarshal(body, &parsed) != nil {
		return payload{}
	}
	return parsed
}

// runTime returns the run time at the given speed.
func (p payload) runTime(usual time.Duration, speed float64) time.Duration {
	millis := float64(usual) / float64(time.Millisecond)
	if p.RunMs != nil {
		millis = max(0, *p.RunMs)
	}
	millis = min(millis/speed, float64(maxRun/time.Millisecond))
	return time.Duration(millis * float64(time.Millisecond))
}

// answer returns the body that a task of class answers.
func (p payload) answer(class string, body []byte) []byte {
	if p.Output != nil {
		return []byte(*p.Output)
	}
	if answered, ok := exampletasks.Answer(class, body); ok {
		return answered
	}
	return fmt.Appendf(nil, `{"bytes":%d,"digest":"%016x"}`, len(body), xxhash.Sum64(body))
}
