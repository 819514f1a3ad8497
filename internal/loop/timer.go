package loop

import (
	"container/heap"
)

// Timer is a scheduled call.
type Timer struct {
	dueMs    float64
	seq      uint64
	index    int
	callback func()
}

// timerHeap orders timers by due time, and by creation where the due times are equal.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].dueMs < h[j].dueMs || h[i].dueMs == h[j].dueMs && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *timerHeap) Push(x any)   { t := x.(*Timer); t.index = len(*h); *h = append(*h, t) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// At schedules f for the first iteration at or after the time at, in ms on the clock of Now.
func (l *Loop) At(at float64, f func()) *Timer {
	l.timerSeq++
	t := &Timer{dueMs: at, seq: l.timerSeq, callback: f}
	heap.Push(&l.timers, t)
	return t
}

// After schedules f for ms milliseconds after Now.
func (l *Loop) After(ms float64, f func()) *Timer { return l.At(l.now+ms, f) }

// Cancel removes a timer; it does nothing for nil and for timers that have fired.
func (l *Loop) Cancel(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
		t.index = -1
	}
}
