package faults

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// The figures of the platform's pages. Every time limit is limitSlack longer.
const (
	limitSlack        = 50 * time.Millisecond
	lateAnswerLimit   = 500 * time.Millisecond  // an answer up to so much after its time only earns nothing
	unawareWindow     = 700 * time.Millisecond  // a request up to so long after SIGTERM may be found unanswered by SIGKILL
	releaseLimit      = time.Second             // from the media node's or the director's release to the viewer's
	releaseFromEnd    = 8 * time.Second         // from a session's end, where no release could be sent
	adoptionDelay     = 200 * time.Millisecond  // what a director is handed counts so much later
	drainGrace        = 250 * time.Millisecond  // for new set-ups after a drain was told
	toldLimit         = 1500 * time.Millisecond // a change counts as told so long after it happened
	toldAfterTrouble  = 6 * time.Second         // and so long after discovery had it and could be reached, after trouble
	startAfterLeaving = 100 * time.Millisecond  // an attempt may begin so long after its client left
	leastOpen         = 200 * time.Millisecond  // a connection open for so long is one that a release could be sent on
	tellLimit         = 2 * time.Second         // for a media node that is there to be told of a session that was given up
	attemptOrderSlack = limitSlack              // two media nodes' records of one director's order
)

// check returns the broken rules of the run.
func (w *world) check() []string {
	end := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	attempts := map[uint64][]*attemptRecord{}
	for _, a := range w.attempts {
		attempts[a.id] = append(attempts[a.id], a)
		if w.requests[a.id] == nil {
			w.violations = append(w.violations, fmt.Sprintf("set-up %016x at %s was sent by no viewer", a.id, a.node))
		}
		w.checkDrain(a)
	}
	for _, r := range w.order {
		slices.SortStableFunc(attempts[r.id], func(a, b *attemptRecord) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
		w.checkAnswer(r, end)
		w.checkAttempts(r, attempts[r.id])
	}
	for _, s := range w.sessions {
		w.checkRelease(s, end)
		w.checkGivenUp(s, end)
	}
	w.checkSeats(attempts)
	return w.violations
}

func (w *world) broken(format string, a ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, a...))
}

// checkAnswer checks that a request got its one answer in time.
func (w *world) checkAnswer(r *request, end time.Duration) {
	if r.sentAt == 0 {
		return
	}
	// A process that stood still can't know how long what it reads has waited.
	due := r.readBy.runUntil(r.sentAt, r.wait+lateAnswerLimit+limitSlack)
	switch {
	case len(r.extraAnswers) > 0:
		w.broken("second answer (%v) after %d, cause %d at %.3f, left %.3f, resent %v: %v", r.extraAnswers, r.answer,
			r.cause, r.answeredAt.Seconds(), r.leftAt.Seconds(), r.resent, r)
	case r.answer == answerPlays && w.sdps[r.sdp] != r.id:
		w.broken("served with what no media node made for it: %v: %q", r, r.sdp)
	case r.answer != noAnswer:
		if r.answeredAt > due {
			w.broken("answered at %.3f, too late: %v", r.answeredAt.Seconds(), r)
		}
	case r.leftAt > 0 || r.newConnFailed: // no answer is owed
	case r.connEndedAt > 0 && w.endedByKill(r): // counted there
	case r.connEndedAt > 0:
		w.broken("connection ended at %.3f with no answer: %v%s", r.connEndedAt.Seconds(), r, r.life.describe())
	case end > due:
		w.broken("no answer: %v", r)
	}
}

// endedByKill tells whether a request's connection ended with a process that was killed when nothing was owed to it.
func (w *world) endedByKill(r *request) bool {
	life := r.life
	life.lock(r.director)
	defer r.director.mu.Unlock()
	if life.killedAt == 0 || r.connEndedAt < life.killedAt-limitSlack {
		return false
	}
	if life.termAt == 0 { // killed outright
		return true
	}
	return r.sentAt <= life.termAt+unawareWindow || r.sentAt > life.killedAt-limitSlack
}

func (l *lifetime) lock(d *director) { d.mu.Lock() }

