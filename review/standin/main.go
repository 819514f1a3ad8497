package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name. Each returns an error if it could not run; broken rules go to violations.
var cases = map[string]func(w *world, trouble bool) error{}

// settings are the settings of each case.
var settings = map[string]params{}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "node" {
		runNodeProcess(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	name, folder := os.Args[1], os.Args[2]
	w, err := newWorld(settings[name], filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		w.logf("ended by a signal")
		w.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, trouble %v", name, trouble)
	err = cases[name](w, trouble)
	w.mu.Lock()
	if err == nil && !w.alive() {
		if err = errors.New("the director's process has ended"); w.p.All {
			w.violation("%v", err)
		}
	}
	found := len(violations)
	w.mu.Unlock()
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
	case found > 0:
		w.logf("result: the rule was broken %d times", found)
	default:
		w.logf("result: the rule held")
	}
	w.close()
	for _, v := range violations {
		fmt.Println("rule broken:", v)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case found > 0:
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
