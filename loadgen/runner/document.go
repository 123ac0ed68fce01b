package runner

import "time"

// Document is the JSON form of a Result.
type Document struct {
	Started    time.Time      `json:"started"`
	ElapsedMs  float64        `json:"elapsedMs"`
	Series     []SeriesResult `json:"series"`
	Refusals   Summary        `json:"refusals"`
	Codes      map[string]int `json:"codes"`
	Resubmits  map[string]int `json:"resubmits"`
	Mismatches int            `json:"mismatches"`
	Outcomes   []Outcome      `json:"outcomes"`
}

// SeriesResult summarizes the response times of one caller and class.
type SeriesResult struct {
	Caller  string  `json:"caller"`
	Class   string  `json:"class"`
	Summary Summary `json:"responseMs"`
}

// Document returns the JSON form of the result.
func (r *Result) Document() Document {
	document := Document{
		Started:    r.Started,
		ElapsedMs:  millis(r.Elapsed),
		Refusals:   r.Refusals.Summary(),
		Codes:      r.Codes,
		Resubmits:  r.Resubmits,
		Mismatches: r.Mismatches,
		Outcomes:   r.Outcomes,
	}
	for _, name := range r.Series() {
		document.Series = append(document.Series, SeriesResult{Caller: name.Caller, Class: name.Class, Summary: r.Responses[name].Summary()})
	}
	return document
}

// Completed returns the number of jobs completed in each step of the run.
func (r *Result) Completed(step time.Duration) []float64 {
	curve := make([]float64, r.Elapsed/step+1)
	for i := range r.Outcomes {
		at := int(time.Duration(r.Outcomes[i].EndNs) / step)
		if r.Outcomes[i].Complete() && at < len(curve) {
			curve[at]++
		}
	}
	return curve
}
