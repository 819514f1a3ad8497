package limits

import (
	"math"

	"headmill"
)

// What is shared out is what sessions hold, not how often they were let in: a session holds its room until its
// clip ends, and once the boxes are full a free seat goes to whoever asks most often. Held is counted at the rate
// of the highest rung that the session may have, so that a brand whose sessions were squeezed to the floor is not
// taken for a small one. Of the two things that run short, rate and places, the one of which a brand
// holds the larger part counts: dominant resource fairness (Ghodsi and others, NSDI 2011).

// Room is what there is, or what is held, in a cell.
type Capacity struct {
	RateKB  float64 // kB/s
	Streams float64
}

func (r *Capacity) add(o Capacity, by float64) {
	r.RateKB += o.RateKB * by
	r.Streams += o.Streams * by
}

// part is the larger part that r is of the whole.
func (r Capacity) part(whole Capacity) float64 {
	p := 0.0
	if whole.RateKB > 0 {
		p = r.RateKB / whole.RateKB
	}
	if whole.Streams > 0 {
		p = math.Max(p, r.Streams/whole.Streams)
	}
	return p
}

// Fleet works out the room of each cell that is one director's part: of links, of what the racks' uplinks leave
// them as far as set-ups may fill both, and of places.
type CapacityEstimator struct {
	Cfg  headmill.Config // as the module is told it
	most float64         // places, or boxes, of the largest list so far: what Cfg.AllLinksKB stands for
}

// Rooms returns the room by cell; servers are those of the box list.
func (f *CapacityEstimator) Rooms(servers []headmill.Node) []Capacity {
	cfg, out := &f.Cfg, make([]Capacity, f.Cfg.Cells)
	fronts := float64(max(cfg.Fronts, 1))
	places := func(s *headmill.Node) float64 {
		if s.Kind < len(cfg.StreamsByKind) {
			return float64(cfg.StreamsByKind[s.Kind])
		}
		return 0
	}
	size := func(s *headmill.Node) float64 {
		if n := places(s); n > 0 {
			return n
		}
		return 1
	}
	all := 0.0
	for i := range servers {
		all += size(&servers[i])
	}
	f.most = math.Max(f.most, all) // the first list may lack most boxes, or all
	perPlace := cfg.TotalLinkKB / math.Max(f.most, 1)
	links := make([]float64, len(servers))
	racks := make([]float64, max(cfg.Racks, 1))
	for i := range servers {
		s := &servers[i]
		if links[i] = size(s) * perPlace; cfg.WeightsKnown && cfg.LinkKBPerWeight > 0 {
			links[i] = s.Weight * cfg.LinkKBPerWeight
		}
		if s.Health == headmill.Ready {
			racks[s.Cell%len(racks)] += links[i]
		}
	}
	for i := range servers {
		s := &servers[i]
		if s.Health != headmill.Ready || len(out) == 0 {
			continue
		}
		kb := links[i]
		if up := racks[s.Cell%len(racks)]; cfg.UplinkKB > 0 && up > cfg.UplinkKB {
			kb *= cfg.UplinkKB / up
		}
		out[s.Cell%len(out)].add(Capacity{kb * headmill.MaxSetupLoad, places(s)}, 1/fronts)
	}
	return out
}

// hold is what one session holds: all of it in one cell, or an equal part in each cell that could be its own
// while it is set up.
type hold struct {
	b            *brand
	home, copies int
	kb           float64
}

// spread calls do for each cell of a title that lies in copies cells from home on.
func (g *Admission) spread(home, copies int, do func(cell int)) {
	n := len(g.rooms)
	for j := 0; j < copies && j < n; j++ {
		do(((home+j)%n + n) % n)
	}
}

func (g *Admission) book(h *hold, by float64) {
	n := float64(max(min(h.copies, len(g.rooms)), 1))
	g.spread(h.home, h.copies, func(c int) { h.b.held[c].add(Capacity{h.kb, 1}, by/n) })
}

func (g *Admission) begin(ev *Event) {
	g.drop(ev.ID)
	h := &hold{b: g.brand(ev.Tenant), home: ev.FirstCell, copies: max(ev.Copies, 1), kb: g.kb(ev.Class, ev.MaxRung)}
	g.holds[ev.ID] = h
	h.b.holding++
	g.book(h, 1)
}

// settle books a session that plays in the one cell where it does.
func (g *Admission) settle(ev *Event) {
	h := g.holds[ev.ID]
	if h == nil {
		return
	}
	g.book(h, -1)
	h.home, h.copies = ev.FirstCell, 1
	g.book(h, 1)
	g.moving.add(h.kb)
}

// drop takes a session out of the books; one that is not in them is left so.
func (g *Admission) drop(id uint64) {
	if h := g.holds[id]; h != nil {
		g.book(h, -1)
		h.b.holding--
		delete(g.holds, id)
	}
}

