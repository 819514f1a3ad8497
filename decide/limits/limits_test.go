package limits

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"headmill"
)

// TestMain fixes the seed, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

func testConfig() Config {
	return Config{
		Tenants: []Tenant{{Name: "a", Share: 3}, {Name: "b", Share: 1}},
		Classes: []Class{{Value: 3, RateScale: 1, MaxRung: 3}, {Value: 1, RateScale: 1, MaxRung: 3},
			{Value: 1, RateScale: 1, MaxRung: 3}},
		RateKB: []float64{6, 14, 28, 56}, RungWorth: []float64{0.2, 0.5, 0.76, 1},
		PropagationMs: 200, OthersShare: 1, MinRetryAfterMs: 200,
		MaxRetryAfterMs: 8000, RetryMemoryMs: 30000, MaxRefusals: 1000,
		FullLagMs: 100, FullQueue: 1000, FullMemoryBytes: 1e9}
}

// streamPool simulates admission control in front of a pool of streams, each held until its session ends. It tests the
// bookkeeping of Admission only; the benefit of admission control is measured with viewers over WebSocket connections,
// whose behavior this model does not reproduce (see docs/design/limits.md).
type streamPool struct {
	admission          *Admission
	now, streams, used float64
	sessionMs          float64
	nextID             uint64
	ends               map[int][]uint64 // sessions by the ms, in steps of 10, at which they end
	placed, requested  map[int]int      // by tenant
	refusals           map[Reason]int
	retryAfterMs       []float64
	// New requests and retries that were placed while a title was scarce.
	newPlaced, retriesPlaced int
}

func newStreamPool(cfg Config, streams, sessionMs float64) *streamPool {
	p := &streamPool{admission: New(cfg, 1), streams: streams, sessionMs: sessionMs, placed: map[int]int{},
		requested: map[int]int{}, refusals: map[Reason]int{}, ends: map[int][]uint64{}}
	p.admission.Step(0, []Event{{Kind: CapacityChanged,
		Capacity: []Capacity{{RateKB: streams * 56, Streams: streams}}}}, nil)
	return p
}

// wait lets time pass and ends the sessions whose time is over.
func (p *streamPool) wait(ms float64) {
	for range int(ms / 10) {
		p.now += 10
		for _, id := range p.ends[int(p.now)/10] {
			p.used--
			p.admission.Step(p.now, []Event{{Kind: SessionEnded, ID: id}}, nil)
		}
		delete(p.ends, int(p.now)/10)
	}
	p.admission.Step(p.now, []Event{{Kind: Tick}}, nil)
}

// request brings one request. It returns whether the session plays, and else the retry advice.
func (p *streamPool) request(tenant int, key, title uint64) (bool, float64) {
	p.nextID++
	p.requested[tenant]++
	ev := Event{Kind: Request, ID: p.nextID, RequestKey: key, Tenant: tenant, Title: title, Class: 1, Copies: 1,
		MaxRung: 3}
	action := p.admission.Step(p.now, []Event{ev}, nil)[0]
	if action.Reason != Admitted {
		p.refusals[action.Reason]++
		p.retryAfterMs = append(p.retryAfterMs, action.RetryAfterMs)
		return false, action.RetryAfterMs
	}
	if p.used+1 <= p.streams*(1-action.Headroom) {
		p.used++
		p.placed[tenant]++
		if p.admission.Scarce() {
			if action.Retried {
				p.retriesPlaced++
			} else {
				p.newPlaced++
			}
		}
		setup := ev
		setup.Kind, setup.MaxRung = SetupStarted, action.MaxRung
		ev.Kind = SessionStarted
		p.admission.Step(p.now, []Event{setup, ev}, nil)
		end := int(p.now+p.sessionMs) / 10
		p.ends[end] = append(p.ends[end], ev.ID)
		return true, 0
	}
	ev.Kind = PlacementRefused
	action = p.admission.Step(p.now, []Event{ev}, nil)[0]
	p.refusals[action.Reason]++
	p.retryAfterMs = append(p.retryAfterMs, action.RetryAfterMs)
	return false, action.RetryAfterMs
}

