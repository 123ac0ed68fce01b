package measure

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Report is the result of one command's measures.
type Report struct {
	Started  time.Time `json:"started"`
	Seed     uint64    `json:"seed"`
	Duration string    `json:"duration"`
	// LoadBefore and LoadAfter are the machine's load averages over a minute.
	LoadBefore string   `json:"loadBefore"`
	LoadAfter  string   `json:"loadAfter"`
	Processors int      `json:"processors"`
	Rows       []Row    `json:"rows"`
	Failures   []string `json:"failures,omitempty"`
}

// Short reports whether a figure misses its goal or a measure failed.
func (r *Report) Short() bool {
	for _, row := range r.Rows {
		if row.Verdict == Short {
			return true
		}
	}
	return len(r.Failures) > 0
}

// WriteTable writes the report as a Markdown table.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Seed %d, %s for each run, started %s, %d processors, load average %s before and %s after.\n\n",
		r.Seed, r.Duration, r.Started.UTC().Format(time.RFC3339), r.Processors, r.LoadBefore, r.LoadAfter)
	text.WriteString("| measure | figure of | goal | measured | verdict |\n|---|---|---|---|---|\n")
	for _, row := range r.Rows {
		fmt.Fprintf(&text, "| %s | %s | %s | %s%s | %s |\n", row.Measure, row.Name, row.Goal, number(row.Figure), unitSuffix(row.Unit), row.Verdict)
	}
	for _, failure := range r.Failures {
		fmt.Fprintf(&text, "\nFailed: %s\n", failure)
	}
	_, err := io.WriteString(w, text.String())
	return err
}
