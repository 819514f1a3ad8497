package main

import (
	"fmt"
	"time"
)

// The figures of the case: "for 6 s a zone is partitioned (or a fifth of the media nodes fall silent)" (FLEET.md), and the
// seats of a title of the class bonus-clip.
const (
	cutLength = 6 * time.Second
	seats     = 2
)

// playSeats fills the seats of a title, cuts their media node off and ends one of the sessions. Others want the title.
func playSeats(w *world, trouble string) error {
	const wanted = uint64(0x7f3a9c21e0b4d655)
	w.onSetup = w.checkSeats
	copies := len(w.nodes)
	dial := func() (*viewer, error) {
		v, err := w.dialViewer()
		if err != nil {
			err = fmt.Errorf("%w: %w", errCannotRun, err)
		}
		return v, err
	}
	var holders []*viewer
	var held []*request
	for range seats {
		v, err := dial()
		if err != nil {
			return err
		}
		holders, held = append(holders, v), append(held, v.ask(0, wanted, 0, copies))
		time.Sleep(300 * time.Millisecond)
	}
	for _, r := range w.snapshot() {
		if r.answer != "served" {
			return fmt.Errorf("%w: a seat was not taken: %s", errCannotRun, r.answer)
		}
	}
	target := w.nodeOf(held[0].node)
	time.Sleep(time.Second)
	if trouble != "0" {
		target.cutOff()
		time.AfterFunc(cutLength, target.heal)
	}
	time.Sleep(200 * time.Millisecond)
	holders[0].end(held[0])
	for i := range 22 { // 5.5 s: others want the title, and other titles
		v, err := dial()
		if err != nil {
			return err
		}
		if i%2 == 0 {
			v.ask(0, wanted, 0, copies)
		} else {
			v.ask(1, wanted+uint64(i), i%copies, copies)
		}
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	w.checkAnswers()
	return nil
}

// checkSeats checks that a set-up that arrives does not make the director hold more sessions of its title than there are
// seats. A session counts from its set-up to its end at its media node. A set-up that arrives after the director has answered
// it was sent before the cut was over, and is left out. The lock of the world is held.
func (w *world) checkSeats(r *request, node string) {
	if r.class != "bonus-clip" || r.answer != "" {
		return
	}
	holding := ""
	count := 1
	for _, other := range w.order {
		if other == r || other.class != r.class || other.title != r.title {
			continue
		}
		if other.out > 0 && other.answer == "" || !other.standsAt.IsZero() && other.overAt.IsZero() {
			count++
			holding += fmt.Sprintf(" %016x at %s", other.id, other.node)
		}
	}
	if count > seats {
		w.breach("set-up %016x at %s is session %d of title %s, which has %d seats; held:%s", r.id, node, count, r.title, seats, holding)
	}
}
