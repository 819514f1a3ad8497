package director

import (
	"errors"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"headmill/decide/idempotency"
	"headmill/decide/limits"
	pb "headmill/internal/api/sessionv1"
	"headmill/internal/http1"
	"headmill/internal/loop"
	"headmill/internal/token"
	"headmill/internal/ws"
)

// The subprotocols of the session API (RFC 6455 section 1.9). A browser, which can't set header fields, offers
// its token beside them as tokenProtocol + token.
const (
	protoProtocol = "headmill.session.v1+proto"
	jsonProtocol  = "headmill.session.v1+json"
	tokenProtocol = "headmill.token."
)

// socket is one WebSocket connection of a player.
type socket struct {
	d      *Director
	c      *loop.Conn
	r      ws.Reader
	json   bool
	raw    string   // the token that opened it
	orders []*order // asked for and not answered
	checks int      // tokens of messages that are being checked
	held   []*session
	heard  float64
	pinged bool
	closed bool // a close frame was sent
	until  float64
	meter  limits.RateLimiter // of reports
}

// upgrade makes a session API connection of this one (RFC 6455 section 4.2).
func (v *viewer) upgrade(method string) {
	m := &v.p.Msg
	accept, ok := ws.AcceptKey(string(m.Get("sec-websocket-key")))
	switch {
	case method != "GET":
		v.notAllowed()
		return
	case m.Minor < 1 || !http1.HasWord(m.Get("upgrade"), "websocket") || !http1.HasWord(m.Get("connection"), "upgrade") || !ok:
		v.problem(400, "no-upgrade", "the session API is a WebSocket: see RFC 6455 section 4.1", 0)
		return
	case string(m.Get("sec-websocket-version")) != "13":
		b := http1.AppendField(v.head(426), "Sec-WebSocket-Version", "13")
		v.write(http1.AppendBody(b, nil, false))
		return
	}
	raw, sub := bearer(m.Get("authorization")), ""
	for i := range m.Fields { // the offer may be spread over several fields (section 11.3.4)
		if !strings.EqualFold(string(m.Fields[i].Name), "sec-websocket-protocol") {
			continue
		}
		for _, p := range strings.Split(string(m.Fields[i].Value), ",") {
			p = strings.TrimSpace(p)
			switch {
			case strings.HasPrefix(p, tokenProtocol):
				if raw == "" {
					raw = p[len(tokenProtocol):]
				}
			case sub == "" && (p == protoProtocol || p == jsonProtocol):
				sub = p
			}
		}
	}
	if sub == "" {
		v.problem(400, "no-subprotocol", "offer "+protoProtocol+" or "+jsonProtocol, 0)
		return
	}
	v.withToken(raw, func(c *token.Claims) {
		d := v.d
		if err := d.check.Valid(c, d.wall()); err != nil {
			v.deny(unauthorized(err))
			return
		}
		k := &socket{d: d, c: v.c, json: sub == jsonProtocol, raw: strings.Clone(raw), heard: d.l.Now(),
			r: ws.Reader{Max: d.cfg.Limits.Message}, meter: limits.RateLimiter{Burst: 4, RatePerMs: 1 / d.cfg.Times.ReportMs}}
		delete(d.viewers, v)
		d.sockets[k] = struct{}{}
		v.release()
		rest := v.rest
		v.rest, v.state, v.sock = nil, awaiting, k // the viewer is done; nothing of it is called again
		k.c.SetHandler(k)
		b := http1.AppendStatus(d.scratch[:0], 101)
		b = append(b, "Upgrade: websocket\r\nConnection: Upgrade\r\n"...)
		b = http1.AppendField(b, "Sec-WebSocket-Accept", accept)
		b = append(http1.AppendField(b, "Sec-WebSocket-Protocol", sub), "\r\n"...)
		d.scratch = b[:0]
		k.c.Write(b)
		k.c.Pause(false)
		if len(rest) > 0 {
			k.Data(k.c, rest)
		}
	})
}

