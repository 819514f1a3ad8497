package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// downLength is how long the director is gone: balancer_crash, 1.9 to 8 s.
const downLength = 2 * time.Second

// playHandover resets the connection of one set-up under its answer: the session is set up again at another media node and
// plays there. Later the director, one of three, is killed and started anew, and the viewers hand their sessions over.
// TROUBLE=reset and TROUBLE=kill play one of the two alone.
func playHandover(w *world, trouble string) error {
	w.sessionLength = 40 * time.Second
	ask := func(i int, loses bool) error {
		v, err := w.dialViewer()
		if err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
		v.askWith(1, 0x7f3a9c21e0b4d600+uint64(i), i%len(w.nodes), 3, loses)
		time.Sleep(150 * time.Millisecond)
		return nil
	}
	if err := ask(0, trouble != "0" && trouble != "kill"); err != nil {
		return err
	}
	for i := range 16 {
		if err := ask(i+1, false); err != nil {
			return err
		}
	}
	if trouble != "0" && trouble != "reset" {
		w.signal(syscall.SIGKILL)
		<-w.exited
		time.Sleep(downLength)
		if err := w.startDirector(); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
		standing := w.snapshot()
		slices.Reverse(standing) // the newest first
		for i := range standing {
			if r := &standing[i]; r.answer == "served" && r.overAt.IsZero() {
				v, err := w.dialViewer()
				if err != nil {
					return fmt.Errorf("%w: %w", errCannotRun, err)
				}
				v.name(r)
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	time.Sleep(10 * time.Second)
	w.checkAnswers()
	for _, r := range w.snapshot() {
		if r.answer == "served" && !r.releasedAt.IsZero() && r.overAt.IsZero() {
			w.breach("the viewer of session %016x was told at %.3f that it is over; it stands at %s for %.1f s more", r.id,
				r.releasedAt.Sub(w.start).Seconds(), r.node, time.Since(r.releasedAt).Seconds())
		}
	}
	w.checkReleases()
	return nil
}
