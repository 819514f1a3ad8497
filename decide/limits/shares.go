package limits

import (
	"math"

	"headmill"
)

// Tenants share the capacity that sessions hold, not the number of admissions: a session holds its capacity until it
// ends, and once the media nodes are full each stream that comes free goes to whoever asks most often. A session
// counts at the highest rung that it may have, so that a tenant whose sessions were lowered to the minimum rung is
// not under-counted. Of the two resources that run short, rate and streams, the one counts of which the tenant holds
// the larger part: dominant resource fairness (Ghodsi et al., NSDI 2011).

// holding is what one session holds: all of it in one cell or, while the session is set up, an equal part in each
// cell where it could play.
type holding struct {
	tenant            *tenantState
	firstCell, copies int
	rateKB            float64
}

// forEachCell calls do for each cell of a title that is held by copies cells from firstCell on.
func (a *Admission) forEachCell(firstCell, copies int, do func(cell int)) {
	n := len(a.cells)
	for i := 0; i < copies && i < n; i++ {
		do(((firstCell+i)%n + n) % n)
	}
}

// addHolding adds h, multiplied by factor, to what its tenant holds.
func (a *Admission) addHolding(h *holding, factor float64) {
	n := float64(max(min(h.copies, len(a.cells)), 1))
	a.forEachCell(h.firstCell, h.copies, func(cell int) { h.tenant.heldByCell[cell].add(Capacity{h.rateKB, 1}, factor/n) })
}

// startSetup counts what a session that is being set up holds for its tenant.
func (a *Admission) startSetup(ev *Event) {
	a.removeHolding(ev.ID)
	h := &holding{tenant: a.tenant(ev.Tenant), firstCell: ev.FirstCell, copies: max(ev.Copies, 1),
		rateKB: a.sessionRateKB(ev.Class, ev.MaxRung)}
	a.holdings[ev.ID] = h
	h.tenant.sessionCount++
	a.addHolding(h, 1)
}

// startSession moves a session's holding to the one cell where it plays.
func (a *Admission) startSession(ev *Event) {
	h := a.holdings[ev.ID]
	if h == nil {
		return
	}
	a.addHolding(h, -1)
	h.firstCell, h.copies = ev.FirstCell, 1
	a.addHolding(h, 1)
	a.startedRate.add(h.rateKB)
}

// removeHolding releases what a session holds; an unknown session is ignored.
func (a *Admission) removeHolding(id uint64) {
	if h := a.holdings[id]; h != nil {
		a.addHolding(h, -1)
		h.tenant.sessionCount--
		delete(a.holdings, id)
	}
}

// recomputeHoldings recounts what all sessions hold, after cells or tenants have changed.
func (a *Admission) recomputeHoldings() {
	a.total = Capacity{}
	for _, cell := range a.cells {
		a.total.add(cell, 1)
	}
	listed := map[*tenantState]bool{}
	for _, t := range a.tenants {
		listed[t] = true
		t.heldByCell, t.sessionCount = make([]Capacity, len(a.cells)), 0
	}
	for _, h := range a.holdings {
		if !listed[h.tenant] {
			h.tenant = a.tenants[len(a.tenants)-1]
		}
		h.tenant.sessionCount++
		a.addHolding(h, 1)
	}
}

// shareStatus is the status of a request against its tenant's share; see the package comment.
type shareStatus uint8

const (
	withinShare shareStatus = iota
	borrowing               // of what others leave
	overShare
)

// overDemands tells whether a tenant asks for much more than another one in proportion to their shares, beyond the
// random variation of counts over a few seconds (two standard deviations, 2*sqrt(count)). Where all ask alike, however
// much, no tenant is displaced from its share: the decision module adjusts the rungs.
func (a *Admission) overDemands(t *tenantState) bool {
	const demandMs = rateTimeConstantMs * demandTimeConstants
	for _, other := range a.tenants {
		count := other.demand.perMs * demandMs
		// The share of an absent tenant is lent to whoever asks.
		if other == t || count < minTenantDemand && other.sessionCount == 0 {
			continue
		}
		if other.normalizedShare > 0 && t.demand.perMs*demandMs*other.normalizedShare >
			overDemandRatio*(count+2*math.Sqrt(count))*t.normalizedShare {
			return true
		}
	}
	return false
}

