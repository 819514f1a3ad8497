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

// sessionState is the state of a session in the table; see the package comment.
type sessionState uint8

const (
	sessionPending sessionState = iota // the module is placing it; an attempt is in flight or follows
	sessionPlaying                     // it streams from its media node
	sessionEnded                       // it has ended; the ledger may still know it
)

// session is one entry of the session table, from the ledger's StartSetup to its ForgetSession.
type session struct {
	id            idempotency.SessionID
	claims        sessionClaims
	title         *title
	state         sessionState
	rung          int // the rung in force, as the module last set it
	sentRung      int // the rung last sent to the media node, with the set-up or as a rung change
	node          headmill.NodeID
	mediaURL      string        // base URL of its media at the media node
	setup         *setupAttempt // the attempt in flight, or one given up whose late answer is awaited
	attempts      int
	requestedAt   float64 // loop time, ms, as are the next two
	deadline      float64 // when its viewer is to have its answer
	playingSince  float64
	lastOutcome   attempt.Outcome
	webSockets    []*webSocket        // connections attached to it
	lastReport    string              // the player's last report over WebSocket; its length counts in the quota of reports
	reportLimiter limits.RateLimiter  // limits reports by POST
	trace         *trace.SessionTrace // nil unless the session is sampled
}

// sessionClaims is the part of a token that a session keeps, with the results of admission control.
type sessionClaims struct {
	raw, jti, viewer, tenant string
	playerFamily             string // kind of player, as the token's issuer names it; a dimension of decide/quality
	maxRung                  int    // highest rung: the viewer's limit, or lower if the tenant's share requires
	fingerprint              uint64
	tenantIndex              int
	headroom                 float64 // share of a media node's capacity to keep free beside it
	retried                  bool    // the request was a retry
}

// unclaimed tells whether the session was set up after its attempt had been given up, and plays for no viewer.
func (s *session) unclaimed() bool {
	return s.state == sessionPending && s.setup == nil && s.mediaURL != ""
}

// stepModules passes the queued events to the decision packages until none are left. It runs at the end of each
// iteration of the loop, so that the events of one iteration are decided as one batch, in order of arrival.
func (d *Director) stepModules() {
	if d.stepping {
		return
	}
	d.stepping = true
	for len(d.ledgerEvents)+len(d.healthEvents)+len(d.moduleEvents) > 0 {
		now := d.loop.Now()
		d.maxBatch = max(d.maxBatch, len(d.ledgerEvents)+len(d.healthEvents)+len(d.moduleEvents))
		if in := d.ledgerEvents; len(in) > 0 {
			d.ledgerEvents, d.spareLedgerEvents = d.spareLedgerEvents[:0], in
			for _, a := range d.ledger.Step(now, in, nil) {
				d.applyLedgerAction(a)
			}
		}
		if in := d.healthEvents; len(in) > 0 {
			d.healthEvents, d.spareHealthEvents = d.spareHealthEvents[:0], in
			for _, a := range d.health.Step(now, in, nil) {
				d.applyHealthAction(a)
			}
		}
		if in := d.moduleEvents; len(in) > 0 {
			d.moduleEvents, d.spareModuleEvents = d.spareModuleEvents[:0], in
			d.moduleActions = d.module.Step(now, in, d.moduleActions[:0])
			for i := range d.moduleActions {
				d.applyModuleAction(&d.moduleActions[i])
			}
		}
	}
	d.stepping = false
}

// queueModuleEvent queues an event for the decision module.
func (d *Director) queueModuleEvent(ev headmill.Event) { d.moduleEvents = append(d.moduleEvents, ev) }

// applyLedgerAction carries out an action of decide/idempotency.
func (d *Director) applyLedgerAction(a idempotency.Action) {
	s := d.sessions[a.Session]
	switch a.Kind {
	case idempotency.StartSetup:
		d.startSetup(a)
	case idempotency.AnswerPlaying:
		if req := d.requests[a.Request]; req != nil && s != nil {
			d.complete(req, requestResult{outcome: outcomePlaying, session: s, status: 200})
		}
	case idempotency.AnswerRefused:
		if req := d.requests[a.Request]; req != nil {
			d.completeRefused(req, a)
		}
	case idempotency.AnswerFailed:
		if req := d.requests[a.Request]; req != nil {
			d.completeFailed(req, a)
		}
	case idempotency.Redirect:
		if req := d.requests[a.Request]; req != nil {
			d.complete(req, requestResult{outcome: outcomeRedirected, status: 307, owner: a.Owner})
		}
	case idempotency.AbandonSetup:
		if s != nil {
			d.queueModuleEvent(headmill.Event{Kind: headmill.EvViewerLeft, Session: headmill.SessionID(s.id)})
		}
	case idempotency.AdoptSession:
		if s != nil {
			d.adoptSession(s)
		}
	case idempotency.EndSession:
		if s != nil {
			d.endAtNode(s)
		}
	case idempotency.ForgetSession:
		if s != nil {
			d.forgetSession(s)
		}
	}
}

