package main

import (
	"math/rand/v2"
	"time"
)

func init() {
	cases["slow-list"] = slowList
	settings["slow-list"] = params{LifeMs: [2]float64{15000, 25000}}
}

// slowList drains a media node. With trouble, the name service is slow at that time: it answers every query, in their
// order, with the list of the moment, but 4 s after the query.
func slowList(w *world, trouble bool) error {
	if err := w.startDirector(); err != nil {
		return err
	}
	titles := w.someTitles(60)
	for _, title := range titles {
		w.request(1+rand.IntN(2), title, 0)
		time.Sleep(50 * time.Millisecond)
	}
	usual := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			w.request(1+rand.IntN(2), titles[rand.IntN(len(titles))], 0)
			time.Sleep(300 * time.Millisecond)
		}
	}
	usual(5 * time.Second)
	if trouble {
		w.mu.Lock()
		w.logf("name service: every answer comes 4 s after its query from now on")
		w.mu.Unlock()
		w.dns.setHook(func(int) ([]listEntry, int, time.Duration, bool) { return nil, 0, 4 * time.Second, false })
	}
	usual(6 * time.Second)
	homes, count := w.homes(), map[*node]int{}
	var victim *node
	for _, n := range homes {
		if count[n]++; victim == nil || count[n] > count[victim] {
			victim = n
		}
	}
	w.drain(victim, false)
	usual(15 * time.Second)
	if trouble {
		w.dns.setHook(nil)
		w.mu.Lock()
		w.logf("name service: answers come at once again")
		w.mu.Unlock()
	}
	usual(5 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf("name service: the first answer with the drain was sent at %.0f ms, %.0f ms after the drain", victim.toldAt, victim.toldAt-victim.leftAt)
	for _, r := range w.order {
		for _, a := range r.attempts {
			if a.node == victim && a.arrived > max(victim.toldAt, victim.leftAt+1500)+w.p.DrainGraceMs+slackMs {
				w.violation("%s gets set-up %016x %.0f ms after an answer that says it drains was sent to the director", victim.name, r.id, a.arrived-victim.toldAt)
			}
		}
	}
	return nil
}
