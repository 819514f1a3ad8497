// Package fronts plays clients that harm others against director processes over loopback: on the HTTP, WebSocket and gRPC
// fronts, at the descriptor limit of the platform, it measures what honest clients get meanwhile and what memory is used.
package fronts

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// headmillBinary is the program under test.
var headmillBinary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fronts-*")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	headmillBinary = filepath.Join(dir, "headmill")
	build := exec.Command("go", "build", "-o", headmillBinary, "headmill/cmd/headmill")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}
