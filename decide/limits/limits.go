// Package limits decides which session requests a director admits before the
// decision module (package headmill) is asked. A request is refused because the
// director itself is overloaded, because a tenant holds more than its share, or
// because one title would starve the other titles of its tenant. The package
// also decides how much headroom must stay free beside a session that is
// admitted on borrowed capacity or as a retry, when a refused viewer should
// retry, and which weight load balancers are told. Quotas counts resources against limits,
// RateLimiter bounds the pace of one source, and CapacityEstimator works out
// the capacity that the tenants share.
//
// The package is pure: Step takes events with their time and returns decisions,
// and all randomness comes from a seed. No request is queued: each is answered
// in the Step that brings it.
//
// A request is a retry if the same request was refused within RetryMemoryMs,
// and a new request otherwise. A tenant whose new requests ask for more rate
// than its share has a rate factor below 1: its new sessions are admitted at
// lower rungs, so that more of them fit.
//
// While the media nodes have capacity for all requests, a request is refused
// only if the director is overloaded or the status is overShare (see below).
// Title shares, and the refusal of borrowing, apply only to titles that the
// decision module refuses for lack of capacity: a title is held by some media
// nodes only, and the others may have plenty.
//
// States of a title (titleDemand.scarceUntil):
//
//	state   meaning                                   changes
//	plenty  the decision module finds capacity for    to scarce when, of at least minScarcePlacements recent
//	        it; only tenant shares apply              placements, scarceRefusalRatio or more were refused
//	scarce  it refuses many sessions of the title:    to plenty scarceHoldMs after the last placement refusal that
//	        title shares apply, and nothing is lent   still met these conditions, or the last TitleOverShare refusal
//
// Status of a request against its tenant's share (shareStatus):
//
//	state        meaning                                             a Request is answered with
//	withinShare  the tenant does not ask for much more than others,  Admitted; with headroom if it is a retry
//	             or holds less than its share on the title's cells
//	borrowing    above its share, in capacity that others leave      Admitted with headroom and Borrowed set;
//	                                                                 TenantOverShare if the title is scarce
//	overShare    at MaxShare, or above its share while the holdings  TenantOverShare
//	             of all tenants leave too little
//
// What each event does:
//
//	Request           counts the demand of title and tenant unless it is a retry, and is answered: DirectorOverloaded,
//	                  then TitleOverShare, then the share status
//	PlacementRefused  counts a refusal by the decision module, which may make the title scarce; answered NoCapacity
//	                  with retry advice
//	SetupStarted      counts what the session holds, in equal parts on all cells that hold its title
//	SessionStarted    counts a placement, and what the session holds on the cell where it plays
//	SessionEnded      releases what the session holds
//	CapacityChanged   replaces the capacity of the cells and recounts what all sessions hold
//	LoadMeasured      updates the load of the director
//	Tick              only lets time pass
package limits

import (
	"math"
	"math/rand/v2"
)

const (
	slotMs              = 250.0  // ms of a slot of the retry schedule, and between updates of rate factors
	rateTimeConstantMs  = 2000.0 // ms in which a measured rate decays by two thirds
	scarceRefusalRatio  = 0.05   // ratio of placements refused for lack of capacity from which a title is scarce
	minScarcePlacements = 8.0    // recent placements below which the ratio of refusals is not significant
	scarceHoldMs        = 1000.0 // ms that a title stays scarce after the last refusal that kept it scarce
	rateFactorDecrease  = 0.2    // ratio by which a rate factor falls in a slot where all new requests lacked rate
	rateFactorIncrease  = 1.1    // growth of a rate factor in a slot without such a refusal: 46% a second
	demandTimeConstants = 3.0    // multiple of rateTimeConstantMs over which the demand of a tenant is averaged: 6 s
	minTenantDemand     = 0.5    // decayed new requests below which a tenant without sessions counts as absent
	overDemandRatio     = 1.5    // ratio of two tenants' demand per share above which the first over-demands
	maxHeadroom         = 0.5    // largest ratio of the capacity that is kept free from borrowing and retries
	titleTimeConstantMs = 1000.0 // ms in which the count of a title's admitted sessions decays by two thirds
	shedStartLoad       = 0.8    // load, as a ratio of the limit, from which requests are shed
	shedAllLoad         = 1.5    // load, as a ratio of the limit, at which every request is shed
	loadTimeConstantMs  = 1000.0 // ms in which the load follows a lower measurement by two thirds
	expectedRetryRatio  = 0.9    // ratio of refused viewers that are assumed to retry
	titleShareSlack     = 2.0    // admitted sessions by which a title may exceed its equal share of the tenant
)

