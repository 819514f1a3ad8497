package release

import "slices"

// earlyEnd is the end of a session that the director did not know.
type earlyEnd struct {
	session SessionID
	cause   int
	at      float64 // ms
}

// EarlyEnds remembers ends of sessions that the director does not know yet: after a start, a media node may report the end
// of a session before the session's viewer has named it. The zero value with its limits set is ready for use.
type EarlyEnds struct {
	RetentionMs float64
	MaxEnds     int        // at this limit the oldest is forgotten
	ends        []earlyEnd // oldest first
}

// Add remembers the end of a session.
func (e *EarlyEnds) Add(now float64, session SessionID, cause int) {
	e.expire(now)
	if len(e.ends) >= e.MaxEnds {
		e.ends = slices.Delete(e.ends, 0, 1)
	}
	e.ends = append(e.ends, earlyEnd{session, cause, now})
}

// Take returns the cause of a session's end that came before its viewer named it, and forgets it.
func (e *EarlyEnds) Take(now float64, session SessionID) (cause int, ok bool) {
	e.expire(now)
	i := slices.IndexFunc(e.ends, func(end earlyEnd) bool { return end.session == session })
	if i < 0 {
		return 0, false
	}
	cause = e.ends[i].cause
	e.ends = slices.Delete(e.ends, i, i+1)
	return cause, true
}

func (e *EarlyEnds) expire(now float64) {
	e.ends = slices.DeleteFunc(e.ends, func(end earlyEnd) bool { return now-end.at >= e.RetentionMs })
}