func TestAllAdmittedWhileThereIsCapacity(t *testing.T) {
	p := newStreamPool(testConfig(), 100, 1000)
	for i := range 2000 { // 50 a second, all of the tenant with the small share, all of one title
		p.wait(20)
		if ok, _ := p.request(1, uint64(i), 7); !ok {
			t.Fatalf("request %d was refused with half of the capacity free; refusals by reason: %v", i, p.refusals)
		}
	}
	if p.admission.Weight() != 100 {
		t.Errorf("weight %d", p.admission.Weight())
	}
}

// Next to no request of a tenant within its share is refused while the other one floods with retries, and the flooding
// tenant still gets its own share.
func TestTenantWithinItsShareIsProtected(t *testing.T) {
	for _, flood := range []float64{100, 400, 1000} {
		p := newStreamPool(testConfig(), 40, 1000)
		key := uint64(0)
		requested, placed := 0, 0
		for i := range 4000 { // 40 s in steps of 10 ms
			p.wait(10)
			if i%5 == 0 { // 20 a second of tenant a, which may hold 30
				key++
				ok, _ := p.request(0, key, key%5)
				if i > 500 {
					requested++
					if ok {
						placed++
					}
				}
			}
			for k := range int(flood / 100) {
				p.request(1, 1e6+uint64(i*10+k), 3) // new requests of ever new viewers
				p.request(1, 1e6+uint64(i%50), 3)   // and retries of fifty viewers
			}
		}
		if refused := 1 - float64(placed)/float64(requested); refused > 0.02 {
			t.Errorf("flood of %v: tenant a loses %.1f%% (%d of %d)", flood, 100*refused, requested-placed, requested)
		}
		if p.placed[1] < 10*40*8/10 {
			t.Errorf("flood of %v: tenant b has %d placements; it has a share too, and what a leaves", flood, p.placed[1])
		}
	}
}

// Capacity that a tenant does not hold is lent. When its owner comes, lending stops, and the owner gets its share as
// the borrowing sessions end.
func TestBorrowing(t *testing.T) {
	p := newStreamPool(testConfig(), 40, 1000)
	key := uint64(0)
	request := func(tenant int) bool { key++; ok, _ := p.request(tenant, key, key%7); return ok }
	for i := range 2000 { // 20 s: b alone requests 60 a second
		p.wait(10)
		if i%5 != 0 {
			request(1)
		}
	}
	alone := p.placed[1]
	if alone < 20*40*8/10 {
		t.Fatalf("b alone gets %d of %d", alone, 20*40)
	}
	placed := make([]int, 5)
	for second := range 5 { // now a requests its 28 a second too
		for i := range 100 {
			p.wait(10)
			if i%25 < 7 && request(0) {
				placed[second]++
			}
			request(1)
		}
	}
	if placed[0] < 22 || placed[1] < 24 || placed[2] < 27 {
		t.Errorf("a requests 28 a second; placed in each second: %v", placed)
	}
}

// Two tenants whose requests are ten times the capacity, in proportion to their shares, are left to the decision
// module: admission control refuses none for the tenants' shares.
func TestRushOfAllTenantsIsLeftToTheDecisionModule(t *testing.T) {
	p := newStreamPool(testConfig(), 40, 1000)
	for i := range 2000 {
		p.wait(10)
		for k := range 4 {
			p.request(map[bool]int{true: 1}[k == 3], uint64(i*4+k), uint64(i%9))
		}
	}
	if p.refusals[TenantOverShare] > 0 || p.refusals[NoCapacity] == 0 {
		t.Errorf("refused: %v", p.refusals)
	}
}