func (l *lifetime) describe() string {
	return fmt.Sprintf(" (SIGTERM %.3f, SIGKILL %.3f, exit %.3f)", l.termAt.Seconds(), l.killedAt.Seconds(),
		l.exitedAt.Seconds())
}

// checkAttempts checks the attempts of a request, which are in the order of their arrival.
func (w *world) checkAttempts(r *request, attempts []*attemptRecord) {
	for i, a := range attempts {
		if a.late {
			continue
		}
		if r.leftAt > 0 && a.firstByteAt > r.leftAt+startAfterLeaving+limitSlack {
			w.broken("attempt at %s at %.3f after its viewer left at %.3f: %v", a.node, a.firstByteAt.Seconds(),
				r.leftAt.Seconds(), r)
		}
		if i == 0 {
			continue
		}
		before := attempts[i-1]
		heard := !before.late && !before.at.frozen.touch(a.arrivedAt, a.arrivedAt) // else it hears late that it was given up
		if heard && (before.ended == endOpen || a.arrivedAt < before.endedAt-attemptOrderSlack) {
			w.broken("two attempts out: at %s from %.3f to %.3f, at %s from %.3f: %v", before.node,
				before.arrivedAt.Seconds(), before.endedAt.Seconds(), a.node, a.arrivedAt.Seconds(), r)
		}
		if classes[r.class] == "paid" && before.ended != endNeverRan {
			w.broken("paid set-up sent again after an attempt at %s that may have run (end %d): %v", before.node,
				before.ended, r)
		}
	}
	if last := len(attempts) - 1; classes[r.class] == "paid" && r.answer == answerRefused && last >= 0 &&
		attempts[last].ended != endNeverRan {
		w.broken("paid set-up refused (cause %d) after an attempt at %s that may have run: %v", r.cause,
			attempts[last].node, r)
	}
}

// checkRelease checks that the viewer of a session that is over was told in time.
func (w *world) checkRelease(s *session, end time.Duration) {
	r := w.requests[s.id]
	if r == nil || s.endedAt == 0 || r.answer != answerPlays || r.leftAt > 0 {
		return
	}
	handed := s.adoptedAt // 0 for most
	if handed > 0 {
		handed += adoptionDelay
	}
	due := max(s.endedAt, handed) + releaseFromEnd + limitSlack
	writtenAt := s.firstWriteToLive(r.director)
	if writtenAt > 0 {
		due = max(writtenAt, handed) + releaseLimit + limitSlack
	}
	if s.endCause == causeCancelled { // ended by its director
		due = max(s.endedAt, handed) + releaseLimit + limitSlack
	}
	due = max(due, r.answeredAt+limitSlack)
	if !w.couldBeTold(r, due-releaseLimit-limitSlack, due) {
		due = max(s.endedAt, handed) + releaseFromEnd + limitSlack
	}
	if from := min(due, s.endedAt); due > from {
		due = r.life.runUntil(from, due-from)
	}
	if r.releasedAt > 0 && r.releasedAt <= due {
		return
	}
	r.director.mu.Lock()
	gone := max(r.life.exitedAt, r.life.killedAt)
	r.director.mu.Unlock()
	if gone > 0 && gone < due || end < due {
		return
	}
	if len(s.writes) > 0 && writtenAt == 0 { // no process that lives can know of it
		return
	}
	how := ""
	if s.writtenOn != nil {
		how = " on a connection " + s.writtenOn.ended
	}
	w.broken("session ended at %s at %.3f (cause %d, release written %.3f%s), released %.3f, due %.3f: %v%s",
		s.node.name, s.endedAt.Seconds(), s.endCause, s.writtenAt.Seconds(), how, r.releasedAt.Seconds(), due.Seconds(), r,
		r.life.describe())
}

// firstWriteToLive returns when the media node first wrote the release on a connection of a process that lived then, or 0. It
// may not have read the ends of others yet.
func (s *session) firstWriteToLive(d *director) time.Duration {
	for _, write := range s.writes {
		openedAt := write.nc.openedAt
		if write.nc.late {
			openedAt = write.nc.waitedFrom
		}
		if !d.endedBetween(openedAt, write.at) {
			return write.at
		}
	}
	return 0
}

