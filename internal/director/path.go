package director

import (
	"math"

	"go.opentelemetry.io/otel/attribute"

	"headmill"
	"headmill/decide/attempt"
	"headmill/decide/health"
	"headmill/decide/idempotency"
	"headmill/decide/limits"
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
	id       idempotency.SessionID
	claims   claims
	title    *title
	state    sessionState
	rung     int // the module's last word
	sent     int // what the box was last told
	server   headmill.NodeID
	base     string // URL of its media at the box
	setup    *setup // the attempt that is out, or is listened to after it was given up
	attempts int
	asked    float64
	deadline float64
	played   float64
	last     attempt.Outcome
	holders  []*socket          // connections that hold or watch it
	report   string             // the player's last report
	meter    limits.RateLimiter // of reports that come by POST
	story    *trace.Story       // where it is sampled
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
func (d *Director) fromLedger(a idempotency.Action) {
	s := d.sessions[a.Session]
	switch a.Kind {
	case idempotency.StartSetup:
		d.begin(a)
	case idempotency.AnswerPlaying:
		if o := d.waiters[a.Request]; o != nil && s != nil {
			d.settle(o, result{verdict: isPlaying, s: s, status: 200})
		}
	case idempotency.AnswerRefused:
		if o := d.waiters[a.Request]; o != nil {
			d.refused(o, a)
		}
	case idempotency.AnswerFailed:
		if o := d.waiters[a.Request]; o != nil {
			d.failed(o, a)
		}
	case idempotency.Redirect:
		if o := d.waiters[a.Request]; o != nil {
			d.settle(o, result{verdict: isElsewhere, status: 307, home: a.Owner})
		}
	case idempotency.AbandonSetup:
		if s != nil {
			d.toModule(headmill.Event{Kind: headmill.EvViewerLeft, Session: headmill.SessionID(s.id)})
		}
	case idempotency.AdoptSession:
		if s != nil {
			d.adopt(s)
		}
	case idempotency.EndSession:
		if s != nil {
			d.endAtBox(s)
		}
	case idempotency.ForgetSession:
		if s != nil {
			d.forget(s)
		}
	}
}

// begin makes the module's request out of the viewer's.
func (d *Director) begin(a idempotency.Action) {
	v := d.waiters[a.Request]
	if v == nil { // it closed in the same round; the ledger hears of it after this
		d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.SetupRefused, Session: a.Session})
		return
	}
	now := d.l.Now()
	k := &d.cfg.Classes[v.title.class]
	left := math.Max(k.GiveUpMs-d.cfg.Times.AnswerMarginMs, 1)
	s := &session{id: a.Session, claims: v.claims, title: v.title, asked: now, deadline: now + left, rung: k.MinRung}
	d.sessions[s.id] = s
	d.accounts.Acquire(limits.Sessions, 1)
	d.toModule(headmill.Event{Kind: headmill.EvRequest, Session: headmill.SessionID(s.id), Class: v.title.class,
		Title: v.title.number, TimeLeftMs: left, DurationHintMs: v.title.DurationMs, FirstCell: v.title.FirstCell,
		Copies: v.title.Copies, MaxRung: v.claims.top, Headroom: v.claims.spare})
	d.holds(s)
	s.story = d.Trace.Begin(s.claims.id, attribute.String("title", s.title.Name), attribute.String("class", s.title.Class),
		attribute.String("brand", s.claims.brand), attribute.Bool("again", s.claims.repeated))
}

// fromModule carries out what the module says; every kind of action is here.
func (d *Director) fromModule(a *headmill.Action) {
	s := d.sessions[idempotency.SessionID(a.Session)]
	switch a.Kind {
	case headmill.ActSetup:
		if s != nil {
			d.send(s, a.Node, a.AtMs)
		}
	case headmill.ActSetRung:
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
			d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.SetupRefused, Session: s.id, RetryAfterMs: d.advice(s, a.RetryAfterMs)})
			d.holdsNone(s)
			s.story.End("refused")
		}
	case headmill.ActFail:
		if s != nil {
			why := idempotency.ReasonNodeFailed
			if s.last == attempt.OutcomeTimedOut {
				why = idempotency.ReasonTimeout
			}
			d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.SetupFailed, Session: s.id, Reason: why})
			d.holdsNone(s)
			s.story.End("failed: " + why.String())
		}
	case headmill.ActTimer:
		name := a.Timer
		d.l.At(a.AtMs, func() { d.toModule(headmill.Event{Kind: headmill.EvTimer, Timer: name}) })
	case headmill.ActSubscribe:
		d.list.again()
	case headmill.ActLog:
		d.log.Warn(a.Text)
	}
}