// New sessions of a tenant that over-demands are admitted at rungs at which more of them fit, never below the one that
// has the most worth per kB, and at full rungs again soon after.
func TestOverDemandLowersRungs(t *testing.T) {
	p := newStreamPool(testConfig(), 40, 1000)
	duringFlood, after := map[int]int{}, map[int]int{}
	for i := range 3000 {
		p.wait(10)
		if i%5 == 0 {
			p.request(0, uint64(i), uint64(i%5))
		}
		if i < 2000 {
			ev := Event{Kind: Request, ID: 1e7 + uint64(i), RequestKey: 1e7 + uint64(i), Tenant: 1, Class: 1, Copies: 1,
				MaxRung: 3}
			action := p.admission.Step(p.now, []Event{ev}, nil)[0]
			p.request(1, 1e6+uint64(i), 3)
			if i > 1000 && action.Reason == Admitted {
				duringFlood[action.MaxRung]++
			}
		} else if i%50 == 0 {
			ev := Event{Kind: Request, ID: 1e7 + uint64(i), RequestKey: 1e7 + uint64(i), Tenant: 1, Class: 1, Copies: 1,
				MaxRung: 3}
			if action := p.admission.Step(p.now, []Event{ev}, nil)[0]; i > 2500 && action.Reason == Admitted {
				after[action.MaxRung]++
			}
		}
	}
	if duringFlood[0] > 0 || duringFlood[1] == 0 {
		t.Errorf("admitted during the flood, by rung: %v, want none at rung 0 and some at 1", duringFlood)
	}
	if len(after) != 1 || after[3] == 0 {
		t.Errorf("admitted long after the flood, by rung: %v, want all at rung 3", after)
	}
}

// The capacity of a cell is what links, uplinks and streams give it, divided among the directors. Media nodes that
// drain or are removed no longer count.
func TestCapacityEstimator(t *testing.T) {
	e := CapacityEstimator{Config: headmill.Config{Cells: 2, Racks: 1, Fronts: 2, StreamsByKind: []int{50}, TotalLinkKB: 4000,
		UplinkKB: 2000}}
	two := []headmill.Node{{ID: 1, Cell: 0}, {ID: 2, Cell: 1}}
	e.Estimate(nil) // lists that come before all media nodes have reported don't change their estimated size
	e.Estimate(two[:1])
	for _, r := range e.Estimate(two) { // an uplink of 2,000 under two links of 2,000
		if math.Abs(r.RateKB-1000*headmill.MaxSetupLoad/2) > 1e-9 || r.Streams != 25 {
			t.Errorf("%+v", r)
		}
	}
	two[1].Health = headmill.HealthDraining
	if r := e.Estimate(two); math.Abs(r[0].RateKB-2000*headmill.MaxSetupLoad/2) > 1e-9 || r[1] != (Capacity{}) {
		t.Errorf("one node drains: %+v", r)
	}
	if r := e.Estimate(two[:1]); math.Abs(r[0].RateKB-2000*headmill.MaxSetupLoad/2) > 1e-9 {
		t.Errorf("one node was removed: %+v", r)
	}
	e = CapacityEstimator{Config: headmill.Config{Cells: 1, WeightsKnown: true, LinkKBPerWeight: 100}}
	if r := e.Estimate([]headmill.Node{{Weight: 3}}); math.Abs(r[0].RateKB-300*headmill.MaxSetupLoad) > 1e-9 ||
		r[0].Streams != 0 {
		t.Errorf("by weight: %+v", r)
	}
}

// A tenant that sent one request, long ago, and holds nothing does not limit the others: they are left to the decision
// module.
func TestAbsentTenantDoesNotLimitOthers(t *testing.T) {
	p := newStreamPool(testConfig(), 40, 1000)
	p.request(0, 1, 1)
	for i := range 4000 {
		p.wait(10)
		p.request(1, uint64(100+i), uint64(i%7))
		if i == 2000 {
			p.refusals = map[Reason]int{}
		}
	}
	if p.refusals[TenantOverShare] > 0 || p.refusals[NoCapacity] == 0 {
		t.Errorf("refused: %v", p.refusals)
	}
}

