package limits

// RateLimiter is a token bucket that bounds the pace of one source.
type RateLimiter struct {
	RatePerMs, Burst  float64
	tokens, updatedAt float64
	started           bool
}

// Allow tells whether one more is within the pace at now (ms), and takes a token if it is.
func (l *RateLimiter) Allow(now float64) bool {
	if !l.started {
		l.started, l.tokens, l.updatedAt = true, l.Burst, now
	}
	l.tokens = min(l.tokens+(now-l.updatedAt)*l.RatePerMs, l.Burst)
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
