package discovery

// Freshness decides when set-ups may be placed by the node list after the process stood still. What arrived meanwhile would
// else be placed by a list from before, though the director may count as notified of a change since then. One answer does not
// show that the list is recent: the discovery service may send older lists several times in a row.
//
//	state    event                                                next
//	placing  Stalled, list older than MaxAgeMs                    holding
//	holding  Answered, to Confirmations queries sent since then   placing
//	         MayPlace, MaxHoldMs later                            placing: the discovery service may be unavailable
type Freshness struct {
	MaxAgeMs      float64 // a list that was confirmed longer ago may lack what the director counts as notified of
	MaxHoldMs     float64
	Confirmations int

	confirmedAt float64 // when the last query was sent that has been answered
	holding     bool
	holdSince   float64
	answered    int // queries sent since holdSince that have been answered
}

// Stalled tells whether placing must wait, after the process stood still until now (ms).
func (f *Freshness) Stalled(now float64) bool {
	if !f.holding && now-f.confirmedAt > f.MaxAgeMs {
		f.holding, f.holdSince, f.answered = true, now, 0
	}
	return f.holding
}

// Answered takes note of a usable answer to the query that was sent at queriedAt. It reports whether placing waits for a
// further answer, which should be asked for at once. A repeated answer counts once.
func (f *Freshness) Answered(queriedAt float64) (queryAgain bool) {
	isNew := queriedAt > f.confirmedAt
	f.confirmedAt = max(f.confirmedAt, queriedAt)
	if !f.holding || !isNew || queriedAt < f.holdSince {
		return false
	}
	f.answered++
	f.holding = f.answered < f.Confirmations
	return f.holding
}

// MayPlace tells whether set-ups may be placed.
func (f *Freshness) MayPlace(now float64) bool {
	if f.holding && now-f.holdSince >= f.MaxHoldMs {
		f.holding = false
	}
	return !f.holding
}

// Overdue tells whether a set-up, whose viewer waits until deadline, is failed while placing waits: its time is over, so that it
// is not placed again whatever the node list says.
func (f *Freshness) Overdue(now, deadline float64) bool { return f.holding && deadline <= now }
