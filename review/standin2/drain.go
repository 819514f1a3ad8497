package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	drainGrace     = 250 * time.Millisecond  // safety.drain_grace_ms
	shortStall     = 1200 * time.Millisecond // balancer_stall, 1200 to 2000 ms
	answerDelay    = 150 * time.Millisecond  // "discovery that is slow"
	drainAfter     = 100 * time.Millisecond  // from the query
	setupsInFlight = 8
)

// playDrain lets one of two directors stand still for 1.2 s just after it has asked the name service, whose answers take 150
// ms. The answer names a drain. Set-ups come before it. TROUBLE=stall and TROUBLE=slow play one of the two alone.
func playDrain(w *world, trouble string) error {
	const wanted = uint64(0x7f3a9c21e0b4d655)
	w.sessionLength = 3 * time.Second
	w.onSetup = w.checkDrain
	v, err := w.dialViewer()
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if trouble != "0" && trouble != "stall" {
		w.names.slowDown(answerDelay)
	}
	v.ask(1, wanted, 0, 3)
	time.Sleep(1200 * time.Millisecond)
	target := w.latestNode()
	if target == nil {
		return fmt.Errorf("%w: no session stands", errCannotRun)
	}
	<-w.names.asked
	if trouble != "0" && trouble != "slow" {
		w.signal(syscall.SIGSTOP)
		time.AfterFunc(shortStall, func() { w.signal(syscall.SIGCONT) })
	}
	time.AfterFunc(drainAfter, func() { w.names.drain(target.name) })
	for range setupsInFlight {
		time.Sleep(5 * time.Millisecond)
		v.ask(1, wanted, 0, 3)
	}
	time.Sleep(5 * time.Second)
	w.checkAnswers()
	w.checkReleases()
	return nil
}

// checkDrain checks that a set-up does not arrive at a media node that was told to drain. The lock of the world is held.
func (w *world) checkDrain(r *request, node string) {
	told := w.names.drainTold(node)
	if late := time.Since(told) - drainGrace - slack; !told.IsZero() && late > 0 {
		w.breach("set-up %016x comes to %s %.3f s after its drain was told, %.3f s too late", r.id, node,
			time.Since(told).Seconds(), late.Seconds())
	}
}
