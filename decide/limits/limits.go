// Package limits decides what may come in before the module is asked: which
// requests a director refuses because it is itself overloaded, because a brand
// holds more than its share, or because one title would starve the others of
// its brand; how much room must stay free for others when it lets a loan or a
// repeated try through; and when a refused viewer should come again. It also
// keeps the accounts of memory by purpose and works out the weight that
// balancers are told.
//
// It is pure: events with their time go in by Step, decisions come out; chance
// comes from a seed. Nothing is ever held back: each request is answered in the
// Step that brings it.
//
// While the boxes have room for all, everything passes. Shares and titles only
// count for titles that the module refuses for want of room: a title lies on
// some boxes only, and others may have plenty.
package limits

import (
	"math"
	"math/rand/v2"
	"sort"
)

const (
	slotMs      = 250.0  // ms of a slot of the calendar and of the counts
	rateTauMs   = 2000.0 // ms in which measured rates forget two thirds
	scarceFrom  = 0.05   // share of placements refused for want of room from which shares count
	leastTried  = 8.0    // placements tried lately, or their share says nothing
	scarceHold  = 1000.0 // ms that shares go on counting after the last refusal by them or by the module
	fitDown     = 0.2    // of a brand's fit in a slot in which all its first tries were refused
	fitUp       = 1.1    // its growth in a slot in which none was: 46% a second
	wantsTaus   = 3.0    // times as long is what brands ask for remembered
	leastWants  = 0.5    // first tries remembered of a brand that is there
	pressFrom   = 1.5    // times what another brand asks for, in proportion to their shares
	mostSpare   = 0.5    // of the room that is ever kept free from loans and repeated tries
	titleMs     = 1000.0 // ms in which a title's count of what it was let through forgets two thirds
	calmFrom    = 0.8    // part of a limit from which load is shed
	panicAt     = 1.5    // part of a limit at which everything new is shed
	calmTauMs   = 1000.0 // ms in which a fallen load is believed by two thirds
	returnShare = 0.9    // of refused viewers come again
	titleSlack  = 2.0    // placements that a title may be ahead of its part
)

// Brand is one tenant.
type Tenant struct {
	Name     string
	Share    float64 // its part of what the boxes carry; parts are scaled to add up to 1
	MaxShare float64 // the largest part that it may hold, loans included; 0: no such cap
}

// Class is what the gate is told of a class.
type Class struct {
	Value, RateScale float64
	MinRung, MaxRung int
}

