package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "figring-e2e")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "figring")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/figring").CombinedOutput()
	if err != nil {
		fmt.Println(string(output), err)
		return 1
	}
	return m.Run()
}
