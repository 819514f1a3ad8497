package faults

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// headmillPath is the program under test, built by TestMain.
var headmillPath string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "headmill-faults")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	headmillPath = filepath.Join(dir, "headmill")
	if out, err := exec.Command("go", "build", "-o", headmillPath, "headmill/cmd/headmill").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// logLevel is the level of the directors' logs: debug where they are kept.
func logLevel() string {
	if os.Getenv("FAULT_LOGS") != "" {
		return "debug"
	}
	return "info"
}