// Connected is never called for accepted connections.
func (k *socket) Connected(*loop.Conn) {}

// Drained has nothing to do.
func (k *socket) Drained(*loop.Conn) {}

// Data reads frames.
func (k *socket) Data(_ *loop.Conn, b []byte) {
	k.heard, k.pinged = k.d.l.Now(), false
	if err := k.r.Feed(b, k.message); err != nil {
		var e *ws.Error
		if errors.As(err, &e) {
			k.close(e.Code, e.Why)
		}
	}
}

// Closed lets go of what the connection held: orders are left, sessions live on for times.tie_ms.
func (k *socket) Closed(_ *loop.Conn, err error) {
	d := k.d
	if errors.Is(err, loop.ErrSlowReader) {
		d.stats.CutSlow++
	}
	delete(d.sockets, k)
	d.accounts.Release(limits.Connections, 1)
	for _, o := range k.orders {
		d.leave(o)
	}
	for _, s := range k.held {
		k.release(s)
		d.ledgerIn = append(d.ledgerIn, idempotency.Event{Kind: idempotency.ConnectionDetached, Session: s.id})
	}
	k.orders, k.held = nil, nil
}

// release takes the connection off a session's holders.
func (k *socket) release(s *session) {
	k.d.accounts.Release(limits.Sockets, 1)
	for i, o := range s.holders {
		if o == k {
			s.holders = append(s.holders[:i], s.holders[i+1:]...)
			return
		}
	}
}

// close sends a close frame and ends the connection (section 7.1.1: the server closes the TCP connection).
func (k *socket) close(code int, why string) {
	if k.closed {
		return
	}
	k.closed = true
	k.c.Write(ws.AppendClose(nil, code, why))
	k.until = k.d.l.Now() + k.d.cfg.Times.WriteMs
	k.c.CloseWrite()
}

// message takes one whole message.
func (k *socket) message(m ws.Message) {
	if k.closed {
		return
	}
	switch m.Op {
	case ws.Ping:
		k.c.Write(ws.Append(nil, ws.Pong, m.Payload))
		return
	case ws.Pong:
		return
	case ws.Close:
		code := m.Code
		if code != 1005 {
			code = ws.Normal
		}
		k.close(code, "")
		return
	}
	if (m.Op == ws.Text) != k.json {
		k.close(ws.Unsupported, "the subprotocol has the other kind of message")
		return
	}
	var msg pb.ClientMessage
	var err error
	if k.json {
		err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(m.Payload, &msg)
	} else {
		err = proto.Unmarshal(m.Payload, &msg)
	}
	if err != nil {
		k.close(ws.BadData, "not a ClientMessage of the subprotocol")
		return
	}
	switch b := msg.Body.(type) {
	case *pb.ClientMessage_Open:
		k.open(msg.Id, b.Open)
	case *pb.ClientMessage_End:
		k.end(msg.Id, b.End)
	case *pb.ClientMessage_Report:
		k.report(b.Report)
	case *pb.ClientMessage_Ping:
		k.send(&pb.ServerMessage{Id: msg.Id, Body: &pb.ServerMessage_Pong{Pong: &pb.Pong{Nonce: b.Ping.Nonce}}})
	default: // a message of a later version: said, not fatal
		k.fail(msg.Id, 400, "unknown-message", "this director does not know that message")
	}
}

func (k *socket) send(m *pb.ServerMessage) {
	var b []byte
	op := ws.Binary
	if k.json {
		b, _ = protojson.Marshal(m) // made here out of valid strings: it can't fail
		op = ws.Text
	} else {
		b, _ = proto.Marshal(m)
	}
	k.c.Write(ws.Append(k.d.scratch[:0], op, b))
}

