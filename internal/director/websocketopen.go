package director

import (
	"slices"

	"headmill/decide/idempotency"
	"headmill/decide/inputorder"
	"headmill/decide/limits"
	"headmill/decide/shutdown"
	pb "headmill/internal/api/sessionv1"
	"headmill/internal/token"
)

// The messages of the session API that request and end sessions. They are carried out in their order, although tokens are verified
// at the same time: a player may end a session whose request has not been submitted yet.

// submitOrder has the limits of requests of one connection that wait for the input behind them.
var submitOrder = inputorder.Config{MaxWaitBytes: 256 << 10, MaxPerStep: 4}

// openMessage is a request for a session that is not submitted yet.
type openMessage struct {
	order  inputorder.RequestID
	id     uint64
	raw    string // token
	inline bool   // the manifest is wanted in the answer
	title  *title
	claims *token.Claims // nil while the token is being verified
	ended  bool          // the player has ended it meanwhile
}

// handleOpen requests a session, or attaches to the one of its token.
func (w *webSocket) handleOpen(id uint64, m *pb.Open) {
	d, maxima := w.director, &w.director.cfg.Limits
	if d.shutdown.Phase() == shutdown.PhaseStopped {
		d.stats.Refused++
		w.sendRefused(id, idempotency.ReasonShuttingDown.String(), shuttingDownDetail, d.cfg.Attempts.MaxRetryAfterMs)
		return
	}
	if pending := w.pendingMessages(); pending >= maxima.PendingPerSocket ||
		pending+len(w.sessions) >= maxima.SessionsPerSocket {
		d.stats.Refused++ // a flood of opens costs no more than an answer each
		w.sendRefused(id, "crowd", "too many sessions or open messages on this connection; nothing was set up",
			d.cfg.Attempts.MaxRetryAfterMs)
		return
	}
	w.lastOpen++
	open := &openMessage{order: w.lastOpen, id: id, raw: w.ownToken(m.Token), inline: m.Inline}
	w.opens = append(w.opens, open)
	w.checkToken(id, open.raw, func(c *token.Claims) {
		if c == nil || !w.validateOpen(open, c, m.WatchOnly) {
			w.removeOpen(open)
			return
		}
		open.claims = c
		w.unsubmitted.Add(open.order)
		w.submitOpens()
	})
}

// validateOpen checks the claims of a request, and answers it where they are not valid.
func (w *webSocket) validateOpen(open *openMessage, c *token.Claims, watchOnly bool) bool {
	d := w.director
	var reqErr *requestError
	open.title, reqErr = d.validateRequest("", c)
	if reqErr == nil && watchOnly {
		if _, _, known := d.ledger.Lookup(c.ID); !known {
			reqErr = &requestError{404, "no-such-session", "no session of this token plays or is being set up here"}
		}
	}
	if reqErr != nil {
		w.reject(open.id, reqErr)
		return false
	}
	return !w.left && w.conn.Open()
}

func (w *webSocket) removeOpen(open *openMessage) {
	w.opens = slices.DeleteFunc(w.opens, func(other *openMessage) bool { return other == open })
}

// pendingMessages is the number of requests and of tokens being verified on the connection.
func (w *webSocket) pendingMessages() int {
	return len(w.requests) + w.tokenChecks + w.unsubmitted.Len()
}

// submitOpens submits the requests that no unread input may end.
func (w *webSocket) submitOpens() {
	if w.unsubmitted.Len() == 0 {
		return
	}
	unread := w.conn.Unread()
	for _, order := range w.unsubmitted.Due(submitOrder, unread, nil) {
		i := slices.IndexFunc(w.opens, func(open *openMessage) bool { return open.order == order })
		if i >= 0 {
			open := w.opens[i]
			w.removeOpen(open)
			w.submitOpen(open)
		}
	}
	w.reportUse()
	if unread || w.unsubmitted.Len() == 0 || w.submitting {
		return
	}
	w.submitting = true
	w.director.loop.Post(func() {
		w.submitting = false
		w.submitOpens()
	})
}

// submitOpen passes a request to the ledger, unless its player has ended it.
func (w *webSocket) submitOpen(open *openMessage) {
	d := w.director
	switch {
	case open.ended:
		ended := failureResponses[idempotency.ReasonSessionEnded]
		w.sendFailed(open.id, ended.status, idempotency.ReasonSessionEnded.String(), ended.detail)
	case !d.quotas.Fits(limits.SocketSessions, 1):
		d.stats.Refused++
		w.sendRefused(open.id, "full", "this director is at a limit of its settings; nothing was set up",
			d.cfg.Attempts.MaxRetryAfterMs)
	default:
		req := &sessionRequest{responder: w, messageID: open.id, inlineManifest: open.inline, connectionBound: true}
		w.requests = append(w.requests, req)
		d.submit(req, open.title, open.raw, open.claims)
	}
}

// handleEnd ends a session at its viewer's request.
func (w *webSocket) handleEnd(id uint64, m *pb.End) {
	raw := w.ownToken(m.Token)
	ended := w.endOpens(raw)
	w.checkToken(id, raw, func(c *token.Claims) {
		if c == nil {
			return
		}
		if _, reqErr := w.director.validateRequest("", c); reqErr != nil {
			w.reject(id, reqErr)
			return
		}
		if !w.director.requestEnd(c) && !ended {
			w.sendFailed(id, 404, "no-such-session", "no session of this token plays or is being set up here")
			return
		}
		w.send(&pb.ServerMessage{
			Id:   id,
			Body: &pb.ServerMessage_Ended{Ended: &pb.Ended{Jti: c.ID, Why: "by its viewer"}},
		})
	})
}

// endOpens ends the requests of a token that are not submitted yet, and reports whether there are any.
func (w *webSocket) endOpens(raw string) (found bool) {
	for _, open := range w.opens {
		if open.raw == raw {
			open.ended, found = true, true
		}
	}
	return found
}