// startSetup creates a session for a request and passes it to the module for placement.
func (d *Director) startSetup(a idempotency.Action) {
	req := d.requests[a.Request]
	if req == nil { // the viewer disconnected in the same iteration; nothing is set up
		d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{Kind: idempotency.SetupRefused, Session: a.Session})
		return
	}
	now := d.loop.Now()
	class := &d.cfg.Classes[req.title.class]
	timeLeftMs := math.Max(class.GiveUpMs-d.cfg.Times.AnswerMarginMs, 1)
	s := &session{
		id:          a.Session,
		claims:      req.claims,
		title:       req.title,
		requestedAt: now,
		deadline:    now + timeLeftMs,
		rung:        class.MinRung,
	}
	d.sessions[s.id] = s
	d.quotas.Acquire(limits.Sessions, 1)
	d.queueModuleEvent(headmill.Event{
		Kind:           headmill.EvRequest,
		Session:        headmill.SessionID(s.id),
		Class:          req.title.class,
		Title:          req.title.number,
		TimeLeftMs:     timeLeftMs,
		DurationHintMs: req.title.DurationMs,
		FirstCell:      req.title.FirstCell,
		Copies:         req.title.Copies,
		MaxRung:        req.claims.maxRung,
		Headroom:       req.claims.headroom,
	})
	d.admissionSetupStarted(s)
	s.trace = d.Trace.StartSession(s.claims.jti,
		attribute.String("title", s.title.Name), attribute.String("class", s.title.Class),
		attribute.String("brand", s.claims.tenant), attribute.Bool("again", s.claims.retried))
}

// applyModuleAction carries out an action of the decision module. It handles every kind of action.
func (d *Director) applyModuleAction(a *headmill.Action) {
	s := d.sessions[idempotency.SessionID(a.Session)]
	switch a.Kind {
	case headmill.ActSetup:
		if s != nil {
			d.startAttempt(s, a.Node, a.AtMs)
		}
	case headmill.ActSetRung:
		if s != nil {
			s.rung = a.Rung
			if s.state == sessionPlaying {
				d.sendRung(s)
				d.recordRungChange(s)
				s.trace.AddEvent("rung", attribute.Int("rung", s.rung))
				for _, w := range s.webSockets {
					w.sendRung(s)
				}
			}
		}
	case headmill.ActRefuse:
		if s != nil {
			d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{
				Kind:         idempotency.SetupRefused,
				Session:      s.id,
				RetryAfterMs: d.retryAfter(s, a.RetryAfterMs),
			})
			d.admissionSessionEnded(s)
			s.trace.End("refused")
		}
	case headmill.ActFail:
		if s != nil {
			reason := idempotency.ReasonNodeFailed
			if s.lastOutcome == attempt.OutcomeTimedOut {
				reason = idempotency.ReasonTimeout
			}
			d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{
				Kind:    idempotency.SetupFailed,
				Session: s.id,
				Reason:  reason,
			})
			d.admissionSessionEnded(s)
			s.trace.End("failed: " + reason.String())
		}
	case headmill.ActTimer:
		timerID := a.TimerID
		d.loop.At(a.AtMs, func() { d.queueModuleEvent(headmill.Event{Kind: headmill.EvTimer, TimerID: timerID}) })
	case headmill.ActSubscribe:
		d.discovery.scheduleConnect()
	case headmill.ActLog:
		d.log.Warn(a.Text)
	}
}

// applyHealthAction carries out an action of decide/health.
func (d *Director) applyHealthAction(a health.Action) {
	node := d.node(headmill.NodeID(a.Node))
	switch a.Kind {
	case health.OpenStream:
		node.openEventStream()
	case health.CancelOpen, health.CloseStream: // a media node has one event stream at most
		node.closeEventStream()
	case health.NodeDown:
		node.commands.dropRungChanges()
		d.log.Warn("box is not heard; its sessions are given up", "box", node.addr, "sessions", a.Count)
	case health.SessionLost:
		if s := d.sessions[idempotency.SessionID(a.Session)]; s != nil &&
			s.state == sessionPlaying && s.node == node.id {
			d.stats.LostSessions++
			d.loseSession(s, a.MayPlay)
		}
	case health.LostSessionGone:
		d.freeLostSession(idempotency.SessionID(a.Session))
	case health.EndOrphan:
		if s := d.sessions[idempotency.SessionID(a.Session)]; s == nil ||
			s.state != sessionPlaying && s.setup == nil {
			d.stats.EndedOrphans++
			node.enqueueCommand("DELETE", "/sessions/"+d.sessionName(&session{id: idempotency.SessionID(a.Session)}),
				"", nil)
		}
	}
}

