// Command redtest runs "go test -race" with the given arguments and compares the
// failures with the known failing tests in KNOWN-RED.txt. It exits with 1 if a
// test that is not listed fails, if any test does not finish, if a package cannot
// be built or fails outside its tests, if no test passes, or if "go test" fails
// for another reason.
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

// knownFailuresFile lists the tests that are allowed to fail.
const knownFailuresFile = "KNOWN-RED.txt"

// event is one line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	// ImportPath replaces Package in build events.
	ImportPath string
	Test       string
	Output     string
}

// name returns "package TestName" for a test event and the package otherwise.
func (e event) name() string {
	if e.Package == "" {
		return e.ImportPath
	}
	return strings.TrimSpace(e.Package + " " + e.Test)
}

// summary collects the results of one "go test" run.
type summary struct {
	passed, failed, skipped int
	failedTests             []string
	passedTests             map[string]bool
	// unfinished are the tests that have started but not finished. Those left at
	// the end of the run died with the test process of their package.
	unfinished     map[string]bool
	failedPackages []string
	output         map[string]*strings.Builder
}

func main() {
	known, err := readKnownFailures(knownFailuresFile)
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
	result := readEvents(stdout)
	runError := command.Wait()
	os.Exit(report(os.Stdout, result, known, runError))
}

// readKnownFailures parses the file at path and returns the listed tests as
// "package TestName". A missing file is an empty list.
func readKnownFailures(path string) (map[string]bool, error) {
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

func readEvents(stream io.Reader) *summary {
	result := &summary{
		passedTests: make(map[string]bool),
		unfinished:  make(map[string]bool),
		output:      make(map[string]*strings.Builder),
	}
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, 1<<20), 16<<20)
	for lines.Scan() {
		var ev event
		if json.Unmarshal(lines.Bytes(), &ev) != nil {
			fmt.Println(lines.Text())
			continue
		}
		result.add(ev)
	}
	return result
}

func (r *summary) add(ev event) {
	name := ev.name()
	r.trackUnfinished(name, ev)
	switch ev.Action {
	case "output", "build-output":
		builder, ok := r.output[name]
		if !ok {
			builder = &strings.Builder{}
			r.output[name] = builder
		}
		builder.WriteString(ev.Output)
	case "pass":
		if ev.Test != "" {
			r.passed++
			r.passedTests[name] = true
		} else {
			fmt.Println("ok  ", ev.Package)
		}
	case "skip":
		if ev.Test != "" {
			r.skipped++
		}
	case "fail", "build-fail":
		r.addFailure(name, ev)
	}
}

// trackUnfinished updates the set of tests that have started but not finished.
func (r *summary) trackUnfinished(name string, ev event) {
	switch ev.Action {
	case "run":
		r.unfinished[name] = true
	case "pass", "skip", "fail":
		delete(r.unfinished, name)
	}
}

func (r *summary) addFailure(name string, ev event) {
	if ev.Test == "" {
		r.failedPackages = append(r.failedPackages, name)
		return
	}
	r.failed++
	r.failedTests = append(r.failedTests, name)
}

// report prints the unexpected failures, the known ones and the listed tests that
// pass to out, and returns the exit code. The last line printed is the number of
// passed, failed and skipped tests.
func report(out io.Writer, r *summary, known map[string]bool, runError error) int {
	unexpected := r.unexpectedFailures(out, known)
	for _, name := range unexpected {
		fmt.Fprintln(out, "FAIL", name)
		if output, ok := r.output[name]; ok {
			fmt.Fprint(out, output.String())
		}
	}
	r.printNowPassing(out, known)
	unexplained := runError != nil && len(r.failedTests) == 0 && len(r.failedPackages) == 0
	if unexplained {
		fmt.Fprintln(out, "go test:", runError)
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", r.passed, r.failed, r.skipped)
	if len(unexpected) > 0 || r.passed == 0 || unexplained {
		return 1
	}
	return 0
}

// unexpectedFailures returns the failures that are not listed and prints the listed
// ones. A failed package counts only if none of its tests failed. A test that did
// not finish always counts, even if it is listed, because its process died.
func (r *summary) unexpectedFailures(out io.Writer, known map[string]bool) []string {
	sort.Strings(r.failedTests)
	var unexpected []string
	redPackages := make(map[string]bool)
	for _, name := range r.failedTests {
		redPackages[strings.Fields(name)[0]] = true
		if known[topLevelTest(name)] || known[name] {
			fmt.Fprintln(out, "known red:", name)
			continue
		}
		unexpected = append(unexpected, name)
	}
	for _, name := range r.failedPackages {
		if !redPackages[name] {
			unexpected = append(unexpected, name)
		}
	}
	return append(unexpected, slices.Sorted(maps.Keys(r.unfinished))...)
}

// printNowPassing prints the listed tests that passed, so that they can be removed
// from the list.
func (r *summary) printNowPassing(out io.Writer, known map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(known)) {
		if r.passedTests[name] {
			fmt.Fprintln(out, "now passing, to be taken off the list:", name)
		}
	}
}

// topLevelTest returns "package TestName" of the top-level test that name, the
// name of a test or subtest, belongs to.
func topLevelTest(name string) string {
	pkg, test, _ := strings.Cut(name, " ")
	top, _, _ := strings.Cut(test, "/")
	return pkg + " " + top
}
