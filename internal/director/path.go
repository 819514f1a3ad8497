package director

import (
	"math"

	"go.opentelemetry.io/otel/attribute"

	"headmill"
	"headmill/decide/attempt"
	"headmill/decide/boxes"
	"headmill/decide/limits"
	"headmill/decide/once"
	"headmill/decide/quality"
	"headmill/internal/dash"
	"headmill/internal/orca"
	"headmill/internal/trace"
)

// sessionState is where a session of the table stands.
type sessionState uint8

const (
	asked    sessionState = iota // the module has it, an attempt is out or about to be
	plays                        // at its box
	finished                     // the module has let go of it; the ledger may still know it
)

// session is one entry of the session table, from Begin to Forget.
type session struct {
	id       once.Session
	claims   claims
	title    *title
	state    sessionState
	rung     int // the module's last word
	sent     int // what the box was last told
	server   headmill.ServerID
	base     string // URL of its media at the box
	setup    *setup // the attempt that is out, or is listened to after it was given up
	attempts int
	asked    float64
	deadline float64
	played   float64
	last     attempt.Outcome
	holders  []*socket    // connections that hold or watch it
	report   string       // the player's last report
	meter    limits.Meter // of reports that come by POST
	story    *trace.Story // where it is sampled
}

// claims is the part of a token that a session keeps.
type claims struct {
	raw, id, viewer, brand string
	family                 string // of the player, as its token says
	top                    int    // highest rung: the viewer's, or as far as its brand's share goes
	wish                   uint64
	brandNo                int
	spare                  float64 // as the gate said: room to be left free beside it
	repeated               bool
}

// flush hands what has gathered to the decision modules until nothing is left. It runs at the end of each
// round of the loop, so that what came in one round is decided as one batch, in its order.
func (d *Director) flush() {
	if d.flushing {
		return
	}
	d.flushing = true
	for len(d.ledgerIn)+len(d.watchIn)+len(d.moduleIn) > 0 {
		now := d.l.Now()
		d.batch = max(d.batch, len(d.ledgerIn)+len(d.watchIn)+len(d.moduleIn))
		if in := d.ledgerIn; len(in) > 0 {
			d.ledgerIn, d.ledger0 = d.ledger0[:0], in
			for _, a := range d.ledger.Step(now, in, nil) {
				d.fromLedger(a)
			}
		}
		if in := d.watchIn; len(in) > 0 {
			d.watchIn, d.watch0 = d.watch0[:0], in
			for _, a := range d.watch.Step(now, in, nil) {
				d.fromWatch(a)
			}
		}
		if in := d.moduleIn; len(in) > 0 {
			d.moduleIn, d.module0 = d.module0[:0], in
			d.acts = d.module.Step(now, in, d.acts[:0])
			for i := range d.acts {
				d.fromModule(&d.acts[i])
			}
		}
	}
	d.flushing = false
}

func (d *Director) toModule(ev headmill.Event) { d.moduleIn = append(d.moduleIn, ev) }

// fromLedger carries out what decide/once says.
func (d *Director) fromLedger(a once.Action) {
	s := d.sessions[a.Session]
	switch a.Kind {
	case once.Begin:
		d.begin(a)
	case once.Play:
		if o := d.waiters[a.Waiter]; o != nil && s != nil {
			d.settle(o, result{verdict: isPlaying, s: s, status: 200})
		}
	case once.Refuse:
		if o := d.waiters[a.Waiter]; o != nil {
			d.refused(o, a)
		}
	case once.Fail:
		if o := d.waiters[a.Waiter]; o != nil {
			d.failed(o, a)
		}
	case once.Elsewhere:
		if o := d.waiters[a.Waiter]; o != nil {
			d.settle(o, result{verdict: isElsewhere, status: 307, home: a.Home})
		}
	case once.Withdraw:
		if s != nil {
			d.toModule(headmill.Event{Kind: headmill.EvGone, Session: headmill.SessionID(s.id)})
		}
	case once.Adopt:
		if s != nil {
			d.adopt(s)
		}
	case once.End:
		if s != nil {
			d.endAtBox(s)
		}
	case once.Forget:
		if s != nil {
			d.forget(s)
		}
	}
}

