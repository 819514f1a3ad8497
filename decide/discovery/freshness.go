package discovery

// Freshness decides when set-ups may be placed by the node list after the process stood still. What arrived meanwhile would
// else be placed by a list from before, though the director may count as notified of a change since then.
//
//	state    event                                    next
//	placing  Stalled, list older than MaxAgeMs        holding
//	holding  Answered, to a query sent since then     placing
//	         MayPlace, MaxHoldMs later                placing: the discovery service may be unavailable
type Freshness struct {
	MaxAgeMs  float64 // a list that was confirmed longer ago may lack what the director counts as notified of
	MaxHoldMs float64

	confirmedAt float64 // when the last query was sent that has been answered
	holding     bool
	holdSince   float64
}

// Stalled tells whether placing must wait, after the process stood still until now (ms).
func (f *Freshness) Stalled(now float64) bool {
	if !f.holding && now-f.confirmedAt > f.MaxAgeMs {
		f.holding, f.holdSince = true, now
	}
	return f.holding
}

// Answered takes note of a usable answer to the query that was sent at queriedAt.
func (f *Freshness) Answered(queriedAt float64) {
	f.confirmedAt = max(f.confirmedAt, queriedAt)
	if f.holding && queriedAt >= f.holdSince {
		f.holding = false
	}
}

// MayPlace tells whether set-ups may be placed.
func (f *Freshness) MayPlace(now float64) bool {
	if f.holding && now-f.holdSince >= f.MaxHoldMs {
		f.holding = false
	}
	return !f.holding
}
