package main

import (
	"math/rand/v2"
	"time"
)

func init() {
	cases["quiet"] = quiet
	settings["quiet"] = params{TellMs: 4900, ToldLateMs: 1300}
}

// quiet plays sessions at media nodes that tell their loads every 4.9 s and have nothing else to say. With trouble, some
// connections to one media node come up late, by up to 1 s.
func quiet(w *world, trouble bool) error {
	victim := w.nodes[0]
	late := 0
	if trouble {
		w.mu.Lock()
		for _, n := range w.nodes {
			n.onClosed = func(n *node) {
				if n != victim || w.ms() < 15000 || late >= 5 {
					return
				}
				late++
				go func() {
					w.logf("%s: new connections come up late from now on", n.name)
					restore := n.lateConnections()
					time.Sleep(950 * time.Millisecond)
					restore()
					w.logf("%s: connections come up at once again", n.name)
				}()
			}
		}
		w.mu.Unlock()
	}
	if err := w.startDirector(); err != nil {
		return err
	}
	titles := w.someTitles(60)
	started := time.Now()
	for time.Since(started) < 14*time.Second {
		w.request(rand.IntN(3), titles[rand.IntN(len(titles))], 0)
		time.Sleep(200 * time.Millisecond)
	}
	w.mu.Lock()
	for _, n := range w.nodes {
		if len(n.sessions) > len(victim.sessions) {
			victim = n
		}
	}
	w.logf("%s has %d sessions", victim.name, len(victim.sessions))
	w.mu.Unlock()
	for time.Since(started) < 45*time.Second {
		w.request(rand.IntN(3), titles[rand.IntN(len(titles))], 0)
		time.Sleep(400 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.order {
		if len(r.answers) > 1 && r.answers[0].kind == "answer" && !r.endedByUs && (!r.over || r.releasedAt < r.overAt-slackMs) {
			w.violation("session %016x is released towards its viewer (cause %d) at %.0f ms, though it plays at its media node, which is neither down nor silent for long",
				r.id, r.answers[1].cause, r.releasedAt)
		}
	}
	return nil
}
