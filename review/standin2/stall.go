package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	stallLength  = 1900 * time.Millisecond // balancer_stall, 1200 to 2000 ms
	vanishLength = 13 * time.Second        // vanish, 13 to 30 s
)

// playStall lets one of two directors stand still for 1.9 s as one of eight media nodes goes silent. Set-ups that come at the
// start of the stall have more than a second left when the director goes on. TROUBLE=stall and TROUBLE=vanish play one of the
// two alone.
func playStall(w *world, trouble string) error {
	w.sessionLength = 8 * time.Second
	copies := 3
	title := uint64(0x7f3a9c21e0b4d600)
	ask := func(v *viewer, class int) {
		title++
		v.ask(class, title, int(title)%len(w.nodes), copies)
	}
	var viewers []*viewer
	for i := range 24 { // each viewer has a session and then another
		v, err := w.dialViewer()
		if err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
		viewers = append(viewers, v)
		ask(v, 1)
		if i%6 == 5 { // six come together
			time.Sleep(400 * time.Millisecond)
		}
	}
	target := w.busiestNode()
	if target == nil {
		return fmt.Errorf("%w: no session stands", errCannotRun)
	}
	if trouble != "0" && trouble != "stall" {
		lostAt := time.Now()
		for _, id := range target.vanish() {
			w.update(id, func(r *request) { r.lostAt = lostAt })
		}
		time.AfterFunc(vanishLength, target.comeBack)
	}
	if trouble != "0" && trouble != "vanish" {
		w.signal(syscall.SIGSTOP)
		time.AfterFunc(stallLength, func() { w.signal(syscall.SIGCONT) })
	}
	for _, v := range viewers {
		ask(v, 0)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(16 * time.Second)
	w.checkAnswers()
	w.checkReleases()
	return nil
}
