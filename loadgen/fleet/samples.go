package fleet

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// Samples holds the values of a metrics page by name and labels, as in
// `figring_entry_refused{code="overloaded"}`.
type Samples map[string]float64

// ParseSamples reads a page in the Prometheus text format.
func ParseSamples(page io.Reader) (Samples, error) {
	samples := make(Samples)
	lines := bufio.NewScanner(page)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		split := strings.LastIndexByte(line, ' ')
		if split < 0 {
			continue
		}
		value, err := strconv.ParseFloat(line[split+1:], 64)
		if err != nil {
			return nil, Error.New("metrics page: %q: %v", line, err)
		}
		samples[line[:split]] = value
	}
	return samples, Error.Wrap(lines.Err())
}

// Sum returns the sum over all labels of a metric that contain every one of
// the given label texts, such as `code="overloaded"`.
func (s Samples) Sum(name string, labels ...string) float64 {
	var sum float64
	for key, value := range s {
		found, rest, _ := strings.Cut(key, "{")
		if found == name && containsAll(rest, labels) {
			sum += value
		}
	}
	return sum
}

// By returns the values of a metric by one of its labels.
func (s Samples) By(name, label string) map[string]float64 {
	values := make(map[string]float64)
	for key, value := range s {
		found, rest, _ := strings.Cut(key, "{")
		_, after, labelled := strings.Cut(rest, label+`="`)
		if found != name || !labelled {
			continue
		}
		text, _, _ := strings.Cut(after, `"`)
		values[text] += value
	}
	return values
}

func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// Add adds the values of other.
func (s Samples) Add(other Samples) {
	for key, value := range other {
		s[key] += value
	}
}

// Since returns the growth since earlier.
func (s Samples) Since(earlier Samples) Samples {
	grown := make(Samples)
	for key, value := range s {
		grown[key] = value - earlier[key]
	}
	return grown
}