// moduleReport converts a load report for the module.
func moduleReport(l orca.Load) headmill.LoadReport {
	return headmill.LoadReport{Present: l.Present, Streams: l.Streams, LinkLoad: l.LinkLoad, UplinkLoad: l.UplinkLoad}
}

// endSession ends a playing session: the media node reported its end, the node was lost, or this director ends it. The
// reason is an external name, for the player, the log and the trace.
func (d *Director) endSession(s *session, outcome headmill.Outcome, load orca.Load, reason string) {
	if s.state != sessionPlaying {
		return
	}
	d.freeSession(s, outcome, load)
	d.endForPlayer(s, reason)
}

// endedAtNode handles a media node's report that a session has ended there. Each end is reported once, and may come before the
// answer to the set-up, which takes another connection, or before a viewer has claimed the session.
func (d *Director) endedAtNode(s *session, node *mediaNode, load orca.Load, reason string) {
	switch {
	case s.state == sessionPlaying && s.node == node.id:
		d.endSession(s, headmill.OutcomeServed, load, reason)
	case s.setup != nil && s.setup.node == node:
		s.setup.earlyEnd = &earlyEnd{load, reason}
	case s.unclaimed() && s.node == node.id:
		d.endUnclaimed(s)
	case s.node == node.id:
		d.lostSessionEnded(s)
	}
}

// classCapped tells whether the sessions of a session's class count against a cap.
func (d *Director) classCapped(s *session) bool {
	return d.cfg.ModuleConfig().Classes[s.title.class].Capped()
}

// endUnclaimed ends a session that plays for no viewer, and has ended at its media node.
func (d *Director) endUnclaimed(s *session) {
	d.withdrawUnclaimed(s)
	d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{Kind: idempotency.SessionEnded, Session: s.id})
}

// loseSession ends a playing session that was lost with its media node. One that the media node may still play holds its
// reservation, and its place under its class's cap, until it plays no longer.
func (d *Director) loseSession(s *session, mayPlay bool) {
	if health.HoldsReservation(mayPlay, d.classCapped(s)) {
		d.lostSessions[s.id] = s
		d.endForPlayer(s, "lost")
		return
	}
	d.endSession(s, headmill.OutcomeReset, orca.Load{}, "lost")
}

// lostSessionEnded frees what a session held that was lost, or ended by its viewer, and that its media node has ended.
func (d *Director) lostSessionEnded(s *session) {
	if d.lostSessions[s.id] != s {
		return
	}
	d.healthEvents = append(d.healthEvents, health.Event{
		Kind:    health.LostSessionEnded,
		Node:    health.NodeID(s.node),
		Session: health.SessionID(s.id),
	})
	d.freeLostSession(s.id)
}

// freeLostSession frees what a lost session held that plays no longer.
func (d *Director) freeLostSession(id idempotency.SessionID) {
	if s := d.lostSessions[id]; s != nil {
		delete(d.lostSessions, id)
		d.freeSession(s, headmill.OutcomeCancelled, orca.Load{})
	}
}

// freeSession frees a session's reservation and reports its end to the module.
func (d *Director) freeSession(s *session, outcome headmill.Outcome, load orca.Load) {
	d.admissionSessionEnded(s)
	d.queueModuleEvent(headmill.Event{
		Kind:        headmill.EvAttemptEnded,
		Session:     headmill.SessionID(s.id),
		Node:        s.node,
		Outcome:     outcome,
		SessionOver: true,
		LatencyMs:   d.loop.Now() - s.requestedAt,
		LoadReport:  moduleReport(load),
	})
}

// endForPlayer ends a playing session for its player and its ledger entry.
func (d *Director) endForPlayer(s *session, reason string) {
	s.state = sessionEnded
	s.trace.End(reason)
	d.healthEvents = append(d.healthEvents, health.Event{
		Kind:    health.SessionEnded,
		Node:    health.NodeID(s.node),
		Session: health.SessionID(s.id),
	})
	d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{Kind: idempotency.SessionEnded, Session: s.id})
	d.recordSessionEnd(s)
	for _, w := range s.webSockets {
		w.sendEnded(s, reason)
	}
	s.webSockets = nil
	d.log.Info("session ended", "session", d.sessionName(s), "jti", s.claims.jti, "title", s.title.Name,
		"box", d.nodeList.Addr(s.node), "why", reason, "played_ms", math.Round(d.loop.Now()-s.playingSince))
}

// withdrawUnclaimed has a session that plays for no viewer no longer claimed.
func (d *Director) withdrawUnclaimed(s *session) {
	s.mediaURL = ""
	d.healthEvents = append(d.healthEvents, health.Event{
		Kind:    health.SessionEnded,
		Node:    health.NodeID(s.node),
		Session: health.SessionID(s.id),
	})
}