// Config is what the gate is told.
type Config struct {
	Tenants         []Tenant // the last one also stands for names that are not listed
	Classes         []Class
	RateKB          []float64 // the ladder, kB/s
	RungWorth       []float64 // of each rung
	MinRetryAfterMs float64   // advice is never shorter
	MaxRetryAfterMs float64   // nor longer
	RetryMemoryMs   float64   // how long a refused wish is known as such when it comes again
	MaxRefusals     int       // refused wishes remembered
	FullLagMs       float64   // loop lag that counts as full load
	FullQueue       float64   // waiting events that count as full load
	FullMemoryBytes float64   // memory that counts as full load; 0: not looked at
	PropagationMs   float64   // until what others send to a box is known here: as long room must last
	OthersShare     float64   // part of what is placed that other directors place: only that is not known at once
	AdmitAll        bool      // decide nothing, for comparison
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events.
const (
	Request          EventKind = iota // ID, Wish, Brand, Title, Class, Home, Copies, Top: a new wanted session
	SetupStarted                      // ID, Brand, Class, Home, Copies, Top: session ID is being set up somewhere
	SessionStarted                    // ID, Wish, Brand, Title, Home: session ID plays in cell Home
	SessionEnded                      // ID: session ID holds nothing any more
	PlacementRefused                  // ID, Wish, Brand, Title: the module refused for want of room; answered with advice
	CapacityChanged                   // Room: the fleet has changed
	LoadMeasured                      // LagMs, Queue, MemoryBytes
	Tick
)

// Event is one fact or one request.
type Event struct {
	Kind              EventKind
	ID                uint64
	RequestKey        uint64 // what is wanted by whom; the same when a viewer comes again
	Title             uint64
	Tenant, Class     int
	FirstCell, Copies int // the first cell that holds the title, and how many in a row do
	MaxRung           int // the viewer's highest rung; of Begin: as the Action said
	LagMs, Queue      float64
	MemoryBytes       float64
	Capacity          []Capacity // by cell; only read during Step
}

// Reason tells why a request is not let through.
type Reason uint8

// The reasons.
const (
	Admitted           Reason = iota
	DirectorOverloaded        // the director itself is over its limits
	TenantOverShare           // the brand holds its share, and what others leave is used
	TitleOverShare            // the title has more than its part of the brand
	NoCapacity                // the module's refusal; only the advice is from here
)

var reasonNames = [...]string{"pass", "overload", "share", "title", "room"}

func (r Reason) String() string { return reasonNames[r] }

// Action is one decision.
type Action struct {
	ID           uint64
	Reason       Reason
	RetryAfterMs float64 // advice, where it is refused
	Retried      bool    // the wish was refused before
	Borrowed     bool    // it was let through beyond its brand's own part
	MaxRung      int     // highest rung that the session may have
	Headroom     float64 // share of a box's room that must stay free beside it
}

// rate is a count a second that forgets.
type rate struct{ perMs float64 }

func (r *rate) add(n float64)   { r.perMs += n / rateTauMs }
func (r *rate) fade(ms float64) { r.perMs *= math.Exp(-ms / rateTauMs) }

// want is what is known of one title's demand: it is short of room while the module refuses it.
type want struct {
	placed, firsts rate
	tried, noRoom  float64 // placements tried and refused in the last half second or so
	at             float64 // when the figures were last faded
	until          float64 // it is short until then
}

// pass lets the time up to now go by.
func (r *want) pass(now float64) {
	ms := now - r.at
	if ms <= 0 {
		return
	}
	r.at = now
	r.placed.fade(ms)
	r.firsts.fade(ms)
	fade := math.Exp(-ms / (2 * slotMs))
	r.tried *= fade
	r.noRoom *= fade
}

// Gate is the state.
type Admission struct {
	cfg      Config
	rng      *rand.Rand
	now      float64
	started  bool
	swept    float64
	began    float64
	wants    map[uint64]*want // by title
	hot      []*want          // those that are short of room
	placed   float64          // placements a ms of these, and first tries
	firsts   float64
	tried    float64
	noRoom   float64 // both of the last second or so: placements tried and refused
	brands   []*brand
	rooms    []Capacity // by cell: this director's part
	whole    Capacity
	holds    map[uint64]*hold // by session
	fitted   float64          // when the brands' fits were last moved
	moving   rate             // kB/s of sessions that begin to play, a ms
	severity float64
	returns  calendar
	wishes   wishes
	ranks    []int // of classes by worth
	steps    int
}

// New makes a gate; seed is its only source of chance.
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
	g := &Admission{cfg: cfg, wants: map[uint64]*want{}, holds: map[uint64]*hold{}, rng: rand.New(rand.NewPCG(seed, 0x6c696d69))}
	g.SetTenants(cfg.Tenants)
	g.wishes.most = max(cfg.MaxRefusals, 1)
	g.ranks, g.steps = ranks(cfg.Classes)
	return g
}

// SetBrands changes the shares. What is held stays held; what a brand holds that is no longer listed is the last
// one's.
func (g *Admission) SetTenants(list []Tenant) {
	total := 0.0
	for _, b := range list {
		total += math.Max(b.Share, 0)
	}
	old := map[string]*brand{}
	for _, b := range g.brands {
		old[b.Name] = b
	}
	g.brands = nil
	for _, b := range list {
		n := old[b.Name]
		if n == nil {
			n = &brand{titles: map[uint64]*title{}, fit: 1, held: make([]Capacity, len(g.rooms))}
		}
		n.Tenant = b
		if total > 0 {
			n.part = math.Max(b.Share, 0) / total
		} else {
			n.part = 1 / float64(len(list))
		}
		g.brands = append(g.brands, n)
	}
	g.cfg.Tenants = list
	g.recount()
}

// BrandNumber finds a brand; names that are not listed are the last one's.
func (g *Admission) TenantIndex(name string) int {
	for i, b := range g.brands {
		if b.Name == name {
			return i
		}
	}
	return len(g.brands) - 1
}

