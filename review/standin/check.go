package main

import (
	"fmt"
	"time"
)

// violations are the broken rules that were seen; a case may name which of them it checks.
var violations []string

func (w *world) violation(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	violations = append(violations, text)
	w.logf("RULE BROKEN: %s", text)
}

// other notes a break of a rule that the case is not about; only the search "chaos" counts it.
func (w *world) other(format string, a ...any) {
	if w.p.All {
		w.violation(format, a...)
		return
	}
	w.logf("note: "+format, a...)
}

const slackMs = 50.0 // every time limit is 50 ms longer on sockets

// checkArrival checks the rules on attempts when a set-up arrives at a media node.
func (w *world) checkArrival(r *request, a *attempt) {
	for _, old := range r.attempts {
		if old == a {
			continue
		}
		if !old.ended { // a release that was written before may be read a little later
			time.AfterFunc(time.Duration(slackMs*float64(time.Millisecond)), func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if !old.ended && old.node.paused == nil {
					w.other("session %016x: a second attempt arrives at %s while the one at %s is out", r.id, a.node.name, old.node.name)
				}
			})
		}
		if classes[r.class].semantics == "once" && !old.neverRan {
			w.other("paid session %016x is sent to %s again, though the attempt at %s may have run (%s)", r.id, a.node.name, old.node.name, old.how)
		}
	}
	if n := a.node; n.leftAt > 0 {
		told := n.leftAt + 1500
		if n.toldAt > 0 && n.toldAt < told {
			told = n.toldAt
		}
		if a.arrived > told+w.p.DrainGraceMs+slackMs {
			text := fmt.Sprintf("%s gets set-up %016x %.0f ms after the list changed to draining or gone, %.0f ms after the director counts as told",
				n.name, r.id, a.arrived-n.leftAt, a.arrived-told)
			w.drainBreaks = append(w.drainBreaks, text)
			w.other("%s", text)
		}
	}
	if len(r.attempts) > w.p.MaxAttempts {
		w.other("session %016x: attempt %d", r.id, len(r.attempts))
	}
	if r.givenUp && !r.connLost {
		w.logf("note: set-up %016x arrives after its viewer gave up", r.id)
	}
	for _, ans := range r.answers {
		if w.ms() < a.node.resumedAt+500 {
			break // the media node stood still and reads late
		}
		w.other("session %016x is sent to %s after its final answer (%s, cause %d)", r.id, a.node.name, ans.kind, ans.cause)
	}
	if w.p.Seats > 0 && r.class == 0 {
		held := 0
		for _, other := range w.order {
			if other.class == 0 && other.title == r.title && other != r && w.heldBefore(other) {
				held++
			}
		}
		if held+1 > w.p.Seats {
			w.other("seats: %d sessions of title %016x are held with %016x, %d are allowed", held+1, r.title, r.id, w.p.Seats)
		}
	}
}

// heldBefore tells whether a session of another request counts for its director: an attempt is out, or it stands and
// neither its viewer nor the director has ended it.
func (w *world) heldBefore(r *request) bool {
	if r.endedByUs || r.givenUp || r.connLost {
		return false
	}
	for _, a := range r.attempts {
		if !a.ended || a.answered && !r.over && !r.released {
			return true
		}
	}
	return false
}

// checkAnswer checks the newest message about a request.
func (w *world) checkAnswer(r *request) {
	a := r.answers[len(r.answers)-1]
	if !a.initial {
		first := r.answers[0]
		if first.kind == "release" {
			w.other("session %016x has a second answer: %s, cause %d, after cause %d", r.id, a.kind, a.cause, first.cause)
		} else if a.kind == "answer" {
			w.other("session %016x is answered twice", r.id)
		} else if !r.over && !r.endedByUs {
			w.logf("note: session %016x is released towards its viewer (cause %d), though it plays at its media node", r.id, a.cause)
		}
		return
	}
	if a.at > r.sentAt+r.leftMs+slackMs && !r.givenUp {
		w.other("session %016x is answered %.0f ms after it was sent; its viewer waits for %.0f ms", r.id, a.at-r.sentAt, r.leftMs)
	}
	if a.kind == "answer" {
		ok := false
		for _, att := range r.attempts {
			ok = ok || att.answered && a.sdp == att.node.sdp(r)
		}
		if !ok && !w.p.Processes { // a process reports its answers a little later
			w.other("session %016x: no media node gave the description %q", r.id, a.sdp)
		}
		return
	}
	refused := a.cause == causeFull || a.cause == causeCongested || a.cause == causeMoot
	if refused && classes[r.class].semantics == "once" {
		for _, att := range r.attempts {
			if !att.neverRan {
				w.other("paid session %016x is refused (cause %d), though the attempt at %s may have run (%s)", r.id, a.cause, att.node.name, att.how)
			}
		}
	}
}

// checkEnd checks what must have happened by the end: every request has its answer, every session that is over its
// release.
func (w *world) checkEnd() {
	now := w.ms()
	for _, r := range w.order {
		if len(r.answers) == 0 && !r.connLost && (!r.endedByUs) && now > r.sentAt+r.leftMs+slackMs {
			w.other("session %016x has no answer, %.0f ms after it was sent", r.id, now-r.sentAt)
		}
		if r.over && r.overWhy != afterStanding && !r.endedByUs && !r.givenUp && !r.connLost && len(r.answers) > 0 && r.answers[0].kind == "answer" {
			switch {
			case !r.released && now > r.overAt+8000+slackMs:
				w.other("session %016x is over (%s), and %.0f ms later its viewer has no release", r.id, r.overWhy, now-r.overAt)
			case r.released && r.releasedAt > r.overAt+8000+slackMs:
				w.other("session %016x is over (%s), and its viewer hears of it after %.0f ms", r.id, r.overWhy, r.releasedAt-r.overAt)
			case r.released && r.overWhy == "its own end" && r.releasedAt > r.overAt+1000+slackMs:
				w.logf("note: session %016x: release %.0f ms after the media node's", r.id, r.releasedAt-r.overAt)
			}
		}
	}
}