// checkGivenUp checks that no session was given up that plays at a media node which was there all the time, and that one which
// was given up is ended once its media node is there.
func (w *world) checkGivenUp(s *session, end time.Duration) {
	r := w.requests[s.id]
	if r == nil || r.answer != answerPlays || r.releasedAt == 0 || r.leftAt > 0 || w.sdps[r.sdp] != s.id {
		return
	}
	plays := s.endedAt == 0 || s.endedAt > r.releasedAt+limitSlack
	if plays && !s.node.away.touch(r.releasedAt-releaseFromEnd, r.releasedAt) {
		w.broken("session given up at %.3f, though %s plays it: %v%s", r.releasedAt.Seconds(), s.node.name, r, r.life.describe())
	}
	if s.endedAt == 0 && !s.node.away.touch(end-tellLimit, end) && !s.node.frozen.touch(end-tellLimit, end) && r.releasedAt < end-tellLimit && !r.life.hasEnded(r.director) {
		w.broken("session given up at %.3f still plays at %s: %v%s", r.releasedAt.Seconds(), s.node.name, r,
			r.life.describe())
	}
}

// hasEnded tells whether the process has ended or was told to.
func (l *lifetime) hasEnded(d *director) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return l.exitedAt > 0 || l.termAt > 0 || l.killedAt > 0
}

// checkSeats checks that no attempt of the class with seats arrived while all seats of its title were held.
func (w *world) checkSeats(attempts map[uint64][]*attemptRecord) {
	if w.settings.seats == 0 {
		return
	}
	type seatKey struct {
		life  *lifetime
		title uint64
	}
	groups := map[seatKey][]*request{}
	for _, r := range w.order {
		if r.class == 0 {
			key := seatKey{r.life, r.title}
			groups[key] = append(groups[key], r)
		}
	}
	for key, requests := range groups {
		for _, r := range requests {
			for _, a := range attempts[r.id] {
				held, others := 1, ""
				for _, other := range requests {
					if other != r && w.holdsSeat(other, attempts[other.id], a.arrivedAt) {
						held++
						others += fmt.Sprintf(" %016x", other.id)
						if s := w.sessions[other.id]; s != nil {
							others += fmt.Sprintf(" at %s from %.3f", s.node.name, s.startedAt.Seconds())
						}
					}
				}
				if held > w.settings.seats && !a.late {
					w.broken("set-up at %s at %.3f is session %d of title %x, %d may be held: %v; others:%s", a.node, a.arrivedAt.Seconds(),
						held, key.title, w.settings.seats, r, others)
				}
			}
		}
	}
}

// holdsSeat tells whether a request holds a seat of its director at a moment, and still does a little later: an attempt is
// out, or the session that its viewer was given plays and neither its viewer nor its director has ended it.
func (w *world) holdsSeat(r *request, attempts []*attemptRecord, at time.Duration) bool {
	until := at + limitSlack
	if r.leftAt > 0 && r.leftAt <= until {
		return false
	}
	if r.answeredAt == 0 || r.answeredAt > until {
		for _, a := range attempts {
			if a.arrivedAt <= at && (a.ended == endOpen || a.endedAt > until) {
				return true
			}
		}
	}
	s := w.sessions[r.id]
	return s != nil && r.answer == answerPlays && w.sdps[r.sdp] == s.id && s.startedAt <= at &&
		s.adoptedAt+adoptionDelay <= at && (s.endedAt == 0 || s.endedAt > until)
}

// couldBeTold tells whether a viewer had a connection to the process for long enough between two times that a release
// could be sent on it.
func (w *world) couldBeTold(r *request, from, to time.Duration) bool {
	return slices.ContainsFunc(w.conns, func(v *viewerConn) bool {
		return v.life == r.life && v.openIn(from, to) > leastOpen
	})
}

