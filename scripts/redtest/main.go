// Command redtest runs "go test -race" on the packages it is given and compares
// the failures with KNOWN-RED.txt. It exits 1 when a test fails that is not
// listed, when a package cannot be built, or when no test ran.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"slices"
	"sort"
	"strings"
)

// knownRedFile lists the tests that may fail.
const knownRedFile = "KNOWN-RED.txt"

// event is one line of "go test -json".
type event struct {
	Action  string
	Package string
	// ImportPath stands for Package in events of the build.
	ImportPath string
	Test       string
	Output     string
}

// name returns "package TestName", or the package alone.
func (e event) name() string {
	if e.Package == "" {
		return e.ImportPath
	}
	return strings.TrimSpace(e.Package + " " + e.Test)
}

// tally sums up a run.
type tally struct {
	passed, failed, skipped int
	red                     []string
	green                   map[string]bool
	// running are the tests that have begun and not ended. Whatever is left at
	// the end of a run died with the process of its package.
	running map[string]bool
	broken  []string
	output  map[string]*strings.Builder
}

func main() {
	known, err := readKnown(knownRedFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "redtest:", err)
		os.Exit(1)
	}
	args := append([]string{"test", "-race", "-count=1", "-json", "-timeout=9m"}, os.Args[1:]...)
	command := exec.Command("go", args...)
	command.Stderr = os.Stderr
	stdout, err := command.StdoutPipe()
	if err != nil {
		fmt.Fprintln(os.Stderr, "redtest:", err)
		os.Exit(1)
	}
	if err := command.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "redtest:", err)
		os.Exit(1)
	}
	result := collect(stdout)
	runError := command.Wait()
	os.Exit(judge(os.Stdout, result, known, runError))
}

// readKnown returns the listed tests as "package TestName".
func readKnown(path string) (map[string]bool, error) {
	known := make(map[string]bool)
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "|")
		known[strings.Join(strings.Fields(name), " ")] = true
	}
	return known, nil
}

func collect(stream io.Reader) *tally {
	result := &tally{
		green:   make(map[string]bool),
		running: make(map[string]bool),
		output:  make(map[string]*strings.Builder),
	}
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, 1<<20), 16<<20)
	for lines.Scan() {
		var one event
		if json.Unmarshal(lines.Bytes(), &one) != nil {
			fmt.Println(lines.Text())
			continue
		}
		result.add(one)
	}
	return result
}

func (r *tally) add(one event) {
	name := one.name()
	r.track(name, one)
	switch one.Action {
	case "output", "build-output":
		builder, ok := r.output[name]
		if !ok {
			builder = &strings.Builder{}
			r.output[name] = builder
		}
		builder.WriteString(one.Output)
	case "pass":
		if one.Test != "" {
			r.passed++
			r.green[name] = true
		} else {
			fmt.Println("ok  ", one.Package)
		}
	case "skip":
		if one.Test != "" {
			r.skipped++
		}
	case "fail", "build-fail":
		r.fail(name, one)
	}
}

// track keeps the set of tests that have begun and not ended.
func (r *tally) track(name string, one event) {
	switch one.Action {
	case "run":
		r.running[name] = true
	case "pass", "skip", "fail":
		delete(r.running, name)
	}
}

func (r *tally) fail(name string, one event) {
	if one.Test == "" {
		r.broken = append(r.broken, name)
		return
	}
	r.failed++
	r.red = append(r.red, name)
}

// judge prints the verdict to out and returns the exit code. The last line is
// the count of tests.
func judge(out io.Writer, r *tally, known map[string]bool, runError error) int {
	unexpected := r.unexpected(out, known)
	for _, name := range unexpected {
		fmt.Fprintln(out, "FAIL", name)
		if output, ok := r.output[name]; ok {
			fmt.Fprint(out, output.String())
		}
	}
	r.printNowPassing(out, known)
	unexplained := runError != nil && len(r.red) == 0 && len(r.broken) == 0
	if unexplained {
		fmt.Fprintln(out, "go test:", runError)
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	if len(unexpected) > 0 || r.passed == 0 || unexplained {
		return 1
	}
	return 0
}

// unexpected returns the failures that are not listed, and prints the listed
// ones. A failed package is excused only when a test of it failed, a test that
// did not end never: its process died.
func (r *tally) unexpected(out io.Writer, known map[string]bool) []string {
	sort.Strings(r.red)
	var unexpected []string
	redPackages := make(map[string]bool)
	for _, name := range r.red {
		redPackages[strings.Fields(name)[0]] = true
		if known[parentTest(name)] || known[name] {
			fmt.Fprintln(out, "known red:", name)
			continue
		}
		unexpected = append(unexpected, name)
	}
	for _, name := range r.broken {
		if !redPackages[name] {
			unexpected = append(unexpected, name)
		}
	}
	return append(unexpected, slices.Sorted(maps.Keys(r.running))...)
}

// printNowPassing prints the listed tests that passed.
func (r *tally) printNowPassing(out io.Writer, known map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(known)) {
		if r.green[name] {
			fmt.Fprintln(out, "now passing, to be taken off the list:", name)
		}
	}
}

// parentTest returns "package TestName" for a subtest's name.
func parentTest(name string) string {
	pkg, test, _ := strings.Cut(name, " ")
	top, _, _ := strings.Cut(test, "/")
	return pkg + " " + top
}
