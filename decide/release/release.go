// Package release decides how a viewer is notified that its session has ended: on which connection the release
// message is written, when it is written again because its connection closed or no confirmation came, and when it is
// discarded.
//
// The package is pure: events and their time go in by Step, the messages to write come out. Session IDs are the
// caller's, connection IDs are those of package connmgr.
//
// States of a release, and what the events do:
//
//	Due   no connection is available
//	      Tick: written if a connection is available now.
//	Sent  written, but not yet confirmed by the viewer (its message `released`)
//	      ConnectionClosed, of the connection last written on: written on another, or Due if there is none.
//	      Tick: written on another as well if RetransmitMs have passed, on at most maxConnections.
//	any   Confirmed: discarded. Tick: discarded after RetentionMs. SessionEnded, of another session: the
//	      oldest release is discarded if there are MaxPending.
//
// Only the viewer's own confirmation proves that a release was read: one that was written on a connection while the
// peer was closing it is read by nobody.
package release

import (
	"slices"

	"headmill/decide/connmgr"
)

// SessionID is the caller's ID of a session.
type SessionID uint64

// Config has the limits; times are in ms.
type Config struct {
	RetentionMs  float64 // how long a release is kept without the viewer's confirmation
	RetransmitMs float64 // after this time without confirmation it is written on another connection as well
	MaxPending   int     // releases kept; at this limit the oldest is discarded
}

// maxConnections is the largest number of open connections on which one release is written. Without it, viewers that
// confirm nothing would turn each ended session into one message on every connection.
const maxConnections = 3

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of events, with the fields that each one sets.
const (
	SessionEnded     EventKind = iota // Session, Cause, Conn: the connection of its set-up, 0 if that has closed
	Confirmed                         // Session: its viewer has confirmed the release
	ConnectionClosed                  // Conn
	Tick                              // time passes
)

// Event is one input of Step.
type Event struct {
	Kind    EventKind
	Session SessionID
	Cause   int // Q.850 cause of the end, passed through
	Conn    connmgr.ConnID
}

// Transmission is one release to write on a connection.
type Transmission struct {
	Session SessionID
	Cause   int // that of the SessionEnded event
	Conn    connmgr.ConnID
}

// ConnectionSelector finds the best connection for a message that belongs to no connection.
type ConnectionSelector interface {
	// SelectForMessage returns false if there is no connection for which skip returns false.
	SelectForMessage(skip func(connmgr.ConnID) bool) (connmgr.ConnID, bool)
}

// pending is a release that its viewer has not confirmed.
type pending struct {
	Transmission    // Conn is 0 while the release is due
	endedAt, sentAt float64
	triedConns      []connmgr.ConnID // it was written on these, and they are still open as far as is known
}

// Retransmitter is the state of all releases that their viewers have not confirmed.
type Retransmitter struct {
	cfg      Config
	releases []*pending // oldest first
	selector ConnectionSelector
}

// New returns a Retransmitter without releases that finds its connections with selector.
func New(cfg Config, selector ConnectionSelector) *Retransmitter {
	return &Retransmitter{cfg: cfg, selector: selector}
}

// Len returns the number of releases that have not been confirmed.
func (rt *Retransmitter) Len() int { return len(rt.releases) }

// Step handles one event and appends the releases to write to out.
func (rt *Retransmitter) Step(now float64, ev Event, out []Transmission) []Transmission {
	switch ev.Kind {
	case SessionEnded:
		if len(rt.releases) >= rt.cfg.MaxPending {
			rt.releases = slices.Delete(rt.releases, 0, 1)
		}
		r := &pending{Transmission: Transmission{Session: ev.Session, Cause: ev.Cause}, endedAt: now}
		rt.releases = append(rt.releases, r)
		if ev.Conn != 0 {
			return r.send(now, ev.Conn, out)
		}
		return rt.sendOnBest(r, now, out)
	case Confirmed:
		rt.releases = slices.DeleteFunc(rt.releases, func(r *pending) bool { return r.Session == ev.Session })
	case ConnectionClosed:
		for _, r := range rt.releases {
			r.triedConns = slices.DeleteFunc(r.triedConns, func(c connmgr.ConnID) bool { return c == ev.Conn })
			if r.Conn == ev.Conn { // the viewer may not have read it
				r.Conn = 0
				out = rt.sendOnBest(r, now, out)
			}
		}
	case Tick:
		rt.releases = slices.DeleteFunc(rt.releases, func(r *pending) bool {
			return now-r.endedAt >= rt.cfg.RetentionMs
		})
		for _, r := range rt.releases {
			if r.Conn == 0 || now-r.sentAt >= rt.cfg.RetransmitMs && len(r.triedConns) < maxConnections {
				out = rt.sendOnBest(r, now, out)
			}
		}
	}
	return out
}

// sendOnBest writes a release on the best connection that has not had it; if there is none, it stays as it is.
func (rt *Retransmitter) sendOnBest(r *pending, now float64, out []Transmission) []Transmission {
	conn, ok := rt.selector.SelectForMessage(func(c connmgr.ConnID) bool { return slices.Contains(r.triedConns, c) })
	if !ok {
		return out
	}
	return r.send(now, conn, out)
}

func (r *pending) send(now float64, conn connmgr.ConnID, out []Transmission) []Transmission {
	r.Conn, r.sentAt = conn, now
	r.triedConns = append(r.triedConns, conn)
	return append(out, r.Transmission)
}
