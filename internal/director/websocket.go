package director

import (
	"errors"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"headmill/decide/connmgr"
	"headmill/decide/idempotency"
	"headmill/decide/inputorder"
	"headmill/decide/limits"
	pb "headmill/internal/api/sessionv1"
	"headmill/internal/http1"
	"headmill/internal/loop"
	"headmill/internal/token"
	"headmill/internal/ws"
)

// Subprotocols of the session API (RFC 6455 section 1.9). A browser cannot set header fields and offers its token
// beside them as tokenProtocol + token.
const (
	protoProtocol = "headmill.session.v1+proto"
	jsonProtocol  = "headmill.session.v1+json"
	tokenProtocol = "headmill.token."
)

// noStatusReceived stands for a close frame without a code (RFC 6455 section 7.4.1); it is never sent.
const noStatusReceived = 1005

// webSocket is one WebSocket connection of a player, with the sessions attached to it.
type webSocket struct {
	director       *Director
	conn           *loop.Conn
	id             connmgr.ConnID
	reader         ws.Reader
	isJSON         bool
	token          string            // the token that authorized the handshake
	requests       []*sessionRequest // pending
	tokenChecks    int               // number of tokens being verified for messages
	opens          []*openMessage    // requests that are not submitted yet, oldest first
	unsubmitted    inputorder.Queue  // those of opens whose token was verified
	submitting     bool              // submitOpens is posted to the loop
	lastOpen       inputorder.RequestID
	sessions       []*session
	lastReceivedAt float64 // loop time, ms
	pingSent       bool
	closeSent      bool               // a close frame was sent
	left           bool               // the player has closed its side: no session is requested for it
	closeDeadline  float64            // loop time, ms, at which the connection is closed after a close frame
	reportLimiter  limits.RateLimiter // of all attached sessions
}

// handleUpgrade upgrades the connection to the session API (RFC 6455 section 4.2).
func (v *viewerConn) handleUpgrade(method string) {
	msg := &v.parser.Msg
	accept, ok := ws.AcceptKey(string(msg.Get("sec-websocket-key")))
	switch {
	case method != "GET":
		v.methodNotAllowed()
		return
	case msg.Minor < 1 || !http1.ListContains(msg.Get("upgrade"), "websocket") ||
		!http1.ListContains(msg.Get("connection"), "upgrade") || !ok:
		v.writeProblem(400, "no-upgrade", "the session API is a WebSocket: see RFC 6455 section 4.1", 0)
		return
	case string(msg.Get("sec-websocket-version")) != "13":
		b := http1.AppendField(v.responseHead(426), "Sec-WebSocket-Version", "13")
		v.writeResponse(http1.AppendBody(b, nil, false))
		return
	}
	raw, subprotocol := bearer(msg.Get("authorization")), ""
	for i := range msg.Fields { // the offer may span several fields (section 11.3.4)
		if !strings.EqualFold(string(msg.Fields[i].Name), "sec-websocket-protocol") {
			continue
		}
		for _, p := range strings.Split(string(msg.Fields[i].Value), ",") {
			p = strings.TrimSpace(p)
			switch {
			case strings.HasPrefix(p, tokenProtocol):
				if raw == "" {
					raw = p[len(tokenProtocol):]
				}
			case subprotocol == "" && (p == protoProtocol || p == jsonProtocol):
				subprotocol = p
			}
		}
	}
	if subprotocol == "" {
		v.writeProblem(400, "no-subprotocol", "offer "+protoProtocol+" or "+jsonProtocol, 0)
		return
	}
	v.checkToken(raw, func(c *token.Claims) {
		d := v.director
		if err := d.tokenChecker.CheckTimes(c, d.wallClock()); err != nil {
			v.reject(unauthorized(err))
			return
		}
		if !v.conn.Receiving() {
			v.dropRequest()
			return
		}
		w := &webSocket{
			director:       d,
			conn:           v.conn,
			id:             v.id,
			isJSON:         subprotocol == jsonProtocol,
			token:          strings.Clone(raw),
			lastReceivedAt: d.loop.Now(),
			reader:         ws.Reader{Max: d.cfg.Limits.Message},
			reportLimiter:  limits.RateLimiter{Burst: 4, RatePerMs: 1 / d.cfg.Times.ReportMs}, // set anew at each report
		}
		delete(d.viewers, v)
		d.webSockets[w] = struct{}{}
		d.connOwners[w.id] = w
		w.reportUse()
		v.releaseParser()
		rest := v.pipelined
		// The viewerConn handles no input after this. There is no request: the state only keeps checkToken from
		// resuming it.
		v.pipelined, v.state, v.webSocket = nil, viewerAwaitingResult, w
		w.conn.SetHandler(w)
		b := http1.AppendStatusLine(d.writeBuffer[:0], 101)
		b = append(b, "Upgrade: websocket\r\nConnection: Upgrade\r\n"...)
		b = http1.AppendField(b, "Sec-WebSocket-Accept", accept)
		b = append(http1.AppendField(b, "Sec-WebSocket-Protocol", subprotocol), "\r\n"...)
		d.writeBuffer = b[:0]
		w.conn.Write(b)
		w.conn.SetReadPaused(false)
		if len(rest) > 0 {
			w.Data(w.conn, rest)
		}
	})
}

