package proxy

import (
	"headmill"
	"headmill/decide/inputorder"
)

// Input that is read late: set-ups whose viewer has sent more that is still unread wait for it, as it may withdraw them, and those that
// waited while the process stood still have less time left. decide/inputorder says how long and how much.

// requestOrder has the limits of waiting set-ups of one connection.
var requestOrder = inputorder.Config{MaxWaitBytes: 256 << 10, MaxPerStep: 8}

// stallTimes says what a set-up has left that may have waited while the process stood still.
var stallTimes = inputorder.StallConfig{BacklogMs: 200, MinTimeMs: 100}

// timeLeftAfterStall returns the time that a set-up has left which states timeLeftMs, as of when its viewer sent it.
func (v *viewer) timeLeftAfterStall(timeLeftMs float64) float64 {
	return v.proxy.lastStall().TimeLeft(stallTimes, v.proxy.loop.Now(), v.drainedAt, timeLeftMs)
}

// noteDrained takes note of the end of what had arrived on the connection in a stall.
func (v *viewer) noteDrained() {
	if now := v.proxy.loop.Now(); v.proxy.lastStall().Recent(stallTimes, now) && !v.conn.Unread() {
		v.drainedAt = now
	}
}

func (p *Proxy) lastStall() inputorder.Stall {
	from, to := p.loop.LastStall()
	return inputorder.Stall{From: from, To: to}
}

// unplacedRequest is a set-up that the module does not have yet.
type unplacedRequest struct {
	event  headmill.Event
	readAt float64 // loop time, ms
}

// holdRequest lets a set-up wait for the input behind it.
func (v *viewer) holdRequest(ev headmill.Event) {
	id := inputorder.RequestID(ev.Session)
	v.proxy.unplaced[id] = unplacedRequest{event: ev, readAt: v.proxy.loop.Now()}
	v.unplaced.Add(id)
}

// placeRequests passes the set-ups on to the module that are due.
func (v *viewer) placeRequests() {
	if v.unplaced.Len() == 0 {
		return
	}
	unread := v.conn.Unread()
	for _, id := range v.unplaced.Due(requestOrder, unread, nil) {
		v.proxy.placeRequest(id)
	}
	if unread || v.unplaced.Len() == 0 || v.placing {
		return
	}
	v.placing = true
	v.proxy.loop.Post(func() {
		v.placing = false
		v.placeRequests()
	})
}

// placeRequest passes a set-up on to the module, unless it was withdrawn.
func (p *Proxy) placeRequest(id inputorder.RequestID) {
	request, ok := p.unplaced[id]
	if !ok {
		return
	}
	delete(p.unplaced, id)
	request.event.TimeLeftMs -= p.loop.Now() - request.readAt
	p.queueEvent(request.event)
}