// Tenant is one customer that shares the media nodes with others.
type Tenant struct {
	Name     string
	Share    float64 // its part of the capacity of the media nodes; shares are scaled to add up to 1
	MaxShare float64 // the largest part that it may hold, borrowed capacity included; 0: no such limit
}

// Class describes one class of sessions.
type Class struct {
	Value, RateScale float64 // as headmill.Class.ValuePerSecond and RateScale
	MinRung, MaxRung int
}

// Config is the configuration of an Admission.
type Config struct {
	Tenants         []Tenant // the last one also stands for names that are not listed
	Classes         []Class
	RateKB          []float64 // the ladder, kB/s
	RungWorth       []float64 // as headmill.Config.RungWorth
	MinRetryAfterMs float64   // shortest retry advice
	MaxRetryAfterMs float64   // longest retry advice; 0: no advice is given
	RetryMemoryMs   float64   // for how long a refused request is recognized when it is retried
	MaxRefusals     int       // refused requests that are remembered
	FullLagMs       float64   // lag of the event loop that counts as full load; 0: ignored
	FullQueue       float64   // waiting events that count as full load; 0: ignored
	FullMemoryBytes float64   // memory that counts as full load; 0: ignored
	// PropagationMs is the time until the set-ups that other directors send to a media node are known here. Headroom
	// must cover what is placed in that time.
	PropagationMs float64
	OthersShare   float64 // part of all placements made by other directors: only these are not known at once
	AdmitAll      bool    // disables admission control, as a baseline for benchmarks
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The kinds of events.
const (
	Request          EventKind = iota // ID, RequestKey, Tenant, Title, Class, FirstCell, Copies, MaxRung: new or a retry
	SetupStarted                      // ID, Tenant, Class, FirstCell, Copies, MaxRung: session ID is being set up
	SessionStarted                    // ID, RequestKey, Tenant, Title, FirstCell: session ID plays in cell FirstCell
	SessionEnded                      // ID: the session holds nothing any more
	PlacementRefused                  // ID, RequestKey, Tenant, Title: the decision module found no capacity
	CapacityChanged                   // Capacity: the media nodes have changed
	LoadMeasured                      // LagMs, Queue, MemoryBytes
	Tick                              // only time passes
)

// Event is one fact or one request.
type Event struct {
	Kind              EventKind
	ID                uint64 // of the session
	RequestKey        uint64 // identifies viewer and session wanted; the same in a retry
	Title             uint64
	Tenant, Class     int
	FirstCell, Copies int // the first cell that holds the title, and how many in a row do
	MaxRung           int // the viewer's highest rung; for SetupStarted: Action.MaxRung of the admission
	LagMs, Queue      float64
	MemoryBytes       float64
	Capacity          []Capacity // by cell; only read during Step
}

// Reason tells why a request was refused.
type Reason uint8

// The reasons.
const (
	Admitted           Reason = iota
	DirectorOverloaded        // the director itself is over its limits
	TenantOverShare           // the tenant holds its share, and what others leave is used
	TitleOverShare            // the title has more than its part of the tenant's share
	NoCapacity                // the decision module refused the placement; only the retry advice is from here
)

// reasonNames are the external names of the reasons, also in metrics and logs, in the order of the constants.
var reasonNames = [...]string{"pass", "overload", "share", "title", "room"}

func (r Reason) String() string { return reasonNames[r] }

// Action is the decision on one request.
type Action struct {
	ID           uint64
	Reason       Reason
	RetryAfterMs float64 // retry advice of a refusal
	Retried      bool    // the request was refused before
	Borrowed     bool    // admitted above the tenant's own share
	MaxRung      int     // highest rung that the session may have
	Headroom     float64 // ratio of a media node's capacity that must stay free beside the session
}

// decayingRate is a rate of events per ms, averaged with exponential decay.
type decayingRate struct{ perMs float64 }

func (r *decayingRate) add(count float64) { r.perMs += count / rateTimeConstantMs }
func (r *decayingRate) decay(ms float64)  { r.perMs *= math.Exp(-ms / rateTimeConstantMs) }

// titleDemand is the measured demand for one title. The title is scarce while the decision module refuses it.
type titleDemand struct {
	placements, newRequests  decayingRate
	triedCount, refusedCount float64 // placements tried and refused, decayed over 2*slotMs
	decayedAt                float64
	scarceUntil              float64
}

// decayTo decays the figures up to now.
func (d *titleDemand) decayTo(now float64) {
	ms := now - d.decayedAt
	if ms <= 0 {
		return
	}
	d.decayedAt = now
	d.placements.decay(ms)
	d.newRequests.decay(ms)
	factor := math.Exp(-ms / (2 * slotMs))
	d.triedCount *= factor
	d.refusedCount *= factor
}

// Admission is the state of admission control.
type Admission struct {
	cfg                  Config
	rng                  *rand.Rand
	now                  float64
	started              bool
	lastSweepAt          float64                 // when demands was last cleared of unused titles
	startedAt            float64                 // time of the first Step
	demands              map[uint64]*titleDemand // by title
	scarceTitles         []*titleDemand
	scarcePlacements     float64 // placements per ms of scarce titles
	scarceNewRequests    float64 // new requests per ms for scarce titles
	triedCount           float64 // placements tried of all titles, decayed over 2*slotMs
	refusedCount         float64 // of these, those that the decision module refused
	tenants              []*tenantState
	cells                []Capacity          // this director's part of the capacity, by cell
	total                Capacity            // the sum of cells
	holdings             map[uint64]*holding // by session
	rateFactorsUpdatedAt float64
	startedRate          decayingRate // kB/s of sessions that start to play, per ms
	currentLoad          float64
	retries              retrySchedule
	refusals             refusedRequests
	classRanks           []int // rank of each class by worth
	rankCount            int
}

// New makes an Admission; seed is its only source of randomness.
func New(cfg Config, seed uint64) *Admission {
	if len(cfg.Tenants) == 0 {
		cfg.Tenants = []Tenant{{Name: "all", Share: 1}}
	}
	if len(cfg.Classes) == 0 {
		cfg.Classes = []Class{{Value: 1, RateScale: 1}}
	}
	if len(cfg.RateKB) == 0 {
		cfg.RateKB, cfg.RungWorth = []float64{1}, []float64{1}
	}
	a := &Admission{cfg: cfg, demands: map[uint64]*titleDemand{}, holdings: map[uint64]*holding{},
		rng: rand.New(rand.NewPCG(seed, 0x6c696d69))} // the second word is arbitrary
	a.SetTenants(cfg.Tenants)
	a.refusals.limit = max(cfg.MaxRefusals, 1)
	a.classRanks, a.rankCount = rankClasses(cfg.Classes)
	return a
}

// SetTenants changes the tenants and their shares. Sessions keep what they hold; those of a tenant that is no longer
// listed count for the last one.
func (a *Admission) SetTenants(list []Tenant) {
	totalShare := 0.0
	for _, t := range list {
		totalShare += math.Max(t.Share, 0)
	}
	old := map[string]*tenantState{}
	for _, t := range a.tenants {
		old[t.Name] = t
	}
	a.tenants = nil
	for _, t := range list {
		state := old[t.Name]
		if state == nil {
			state = &tenantState{titles: map[uint64]*titleUsage{}, rateFactor: 1, heldByCell: make([]Capacity, len(a.cells))}
		}
		state.Tenant = t
		if totalShare > 0 {
			state.normalizedShare = math.Max(t.Share, 0) / totalShare
		} else {
			state.normalizedShare = 1 / float64(len(list))
		}
		a.tenants = append(a.tenants, state)
	}
	a.cfg.Tenants = list
	a.recomputeHoldings()
}

// TenantIndex finds a tenant by its name; names that are not listed belong to the last tenant.
func (a *Admission) TenantIndex(name string) int {
	for i, t := range a.tenants {
		if t.Name == name {
			return i
		}
	}
	return len(a.tenants) - 1
}

// Scarce tells whether any title is scarce at present.
func (a *Admission) Scarce() bool { return len(a.scarceTitles) > 0 }

// demand finds the demand for a title, decayed up to now.
func (a *Admission) demand(title uint64) *titleDemand {
	d := a.demands[title]
	if d == nil {
		d = &titleDemand{decayedAt: a.now}
		a.demands[title] = d
	}
	d.decayTo(a.now)
	return d
}

// Load is the director's own load over its limits: 1 is full load.
func (a *Admission) Load() float64 { return a.currentLoad }

// RememberedRefusals is the number of refused requests that are remembered.
func (a *Admission) RememberedRefusals() int { return a.refusals.len() }

// Step takes the events of one moment and appends a decision for each Request and PlacementRefused, in their order.
func (a *Admission) Step(now float64, events []Event, out []Action) []Action {
	a.advance(now)
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case Request:
			out = append(out, a.admit(ev))
		case PlacementRefused:
			d := a.demand(ev.Title)
			a.triedCount++
			a.refusedCount++
			d.triedCount++
			d.refusedCount++
			a.updateScarcity(d)
			retried := a.refusals.contains(ev.RequestKey, a.now, a.cfg.RetryMemoryMs)
			if !retried {
				a.tenant(ev.Tenant).recordRefusal(ev.Title, a.now)
			}
			out = append(out, a.refuse(ev, NoCapacity, retried))
		case SetupStarted:
			a.startSetup(ev)
		case SessionStarted:
			a.startSession(ev)
			a.triedCount++
			d := a.demand(ev.Title)
			d.triedCount++
			d.placements.add(1)
			a.refusals.remove(ev.RequestKey)
		case SessionEnded:
			a.removeHolding(ev.ID)
		case CapacityChanged:
			a.cells = append(a.cells[:0], ev.Capacity...)
			a.recomputeHoldings()
		case LoadMeasured:
			a.updateLoad(ev)
		}
	}
	return out
}

