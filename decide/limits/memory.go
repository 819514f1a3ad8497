package limits

// Purpose is what memory is used for.
type Resource uint8

// The purposes. What the director does where a cap is met: see docs/operate/limits.md.
const (
	Sessions    Resource = iota // entries of the session table: a new one is refused
	Connections                 // of viewers: a new one is closed at once
	Ledger                      // entries of the once-ledger: a new token is refused
	Reports                     // bytes of players' reports: the report is dropped
	Outgoing                    // bytes that wait for viewers: the connection that wants more is cut
	Timelines                   // bytes of decide/quality's timelines: ended ones are forgotten early, new ones not kept
	Sockets                     // sessions held over WebSocket connections: the message is refused
	Waiting                     // bytes of set-ups that wait for their answer: a new one is refused
	purposes
)

var purposeNames = [...]string{"sessions", "connections", "ledger", "reports", "outgoing", "timelines", "sockets", "waiting"}

func (p Resource) String() string { return purposeNames[p] }

// Purposes lists all.
func Resources() []Resource {
	out := make([]Resource, purposes)
	for i := range out {
		out[i] = Resource(i)
	}
	return out
}

// Account is one purpose's figures.
type Usage struct {
	Used, Limit int64  // Cap 0: none
	Peak        int64  // the most ever used
	Denied      uint64 // how often the cap was met
}

// Accounts counts memory by purpose against caps.
type Quotas struct{ of [purposes]Usage }

// SetCap changes a cap. One below what is in use takes nothing away: nothing new is taken until it fits.
func (a *Quotas) SetLimit(p Resource, n int64) { a.of[p].Limit = max(n, 0) }

// Take books n, or counts a denial where the cap would be passed.
func (a *Quotas) Acquire(p Resource, n int64) bool {
	x := &a.of[p]
	if n < 0 || x.Limit > 0 && x.Used+n > x.Limit {
		x.Denied++
		return false
	}
	x.Used += n
	x.Peak = max(x.Peak, x.Used)
	return true
}

// Room tells whether n more would fit, and counts a denial where not.
func (a *Quotas) Fits(p Resource, n int64) bool {
	x := &a.of[p]
	if x.Limit > 0 && x.Used+n > x.Limit {
		x.Denied++
		return false
	}
	return true
}

// Give returns n. More than is booked is the caller's fault and never makes the account negative.
func (a *Quotas) Release(p Resource, n int64) {
	x := &a.of[p]
	x.Used = max(x.Used-max(n, 0), 0)
}

// Set books what is in use now, for purposes that are measured and not counted one by one. It tells whether
// that is within the cap.
func (a *Quotas) SetUsed(p Resource, used int64) bool {
	x := &a.of[p]
	x.Used = max(used, 0)
	x.Peak = max(x.Peak, x.Used)
	return x.Limit == 0 || x.Used <= x.Limit
}

// Of returns a purpose's figures.
func (a *Quotas) Usage(p Resource) Usage { return a.of[p] }

// Fullest is the largest part of a cap that is in use, 0 where no purpose has a cap.
func (a *Quotas) MaxUtilization() float64 {
	most := 0.0
	for _, x := range a.of {
		if x.Limit > 0 {
			most = max(most, float64(x.Used)/float64(x.Limit))
		}
	}
	return most
}

// Meter lets so many a ms through, with a burst: the agreed pace of one source.
type RateLimiter struct {
	RatePerMs, Burst float64
	tokens, at       float64
	begun            bool
}

// Take tells whether one more is within the pace at now (ms).
func (m *RateLimiter) Allow(now float64) bool {
	if !m.begun {
		m.begun, m.tokens, m.at = true, m.Burst, now
	}
	m.tokens = min(m.tokens+(now-m.at)*m.RatePerMs, m.Burst)
	m.at = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}
