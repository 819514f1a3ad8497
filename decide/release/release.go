// Package release decides how a viewer hears that its session is over: on
// which connection the release is written, when it is written again because
// its connection closed or nothing came back, and when it is let go of.
//
// It is pure: facts with their time go in by Step, actions come out. Numbers of
// sessions are the caller's, connections are decide/door's.
//
//	Due    no connection could take it: the next look that finds one writes it
//	Sent   written, and not yet confirmed by `released`
//
// A release that was written on a connection whose peer was closing it is read
// by nobody, so only the viewer's own word ends the wait.
package release

import (
	"slices"

	"headmill/decide/connmgr"
)

// Session is the caller's number.
type SessionID uint64

// Config has the bounds; times in ms.
type Config struct {
	RetentionMs  float64 // for which a release is kept that no viewer has confirmed
	RetransmitMs float64 // after which one that is not confirmed is written on another connection too
	MaxPending   int     // releases kept; over it the oldest is let go of
}

// sends is on how many connections that stay open a release is written: viewers that confirm nothing must not turn each
// end into one message for every connection.
const sends = 3

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	SessionEnded     EventKind = iota // Session, Cause, Conn: it has ended; Conn is that of its set-up, 0 where it is closed
	Confirmed                         // Session: its viewer knows
	ConnectionClosed                  // Conn: it is closed
	Tick
)

// Event is one fact.
type Event struct {
	Kind    EventKind
	Session SessionID
	Cause   int
	Conn    connmgr.ConnID
}

// Send is one release to write.
type Transmission struct {
	Session SessionID
	Cause   int
	Conn    connmgr.ConnID
}

// Voices finds the best connection for a word that belongs to none; skip tells which are not wanted.
type ConnectionSelector interface {
	SelectForMessage(skip func(connmgr.ConnID) bool) (connmgr.ConnID, bool)
}

type pending struct {
	Transmission // Conn is 0 while it is due
	over, sent   float64
	tried        []connmgr.ConnID // that are open still, as far as told
}

// Pending is the state for all sessions that are over and whose viewers have not confirmed it.
type Retransmitter struct {
	cfg   Config
	list  []*pending // the oldest first
	voice ConnectionSelector
}

// New makes an empty state that finds its connections by voices.
func New(cfg Config, voices ConnectionSelector) *Retransmitter {
	return &Retransmitter{cfg: cfg, voice: voices}
}

// Len is the number of releases that no viewer has confirmed.
func (p *Retransmitter) Len() int { return len(p.list) }

// Step takes one fact and appends what is to be written.
func (p *Retransmitter) Step(now float64, ev Event, out []Transmission) []Transmission {
	switch ev.Kind {
	case SessionEnded:
		if len(p.list) >= p.cfg.MaxPending {
			p.list = slices.Delete(p.list, 0, 1)
		}
		r := &pending{Transmission: Transmission{Session: ev.Session, Cause: ev.Cause}, over: now}
		p.list = append(p.list, r)
		if ev.Conn != 0 {
			return r.send(now, ev.Conn, out)
		}
		return p.try(r, now, out)
	case Confirmed:
		p.list = slices.DeleteFunc(p.list, func(r *pending) bool { return r.Session == ev.Session })
	case ConnectionClosed:
		for _, r := range p.list {
			r.tried = slices.DeleteFunc(r.tried, func(c connmgr.ConnID) bool { return c == ev.Conn })
			if r.Conn == ev.Conn { // nobody may have read it
				r.Conn = 0
				out = p.try(r, now, out)
			}
		}
	case Tick:
		p.list = slices.DeleteFunc(p.list, func(r *pending) bool { return now-r.over >= p.cfg.RetentionMs })
		for _, r := range p.list {
			if r.Conn == 0 || now-r.sent >= p.cfg.RetransmitMs && len(r.tried) < sends {
				out = p.try(r, now, out)
			}
		}
	}
	return out
}

// try writes a release on the best connection that has not had it; where there is none it stays as it is.
func (p *Retransmitter) try(r *pending, now float64, out []Transmission) []Transmission {
	c, ok := p.voice.SelectForMessage(func(c connmgr.ConnID) bool { return slices.Contains(r.tried, c) })
	if !ok {
		return out
	}
	return r.send(now, c, out)
}

func (r *pending) send(now float64, c connmgr.ConnID, out []Transmission) []Transmission {
	r.Conn, r.sent = c, now
	r.tried = append(r.tried, c)
	return append(out, r.Transmission)
}