// fromWatch carries out what decide/boxes says.
func (d *Director) fromWatch(a health.Action) {
	b := d.box(headmill.NodeID(a.Node))
	switch a.Kind {
	case health.OpenStream:
		b.openNotes()
	case health.CloseStream:
		b.shutNotes()
	case health.NodeDown:
		b.cmds.drop()
		d.log.Warn("box is not heard; its sessions are given up", "box", b.addr, "sessions", a.Count)
	case health.SessionLost:
		if s := d.sessions[idempotency.SessionID(a.Session)]; s != nil && s.state == plays && s.server == b.id {
			d.stats.Lost++
			d.over(s, headmill.Reset, orca.Load{}, "lost")
		}
	case health.EndOrphan:
		if s := d.sessions[idempotency.SessionID(a.Session)]; s == nil || s.state != plays && s.setup == nil {
			d.stats.Orphans++
			b.command("DELETE", "/sessions/"+d.name(&session{id: idempotency.SessionID(a.Session)}), "", nil)
		}
	}
}

// report is a load report as the module takes it.
func report(l orca.Load) headmill.Report {
	return headmill.Report{Present: l.Present, Streams: l.Streams, Link: l.X0, Uplink: l.X1}
}

// over ends a session that played: the box's word, its loss, or this director's end.
func (d *Director) over(s *session, o headmill.Outcome, load orca.Load, why string) {
	if s.state != plays {
		return
	}
	s.state = finished
	d.holdsNone(s)
	s.story.End(why)
	d.toModule(headmill.Event{Kind: headmill.EvAttemptEnded, Session: headmill.SessionID(s.id), Node: s.server,
		Outcome: o, SessionOver: true, LatencyMs: d.l.Now() - s.asked, Report: report(load)})
	d.watchIn = append(d.watchIn, health.Event{Kind: health.SessionEnded, Node: health.NodeID(s.server), Session: health.SessionID(s.id)})
	d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.SessionEnded, Session: s.id})
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
			d.watchIn = append(d.watchIn, health.Event{Kind: health.SessionEnded, Node: health.NodeID(s.server),
				Session: health.SessionID(s.id)})
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
	d.toModule(headmill.Event{Kind: headmill.EvExistingSession, Session: k, Node: s.server, Class: s.title.class,
		Title: s.title.number, FirstCell: s.title.FirstCell, Copies: s.title.Copies, MaxRung: s.claims.top,
		DurationHintMs: s.title.DurationMs})
	d.toModule(headmill.Event{Kind: headmill.EvFeedback, Session: k, Node: s.server, Feedback: headmill.FeedbackRung,
		Value: float64(s.sent)})
	s.rung = s.sent
	d.viewed(s, quality.SessionAdopted)
	d.watchIn = append(d.watchIn, health.Event{Kind: health.SessionStarted, Node: health.NodeID(s.server), Session: health.SessionID(s.id)})
}

func (d *Director) forget(s *session) {
	if s.state == plays { // the ledger lets go only of what has ended; a session at a box must not be left there
		d.endAtBox(s)
	}
	delete(d.sessions, s.id)
	d.holdsNone(s)
	s.story.End("forgotten")
	d.accounts.Release(limits.Sessions, 1)
	d.accounts.Release(limits.Reports, int64(len(s.report)))
}

// advice is when a refused viewer should come again: the gate spreads returns. Where no advice is allowed, the
// module gave none and neither does this.
func (d *Director) advice(s *session, module float64) float64 {
	a := d.gate.Step(d.l.Now(), []limits.Event{{Kind: limits.PlacementRefused, ID: uint64(s.id), RequestKey: s.claims.wish,
		Title: s.title.number, Tenant: s.claims.brandNo, Class: s.title.class}}, nil)
	if module <= 0 {
		return 0
	}
	return a[0].RetryAfterMs
}

// manifest writes the session's MPD: representations from the class's floor to the rung in force.
func (d *Director) manifest(b []byte, s *session, raw string) []byte {
	k := &d.cfg.Classes[s.title.class]
	m := dash.Manifest{Base: s.base, Token: raw, DurationMs: s.title.DurationMs, SegmentMs: d.cfg.Ladder.SegmentMs}
	for r := k.MinRung; r <= max(s.rung, k.MinRung); r++ {
		rep := dash.Representation{ID: rungName(r), KBps: d.cfg.Ladder.RateKB[r] * k.RateScale}
		if len(d.cfg.Ladder.Width) > 0 {
			rep.Width = d.cfg.Ladder.Width[r]
		}
		m.Reps = append(m.Reps, rep)
	}
	return m.Append(b)
}