// A title whose requests exceed the whole capacity does not starve the other titles of its tenant.
func TestTitlesOfATenant(t *testing.T) {
	p := newStreamPool(testConfig(), 20, 1000)
	placed := map[uint64]int{}
	key := uint64(0)
	for i := range 3000 { // 30 s: 100 requests a second for title 1, 5 each for titles 2 and 3
		p.wait(10)
		request := func(title uint64) {
			key++
			if ok, _ := p.request(0, key, title); ok && i > 500 {
				placed[title]++
			}
		}
		if i%20 == 0 {
			request(2)
			request(3)
		}
		request(1)
	}
	for _, title := range []uint64{2, 3} {
		if want := 25 * 5; placed[title] < want*8/10 {
			t.Errorf("title %d: %d of %d placed beside a title with excess demand (%v)", title, placed[title], want,
				placed)
		}
	}
}

// New requests are placed before retries while not all fit: 16 new requests a second in bursts are placed with a
// capacity for 20, though hundreds of viewers that were refused in a rush retry all the time.
func TestNewRequestsGoBeforeRetries(t *testing.T) {
	p := newStreamPool(Config{MaxRetryAfterMs: 1000, RetryMemoryMs: 1e5, MaxRefusals: 10000, PropagationMs: 200,
		OthersShare: 1}, 20, 1000)
	var refused []uint64 // keys of refused requests, which are retried
	newRequests, newPlaced, retries, retriesPlaced := 0, 0, 0, 0
	request := func(key uint64) bool {
		ok, _ := p.request(0, key, key%5)
		if !ok {
			refused = append(refused, key)
		}
		return ok
	}
	for i := range 3000 {
		p.wait(10)
		if i < 100 {
			for k := range 6 {
				request(1e6 + uint64(i*6+k))
			}
		}
		if i%50 < 8 {
			ok := request(uint64(i))
			if i > 500 {
				if newRequests++; ok {
					newPlaced++
				}
			}
		}
		if len(refused) > 0 {
			key := refused[0]
			refused = refused[1:]
			if i > 500 {
				retries++
			}
			if request(key) && i > 500 {
				retriesPlaced++
			}
		}
	}
	if f, r := float64(newPlaced)/float64(newRequests), float64(retriesPlaced)/float64(retries); f < 0.9 || r > 0.2 ||
		retriesPlaced == 0 {
		t.Errorf("new requests %.2f, retries %.2f (%d) admitted", f, r, retriesPlaced)
	}
}

// After a rush the wave of retries is lower than the rush, if viewers follow the retry advice.
func TestRetryWave(t *testing.T) {
	run := func(admitAll bool) (peak int) {
		cfg := testConfig()
		cfg.AdmitAll, cfg.Tenants = admitAll, nil
		p := newStreamPool(cfg, 40, 1000)
		due := map[int][]uint64{} // retries by step of 10 ms
		rng := rand.New(rand.NewPCG(3, 3))
		retriesBySecond := map[int]int{}
		nextKey := uint64(0)
		for i := range 4000 {
			p.wait(10)
			request := func(key uint64) {
				if ok, after := p.request(0, key, key%9); !ok && rng.Float64() < 0.9 {
					at := i + max(int(after/10), 1)
					due[at] = append(due[at], key)
				}
			}
			rate := 30
			if i >= 500 && i < 800 { // 3 s of 300 a second
				rate = 300
			}
			for range rate/100 + map[bool]int{true: 1}[rng.IntN(100) < rate%100] {
				nextKey++
				request(nextKey)
			}
			for _, key := range due[i] {
				retriesBySecond[i/100]++
				request(key)
			}
		}
		for second, n := range retriesBySecond {
			if second >= 8 {
				peak = max(peak, n)
			}
		}
		return peak
	}
	with, without := run(false), run(true)
	if with >= 300 || with*2 > without {
		t.Errorf("the wave of retries is %d a second after a rush of 300; with the same advice for all it is %d", with,
			without)
	}
}