// begin makes the module's request out of the viewer's.
func (d *Director) begin(a once.Action) {
	v := d.waiters[a.Waiter]
	if v == nil { // it closed in the same round; the ledger hears of it after this
		d.ledgerIn = append(d.ledgerIn, once.Event{Kind: once.Refused, Session: a.Session})
		return
	}
	now := d.l.Now()
	k := &d.cfg.Classes[v.title.class]
	left := math.Max(k.GiveUpMs-d.cfg.Times.MarginMs, 1)
	s := &session{id: a.Session, claims: v.claims, title: v.title, asked: now, deadline: now + left, rung: k.Floor}
	d.sessions[s.id] = s
	d.accounts.Take(limits.Sessions, 1)
	d.toModule(headmill.Event{Kind: headmill.EvRequest, Session: headmill.SessionID(s.id), Class: v.title.class,
		Title: v.title.number, RemainingMs: left, HintMs: v.title.DurationMs, Home: v.title.Home,
		Copies: v.title.Copies, TopRung: v.claims.top, Spare: v.claims.spare})
	d.holds(s)
	s.story = d.Trace.Begin(s.claims.id, attribute.String("title", s.title.Name), attribute.String("class", s.title.Class),
		attribute.String("brand", s.claims.brand), attribute.Bool("again", s.claims.repeated))
}

// fromModule carries out what the module says; every kind of action is here.
func (d *Director) fromModule(a *headmill.Action) {
	s := d.sessions[once.Session(a.Session)]
	switch a.Kind {
	case headmill.ActSend:
		if s != nil {
			d.send(s, a.Server, a.AtMs)
		}
	case headmill.ActRung:
		if s != nil {
			s.rung = a.Rung
			if s.state == plays {
				d.tellRung(s)
				d.viewRung(s)
				s.story.Note("rung", attribute.Int("rung", s.rung))
				for _, k := range s.holders {
					k.rung(s)
				}
			}
		}
	case headmill.ActRefuse:
		if s != nil {
			d.ledgerIn = append(d.ledgerIn, once.Event{Kind: once.Refused, Session: s.id, RetryMs: d.advice(s, a.RetryMs)})
			d.holdsNone(s)
			s.story.End("refused")
		}
	case headmill.ActFail:
		if s != nil {
			why := once.ReasonBox
			if s.last == attempt.TimedOut {
				why = once.ReasonTime
			}
			d.ledgerIn = append(d.ledgerIn, once.Event{Kind: once.Failed, Session: s.id, Why: why})
			d.holdsNone(s)
			s.story.End("failed: " + why.String())
		}
	case headmill.ActTimer:
		name := a.Timer
		d.l.At(a.AtMs, func() { d.toModule(headmill.Event{Kind: headmill.EvTimer, Timer: name}) })
	case headmill.ActWatch:
		d.list.again()
	case headmill.ActLog:
		d.log.Warn(a.Text)
	}
}

// fromWatch carries out what decide/boxes says.
func (d *Director) fromWatch(a boxes.Action) {
	b := d.box(headmill.ServerID(a.Box))
	switch a.Kind {
	case boxes.Open:
		b.openNotes()
	case boxes.Shut:
		b.shutNotes()
	case boxes.Down:
		b.cmds.drop()
		d.log.Warn("box is not heard; its sessions are given up", "box", b.addr, "sessions", a.Count)
	case boxes.Lose:
		if s := d.sessions[once.Session(a.Session)]; s != nil && s.state == plays && s.server == b.id {
			d.stats.Lost++
			d.over(s, headmill.Reset, orca.Load{}, "lost")
		}
	case boxes.Orphan:
		if s := d.sessions[once.Session(a.Session)]; s == nil || s.state != plays && s.setup == nil {
			d.stats.Orphans++
			b.command("DELETE", "/sessions/"+d.name(&session{id: once.Session(a.Session)}), "", nil)
		}
	}
}

// report is a load report as the module takes it.
func report(l orca.Load) headmill.Report {
	return headmill.Report{Told: l.Told, Streams: l.Streams, Link: l.X0, Uplink: l.X1}
}

