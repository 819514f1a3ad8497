package release

import "slices"

// NodeID is the caller's ID of a media node.
type NodeID uint64

// earlyEnd is the end of a session that the director did not know.
type earlyEnd struct {
	session SessionID
	node    NodeID
	cause   int
	at      float64 // ms
}

// EarlyEnds remembers ends of sessions that the director does not know yet: after a start, a media node may report the end
// of a session before the session's viewer has named it. An end is that of the session at one media node: an attempt may have
// ended there, and the session play at another. The zero value with its limits set is ready for use.
type EarlyEnds struct {
	RetentionMs float64
	MaxEnds     int        // at this limit the oldest is forgotten
	ends        []earlyEnd // oldest first
}

// Add remembers the end of a session that a media node has reported.
func (e *EarlyEnds) Add(now float64, session SessionID, node NodeID, cause int) {
	e.expire(now)
	if len(e.ends) >= e.MaxEnds {
		e.ends = slices.Delete(e.ends, 0, 1)
	}
	e.ends = append(e.ends, earlyEnd{session: session, node: node, cause: cause, at: now})
}

// Take returns the cause of a session's end, and forgets it, if the media node where its viewer says that it plays has reported
// it before.
func (e *EarlyEnds) Take(now float64, session SessionID, node NodeID) (cause int, ok bool) {
	e.expire(now)
	i := slices.IndexFunc(e.ends, func(end earlyEnd) bool { return end.session == session && end.node == node })
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
