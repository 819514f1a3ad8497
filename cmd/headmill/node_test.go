package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A stop that comes while a reload is being read is not held up by it, and reloads that come meanwhile are one.
func TestSignalsDontWaitForEachOther(t *testing.T) {
	sigs, reload, stopped := make(chan os.Signal, 4), make(chan struct{}, 1), make(chan struct{}, 1)
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		sigs <- s // nobody reads reload: the first is still at its file
	}
	go follow(sigs, func() { stopped <- struct{}{} }, reload)
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the stop waits for the reload")
	}
	if len(reload) != 1 {
		t.Fatalf("%d reloads wait, want 1", len(reload))
	}
}

// A file that is still being written when SIGHUP comes is read once it is whole.
func TestHalfWrittenConfigurationIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"name":"n0","lis`), 0o644); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { _, err := loadAgain(path); done <- err }()
	whole := `{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f","dns":"127.0.0.1:53","known":{"no":0,"items":[]},
		"settings":{"me":0,"replicas_of_me":1,"allowed":{"max_attempts":3,"connect_timeout_ms":120},
		"categories":[{"name":"paid","give_up_ms":3000.0,"semantics":"once"}],
		"family_info":{"level_kb":[100],"ladder_worth":[1],"cells":1,"racks":1}}}`
	if err := os.WriteFile(path+".new", []byte(whole), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
