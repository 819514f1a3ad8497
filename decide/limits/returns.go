package limits

import (
	"math"
	"math/rand/v2"
)

// calendar books when refused viewers are to come again, so that the wave of returns is as flat as the room
// allows: a ring of slots with the returns that are expected in each.
type calendar struct {
	slots []float64
	first int64 // number of the slot at index first % len
}

const calendarSlots = 512 // of slotMs: two minutes, further ahead than any advice

func (c *calendar) start(now float64) {
	c.slots = make([]float64, calendarSlots)
	c.first = int64(now / slotMs)
}

// pass clears the slots that are over.
func (c *calendar) pass(now float64) {
	to := int64(now / slotMs)
	if to-c.first >= calendarSlots {
		clear(c.slots)
		c.first = to
	}
	for ; c.first < to; c.first++ {
		c.slots[c.first%calendarSlots] = 0
	}
}

// book finds the earliest slot between least and most ms from now that has room for another return, else the
// emptiest of the later two thirds, and returns a time in it, drawn so that a slot's returns don't come at one moment.
// Where nothing fits, coming soon is only one more refusal: seen in a rush over sockets.
func (c *calendar) book(now, least, most, room float64, rng *rand.Rand) float64 {
	most = math.Min(math.Max(most, 0), float64(calendarSlots-2)*slotMs)
	least = math.Min(math.Max(least, 0), most)
	from, to := int64((now+least)/slotMs), int64((now+most)/slotMs)
	best, ties := int64(-1), 0.0
	for s := from; s <= to; s++ {
		n := c.slots[s%calendarSlots]
		if n+returnShare <= room {
			best = s
			break
		}
		if s < (2*from+to)/3 {
			continue
		}
		switch {
		case best < 0 || n < c.slots[best%calendarSlots]:
			best, ties = s, 1
		case n == c.slots[best%calendarSlots]: // among equals by chance, or all would go for the first
			if ties++; rng.Float64() < 1/ties {
				best = s
			}
		}
	}
	c.slots[best%calendarSlots] += returnShare
	at := (float64(best)+rng.Float64())*slotMs - now
	return math.Min(math.Max(at, least), most)
}

// wishes remembers what was refused, in two generations so that it is bounded and forgets the oldest.
type wishes struct {
	most       int
	young, old map[uint64]float64
}

func (w *wishes) len() int { return len(w.young) + len(w.old) }

func (w *wishes) add(wish uint64, now float64) {
	if w.young == nil || len(w.young) >= max(w.most/2, 1) {
		w.old, w.young = w.young, make(map[uint64]float64, min(w.most/2, 1024))
	}
	w.young[wish] = now
}

func (w *wishes) known(wish uint64, now, remember float64) bool {
	at, ok := w.young[wish]
	if !ok {
		at, ok = w.old[wish]
	}
	return ok && now-at <= remember
}

func (w *wishes) forget(wish uint64) {
	delete(w.young, wish)
	delete(w.old, wish)
}