func (k *socket) fail(id uint64, status int, reason, detail string) {
	k.send(&pb.ServerMessage{Id: id, Body: &pb.ServerMessage_Failed{Failed: &pb.Failed{Reason: reason, Detail: detail,
		Status: uint32(status)}}})
}

func (k *socket) refuse(id uint64, reason, detail string, retryMs float64) {
	k.send(&pb.ServerMessage{Id: id, Body: &pb.ServerMessage_Refused{Refused: &pb.Refused{Reason: reason, Detail: detail,
		RetryAfterMs: uint32(retryMs)}}})
}

// withToken has a token checked; an empty one is the connection's own.
func (k *socket) withToken(id uint64, raw string, use func(raw string, c *token.Claims)) {
	if raw == "" {
		raw = k.raw
	}
	d := k.d
	k.checks++
	if !d.check.Begin(d.pool, raw, func(c *token.Claims, err error) {
		k.checks--
		switch {
		case !k.c.Open():
		case err != nil:
			k.deny(id, unauthorized(err))
		default:
			use(raw, c)
		}
	}) {
		k.checks--
		d.stats.Refused++
		k.refuse(id, "checks", "more session tokens come than this director can check; nothing was set up",
			d.cfg.Attempts.MaxRetryAfterMs)
	}
}

func (k *socket) deny(id uint64, no *denial) {
	k.d.stats.Denied++
	k.fail(id, no.status, no.kind, no.detail)
}

// open wants a session, or takes up the one of its token.
func (k *socket) open(id uint64, m *pb.Open) {
	d, l := k.d, &k.d.cfg.Limits
	if out := len(k.orders) + k.checks; out >= l.PendingPerSocket || out+len(k.held) >= l.SessionsPerSocket {
		d.stats.Refused++ // a flood of opens costs an answer each and nothing more
		k.refuse(id, "crowd", "too many sessions or open messages on this connection; nothing was set up",
			d.cfg.Attempts.MaxRetryAfterMs)
		return
	}
	k.withToken(id, m.Token, func(raw string, c *token.Claims) {
		t, no := d.wanted("", c)
		if no == nil && m.WatchOnly {
			if _, _, known := d.ledger.Lookup(c.ID); !known {
				no = &denial{404, "no-such-session", "no session of this token plays or is being set up here"}
			}
		}
		if no != nil {
			k.deny(id, no)
			return
		}
		if !d.accounts.Fits(limits.Sockets, 1) {
			d.stats.Refused++
			k.refuse(id, "full", "this director is at a limit of its settings; nothing was set up", d.cfg.Attempts.MaxRetryAfterMs)
			return
		}
		o := &order{front: k, id: id, inline: m.Inline, tied: true}
		k.orders = append(k.orders, o)
		d.place(o, t, raw, c)
	})
}

// end ends a session by its viewer's wish.
func (k *socket) end(id uint64, m *pb.End) {
	k.withToken(id, m.Token, func(_ string, c *token.Claims) {
		if _, no := k.d.wanted("", c); no != nil {
			k.deny(id, no)
			return
		}
		if !k.d.quit(c) {
			k.fail(id, 404, "no-such-session", "no session of this token plays or is being set up here")
			return
		}
		k.send(&pb.ServerMessage{Id: id, Body: &pb.ServerMessage_Ended{Ended: &pb.Ended{Jti: c.ID, Why: "by its viewer"}}})
	})
}

// maxReport bounds what is kept of one report.
const maxReport = 512

// report keeps a session's last report. What comes faster than agreed is dropped and counted.
func (k *socket) report(m *pb.Report) {
	d := k.d
	k.meter.RatePerMs = float64(max(len(k.held), 1)) / d.cfg.Times.ReportMs
	k.meter.Burst = float64(2 * max(len(k.held), 2))
	if !k.meter.Allow(d.l.Now()) || len(m.Cmcd) > maxReport {
		d.stats.ReportsDropped++
		return
	}
	for _, s := range k.held {
		if s.claims.id != m.Jti {
			continue
		}
		d.accounts.Release(limits.Reports, int64(len(s.report)))
		s.report = ""
		if !d.accounts.Acquire(limits.Reports, int64(len(m.Cmcd))) {
			d.stats.ReportsDropped++
			return
		}
		s.report = strings.Clone(m.Cmcd)
		d.seen(s, s.report, 0, 0)
		d.stats.ReportsTaken++
		return
	}
	d.stats.ReportsDropped++ // of a session that this connection does not hold
}