// advance moves the time to now: rates decay, and rate factors are updated once a slot.
func (a *Admission) advance(now float64) {
	if !a.started {
		a.started, a.now, a.startedAt = true, now, now
		a.retries.reset(now)
		return
	}
	ms := now - a.now
	if ms <= 0 {
		return
	}
	a.now = now
	a.refreshScarceTitles()
	factor := math.Exp(-ms / (2 * slotMs))
	a.triedCount *= factor
	a.refusedCount *= factor
	a.startedRate.decay(ms)
	for _, t := range a.tenants {
		t.demand.decay(ms / demandTimeConstants)
	}
	if now-a.rateFactorsUpdatedAt >= slotMs {
		a.rateFactorsUpdatedAt = now
		for _, t := range a.tenants {
			t.updateRateFactor(a.cfg.RateKB[0] / a.cfg.RateKB[len(a.cfg.RateKB)-1])
		}
	}
	a.retries.advance(now)
}

// scarcePlacementRate is the measured rate of placements of scarce titles per ms. A measurement that has just begun
// is scaled up for the time that it lacks, by at most 20 (1/0.05).
func (a *Admission) scarcePlacementRate() float64 {
	return a.scarcePlacements / math.Max(1-math.Exp(-(a.now-a.startedAt)/rateTimeConstantMs), 0.05)
}