// endAtNode ends a session at its media node: one that plays, or one that was set up after its attempt was given up.
func (d *Director) endAtNode(s *session) {
	const reason = "ended here" // by this director
	if s.mediaURL == "" || s.node == 0 {
		d.endSession(s, headmill.OutcomeCancelled, orca.Load{}, reason)
		return
	}
	d.unconfirmedEnds++
	d.node(s.node).enqueueCommand("DELETE", "/sessions/"+d.sessionName(s), "", func(ok bool) {
		d.unconfirmedEnds--
		if ok {
			d.lostSessionEnded(s)
		}
	})
	switch {
	case s.state != sessionPlaying:
		d.withdrawUnclaimed(s)
	case health.HoldsReservation(true, d.classCapped(s)):
		d.lostSessions[s.id] = s // its media node may be cut off, and play it on
		d.healthEvents = append(d.healthEvents, health.Event{
			Kind:    health.SessionEnding,
			Node:    health.NodeID(s.node),
			Session: health.SessionID(s.id),
		})
		d.endForPlayer(s, reason)
	default:
		d.endSession(s, headmill.OutcomeCancelled, orca.Load{}, reason)
	}
}

// adoptSession carries out the ledger's AdoptSession: after a late success it reports a session to the module, to
// admission control and to decide/quality that plays although its attempt had been given up.
func (d *Director) adoptSession(s *session) {
	now := d.loop.Now()
	s.state, s.playingSince = sessionPlaying, now
	d.admissionSetupStarted(s)
	d.admission.Step(now, []limits.Event{d.admissionSessionStarted(s)}, nil)
	id := headmill.SessionID(s.id)
	d.queueModuleEvent(headmill.Event{
		Kind:           headmill.EvExistingSession,
		Session:        id,
		Node:           s.node,
		Class:          s.title.class,
		Title:          s.title.number,
		FirstCell:      s.title.FirstCell,
		Copies:         s.title.Copies,
		MaxRung:        s.claims.maxRung,
		DurationHintMs: s.title.DurationMs,
	})
	d.queueModuleEvent(headmill.Event{
		Kind:          headmill.EvFeedback,
		Session:       id,
		Node:          s.node,
		Feedback:      headmill.FeedbackRung,
		FeedbackValue: float64(s.sentRung),
	})
	s.rung = s.sentRung
	d.recordSessionStart(s, quality.SessionAdopted)
	d.healthEvents = append(d.healthEvents, health.Event{
		Kind:    health.SessionAdopted,
		Node:    health.NodeID(s.node),
		Session: health.SessionID(s.id),
	})
}

// forgetSession removes a session from the table.
func (d *Director) forgetSession(s *session) {
	if s.state == sessionPlaying { // the ledger forgets only ended sessions; this keeps any from being left at its node
		d.endAtNode(s)
	}
	delete(d.sessions, s.id)
	d.admissionSessionEnded(s)
	s.trace.End("forgotten")
	d.quotas.Release(limits.Sessions, 1)
	d.quotas.Release(limits.Reports, int64(len(s.lastReport)))
}

// retryAfter returns the time, in ms, after which a viewer that the module refused should retry. Admission control
// spreads the retries. If advice is disabled, the module gives none (0), and neither does this.
func (d *Director) retryAfter(s *session, moduleAdviceMs float64) float64 {
	a := d.admission.Step(d.loop.Now(), []limits.Event{{
		Kind:       limits.PlacementRefused,
		ID:         uint64(s.id),
		RequestKey: s.claims.fingerprint,
		Title:      s.title.number,
		Tenant:     s.claims.tenantIndex,
		Class:      s.title.class,
	}}, nil)
	if moduleAdviceMs <= 0 {
		return 0
	}
	return a[0].RetryAfterMs
}

// appendManifest appends the session's MPD, with the representations from the class's lowest rung to the rung
// in force.
func (d *Director) appendManifest(b []byte, s *session, raw string) []byte {
	class := &d.cfg.Classes[s.title.class]
	m := dash.Manifest{
		BaseURL:    s.mediaURL,
		Token:      raw,
		DurationMs: s.title.DurationMs,
		SegmentMs:  d.cfg.Ladder.SegmentMs,
	}
	for rung := class.MinRung; rung <= max(s.rung, class.MinRung); rung++ {
		rep := dash.Representation{ID: representationID(rung), KBps: d.cfg.Ladder.RateKB[rung] * class.RateScale}
		if len(d.cfg.Ladder.Width) > 0 {
			rep.Width = d.cfg.Ladder.Width[rung]
		}
		m.Representations = append(m.Representations, rep)
	}
	return m.Append(b)
}
