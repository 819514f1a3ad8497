package limits

import "math"

// tenantState is one tenant: what it holds in each cell, its demand, and the recent admissions of its titles.
type tenantState struct {
	Tenant
	normalizedShare float64      // its share of the sum of all shares
	heldByCell      []Capacity   // by cell
	demand          decayingRate // new requests per ms
	rateFactor      float64      // part of its viewers' full rates at which its demand would fit into its share
	newRequests     float64      // since the last update of rateFactor
	rateRefusals    float64      // of these, those refused for lack of rate
	sessionCount    int
	titles          map[uint64]*titleUsage
	lastSweepAt     float64 // when titles was last cleared of unused ones
}

// titleUsage holds the recently admitted sessions of a tenant's title, and when a request for it was last refused.
type titleUsage struct {
	admitted, decayedAt float64 // sessions, decayed over titleTimeConstantMs up to decayedAt
	lastRefusedAt       float64 // 0: never
}

// updateRateFactor is called once a slot. It lowers rateFactor, by at most a fifth, in proportion to the new
// requests that were refused for lack of rate, and raises it slowly if none was. rateFactor never falls below lowest.
func (t *tenantState) updateRateFactor(lowest float64) {
	if t.rateRefusals > 0 {
		t.rateFactor = math.Max(t.rateFactor*(1-rateFactorDecrease*t.rateRefusals/t.newRequests), lowest)
	} else {
		t.rateFactor = math.Min(t.rateFactor*rateFactorIncrease, 1)
	}
	t.newRequests, t.rateRefusals = 0, 0
}

// usageOf returns the usage of a title, decayed up to now, and creates it if needed. It also forgets titles that were
// not requested during four time constants, after which 2% of a count is left.
func (t *tenantState) usageOf(title uint64, now float64) *titleUsage {
	if now-t.lastSweepAt > titleTimeConstantMs {
		t.lastSweepAt = now
		for id, usage := range t.titles {
			if now-usage.decayedAt > 4*titleTimeConstantMs {
				delete(t.titles, id)
			}
		}
	}
	usage := t.titles[title]
	if usage == nil {
		usage = &titleUsage{decayedAt: now}
		t.titles[title] = usage
	}
	usage.admitted *= math.Exp(-(now - usage.decayedAt) / titleTimeConstantMs)
	usage.decayedAt = now
	return usage
}

// recordRefusal records that a new request for a title was refused.
func (t *tenantState) recordRefusal(title uint64, now float64) {
	t.usageOf(title, now).lastRefusedAt = now
}

// exceedsTitleShare tells whether a title has more than its equal part of the tenant's admitted sessions, by more than
// titleShareSlack, while another title with fewer was refused lately. The equal part is the mean of the titles in use:
// those with more than half a session, as decayed, and those refused lately.
func (t *tenantState) exceedsTitleShare(usage *titleUsage, now float64) bool {
	sum, n, otherRefused := 0.0, 0, false
	for _, other := range t.titles {
		admitted := other.admitted * math.Exp(-(now-other.decayedAt)/titleTimeConstantMs)
		refusedLately := other.lastRefusedAt > 0 && now-other.lastRefusedAt < titleTimeConstantMs
		if admitted > 0.5 || refusedLately {
			sum += admitted
			n++
		}
		otherRefused = otherRefused || other != usage && refusedLately && admitted < usage.admitted
	}
	return otherRefused && n > 1 && usage.admitted > sum/float64(n)+titleShareSlack
}
