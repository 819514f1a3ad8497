// Package redelivery decides when a director opens a further connection to a
// media node so that the releases which the media node sent into an ended
// connection are delivered again.
//
// A media node sends the release of a session on the connection of its set-up,
// otherwise on any open one, and once more on the next connection that it
// accepts. No release is acknowledged, and none is sent a third time. The first
// copy is lost where its connection has ended and the media node has not
// handled the end yet, whichever side closed it. The second copy arrives if a
// connection is accepted after the first was sent, so a connection that was
// accepted a moment too early is of no use. Only time separates the two cases:
// an end says nothing about what its peer is still about to write.
//
// A session is exposed while the connection of its set-up has ended, or was one
// of an earlier process of the director: its release may be sent on any
// connection, also on one that has just ended. A release that belongs to an
// open connection is not lost without the end of that connection.
//
// The package is pure: one Schedule for each media node takes events with their
// time (ms) and says when a connection is due. A connection counts by the time
// at which it was dialled, as the media node accepts it later than that, and
// only once it has come up.
//
//	state      entered                                    a connection is due
//	Settled    at first; when no session is exposed       never
//	Unsettled  at the end of a connection                 SettleMs after the end, if the media node ever wrote on the
//	                                                      connection; in any case RefreshMs after the newest one
//	Responsive at the first bytes received SettleMs or    as in Unsettled; Settled follows with the first connection
//	           more after the last end                    that was dialled SettleMs after them, and RefreshMs after
//	                                                      that end
//
// A media node that has sent something since an end handles it within RefreshMs
// of the end. One that sends nothing may stand still with unread ends, so it
// gets connections for as long as a session is exposed.
package redelivery

import "math"

// Config has the times, in ms.
type Config struct {
	// SettleMs is the time that a running media node takes at most to handle the end of a connection.
	SettleMs float64
	// RefreshMs is the longest time between two connections while Unsettled; no two are due for this reason within it.
	RefreshMs float64
	// RetryMs is the least time between two dials. It doubles with each one in a row that fails, up to RefreshMs.
	RetryMs float64
}

// State is the state of a Schedule; see the package comment.
type State uint8

// The states.
const (
	Settled State = iota
	Unsettled
	Responsive
)

// Schedule is the state of the connections to one media node. The zero value is not usable; see New.
type Schedule struct {
	cfg          Config
	state        State
	unsettledAt  float64 // when the state was last left for Unsettled
	endedAt      float64 // of the last connection that ended
	writtenEndAt float64 // of the last connection that ended and had been written on by the media node
	promptAt     float64 // a connection must be dialled at or after this; infinite: none is due at once
	respondedAt  float64 // when the state became Responsive
	newestDial   float64 // when the newest connection that came up was dialled
	lastDial     float64 // when the newest one was dialled, whether it came up or not
	retryMs      float64 // least time from lastDial to the next
}

// New returns the Schedule of a media node without connections.
func New(cfg Config) *Schedule {
	never := math.Inf(-1)
	return &Schedule{cfg: cfg, promptAt: math.Inf(1), newestDial: never, lastDial: never, retryMs: cfg.RetryMs}
}

// State returns the state.
func (s *Schedule) State() State { return s.state }

// ConnectionEnded handles the end of a connection that had come up, by whichever side; written tells that the media node had
// sent something on it.
func (s *Schedule) ConnectionEnded(now float64, written bool) {
	s.unsettle(now)
	if !written {
		return
	}
	s.writtenEndAt = now
	s.promptAt = math.Min(s.promptAt, now+s.cfg.SettleMs)
}

// SessionAdopted handles a session that was set up by an earlier process of the director, on a connection that has ended
// with that.
func (s *Schedule) SessionAdopted(now float64) { s.unsettle(now) }

func (s *Schedule) unsettle(now float64) {
	if s.state == Settled {
		s.unsettledAt = now
	}
	s.state, s.endedAt = Unsettled, now
}

// BytesReceived handles bytes from the media node, on any connection.
func (s *Schedule) BytesReceived(now float64) {
	if s.state == Unsettled && now >= s.endedAt+s.cfg.SettleMs {
		s.state, s.respondedAt = Responsive, now
	}
}

// Dialled notes that a connection is being opened.
func (s *Schedule) Dialled(now float64) { s.lastDial = now }

// DialFailed handles a connection that has not come up: refused, or too late.
func (s *Schedule) DialFailed() { s.retryMs = math.Min(2*s.retryMs, s.cfg.RefreshMs) }

// ConnectionUp handles a connection that has come up.
func (s *Schedule) ConnectionUp(dialledAt float64) {
	s.retryMs = s.cfg.RetryMs
	s.newestDial = math.Max(s.newestDial, dialledAt)
	if dialledAt >= s.promptAt {
		s.promptAt = math.Inf(1)
		if s.writtenEndAt+s.cfg.SettleMs/2 > dialledAt { // its end came too late to be covered by this connection
			s.promptAt = s.writtenEndAt + s.cfg.SettleMs
		}
	}
	if s.state == Responsive && dialledAt >= s.respondedAt+s.cfg.SettleMs && dialledAt >= s.endedAt+s.cfg.RefreshMs {
		s.state = Settled
	}
}

// Due reports whether a connection is to be dialled now. exposed tells whether a session of the media node is exposed.
func (s *Schedule) Due(now float64, exposed bool) bool {
	if !exposed {
		s.state, s.promptAt = Settled, math.Inf(1)
		return false
	}
	if now < s.lastDial+s.retryMs {
		return false
	}
	return now >= s.promptAt || now >= s.refreshAt()
}

// refreshAt is when a connection is due for the state alone.
func (s *Schedule) refreshAt() float64 {
	refreshAt := math.Max(s.newestDial, s.unsettledAt) + s.cfg.RefreshMs
	switch s.state {
	case Settled:
		return math.Inf(1)
	case Responsive:
		return math.Max(refreshAt, s.respondedAt+s.cfg.SettleMs)
	}
	return refreshAt
}