func TestOverloadShedsByWorth(t *testing.T) {
	cfg := testConfig()
	for name, c := range map[string]struct {
		ev   Event
		want []bool // shed: retry and new request of class 1 (least worth), then of class 0
	}{
		"below shedStartLoad": {Event{LagMs: 70, Queue: 700}, []bool{false, false, false, false}},
		"lag":                 {Event{LagMs: 85}, []bool{true, false, false, false}},
		"queue":               {Event{Queue: 1000}, []bool{true, true, false, false}},
		"memory":              {Event{MemoryBytes: 1.2e9}, []bool{true, true, true, false}},
		"above shedAllLoad":   {Event{LagMs: 300}, []bool{true, true, true, true}},
	} {
		a := New(cfg, 1)
		c.ev.Kind = LoadMeasured
		a.Step(0, []Event{{Kind: PlacementRefused, RequestKey: 1}, {Kind: PlacementRefused, RequestKey: 2}, c.ev}, nil)
		for i, class := range []int{1, 1, 0, 0} {
			key := uint64(1 + i/2)
			if i%2 == 1 {
				key = 100 + uint64(i)
			}
			action := a.Step(0, []Event{{Kind: Request, RequestKey: key, Class: class}}, nil)[0]
			if (action.Reason == DirectorOverloaded) != c.want[i] {
				t.Errorf("%s, request %d: %s at load %.2f", name, i, action.Reason, a.Load())
			}
			if action.Reason == DirectorOverloaded && action.RetryAfterMs < cfg.MinRetryAfterMs {
				t.Errorf("%s: retry after %v ms", name, action.RetryAfterMs)
			}
		}
	}
	// The load follows a rise at once and a fall slowly; the weight follows the load.
	a := New(cfg, 1)
	a.Step(0, []Event{{Kind: LoadMeasured, LagMs: 95}}, nil)
	overloaded := a.Weight()
	a.Step(250, []Event{{Kind: LoadMeasured}}, nil)
	if a.Load() < 0.6 || overloaded > 20 || a.Weight() <= overloaded {
		t.Errorf("load %.2f, weight %d then %d", a.Load(), overloaded, a.Weight())
	}
	for i := range 40 {
		a.Step(250*float64(i+2), []Event{{Kind: LoadMeasured}}, nil)
	}
	if a.Weight() != 100 {
		t.Errorf("weight %d long after the overload, want 100", a.Weight())
	}
}

func TestAdmitAll(t *testing.T) {
	cfg := testConfig()
	cfg.AdmitAll = true
	p := newStreamPool(cfg, 1, 1000)
	p.admission.Step(0, []Event{{Kind: LoadMeasured, LagMs: 1e6}}, nil)
	for i := range 100 {
		p.request(0, uint64(i), 1)
	}
	if len(p.refusals) != 1 || p.refusals[NoCapacity] == 0 {
		t.Errorf("refusals with AdmitAll: %v, want NoCapacity only", p.refusals)
	}
}

func TestSetTenants(t *testing.T) {
	a := New(testConfig(), 1)
	a.SetTenants([]Tenant{{Name: "b", Share: 1}, {Name: "c", Share: 1}, {Name: "rest"}})
	for name, want := range map[string]int{"b": 0, "c": 1, "a": 2, "": 2} {
		if got := a.TenantIndex(name); got != want {
			t.Errorf("%q has tenant index %d, want %d", name, got, want)
		}
	}
	if a.tenants[0].normalizedShare != 0.5 || a.tenants[2].normalizedShare != 0 {
		t.Errorf("shares %v %v", a.tenants[0].normalizedShare, a.tenants[2].normalizedShare)
	}
	// Events with an index from before the change.
	for _, ev := range []Event{{Kind: Request, Tenant: -1}, {Kind: Request, Tenant: 99},
		{Kind: PlacementRefused, Tenant: 99, Class: 99}} {
		a.Step(1, []Event{ev}, nil)
	}
}

