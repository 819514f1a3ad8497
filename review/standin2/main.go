// Command standin2 plays the cases of the second review: the stand-ins of the platform (media nodes, name service, viewers)
// around a director process that it starts by the deploy file.
//
//	standin2 CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it leaves the
// disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// longest is the time that a case may take.
const longest = 110 * time.Second

// errCannotRun is wrapped by what keeps a case from showing anything.
var errCannotRun = errors.New("the case could not run")

// cases are the cases by their names: how many media nodes they have, the seats of a title of the
// class bonus-clip (0: no limit),
// the directors of the tier, and what is played.
var cases = map[string]struct {
	nodes, seats, directors int
	play                    func(w *world, trouble string) error
}{
	"lostzone": {4, 0, 1, playLostZone},
	"seats":    {5, seats, 1, playSeats},
	"stall":    {8, 0, 2, playStall},
	"drain":    {8, 0, 2, playDrain},
	"handover": {8, 0, 3, playHandover},
}

func main() {
	runtime.LockOSThread() // the director ends with the thread that started it
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, out string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	w, err := newWorld(root, out, c.nodes)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	w.seats, w.directors = c.seats, c.directors
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	played := make(chan error, 1)
	if err := w.startDirector(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for range c.directors - 1 { // the others of the tier have no viewers
		other, err := newWorld(root, os.DevNull, c.nodes)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer other.close()
		other.directors = c.directors
		if err := other.startDirector(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
	}
	go func() { played <- c.play(w, os.Getenv("TROUBLE")) }()
	select {
	case err = <-played:
	case <-stop:
		err = fmt.Errorf("%w: ended by a signal", errCannotRun)
	case <-time.After(longest):
		err = fmt.Errorf("%w: it took too long", errCannotRun)
	}
	if !w.running() {
		w.breach("the director's process has ended")
	}
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	switch {
	case err != nil:
		w.logf("%v", err)
		fmt.Println(err)
		return 2
	case len(broken) > 0:
		fmt.Printf("broken: %s (%d in all)\n", broken[0], len(broken))
		return 1
	}
	w.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
