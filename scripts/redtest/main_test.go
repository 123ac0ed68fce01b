package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	passA    = `{"Action":"pass","Package":"p","Test":"TestA"}`
	passB    = `{"Action":"pass","Package":"p","Test":"TestB"}`
	runB     = `{"Action":"run","Package":"p","Test":"TestB"}`
	failB    = `{"Action":"fail","Package":"p","Test":"TestB"}`
	failSub  = `{"Action":"fail","Package":"p","Test":"TestB/sub"}`
	skipC    = `{"Action":"skip","Package":"p","Test":"TestC"}`
	outputB  = `{"Action":"output","Package":"p","Test":"TestB","Output":"b_test.go:7: wrong\n"}`
	failP    = `{"Action":"fail","Package":"p"}`
	passP    = `{"Action":"pass","Package":"p"}`
	failQ    = `{"Action":"fail","Package":"q"}`
	buildOut = `{"Action":"build-output","ImportPath":"q [q.test]","Output":"q.go:1: undefined\n"}`
	buildBad = `{"Action":"build-fail","ImportPath":"q [q.test]"}`
)

func TestReport(t *testing.T) {
	failed := errors.New("exit status 1")
	cases := []struct {
		name     string
		events   []string
		known    []string
		runError error
		code     int
		prints   []string
		last     string
	}{
		{"all pass", []string{passA, skipC, passP}, nil, nil, 0, nil, "1 passed, 0 failed, 1 skipped"},
		{"unexpected failure", []string{passA, outputB, failB, failP}, nil, failed, 1,
			[]string{"FAIL p TestB", "b_test.go:7: wrong"}, "1 passed, 1 failed, 0 skipped"},
		{"known red", []string{passA, failB, failP}, []string{"p TestB"}, failed, 0,
			[]string{"known red: p TestB"}, "1 passed, 1 failed, 0 skipped"},
		{"known red with a subtest", []string{passA, failSub, failB, failP}, []string{"p TestB"}, failed, 0,
			[]string{"known red: p TestB/sub"}, "1 passed, 2 failed, 0 skipped"},
		{"known red and another failure", []string{passA, failB, `{"Action":"fail","Package":"p","Test":"TestD"}`, failP},
			[]string{"p TestB"}, failed, 1, []string{"known red: p TestB", "FAIL p TestD"}, "1 passed, 2 failed, 0 skipped"},
		{"known red of another package", []string{passA, failB, failP}, []string{"q TestB"}, failed, 1,
			[]string{"FAIL p TestB"}, "1 passed, 1 failed, 0 skipped"},
		{"known red that passes", []string{passA, passB, passP}, []string{"p TestB"}, nil, 0,
			[]string{"now passing, to be taken off the list: p TestB"}, "2 passed, 0 failed, 0 skipped"},
		{"build failure", []string{passA, passP, buildOut, buildBad, failQ}, nil, failed, 1,
			[]string{"FAIL q [q.test]", "q.go:1: undefined", "FAIL q"}, "1 passed, 0 failed, 0 skipped"},
		{"failure outside tests", []string{passA, failP}, []string{"p TestB"}, failed, 1,
			[]string{"FAIL p"}, "1 passed, 0 failed, 0 skipped"},
		{"process that dies in a test", []string{passA, runB, outputB, failP}, nil, failed, 1,
			[]string{"FAIL p TestB", "b_test.go:7: wrong"}, "1 passed, 0 failed, 0 skipped"},
		{"process that dies in a listed test", []string{passA, runB, outputB, failP}, []string{"p TestB"}, failed, 1,
			[]string{"FAIL p TestB"}, "1 passed, 0 failed, 0 skipped"},
		{"unexplained error", []string{passA, passP}, nil, failed, 1,
			[]string{"go test: exit status 1"}, "1 passed, 0 failed, 0 skipped"},
		{"no tests", []string{passP}, nil, nil, 1, nil, "0 passed, 0 failed, 0 skipped"},
		{"only known red", []string{failB, failP}, []string{"p TestB"}, failed, 1,
			[]string{"known red: p TestB"}, "0 passed, 1 failed, 0 skipped"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			known := make(map[string]bool)
			for _, name := range tc.known {
				known[name] = true
			}
			var out bytes.Buffer
			result := readEvents(strings.NewReader(strings.Join(tc.events, "\n")))
			must.EqOp(t, tc.code, report(&out, result, known, tc.runError))
			for _, text := range tc.prints {
				must.StrContains(t, out.String(), text+"\n")
			}
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			must.EqOp(t, tc.last, lines[len(lines)-1])
		})
	}
}

func TestReadKnownFailures(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	known, err := readKnownFailures(path)
	must.NoError(t, err)
	must.MapEmpty(t, known)
	content := "# comment\n\np  TestB | seed 7 | hangs | issue 3\nq TestC\n"
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	known, err = readKnownFailures(path)
	must.NoError(t, err)
	must.Eq(t, map[string]bool{"p TestB": true, "q TestC": true}, known)
}