// Scarce tells whether shares count at present.
func (g *Admission) Scarce() bool { return len(g.hot) > 0 }

// want finds a title's figures, faded up to now.
func (g *Admission) want(title uint64) *want {
	r := g.wants[title]
	if r == nil {
		r = &want{at: g.now}
		g.wants[title] = r
	}
	r.pass(g.now)
	return r
}

// Severity is the director's own load over its limits: 1 is full.
func (g *Admission) Load() float64 { return g.severity }

// Remembered is the number of refused wishes that are known.
func (g *Admission) RememberedRefusals() int { return g.wishes.len() }

// Step takes the events of one moment and appends a decision for each Ask and NoRoom, in their order.
func (g *Admission) Step(now float64, events []Event, out []Action) []Action {
	g.pass(now)
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case Request:
			out = append(out, g.ask(ev))
		case PlacementRefused:
			r := g.want(ev.Title)
			g.tried++
			g.noRoom++
			r.tried++
			r.noRoom++
			g.look(r)
			repeated := g.wishes.known(ev.RequestKey, g.now, g.cfg.RetryMemoryMs)
			if !repeated {
				g.brand(ev.Tenant).unmet(ev.Title, g.now)
			}
			out = append(out, g.refuse(ev, NoCapacity, repeated))
		case SetupStarted:
			g.begin(ev)
		case SessionStarted:
			g.settle(ev)
			g.tried++
			r := g.want(ev.Title)
			r.tried++
			r.placed.add(1)
			g.wishes.forget(ev.RequestKey)
		case SessionEnded:
			g.drop(ev.ID)
		case CapacityChanged:
			g.rooms = append(g.rooms[:0], ev.Capacity...)
			g.recount()
		case LoadMeasured:
			g.load(ev)
		}
	}
	return out
}

// pass lets time go by: rates fade.
func (g *Admission) pass(now float64) {
	if !g.started {
		g.started, g.now, g.began = true, now, now
		g.returns.start(now)
		return
	}
	ms := now - g.now
	if ms <= 0 {
		return
	}
	g.now = now
	g.rest()
	fade := math.Exp(-ms / (2 * slotMs))
	g.tried *= fade
	g.noRoom *= fade
	g.moving.fade(ms)
	for _, b := range g.brands {
		b.wants.fade(ms / wantsTaus)
	}
	if now-g.fitted >= slotMs {
		g.fitted = now
		for _, b := range g.brands {
			b.refit(g.cfg.RateKB[0] / g.cfg.RateKB[len(g.cfg.RateKB)-1])
		}
	}
	g.returns.pass(now)
}

// placing is the measured rate of placements a ms. A young measurement is scaled up by the time that it lacks.
func (g *Admission) placing() float64 {
	return g.placed / math.Max(1-math.Exp(-(g.now-g.began)/rateTauMs), 0.05)
}

// look finds a title short of room. With the first one the shares begin to count.
func (g *Admission) look(r *want) {
	if r.tried < leastTried || r.noRoom/r.tried < scarceFrom {
		return
	}
	if g.now >= r.until {
		g.hot = append(g.hot, r)
		g.placed += r.placed.perMs
		g.firsts += r.firsts.perMs
	}
	r.until = g.now + scarceHold
}

// rest lets go of titles that have room again, and forgets those that nobody asks for.
func (g *Admission) rest() {
	g.placed, g.firsts = 0, 0
	kept := g.hot[:0]
	for _, r := range g.hot {
		if g.now < r.until {
			r.pass(g.now)
			g.placed += r.placed.perMs
			g.firsts += r.firsts.perMs
			kept = append(kept, r)
		}
	}
	g.hot = kept
	if g.now-g.swept < 2*rateTauMs {
		return
	}
	g.swept = g.now
	for id, r := range g.wants {
		if g.now-r.at > 10*rateTauMs && g.now >= r.until {
			delete(g.wants, id)
		}
	}
}

func (g *Admission) brand(i int) *brand {
	if i < 0 || i >= len(g.brands) {
		i = len(g.brands) - 1
	}
	return g.brands[i]
}