// Connected implements loop.Handler. It is never called for accepted connections.
func (w *webSocket) Connected(*loop.Conn) {}

// Flushed implements loop.Handler. It does nothing, since writes are never paused.
func (w *webSocket) Flushed(*loop.Conn) {}

// Data parses frames.
func (w *webSocket) Data(_ *loop.Conn, b []byte) {
	w.lastReceivedAt, w.pingSent = w.director.loop.Now(), false
	w.director.stepConnManager(connmgr.Event{Kind: connmgr.Received, Conn: w.id})
	w.unsubmitted.BytesRead(len(b))
	defer w.submitOpens()
	if err := w.reader.Feed(b, w.handleMessage); err != nil {
		var wsErr *ws.Error
		if errors.As(err, &wsErr) {
			w.close(wsErr.Code, wsErr.Reason)
		}
	}
	w.reportInput()
}

// PeerClosing implements loop.PeerCloseHandler. The pending requests are cancelled; what else the player has sent before, as ends and
// reports, is carried out.
func (w *webSocket) PeerClosing(*loop.Conn) {
	w.left = true
	for _, req := range w.requests {
		w.director.cancel(req)
	}
	w.requests, w.opens = nil, nil
	w.reportUse()
}

// Closed cancels the pending requests and detaches the sessions, which play on for Times.DetachedTTLMs (times.tie_ms).
func (w *webSocket) Closed(_ *loop.Conn, err error) {
	d := w.director
	if errors.Is(err, loop.ErrSlowReader) {
		d.stats.SlowReaders++
	}
	delete(d.webSockets, w)
	d.removeConn(w.id)
	for _, req := range w.requests {
		d.cancel(req)
	}
	for _, s := range w.sessions {
		w.detach(s)
		d.ledgerEvents = append(d.ledgerEvents, idempotency.Event{
			Kind:    idempotency.ConnectionDetached,
			Session: s.id,
		})
	}
	w.requests, w.opens, w.sessions = nil, nil, nil
}

// detach removes the connection from the session's list and releases its quota.
func (w *webSocket) detach(s *session) {
	w.director.quotas.Release(limits.SocketSessions, 1)
	for i, attached := range s.webSockets {
		if attached == w {
			s.webSockets = append(s.webSockets[:i], s.webSockets[i+1:]...)
			return
		}
	}
}

// close sends a close frame and closes the connection (section 7.1.1: the server closes the TCP connection first).
func (w *webSocket) close(code int, reason string) {
	if w.closeSent {
		return
	}
	w.closeSent = true
	w.conn.Write(ws.AppendClose(nil, code, reason))
	w.closeDeadline = w.director.loop.Now() + w.director.cfg.Times.WriteMs
	w.conn.CloseGracefully()
}

// handleMessage handles one complete message.
func (w *webSocket) handleMessage(m ws.Message) {
	if w.closeSent {
		return
	}
	switch m.Op {
	case ws.OpPing:
		w.conn.Write(ws.AppendFrame(nil, ws.OpPong, m.Payload))
		return
	case ws.OpPong:
		return
	case ws.OpClose:
		code := m.Code
		if code != noStatusReceived {
			code = ws.CloseNormal
		}
		w.close(code, "")
		return
	}
	if (m.Op == ws.OpText) != w.isJSON {
		w.close(ws.CloseUnsupportedData, "the subprotocol has the other kind of message")
		return
	}
	var msg pb.ClientMessage
	var err error
	if w.isJSON {
		err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(m.Payload, &msg)
	} else {
		err = proto.Unmarshal(m.Payload, &msg)
	}
	if err != nil {
		w.close(ws.CloseInvalidPayload, "not a ClientMessage of the subprotocol")
		return
	}
	switch b := msg.Body.(type) {
	case *pb.ClientMessage_Open:
		w.handleOpen(msg.Id, b.Open)
	case *pb.ClientMessage_End:
		w.handleEnd(msg.Id, b.End)
	case *pb.ClientMessage_Report:
		w.handleReport(b.Report)
	case *pb.ClientMessage_Ping:
		w.send(&pb.ServerMessage{Id: msg.Id, Body: &pb.ServerMessage_Pong{Pong: &pb.Pong{Nonce: b.Ping.Nonce}}})
	default: // from a later version of the protocol: reported, not fatal
		w.sendFailed(msg.Id, 400, "unknown-message", "this director does not know that message")
	}
}

