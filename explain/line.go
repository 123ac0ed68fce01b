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

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Process string
	Kind    eventlog.Kind
	Job     string
	Request string
	Fields  map[string]any
}

// Read reads lines until the end. What is not a line of figring's log is
// skipped; text before the line, as collectors add, is dropped.
func Read(reader io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, Error.Wrap(scanner.Err())
}

func parse(raw []byte) (Line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[at:], &fields) != nil {
		return Line{}, false
	}
	when, err := time.Parse(eventlog.TimeFormat, text(fields, "time"))
	kind := text(fields, eventlog.FieldKind)
	if err != nil || kind == "" {
		return Line{}, false
	}
	line := Line{
		Time: when, Kind: eventlog.Kind(kind), Fields: fields,
		Process: text(fields, eventlog.FieldProcess),
		Job:     text(fields, eventlog.FieldJob),
		Request: text(fields, eventlog.FieldRequest),
	}
	for _, taken := range []string{"time", "level", eventlog.FieldKind, eventlog.FieldProcess, eventlog.FieldJob, eventlog.FieldRequest} {
		delete(fields, taken)
	}
	return line, true
}

func text(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	return value
}

// String returns the line for people.
func (l Line) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s  %-24s %-20s", l.Time.Format("15:04:05.000"), l.Process, l.Kind)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&out, " %s=%v", name, l.Fields[name])
	}
	return out.String()
}