// over ends a session that played: the box's word, its loss, or this director's end.
func (d *Director) over(s *session, o headmill.Outcome, load orca.Load, why string) {
	if s.state != plays {
		return
	}
	s.state = finished
	d.holdsNone(s)
	s.story.End(why)
	d.toModule(headmill.Event{Kind: headmill.EvSettled, Session: headmill.SessionID(s.id), Server: s.server,
		Outcome: o, Finished: true, TookMs: d.l.Now() - s.asked, Report: report(load)})
	d.watchIn = append(d.watchIn, boxes.Event{Kind: boxes.Gone, Box: boxes.Box(s.server), Session: boxes.Session(s.id)})
	d.ledgerIn = append(d.ledgerIn, once.Event{Kind: once.Ended, Session: s.id})
	d.viewEnd(s)
	for _, k := range s.holders {
		k.ended(s, why)
	}
	s.holders = nil
	d.log.Info("session ended", "session", d.name(s), "jti", s.claims.id, "title", s.title.Name,
		"box", d.fleet.Addr(s.server), "why", why, "played_ms", math.Round(d.l.Now()-s.played))
}

// endAtBox ends a session that plays, or one whose set-up was given up and came true all the same.
func (d *Director) endAtBox(s *session) {
	if s.base != "" && s.server != 0 {
		d.ending++
		d.box(s.server).command("DELETE", "/sessions/"+d.name(s), "", func(bool) { d.ending-- })
		if s.state != plays {
			d.watchIn = append(d.watchIn, boxes.Event{Kind: boxes.Gone, Box: boxes.Box(s.server),
				Session: boxes.Session(s.id)})
		}
	}
	d.over(s, headmill.Cancelled, orca.Load{}, "ended here")
}

// adopt hands a session to the module that plays though its set-up had been given up.
func (d *Director) adopt(s *session) {
	now := d.l.Now()
	s.state, s.played = plays, now
	d.holds(s)
	d.gate.Step(now, []limits.Event{d.placed(s)}, nil)
	k := headmill.SessionID(s.id)
	d.toModule(headmill.Event{Kind: headmill.EvExisting, Session: k, Server: s.server, Class: s.title.class,
		Title: s.title.number, Home: s.title.Home, Copies: s.title.Copies, TopRung: s.claims.top,
		HintMs: s.title.DurationMs})
	d.toModule(headmill.Event{Kind: headmill.EvNote, Session: k, Server: s.server, Note: headmill.NoteRung,
		Value: float64(s.sent)})
	s.rung = s.sent
	d.viewed(s, quality.Adopt)
	d.watchIn = append(d.watchIn, boxes.Event{Kind: boxes.Placed, Box: boxes.Box(s.server), Session: boxes.Session(s.id)})
}

func (d *Director) forget(s *session) {
	if s.state == plays { // the ledger lets go only of what has ended; a session at a box must not be left there
		d.endAtBox(s)
	}
	delete(d.sessions, s.id)
	d.holdsNone(s)
	s.story.End("forgotten")
	d.accounts.Give(limits.Sessions, 1)
	d.accounts.Give(limits.Reports, int64(len(s.report)))
}

// advice is when a refused viewer should come again: the gate spreads returns. Where no advice is allowed, the
// module gave none and neither does this.
func (d *Director) advice(s *session, module float64) float64 {
	a := d.gate.Step(d.l.Now(), []limits.Event{{Kind: limits.NoRoom, ID: uint64(s.id), Wish: s.claims.wish,
		Title: s.title.number, Brand: s.claims.brandNo, Class: s.title.class}}, nil)
	if module <= 0 {
		return 0
	}
	return a[0].RetryMs
}

// manifest writes the session's MPD: representations from the class's floor to the rung in force.
func (d *Director) manifest(b []byte, s *session, raw string) []byte {
	k := &d.cfg.Classes[s.title.class]
	m := dash.Manifest{Base: s.base, Token: raw, DurationMs: s.title.DurationMs, SegmentMs: d.cfg.Ladder.SegmentMs}
	for r := k.Floor; r <= max(s.rung, k.Floor); r++ {
		rep := dash.Representation{ID: rungName(r), KBps: d.cfg.Ladder.RateKB[r] * k.Scale}
		if len(d.cfg.Ladder.Width) > 0 {
			rep.Width = d.cfg.Ladder.Width[r]
		}
		m.Reps = append(m.Reps, rep)
	}
	return m.Append(b)
}
