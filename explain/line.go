package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/figring/figring/common/eventlog"
)

// Error is the class of this package's errors.
var Error = errs.Class("explain")

// maxLineBytes is the maximum length of one log line.
const maxLineBytes = 1 << 20

// Line is one parsed line of an event log.
type Line struct {
	Time    time.Time
	Process string
	Kind    eventlog.Kind
	Job     string
	Request string
	Fields  map[string]any
}

// Read reads lines until EOF. It skips lines that are not events of figring, and
// ignores text before the JSON object, such as the prefix that a log collector adds.
func Read(reader io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, Error.Wrap(scanner.Err())
}

func parseLine(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil {
		return Line{}, false
	}
	timestamp, err := time.Parse(eventlog.TimeFormat, stringField(fields, "time"))
	kind := stringField(fields, eventlog.FieldKind)
	if err != nil || kind == "" {
		return Line{}, false
	}
	line := Line{
		Time: timestamp, Kind: eventlog.Kind(kind), Fields: fields,
		Process: stringField(fields, eventlog.FieldProcess),
		Job:     stringField(fields, eventlog.FieldJob),
		Request: stringField(fields, eventlog.FieldRequest),
	}
	for _, name := range []string{"time", "level", eventlog.FieldKind, eventlog.FieldProcess, eventlog.FieldJob, eventlog.FieldRequest} {
		delete(fields, name)
	}
	return line, true
}

// stringField returns the named field, or "" when it is not a string.
func stringField(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	return value
}

// String returns the line in a human-readable format.
func (l Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s  %-24s %-20s", l.Time.Format("15:04:05.000"), l.Process, l.Kind)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&out, " %s=%v", name, l.Fields[name])
	}
	return out.String()
}