// result answers one open message.
func (k *socket) result(o *order, r result) {
	d := k.d
	for i, x := range k.orders {
		if x == o {
			k.orders = append(k.orders[:i], k.orders[i+1:]...)
			break
		}
	}
	switch r.verdict {
	case isPlaying:
		k.hold(r.s)
		p := &pb.Playing{Jti: o.claims.id, ManifestUrl: d.manifestURL(d.cfg.Self(), o), Rung: uint32(r.s.rung), KbitPerS: d.kbits(r.s)}
		if o.inline {
			d.body = d.manifest(d.body[:0], r.s, o.claims.raw)
			p.Manifest = string(d.body)
		}
		k.send(&pb.ServerMessage{Id: o.id, Body: &pb.ServerMessage_Playing{Playing: p}})
	case isRefused:
		k.refuse(o.id, r.reason, r.detail, r.retryMs)
	case isFailed:
		k.fail(o.id, r.status, r.reason, r.detail)
	case isElsewhere:
		k.send(&pb.ServerMessage{Id: o.id, Body: &pb.ServerMessage_Failed{Failed: &pb.Failed{Status: 307, Reason: "elsewhere",
			Detail: "another director answers for this token", Home: d.cfg.Director.URLs[r.home]}}})
	}
}

// hold ties a session to this connection.
func (k *socket) hold(s *session) {
	for _, o := range k.held {
		if o == s {
			return
		}
	}
	k.d.accounts.Acquire(limits.Sockets, 1)
	k.held = append(k.held, s)
	s.holders = append(s.holders, k)
	k.d.ledgerIn = append(k.d.ledgerIn, idempotency.Event{Kind: idempotency.ConnectionAttached, Session: s.id})
}

// kbits is the rate of the rung in force, kbit/s.
func (d *Director) kbits(s *session) uint32 {
	return uint32(d.cfg.Ladder.RateKB[s.rung] * d.cfg.Classes[s.title.class].RateScale * 8)
}

// rung tells a change of rung.
func (k *socket) rung(s *session) {
	k.send(&pb.ServerMessage{Body: &pb.ServerMessage_Rung{Rung: &pb.RungChanged{Jti: s.claims.id, Rung: uint32(s.rung),
		KbitPerS: k.d.kbits(s)}}})
}

// ended tells the end of a session and lets go of it.
func (k *socket) ended(s *session, why string) {
	for i, o := range k.held {
		if o == s {
			k.held = append(k.held[:i], k.held[i+1:]...)
			break
		}
	}
	k.d.accounts.Release(limits.Sockets, 1)
	k.send(&pb.ServerMessage{Body: &pb.ServerMessage_Ended{Ended: &pb.Ended{Jti: s.claims.id, Why: why}}})
}

// sweepSockets pings connections that are silent and cuts those that stay so.
func (d *Director) sweepSockets() {
	now := d.l.Now()
	if now < d.nextSockets {
		return
	}
	d.nextSockets = now + 250
	for k := range d.sockets {
		silent := now - k.heard
		switch {
		case k.closed && now > k.until, silent > d.cfg.Times.PingMs+d.cfg.Times.PongMs:
			k.c.Close(loop.ErrClosedByOwner)
		case silent > d.cfg.Times.PingMs && !k.pinged && !k.closed:
			k.pinged = true
			k.c.Write(ws.Append(nil, ws.Ping, nil))
		}
	}
}
