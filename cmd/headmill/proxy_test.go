package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A reload may take seconds. A SIGTERM during one must take effect at once, and several SIGHUPs during one must lead to
// a single further reload.
func TestStopDoesNotWaitForReload(t *testing.T) {
	signals, reload, stopped := make(chan os.Signal, 4), make(chan struct{}, 1), make(chan struct{}, 1)
	for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		signals <- sig // nothing receives from reload, as during a reload that has not ended
	}
	go handleSignals(signals, func() { stopped <- struct{}{} }, reload)
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the stop was not requested while a reload was pending")
	}
	if len(reload) != 1 {
		t.Fatalf("%d reloads are pending, want 1", len(reload))
	}
}

// A SIGHUP may come while the configuration file is still being written. The reload must retry until the file is
// complete.
func TestReloadRetriesIncompleteConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"name":"n0","lis`), 0o644); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { _, err := reloadConfig(path); done <- err }()
	complete := `{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f","dns":"127.0.0.1:53","known":{"no":0,"items":[]},
		"settings":{"me":0,"replicas_of_me":1,"allowed":{"max_attempts":3,"connect_timeout_ms":120},
		"categories":[{"name":"paid","give_up_ms":3000.0,"semantics":"once"}],
		"family_info":{"level_kb":[100],"ladder_worth":[1],"cells":1,"racks":1}}}`
	if err := os.WriteFile(path+".new", []byte(complete), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