func (g *Admission) ask(ev *Event) Action {
	b := g.brand(ev.Tenant)
	repeated := g.wishes.known(ev.RequestKey, g.now, g.cfg.RetryMemoryMs)
	r := g.want(ev.Title)
	if !repeated {
		r.firsts.add(1)
		b.wants.add(1 / wantsTaus)
	}
	if g.cfg.AdmitAll {
		return Action{ID: ev.ID, Retried: repeated, MaxRung: ev.MaxRung}
	}
	if g.sheds(ev.Class, repeated) {
		return g.refuse(ev, DirectorOverloaded, repeated)
	}
	t := b.title(ev.Title, g.now)
	short := g.now < r.until
	if short && b.starves(t, g.now) {
		r.until = g.now + scarceHold
		return g.refuse(ev, TitleOverShare, repeated)
	}
	a := Action{ID: ev.ID, Retried: repeated, MaxRung: g.top(b, ev)}
	kb := g.kb(ev.Class, a.MaxRung)
	s, rates := g.stand(b, ev, kb)
	if !repeated {
		b.asked++
	}
	if s == beyond || s == lent && short { // where the module finds no room there is none to lend, whatever is booked
		if !repeated {
			b.unmet(ev.Title, g.now)
			if rates {
				b.missed++
			}
		}
		return g.refuse(ev, TenantOverShare, repeated)
	}
	t.used++
	if a.Borrowed = s == lent; a.Borrowed || repeated {
		a.Headroom = g.spare()
	}
	return a
}

// refuse remembers the wish and finds a time for its return.
func (g *Admission) refuse(ev *Event, why Reason, repeated bool) Action {
	g.wishes.add(ev.RequestKey, g.now)
	a := Action{ID: ev.ID, Reason: why, Retried: repeated}
	if g.cfg.MaxRetryAfterMs <= 0 {
		return a
	}
	if g.cfg.AdmitAll {
		a.RetryAfterMs = g.cfg.MaxRetryAfterMs
		return a
	}
	spare := math.Max(g.placing()-g.firsts, g.placing()*0.1) * slotMs
	a.RetryAfterMs = g.returns.book(g.now, g.cfg.MinRetryAfterMs, g.cfg.MaxRetryAfterMs, spare, g.rng)
	return a
}

// ---- load of the director itself ----

// load takes the director's own figures. A rise is believed at once, a fall slowly, so that shedding does not
// flap with the lag that it cures.
func (g *Admission) load(ev *Event) {
	s := 0.0
	for _, f := range [][2]float64{{ev.LagMs, g.cfg.FullLagMs}, {ev.Queue, g.cfg.FullQueue}, {ev.MemoryBytes, g.cfg.FullMemoryBytes}} {
		if f[1] > 0 {
			s = math.Max(s, f[0]/f[1])
		}
	}
	if s < g.severity {
		s = g.severity + (s-g.severity)*(1-math.Exp(-slotMs/calmTauMs))
	}
	g.severity = s
}

// ranks numbers classes by worth, the least first; equal worth is equal rank.
func ranks(classes []Class) (rank []int, distinct int) {
	var values []float64
	for _, k := range classes {
		values = append(values, k.Value)
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	place := map[float64]int{}
	for _, v := range sorted {
		if _, ok := place[v]; !ok {
			place[v] = len(place)
		}
	}
	for _, v := range values {
		rank = append(rank, place[v])
	}
	return rank, len(place)
}

// sheds tells whether a request is refused for the director's own sake: the cheapest refusal first, that is by
// worth, and among equal worth repeated tries before first ones.
func (g *Admission) sheds(class int, repeated bool) bool {
	if g.severity < calmFrom {
		return false
	}
	step := 2 * g.ranks[min(max(class, 0), len(g.ranks)-1)]
	if !repeated {
		step++
	}
	return g.severity >= calmFrom+(panicAt-calmFrom)*float64(step)/float64(2*g.steps)
}

// Weight is what a balancer should be told of this director, 1 to 100: less as its own load nears its limits
// and while its boxes have no room.
func (g *Admission) Weight() int {
	w := 1 - math.Min(math.Max(g.severity-0.5, 0)/0.5, 1)
	if g.tried >= 1 {
		w *= 1 - 0.5*g.noRoom/g.tried
	}
	return max(int(math.Round(w*100)), 1)
}
