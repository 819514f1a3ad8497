package limits

// Resource is something that the director holds in memory and that has a quota.
type Resource uint8

// The resources. What the director does when a limit is reached: see docs/operate/limits.md.
const (
	Sessions       Resource = iota // entries of the session table: a new one is refused
	Connections                    // of viewers: a new one is closed at once
	Ledger                         // entries of the idempotency ledger: a new token is refused
	Reports                        // bytes of players' reports: the report is dropped
	OutputBuffers                  // bytes that wait to be sent to viewers: the connection that wants more is closed
	Timelines                      // bytes of decide/quality's timelines: ended ones are dropped, then new ones not kept
	SocketSessions                 // attachments of sessions to WebSocket connections: the message is refused
	PendingSetups                  // bytes of session descriptions of unanswered set-ups: a new one is refused
	resourceCount                  // number of resources
)

var resourceNames = [...]string{"sessions", "connections", "ledger", "reports", "outgoing", "timelines", "sockets",
	"waiting"}

func (r Resource) String() string { return resourceNames[r] }

// Resources lists all resources.
func Resources() []Resource {
	out := make([]Resource, resourceCount)
	for i := range out {
		out[i] = Resource(i)
	}
	return out
}

// Usage is the usage of one resource.
type Usage struct {
	Used, Limit int64  // Limit 0: no limit
	Peak        int64  // the highest Used ever
	Denied      uint64 // how often Acquire or Fits returned false
}

// Quotas counts the usage of resources against limits.
type Quotas struct{ usage [resourceCount]Usage }

// SetLimit changes a limit. One below the present usage takes nothing away: nothing new is granted until it fits.
func (q *Quotas) SetLimit(r Resource, limit int64) { q.usage[r].Limit = max(limit, 0) }

// Acquire adds n to the usage, or counts a denial where the limit would be exceeded or n is negative.
func (q *Quotas) Acquire(r Resource, n int64) bool {
	u := &q.usage[r]
	if n < 0 || u.Limit > 0 && u.Used+n > u.Limit {
		u.Denied++
		return false
	}
	u.Used += n
	u.Peak = max(u.Peak, u.Used)
	return true
}

// Fits tells whether n more would fit, and counts a denial where they would not.
func (q *Quotas) Fits(r Resource, n int64) bool {
	u := &q.usage[r]
	if u.Limit > 0 && u.Used+n > u.Limit {
		u.Denied++
		return false
	}
	return true
}

// Release subtracts n from the usage. More than was acquired is the caller's error and never makes the usage negative.
func (q *Quotas) Release(r Resource, n int64) {
	u := &q.usage[r]
	u.Used = max(u.Used-max(n, 0), 0)
}

// SetUsed sets the present usage, for resources that are measured and not counted one by one. It tells whether the
// usage is within the limit.
func (q *Quotas) SetUsed(r Resource, used int64) bool {
	u := &q.usage[r]
	u.Used = max(used, 0)
	u.Peak = max(u.Peak, u.Used)
	return u.Limit == 0 || u.Used <= u.Limit
}

// Usage returns the usage of a resource.
func (q *Quotas) Usage(r Resource) Usage { return q.usage[r] }

// MaxUtilization is the largest ratio of a limit that is in use, 0 where no resource has a limit.
func (q *Quotas) MaxUtilization() float64 {
	highest := 0.0
	for _, u := range q.usage {
		if u.Limit > 0 {
			highest = max(highest, float64(u.Used)/float64(u.Limit))
		}
	}
	return highest
}