// updateScarcity marks a title as scarce if enough of its recent placements were refused.
func (a *Admission) updateScarcity(d *titleDemand) {
	if d.triedCount < minScarcePlacements || d.refusedCount/d.triedCount < scarceRefusalRatio {
		return
	}
	if a.now >= d.scarceUntil {
		a.scarceTitles = append(a.scarceTitles, d)
		a.scarcePlacements += d.placements.perMs
		a.scarceNewRequests += d.newRequests.perMs
	}
	d.scarceUntil = a.now + scarceHoldMs
}

// refreshScarceTitles removes the titles that are no longer scarce, and forgets the demand for titles that nobody has
// requested during 10 rate time constants, when less than a ten-thousandth of it is left.
func (a *Admission) refreshScarceTitles() {
	a.scarcePlacements, a.scarceNewRequests = 0, 0
	kept := a.scarceTitles[:0]
	for _, d := range a.scarceTitles {
		if a.now < d.scarceUntil {
			d.decayTo(a.now)
			a.scarcePlacements += d.placements.perMs
			a.scarceNewRequests += d.newRequests.perMs
			kept = append(kept, d)
		}
	}
	a.scarceTitles = kept
	if a.now-a.lastSweepAt < 2*rateTimeConstantMs {
		return
	}
	a.lastSweepAt = a.now
	for title, d := range a.demands {
		if a.now-d.decayedAt > 10*rateTimeConstantMs && a.now >= d.scarceUntil {
			delete(a.demands, title)
		}
	}
}