// For all sequences of events: shares add up to 1, what is counted is what sessions hold, no tenant exceeds its
// MaxShare, rungs, headroom, retry advice and tables stay within their bounds, and every request gets one decision.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "tenants")
		cfg := Config{
			Classes: []Class{{Value: 1, RateScale: 1, MaxRung: 2}, {Value: 3, RateScale: 2, MinRung: 1, MaxRung: 2}},
			RateKB:  []float64{1, 2, 4}, RungWorth: []float64{1, 1.5, 2}, PropagationMs: 500, OthersShare: 0.5,
			MinRetryAfterMs: 100, MaxRetryAfterMs: 5000, RetryMemoryMs: 5000, MaxRefusals: 20, FullLagMs: 100}
		tenants := func() (out []Tenant) {
			for i := range n {
				out = append(out, Tenant{Name: string(rune('a' + i)), Share: float64(rapid.IntRange(0, 5).Draw(t, "share")),
					MaxShare: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "max share")})
			}
			return out
		}
		cfg.Tenants = tenants()
		a := New(cfg, 1)
		now := 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 300).Draw(t, "ms"))
			ev := Event{ID: uint64(rapid.IntRange(0, 30).Draw(t, "id")),
				RequestKey: uint64(rapid.IntRange(0, 40).Draw(t, "key")),
				Class:      rapid.IntRange(0, 2).Draw(t, "class"), Tenant: rapid.IntRange(0, n).Draw(t, "tenant"),
				Title: uint64(rapid.IntRange(0, 3).Draw(t, "title")), FirstCell: rapid.IntRange(0, 3).Draw(t, "first cell"),
				Copies: rapid.IntRange(0, 4).Draw(t, "copies"), MaxRung: rapid.IntRange(0, 3).Draw(t, "max rung")}
			ev.Kind = rapid.SampledFrom([]EventKind{Request, Request, Request, SetupStarted, SetupStarted, SessionStarted,
				SessionEnded, PlacementRefused, CapacityChanged, LoadMeasured}).Draw(t, "kind")
			ev.LagMs = float64(rapid.IntRange(0, 60).Draw(t, "lag"))
			if ev.Kind == CapacityChanged {
				for range rapid.IntRange(0, 4).Draw(t, "cells") {
					ev.Capacity = append(ev.Capacity, Capacity{RateKB: float64(rapid.IntRange(0, 20).Draw(t, "kb")),
						Streams: float64(rapid.IntRange(0, 5).Draw(t, "streams"))})
				}
			}
			if rapid.IntRange(0, 40).Draw(t, "reload") == 0 {
				a.SetTenants(tenants())
			}
			tenant := a.tenant(ev.Tenant)
			var held, available Capacity
			a.forEachCell(ev.FirstCell, max(ev.Copies, 1), func(cell int) {
				held.add(tenant.heldByCell[cell], 1)
				available.add(a.cells[cell], 1)
			})
			out := a.Step(now, []Event{ev}, nil)
			want := 0
			if ev.Kind == Request || ev.Kind == PlacementRefused {
				want = 1
			}
			if len(out) != want {
				t.Fatalf("%d decisions for one event", len(out))
			}
			if want == 1 && out[0].Reason != Admitted &&
				(out[0].RetryAfterMs < cfg.MinRetryAfterMs || out[0].RetryAfterMs > cfg.MaxRetryAfterMs) {
				t.Fatalf("retry after %v ms", out[0].RetryAfterMs)
			}
			if ev.Kind == Request && out[0].Reason == Admitted {
				action := out[0]
				if action.Headroom < 0 || action.Headroom > maxHeadroom || action.MaxRung > ev.MaxRung ||
					action.MaxRung < min(ev.MaxRung, cfg.Classes[min(ev.Class, 1)].MinRung) {
					t.Fatalf("%+v for a viewer's rung %d", action, ev.MaxRung)
				}
				if tenant.MaxShare > 0 && n > 1 && held.dominantShare(available) >= tenant.MaxShare+1e-9 {
					t.Fatalf("tenant admitted with %v of %v, over its maximum share of %v", held, available, tenant.MaxShare)
				}
			}
			shares, heldStreams, sessions := 0.0, 0.0, 0.0
			for _, tenant := range a.tenants {
				shares += tenant.normalizedShare
				for _, cell := range tenant.heldByCell {
					heldStreams += cell.Streams
				}
				n := 0
				for _, h := range a.holdings {
					if h.tenant == tenant {
						n++
					}
				}
				if n != tenant.sessionCount {
					t.Fatalf("%d sessions counted, %d held", tenant.sessionCount, n)
				}
				if tenant.rateFactor <= 0 || tenant.rateFactor > 1 {
					t.Fatalf("rate factor %v", tenant.rateFactor)
				}
			}
			for range a.holdings {
				sessions++
			}
			if len(a.cells) == 0 {
				sessions = 0
			}
			if math.Abs(shares-1) > 1e-9 || math.Abs(heldStreams-sessions) > 1e-9 {
				t.Fatalf("shares add up to %v; %v sessions, %v held", shares, sessions, heldStreams)
			}
			if a.RememberedRefusals() > cfg.MaxRefusals+1 {
				t.Fatalf("%d refused requests remembered", a.RememberedRefusals())
			}
			if w := a.Weight(); w < 1 || w > 100 {
				t.Fatalf("weight %d", w)
			}
			for _, expected := range a.retries.slots {
				if expected < 0 {
					t.Fatal("a slot of the retry schedule is negative")
				}
			}
		}
	})
}

