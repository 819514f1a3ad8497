package inputorder

// Stall is the last time for which the process stood still: what it reads afterwards may have waited for as long.
type Stall struct {
	From, To float64 // ms; 0 and 0: it never did
}

// StallConfig has the times, in ms, that a Stall is judged by.
type StallConfig struct {
	BacklogMs float64 // time after a stall within which the input that had arrived in it is read
	MinTimeMs float64 // time that a request is left in any case: it may have come at the end of the stall
}

// Recent reports whether input that is read now may have arrived in the stall.
func (s Stall) Recent(cfg StallConfig, now float64) bool {
	return s.To > 0 && now-s.To <= cfg.BacklogMs
}

// TimeLeft returns the time that a request has left which was read now and states timeLeft, as of when it was sent. drainedAt is when
// its connection last had no unread input. The longest wait that is possible is taken off.
func (s Stall) TimeLeft(cfg StallConfig, now, drainedAt, timeLeft float64) float64 {
	if !s.Recent(cfg, now) || drainedAt >= s.To {
		return timeLeft
	}
	return max(timeLeft-(now-s.From), min(timeLeft, cfg.MinTimeMs))
}