// recount books all sessions anew, after cells or brands have changed.
func (g *Admission) recount() {
	g.whole = Capacity{}
	for _, r := range g.rooms {
		g.whole.add(r, 1)
	}
	listed := map[*brand]bool{}
	for _, b := range g.brands {
		listed[b] = true
		b.held, b.holding = make([]Capacity, len(g.rooms)), 0
	}
	for _, h := range g.holds {
		if !listed[h.b] {
			h.b = g.brands[len(g.brands)-1]
		}
		h.b.holding++
		g.book(h, 1)
	}
}

// standing is how a request stands to its brand's share.
type standing uint8

const (
	within standing = iota // of the share
	lent                   // of what others leave
	beyond
)

// presses tells whether a brand asks for much more than another one in proportion to their shares, beyond what
// counts of a few seconds wander by. Where all ask alike, however much, nobody's share is in danger: the module
// sees to the rungs.
func (g *Admission) presses(b *brand) bool {
	const ms = rateTauMs * wantsTaus
	for _, o := range g.brands {
		n := o.wants.perMs * ms
		if o == b || n < leastWants && o.holding == 0 { // not there: its share is lent to whoever asks
			continue
		}
		if o.part > 0 && b.wants.perMs*ms*o.part > pressFrom*(n+2*math.Sqrt(n))*b.part {
			return true
		}
	}
	return false
}

// stand tells how one more session of the brand would stand on the cells that hold its title. Within its share is
// a brand that does not press, or that holds less than its share there. Beyond it, what all hold must leave room
// for the request, and the spare, under the load up to which the module raises rungs: a loan costs no owner a rung.
// rates tells that it is rate, not places, of which the brand holds the larger part.
func (g *Admission) stand(b *brand, ev *Event, kb float64) (s standing, rates bool) {
	if len(g.brands) < 2 || len(g.rooms) == 0 {
		return within, false
	}
	var whole, mine, all Capacity
	g.spread(ev.FirstCell, max(ev.Copies, 1), func(c int) {
		whole.add(g.rooms[c], 1)
		mine.add(b.held[c], 1)
	})
	for _, o := range g.brands {
		g.spread(ev.FirstCell, max(ev.Copies, 1), func(c int) { all.add(o.held[c], 1) })
	}
	part := mine.part(whole)
	rates = whole.RateKB > 0 && mine.RateKB/whole.RateKB >= part
	if b.MaxShare > 0 && part >= b.MaxShare {
		return beyond, rates
	}
	if !g.presses(b) || part < b.part {
		return within, rates
	}
	all.add(Capacity{kb, 1}, 1)
	if all.part(whole)+g.spare() <= headmill.MaxRaiseLoad/headmill.MaxSetupLoad {
		return lent, rates
	}
	return beyond, rates
}

// kb is what a session of a class takes at a rung, kB/s.
func (g *Admission) kb(class, rung int) float64 {
	k := &g.cfg.Classes[min(max(class, 0), len(g.cfg.Classes)-1)]
	return g.cfg.RateKB[min(max(rung, k.MinRung, 0), len(g.cfg.RateKB)-1)] * k.RateScale
}

// top is the highest rung that a request's session may have. A brand whose first tries don't all fit into its
// share has its newcomers in at lower rungs, so that more of them play on the same room; never under the rung that
// earns most for a kB, and drawn between two rungs so that the mean is what fits. Without a limit it is the
// viewer's own.
func (g *Admission) top(b *brand, ev *Event) int {
	k := &g.cfg.Classes[min(max(ev.Class, 0), len(g.cfg.Classes)-1)]
	most := min(ev.MaxRung, k.MaxRung, len(g.cfg.RateKB)-1)
	if b.fit >= 1 {
		return ev.MaxRung
	}
	least := max(k.MinRung, 0)
	for r := least + 1; r <= most; r++ {
		if g.cfg.RungWorth[r]*g.cfg.RateKB[least] > g.cfg.RungWorth[least]*g.cfg.RateKB[r] {
			least = r
		}
	}
	want := g.cfg.RateKB[max(most, 0)] * b.fit
	r := most
	for r > least && g.cfg.RateKB[r] > want {
		r--
	}
	if r < most {
		low, high := g.cfg.RateKB[r], g.cfg.RateKB[r+1]
		if g.rng.Float64() < (want-low)/(high-low) {
			r++
		}
	}
	return r
}

// spare is the share of room that loans and repeated tries must leave free: what is placed within the time until it
// would be known (trunk reservation, as loss networks have it). What is asked for is no measure: in a rush that is
// more than ever comes free, and half of the room would stand empty.
func (g *Admission) spare() float64 {
	if g.whole.RateKB <= 0 {
		return 0
	}
	return math.Min(g.moving.perMs*g.cfg.PropagationMs/g.whole.RateKB*g.cfg.OthersShare, mostSpare)
}

// Held is the larger part that each brand holds of all the room, by name.
func (g *Admission) TenantUsage() map[string]float64 {
	out := make(map[string]float64, len(g.brands))
	for _, b := range g.brands {
		var sum Capacity
		for _, r := range b.held {
			sum.add(r, 1)
		}
		out[b.Name] = math.Max(sum.part(g.whole), 0)
	}
	return out
}
