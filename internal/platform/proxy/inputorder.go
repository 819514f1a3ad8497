package proxy

import "headmill/decide/inputorder"

// Input that is read late: set-ups that waited while the process stood still have less time left. decide/inputorder says how much.

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