// tenant returns a tenant by its index; an index out of range, as from before a change of tenants, is the last one.
func (a *Admission) tenant(i int) *tenantState {
	if i < 0 || i >= len(a.tenants) {
		i = len(a.tenants) - 1
	}
	return a.tenants[i]
}

// admit decides on a request.
func (a *Admission) admit(ev *Event) Action {
	t := a.tenant(ev.Tenant)
	retried := a.refusals.contains(ev.RequestKey, a.now, a.cfg.RetryMemoryMs)
	d := a.demand(ev.Title)
	if !retried {
		d.newRequests.add(1)
		t.demand.add(1 / demandTimeConstants)
	}
	if a.cfg.AdmitAll {
		return Action{ID: ev.ID, Retried: retried, MaxRung: ev.MaxRung}
	}
	if a.shouldShed(ev.Class, retried) {
		return a.refuse(ev, DirectorOverloaded, retried)
	}
	usage := t.usageOf(ev.Title, a.now)
	scarce := a.now < d.scarceUntil
	if scarce && t.exceedsTitleShare(usage, a.now) {
		d.scarceUntil = a.now + scarceHoldMs
		return a.refuse(ev, TitleOverShare, retried)
	}
	action := Action{ID: ev.ID, Retried: retried, MaxRung: a.maxRung(t, ev)}
	rateKB := a.sessionRateKB(ev.Class, action.MaxRung)
	status, rateBound := a.checkShare(t, ev, rateKB)
	if !retried {
		t.newRequests++
	}
	// Where the decision module finds no capacity there is none to lend, whatever the holdings say.
	if status == overShare || status == borrowing && scarce {
		if !retried {
			t.recordRefusal(ev.Title, a.now)
			if rateBound {
				t.rateRefusals++
			}
		}
		return a.refuse(ev, TenantOverShare, retried)
	}
	usage.admitted++
	if action.Borrowed = status == borrowing; action.Borrowed || retried {
		action.Headroom = a.headroom()
	}
	return action
}

// refuse remembers a refused request and schedules its retry.
func (a *Admission) refuse(ev *Event, reason Reason, retried bool) Action {
	a.refusals.add(ev.RequestKey, a.now)
	action := Action{ID: ev.ID, Reason: reason, Retried: retried}
	if a.cfg.MaxRetryAfterMs <= 0 {
		return action
	}
	if a.cfg.AdmitAll {
		action.RetryAfterMs = a.cfg.MaxRetryAfterMs
		return action
	}
	// Retries may use the placements that new requests do not need, but at least a tenth of all.
	retriesPerSlot := math.Max(a.scarcePlacementRate()-a.scarceNewRequests, a.scarcePlacementRate()*0.1) * slotMs
	action.RetryAfterMs = a.retries.reserve(a.now, a.cfg.MinRetryAfterMs, a.cfg.MaxRetryAfterMs, retriesPerSlot, a.rng)
	return action
}
