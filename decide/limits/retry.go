package limits

import (
	"math"
	"math/rand/v2"
)

// retrySchedule spreads the retries of refused viewers over time, so that as few slots as possible
// have more retries than capacity. It is a ring of slots with the number of retries that are expected in each.
type retrySchedule struct {
	slots     []float64
	firstSlot int64 // number of the first slot, which is at index firstSlot % len(slots)
}

const scheduleSlots = 512 // of slotMs: two minutes, further ahead than any retry advice

// reset empties the schedule.
func (s *retrySchedule) reset(now float64) {
	s.slots = make([]float64, scheduleSlots)
	s.firstSlot = int64(now / slotMs)
}

// advance clears the slots that have passed.
func (s *retrySchedule) advance(now float64) {
	current := int64(now / slotMs)
	if current-s.firstSlot >= scheduleSlots {
		clear(s.slots)
		s.firstSlot = current
	}
	for ; s.firstSlot < current; s.firstSlot++ {
		s.slots[s.firstSlot%scheduleSlots] = 0
	}
}

// reserve finds the earliest slot between minMs and maxMs from now that has capacity for another retry, else the
// emptiest of the later two thirds, and returns the delay to a random time in it, so that the retries of a slot don't
// come at one moment. The first third is left out because, without capacity, an early retry would only be refused
// again; this was seen when many viewers requested sessions at once over WebSocket connections.
func (s *retrySchedule) reserve(now, minMs, maxMs, slotCapacity float64, rng *rand.Rand) float64 {
	maxMs = math.Min(math.Max(maxMs, 0), float64(scheduleSlots-2)*slotMs)
	minMs = math.Min(math.Max(minMs, 0), maxMs)
	from, to := int64((now+minMs)/slotMs), int64((now+maxMs)/slotMs)
	best, equals := int64(-1), 0.0
	for slot := from; slot <= to; slot++ {
		n := s.slots[slot%scheduleSlots]
		if n+expectedRetryRatio <= slotCapacity {
			best = slot
			break
		}
		if slot < (2*from+to)/3 {
			continue
		}
		switch {
		case best < 0 || n < s.slots[best%scheduleSlots]:
			best, equals = slot, 1
		case n == s.slots[best%scheduleSlots]: // a random choice among equals, or all would take the first
			if equals++; rng.Float64() < 1/equals {
				best = slot
			}
		}
	}
	s.slots[best%scheduleSlots] += expectedRetryRatio
	delay := (float64(best)+rng.Float64())*slotMs - now
	return math.Min(math.Max(delay, minMs), maxMs)
}

// refusedRequests remembers when requests were refused, by their key. It keeps two generations, so that it is bounded
// and forgets the oldest.
type refusedRequests struct {
	limit         int
	recent, older map[uint64]float64
}

func (r *refusedRequests) len() int { return len(r.recent) + len(r.older) }

func (r *refusedRequests) add(key uint64, now float64) {
	if r.recent == nil || len(r.recent) >= max(r.limit/2, 1) {
		r.older, r.recent = r.recent, make(map[uint64]float64, min(r.limit/2, 1024))
	}
	r.recent[key] = now
}

// contains tells whether a request was refused within the last withinMs.
func (r *refusedRequests) contains(key uint64, now, withinMs float64) bool {
	refusedAt, ok := r.recent[key]
	if !ok {
		refusedAt, ok = r.older[key]
	}
	return ok && now-refusedAt <= withinMs
}

func (r *refusedRequests) remove(key uint64) {
	delete(r.recent, key)
	delete(r.older, key)
}