// checkShare tells the status of one more session of the tenant on the cells that hold its title. A tenant is within
// its share if it does not over-demand, or holds less than its share there. Above it, the holdings of all tenants
// must leave capacity for the request and the headroom, below the load up to which the decision module raises rungs:
// above that load, borrowing would keep it from raising the rungs of the tenants that lend. rateBound tells that the
// tenant holds a larger part of the rate than of the streams.
func (a *Admission) checkShare(t *tenantState, ev *Event, rateKB float64) (status shareStatus, rateBound bool) {
	if len(a.tenants) < 2 || len(a.cells) == 0 {
		return withinShare, false
	}
	var available, held, heldByAll Capacity
	a.forEachCell(ev.FirstCell, max(ev.Copies, 1), func(cell int) {
		available.add(a.cells[cell], 1)
		held.add(t.heldByCell[cell], 1)
	})
	for _, other := range a.tenants {
		a.forEachCell(ev.FirstCell, max(ev.Copies, 1), func(cell int) { heldByAll.add(other.heldByCell[cell], 1) })
	}
	share := held.dominantShare(available)
	rateBound = available.RateKB > 0 && held.RateKB/available.RateKB >= share
	if t.MaxShare > 0 && share >= t.MaxShare {
		return overShare, rateBound
	}
	if !a.overDemands(t) || share < t.normalizedShare {
		return withinShare, rateBound
	}
	heldByAll.add(Capacity{rateKB, 1}, 1)
	// The capacity of a cell is what fills it to MaxSetupLoad, so a share of 1 is that load.
	if heldByAll.dominantShare(available)+a.headroom() <= headmill.MaxRaiseLoad/headmill.MaxSetupLoad {
		return borrowing, rateBound
	}
	return overShare, rateBound
}

// sessionRateKB is the rate that a session of a class takes at a rung, kB/s.
func (a *Admission) sessionRateKB(class, rung int) float64 {
	c := &a.cfg.Classes[min(max(class, 0), len(a.cfg.Classes)-1)]
	return a.cfg.RateKB[min(max(rung, c.MinRung, 0), len(a.cfg.RateKB)-1)] * c.RateScale
}

// maxRung is the highest rung that the session of a request may have. If the new requests of a tenant don't all fit
// into its share, its new sessions are admitted at lower rungs, so that more of them play in the same capacity. The
// rung is never below the one with the most worth per kB, and is drawn at random between two rungs so that the mean
// rate is the one that fits. Without such a limit it is the viewer's own.
func (a *Admission) maxRung(t *tenantState, ev *Event) int {
	class := &a.cfg.Classes[min(max(ev.Class, 0), len(a.cfg.Classes)-1)]
	highest := min(ev.MaxRung, class.MaxRung, len(a.cfg.RateKB)-1)
	if t.rateFactor >= 1 {
		return ev.MaxRung
	}
	lowest := max(class.MinRung, 0)
	for rung := lowest + 1; rung <= highest; rung++ {
		if a.cfg.RungWorth[rung]*a.cfg.RateKB[lowest] > a.cfg.RungWorth[lowest]*a.cfg.RateKB[rung] {
			lowest = rung
		}
	}
	targetKB := a.cfg.RateKB[max(highest, 0)] * t.rateFactor
	rung := highest
	for rung > lowest && a.cfg.RateKB[rung] > targetKB {
		rung--
	}
	if rung < highest {
		lowKB, highKB := a.cfg.RateKB[rung], a.cfg.RateKB[rung+1]
		if a.rng.Float64() < (targetKB-lowKB)/(highKB-lowKB) {
			rung++
		}
	}
	return rung
}

// headroom is the ratio of the capacity that borrowing and retries must leave free: what is placed within the time
// until it would be known here (trunk reservation, as in loss networks). It follows the rate of sessions that start
// and not the rate of requests: in a rush of requests that exceeds what ever comes free, and half of the capacity
// would stay empty.
func (a *Admission) headroom() float64 {
	if a.total.RateKB <= 0 {
		return 0
	}
	return math.Min(a.startedRate.perMs*a.cfg.PropagationMs/a.total.RateKB*a.cfg.OthersShare, maxHeadroom)
}

// TenantUsage is the dominant share that each tenant holds of the total capacity, by name.
func (a *Admission) TenantUsage() map[string]float64 {
	out := make(map[string]float64, len(a.tenants))
	for _, t := range a.tenants {
		var held Capacity
		for _, cell := range t.heldByCell {
			held.add(cell, 1)
		}
		out[t.Name] = math.Max(held.dominantShare(a.total), 0)
	}
	return out
}