// checkDrain checks that an attempt's media node was not told to be draining or gone.
func (w *world) checkDrain(a *attemptRecord) {
	r := w.requests[a.id]
	if r == nil || a.late {
		return
	}
	var last listEvent
	w.list.mu.Lock()
	for _, ev := range w.list.history {
		if ev.node == a.node && ev.at < a.firstByteAt {
			last = ev
		}
	}
	w.list.mu.Unlock()
	if before := a.at.before; before != nil && !a.at.holds(r) {
		w.checkSuccessor(a, before, r)
	}
	if last.version == 0 || last.ready {
		return
	}
	told := r.director.toldAt(last, r.life)
	if a.firstByteAt > told+drainGrace+limitSlack {
		w.broken("set-up %016x from n%d to %s at %.3f: its drain of %.3f (v%d) was told at %.3f", a.id, a.director, a.node,
			a.firstByteAt.Seconds(), last.at.Seconds(), last.version, told.Seconds())
	}
}

// checkSuccessor checks an attempt for a title that its media node does not hold: it can only be meant for the one that had
// the address before, and must not come after that one's removal was told.
func (w *world) checkSuccessor(a *attemptRecord, before *mediaNode, r *request) {
	w.list.mu.Lock()
	i := slices.IndexFunc(w.list.history, func(ev listEvent) bool { return ev.node == before.name && !ev.ready })
	removed := w.list.history[i]
	for _, ev := range w.list.history {
		if ev.node == before.name && !ev.ready {
			removed = ev
		}
	}
	w.list.mu.Unlock()
	if told := r.director.toldAt(removed, r.life); a.firstByteAt > told+drainGrace+limitSlack {
		w.broken("set-up %016x from n%d to %s, which does not hold its title, at %.3f: the removal of %s at %.3f (v%d) was told at %.3f",
			a.id, a.director, a.node, a.firstByteAt.Seconds(), before.name, removed.at.Seconds(), removed.version, told.Seconds())
	}
}

// toldAt is when a change counts as told to a process.
func (d *director) toldAt(ev listEvent, life *lifetime) time.Duration {
	if life.listVersion >= ev.version {
		return life.startedAt
	}
	e := d.discovery
	e.mu.Lock()
	defer e.mu.Unlock()
	told := max(ev.at, e.upSince, life.startedAt) + toldAfterTrouble
	if e.troubleFree(ev.at) {
		told = ev.at + toldLimit
	}
	for version, at := range e.told {
		if version >= ev.version && at >= life.startedAt {
			told = min(told, at)
		}
	}
	return told
}

// troubleFree tells whether the endpoint answered all queries around a moment. The endpoint's lock is held.
func (e *discoveryEndpoint) troubleFree(at time.Duration) bool {
	return e.mode == discoveryUp && e.upSince == 0
}

// report fails the test with the broken rules, the faults of the run and the ends of the directors' logs.
func (w *world) report(what string) {
	w.t.Helper()
	broken := w.check()
	counts := map[viewerAnswer]int{}
	lost := 0
	w.record(func() {
		for _, r := range w.order {
			if r.sentAt == 0 {
				continue
			}
			counts[r.answer]++
			if r.answer == noAnswer && r.leftAt == 0 {
				lost++
			}
		}
	})
	w.t.Logf("%s: %d played, %d refused, %d failed, %d without an answer (%d left before); %d attempts, %d rules broken",
		what, counts[answerPlays], counts[answerRefused], counts[answerFailed], counts[noAnswer],
		counts[noAnswer]-lost, len(w.attempts), len(broken))
	if len(broken) == 0 {
		return
	}
	w.t.Errorf("%s: %d rules broken:\n%s\nfaults:\n%s", what, len(broken),
		strings.Join(broken[:min(len(broken), 12)], "\n"), strings.Join(w.notes, "\n"))
	if dir := os.Getenv("FAULT_LOGS"); dir != "" {
		for _, d := range w.directors {
			text, _ := os.ReadFile(d.logPath)
			os.WriteFile(fmt.Sprintf("%s/%s-n%d.log", dir, strings.ReplaceAll(what, " ", "-"), d.index), text, 0o644)
		}
	}
}