func TestQuotasAndRateLimiter(t *testing.T) {
	var q Quotas
	q.SetLimit(Sessions, 10)
	if !q.Acquire(Sessions, 10) || q.Acquire(Sessions, 1) || q.Usage(Sessions).Denied != 1 {
		t.Errorf("%+v", q.Usage(Sessions))
	}
	q.SetLimit(Sessions, 4) // below the usage: nothing is taken away, nothing new is granted
	q.Release(Sessions, 5)
	if q.Acquire(Sessions, 1) || q.Usage(Sessions).Used != 5 {
		t.Errorf("%+v", q.Usage(Sessions))
	}
	q.Release(Sessions, 3)
	if !q.Acquire(Sessions, 2) || q.Usage(Sessions).Peak != 10 {
		t.Errorf("%+v", q.Usage(Sessions))
	}
	q.Release(Sessions, 100)
	if q.Usage(Sessions).Used != 0 || q.Acquire(Sessions, -1) {
		t.Errorf("%+v", q.Usage(Sessions))
	}
	if !q.Acquire(Reports, 1<<40) || q.MaxUtilization() != 0 { // no limit
		t.Errorf("%+v, utilization %v", q.Usage(Reports), q.MaxUtilization())
	}
	q.SetLimit(OutputBuffers, 100)
	if q.SetUsed(OutputBuffers, 101) || !q.SetUsed(OutputBuffers, 50) || q.MaxUtilization() != 0.5 {
		t.Errorf("%+v", q.Usage(OutputBuffers))
	}
	if q.Fits(Sessions, 5) || !q.Fits(Sessions, 4) {
		t.Errorf("%+v", q.Usage(Sessions))
	}
	limiter := RateLimiter{RatePerMs: 0.01, Burst: 3}
	allowed := 0
	for i := range 1000 { // a second of one a ms: the burst and ten more
		if limiter.Allow(float64(i)) {
			allowed++
		}
	}
	if allowed < 12 || allowed > 13 {
		t.Errorf("%d allowed by a limiter of ten a second with a burst of three", allowed)
	}
	for _, r := range Resources() {
		if r.String() == "" {
			t.Error(r)
		}
	}
}