// send writes a message in the encoding of the subprotocol.
func (w *webSocket) send(m *pb.ServerMessage) {
	var b []byte
	op := ws.OpBinary
	if w.isJSON {
		b, _ = protojson.Marshal(m) // built here from valid strings: cannot fail
		op = ws.OpText
	} else {
		b, _ = proto.Marshal(m)
	}
	w.conn.Write(ws.AppendFrame(w.director.writeBuffer[:0], op, b))
}

// sendFailed answers a message with Failed.
func (w *webSocket) sendFailed(id uint64, status int, reason, detail string) {
	w.send(&pb.ServerMessage{
		Id: id,
		Body: &pb.ServerMessage_Failed{Failed: &pb.Failed{
			Reason: reason,
			Detail: detail,
			Status: uint32(status),
		}},
	})
}

// sendRefused answers a message with Refused and retry advice.
func (w *webSocket) sendRefused(id uint64, reason, detail string, retryMs float64) {
	w.send(&pb.ServerMessage{
		Id: id,
		Body: &pb.ServerMessage_Refused{Refused: &pb.Refused{
			Reason:       reason,
			Detail:       detail,
			RetryAfterMs: uint32(retryMs),
		}},
	})
}

// ownToken returns the token of a message. An empty one means the connection's own.
func (w *webSocket) ownToken(raw string) string {
	if raw == "" {
		return w.token
	}
	return raw
}

// checkToken verifies a token and calls done with its claims, or with nil once the message was answered with an error. The
// connection may have closed by then.
func (w *webSocket) checkToken(id uint64, raw string, done func(c *token.Claims)) {
	d := w.director
	w.tokenChecks++
	d.tokenChecks++
	w.reportUse()
	if !d.tokenChecker.VerifyAsync(d.tokenPool, raw, func(c *token.Claims, err error) {
		w.tokenChecks--
		d.tokenChecks--
		if err != nil {
			w.reject(id, unauthorized(err))
			c = nil
		}
		done(c)
		w.reportUse()
	}) {
		w.tokenChecks--
		d.tokenChecks--
		w.reportUse()
		d.stats.Refused++
		w.sendRefused(id, "checks", "more session tokens come than this director can check; nothing was set up",
			d.cfg.Attempts.MaxRetryAfterMs)
		done(nil)
	}
}

// reject answers a message with an error and counts it.
func (w *webSocket) reject(id uint64, reqErr *requestError) {
	w.director.stats.Denied++
	w.sendFailed(id, reqErr.status, reqErr.problem, reqErr.detail)
}

// maxReportBytes is the length limit of one player report.
const maxReportBytes = 512

// handleReport passes a report on to decide/quality and keeps it as the session's last one, whose length counts in the
// quota of reports. The rate limit is shared by the sessions of the connection: on average one report per
// times.report_ms and session, with bursts. Reports beyond it, too long ones, ones over the quota and ones of sessions
// that are not attached are dropped and counted.
func (w *webSocket) handleReport(m *pb.Report) {
	d := w.director
	// The burst is two reports per session, and at least four.
	w.reportLimiter.RatePerMs = float64(max(len(w.sessions), 1)) / d.cfg.Times.ReportMs
	w.reportLimiter.Burst = float64(2 * max(len(w.sessions), 2))
	if !w.reportLimiter.Allow(d.loop.Now()) || len(m.Cmcd) > maxReportBytes {
		d.stats.ReportsDropped++
		return
	}
	for _, s := range w.sessions {
		if s.claims.jti != m.Jti {
			continue
		}
		d.quotas.Release(limits.Reports, int64(len(s.lastReport)))
		s.lastReport = ""
		if !d.quotas.Acquire(limits.Reports, int64(len(m.Cmcd))) {
			d.stats.ReportsDropped++
			return
		}
		s.lastReport = strings.Clone(m.Cmcd)
		d.recordReport(s, s.lastReport, 0, 0)
		d.stats.ReportsAccepted++
		return
	}
	d.stats.ReportsDropped++ // its session is not attached to this connection
}

