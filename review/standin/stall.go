package main

import (
	"math/rand/v2"
	"syscall"
	"time"
)

func init() {
	cases["stall"] = stall
	settings["stall"] = params{LifeMs: [2]float64{15000, 25000}}
}

// stall drains media nodes, one every 12 s. With trouble, the director stands still for 1.95 s when a drain is listed, and
// then finds all that came meanwhile.
func stall(w *world, trouble bool) error {
	w.dns.setHook(func(int) ([]listEntry, int, time.Duration, bool) { return nil, 0, 15 * time.Millisecond, false })
	if err := w.startDirector(); err != nil {
		return err
	}
	titles := w.someTitles(60)
	for _, title := range titles {
		w.request(1+rand.IntN(2), title, 0)
		time.Sleep(50 * time.Millisecond)
	}
	for range 5 {
		time.Sleep(9 * time.Second)
		homes, count := w.homes(), map[*node]int{}
		for _, n := range homes {
			if n.leftAt == 0 {
				count[n]++
			}
		}
		var old *node
		for n, c := range count {
			if old == nil || c > count[old] || c == count[old] && n.name < old.name {
				old = n
			}
		}
		var theirs []uint64
		for _, title := range titles {
			if homes[title] == old {
				theirs = append(theirs, title)
			}
		}
		if trouble {
			w.signal(syscall.SIGSTOP)
		}
		stopped := time.Now()
		w.drain(old, false)
		for time.Since(stopped) < 1700*time.Millisecond {
			if since := time.Since(stopped); since > 500*time.Millisecond {
				w.request(1+rand.IntN(2), theirs[rand.IntN(len(theirs))], 0)
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(1950*time.Millisecond - time.Since(stopped))
		if trouble {
			w.signal(syscall.SIGCONT)
		}
	}
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, text := range w.drainBreaks {
		w.violation("%s", text)
	}
	return nil
}
