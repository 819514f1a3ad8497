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

	"headmill/decide/door"
)

// Session is the caller's number.
type Session uint64

// Config has the bounds; times in ms.
type Config struct {
	KeepMs  float64 // for which a release is kept that no viewer has confirmed
	AgainMs float64 // after which one that is not confirmed is written on another connection too
	Most    int     // releases kept; over it the oldest is let go of
}

// sends is on how many connections that stay open a release is written: viewers that confirm nothing must not turn each
// end into one message for every connection.
const sends = 3

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	Over  EventKind = iota // Session, Cause, Conn: it has ended; Conn is that of its set-up, 0 where it is closed
	Heard                  // Session: its viewer knows
	Left                   // Conn: it is closed
	Tick
)

// Event is one fact.
type Event struct {
	Kind    EventKind
	Session Session
	Cause   int
	Conn    door.Conn
}

// Send is one release to write.
type Send struct {
	Session Session
	Cause   int
	Conn    door.Conn
}

// Voices finds the best connection for a word that belongs to none; skip tells which are not wanted.
type Voices interface {
	Voice(skip func(door.Conn) bool) (door.Conn, bool)
}

type pending struct {
	Send       // Conn is 0 while it is due
	over, sent float64
	tried      []door.Conn // that are open still, as far as told
}

// Pending is the state for all sessions that are over and whose viewers have not confirmed it.
type Pending struct {
	cfg   Config
	list  []*pending // the oldest first
	voice Voices
}

// New makes an empty state that finds its connections by voices.
func New(cfg Config, voices Voices) *Pending { return &Pending{cfg: cfg, voice: voices} }

// Len is the number of releases that no viewer has confirmed.
func (p *Pending) Len() int { return len(p.list) }

// Step takes one fact and appends what is to be written.
func (p *Pending) Step(now float64, ev Event, out []Send) []Send {
	switch ev.Kind {
	case Over:
		if len(p.list) >= p.cfg.Most {
			p.list = slices.Delete(p.list, 0, 1)
		}
		r := &pending{Send: Send{Session: ev.Session, Cause: ev.Cause}, over: now}
		p.list = append(p.list, r)
		if ev.Conn != 0 {
			return r.send(now, ev.Conn, out)
		}
		return p.try(r, now, out)
	case Heard:
		p.list = slices.DeleteFunc(p.list, func(r *pending) bool { return r.Session == ev.Session })
	case Left:
		for _, r := range p.list {
			r.tried = slices.DeleteFunc(r.tried, func(c door.Conn) bool { return c == ev.Conn })
			if r.Conn == ev.Conn { // nobody may have read it
				r.Conn = 0
				out = p.try(r, now, out)
			}
		}
	case Tick:
		p.list = slices.DeleteFunc(p.list, func(r *pending) bool { return now-r.over >= p.cfg.KeepMs })
		for _, r := range p.list {
			if r.Conn == 0 || now-r.sent >= p.cfg.AgainMs && len(r.tried) < sends {
				out = p.try(r, now, out)
			}
		}
	}
	return out
}

// try writes a release on the best connection that has not had it; where there is none it stays as it is.
func (p *Pending) try(r *pending, now float64, out []Send) []Send {
	c, ok := p.voice.Voice(func(c door.Conn) bool { return slices.Contains(r.tried, c) })
	if !ok {
		return out
	}
	return r.send(now, c, out)
}

func (r *pending) send(now float64, c door.Conn, out []Send) []Send {
	r.Conn, r.sent = c, now
	r.tried = append(r.tried, c)
	return append(out, r.Send)
}