// respond answers one open message.
func (w *webSocket) respond(req *sessionRequest, r requestResult) {
	d := w.director
	for i, pending := range w.requests {
		if pending == req {
			w.requests = append(w.requests[:i], w.requests[i+1:]...)
			break
		}
	}
	defer w.reportUse()
	switch r.outcome {
	case outcomePlaying:
		w.attach(r.session)
		playing := &pb.Playing{
			Jti:         req.claims.jti,
			ManifestUrl: d.manifestURL(d.cfg.Self(), req),
			Rung:        uint32(r.session.rung),
			KbitPerS:    d.rungKbitPerS(r.session),
		}
		if req.inlineManifest {
			d.manifestBuffer = d.appendManifest(d.manifestBuffer[:0], r.session, req.claims.raw)
			playing.Manifest = string(d.manifestBuffer)
		}
		w.send(&pb.ServerMessage{Id: req.messageID, Body: &pb.ServerMessage_Playing{Playing: playing}})
	case outcomeRefused:
		w.sendRefused(req.messageID, r.reason, r.detail, r.retryMs)
	case outcomeFailed:
		w.sendFailed(req.messageID, r.status, r.reason, r.detail)
	case outcomeRedirected:
		w.send(&pb.ServerMessage{
			Id: req.messageID,
			Body: &pb.ServerMessage_Failed{Failed: &pb.Failed{
				Status: 307,
				Reason: "elsewhere",
				Detail: "another director answers for this token",
				Home:   d.cfg.Director.URLs[r.owner],
			}},
		})
	}
}

// attach attaches a session to this connection.
func (w *webSocket) attach(s *session) {
	for _, attached := range w.sessions {
		if attached == s {
			return
		}
	}
	w.director.quotas.Acquire(limits.SocketSessions, 1)
	w.sessions = append(w.sessions, s)
	s.webSockets = append(s.webSockets, w)
	w.director.ledgerEvents = append(w.director.ledgerEvents, idempotency.Event{
		Kind:    idempotency.ConnectionAttached,
		Session: s.id,
	})
}

// rungKbitPerS returns the rate of the rung in force in kbit/s.
func (d *Director) rungKbitPerS(s *session) uint32 {
	return uint32(d.cfg.Ladder.RateKB[s.rung] * d.cfg.Classes[s.title.class].RateScale * 8)
}

// sendRung notifies the player of a rung change.
func (w *webSocket) sendRung(s *session) {
	w.send(&pb.ServerMessage{Body: &pb.ServerMessage_Rung{Rung: &pb.RungChanged{
		Jti:      s.claims.jti,
		Rung:     uint32(s.rung),
		KbitPerS: w.director.rungKbitPerS(s),
	}}})
}

// sendEnded notifies the player of a session's end and detaches the session.
func (w *webSocket) sendEnded(s *session, reason string) {
	for i, attached := range w.sessions {
		if attached == s {
			w.sessions = append(w.sessions[:i], w.sessions[i+1:]...)
			break
		}
	}
	w.reportUse()
	w.director.quotas.Release(limits.SocketSessions, 1)
	w.send(&pb.ServerMessage{Body: &pb.ServerMessage_Ended{Ended: &pb.Ended{Jti: s.claims.jti, Why: reason}}})
}

// sweepWebSockets pings silent connections and closes those that stay silent.
func (d *Director) sweepWebSockets() {
	now := d.loop.Now()
	if now < d.nextWebSocketSweep {
		return
	}
	d.nextWebSocketSweep = now + sweepIntervalMs
	for w := range d.webSockets {
		silentMs := now - w.lastReceivedAt
		switch {
		case w.closeSent && now > w.closeDeadline, silentMs > d.cfg.Times.PingMs+d.cfg.Times.PongMs:
			w.conn.Close(loop.ErrClosedByOwner)
		case silentMs > d.cfg.Times.PingMs && !w.pingSent && !w.closeSent:
			w.pingSent = true
			w.conn.Write(ws.AppendFrame(nil, ws.OpPing, nil))
		}
	}
}
