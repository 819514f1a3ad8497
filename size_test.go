package headmill

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Tests of what many fronts do together, each knowing little.

func largeFleet(n int) []Node {
	var l []Node
	for i := range n {
		l = append(l, Node{ID: NodeID(1001 + 13*i), Cell: i, Weight: 1, Zone: i % 3})
	}
	return l
}

func largeConfig(fronts, servers int) Config {
	cfg := testConfig()
	cfg.Fronts, cfg.Cells, cfg.Racks = fronts, servers, servers/5
	cfg.TotalLinkKB, cfg.UplinkKB = float64(servers)*1000, 5000
	return cfg
}

func newFront(t testing.TB, cfg Config, seed uint64, servers []Node) *Controller {
	t.Helper()
	c, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	c.Step(1e6, []Event{{Kind: EvNodes, Nodes: servers}}, nil)
	return c
}

// The wanted rung must not fall only because there are more fronts.
func TestShadowPriceIsIndependentOfTheNumberOfFronts(t *testing.T) {
	rungs := map[int]int{}
	for _, fronts := range []int{3, 300} {
		c := newFront(t, largeConfig(fronts, 30), 1, largeFleet(30))
		for _, s := range largeFleet(3) {
			c.Step(1e6, []Event{{Kind: EvFeedback, Node: s.ID, Feedback: FeedbackLinkLoad, Value: 0.1}}, nil)
		}
		_, rungs[fronts], _ = findSetup(c.Step(1e6, []Event{{Kind: EvRequest, Session: 1, Title: 5,
			TimeLeftMs: 3000, Copies: 3, MaxRung: 2}}, nil))
	}
	if rungs[3] != rungs[300] || rungs[300] != 2 {
		t.Fatalf("rung %d with 3 fronts, %d with 300, want the top at both on an empty fleet", rungs[3], rungs[300])
	}
}

// A title's token starts in the front's own zone, at the same holder for all fronts of the zone.
func TestTokensStartInTheFrontsOwnZone(t *testing.T) {
	for zone := range 3 {
		homes := map[uint64]NodeID{}
		for me := range 2 {
			cfg := largeConfig(300, 30)
			cfg.Self, cfg.Zone = me, zone
			c := newFront(t, cfg, uint64(me), largeFleet(30))
			for title := uint64(1); title < 20; title++ {
				to, _, _ := findSetup(c.Step(1e6, []Event{{Kind: EvRequest, Session: SessionID(title), Title: title,
					TimeLeftMs: 3000, FirstCell: int(title), Copies: 6, MaxRung: 0}}, nil))
				if z := c.nodesByID[to].Zone; z != zone {
					t.Fatalf("front of zone %d starts title %d in zone %d", zone, title, z)
				}
				if me > 0 && homes[title] != to {
					t.Fatalf("title %d starts at %d and %d in one zone", title, homes[title], to)
				}
				homes[title] = to
			}
		}
	}
}

// A front that has heard many full servers takes the unheard ones to be full too.
func TestNodesWithoutMeasurementsCountAsTheMean(t *testing.T) {
	c := newFront(t, largeConfig(300, 60), 1, largeFleet(60))
	ask := Event{Kind: EvRequest, Session: 1, Title: 5, TimeLeftMs: 3000, FirstCell: 50, Copies: 3, MaxRung: 2}
	for i, s := range largeFleet(40) {
		c.Step(1e6+float64(i)*10, []Event{{Kind: EvFeedback, Node: s.ID, Feedback: FeedbackLinkLoad, Value: 1.1}}, nil)
	}
	if _, _, ok := findSetup(c.Step(1e6+400, []Event{ask}, nil)); ok {
		t.Fatal("sent to an unheard server of a fleet that is full everywhere")
	}
}

// together runs 100 fronts with one session each on one server at a told load and sums the change of rates.
func totalRateChangeKB(t *testing.T, load float64, rung int) (kb float64) {
	for me := range 100 {
		cfg := largeConfig(100, 10)
		cfg.Self = me
		c := newFront(t, cfg, uint64(me), largeFleet(10))
		id := largeFleet(1)[0].ID
		c.Step(1e6, []Event{{Kind: EvExistingSession, Session: 1, Node: id, Title: 1, Copies: 3, MaxRung: 2},
			{Kind: EvFeedback, Session: 1, Node: id, Feedback: FeedbackRung, Value: float64(rung)}}, nil)
		c.Step(1e6+6000, []Event{{Kind: EvFeedback, Session: 1, Node: id, Feedback: FeedbackLinkLoad, Value: load},
			{Kind: EvFeedback, Session: 1, Node: id, Feedback: FeedbackUplinkLoad, Value: 0.5}}, nil)
		for _, a := range c.Step(1e6+6250, []Event{{Kind: EvTimer, Timer: tickTimerID}}, nil) {
			if a.Kind == ActSetRung {
				kb += cfg.RateKB[a.Rung] - cfg.RateKB[rung]
			}
		}
	}
	return kb
}

// All fronts together fill or free about what is told, whatever their number: neither nobody nor everybody.
func TestManyFrontsRaiseAboutTheFreeCapacity(t *testing.T) {
	asked := 100 * 50.0 // by all, told as a load of 0.6: a room of a third of it up to 0.80
	if kb := totalRateChangeKB(t, 0.6, 0); kb < 0.15*asked || kb > 0.6*asked {
		t.Fatalf("%v kB/s raised where about %v were free", kb, asked/3)
	}
}

func TestManyFrontsLowerAboutTheExcess(t *testing.T) {
	asked := 100 * 200.0
	excess := asked * (1.2 - reliefTargetLoad) / 1.2
	if kb := -totalRateChangeKB(t, 1.2, 2); kb < 0.6*excess || kb > 1.5*excess {
		t.Fatalf("%v kB/s lowered where %v were too much", kb, excess)
	}
}

// Where rung 1 earns most for a kB, a newcomer that fits only at the floor is refused, and relief stops there.
func TestNoSetupBelowTheEfficientRung(t *testing.T) {
	cfg := testConfig()
	cfg.RungWorth = []float64{0.2, 0.6, 1}
	b := startFront(t, cfg)
	b.reportLinkLoads(setupLoadLimit - 0.06) // 60 of 1000 kB/s: room for the floor of 50, not for 100
	if _, acts := b.request(0, 2); hasAction(acts, ActSetup) {
		t.Fatal("set up at the floor, which earns less for a kB")
	}
	b.reportLinkLoads(0.4)
	if _, acts := b.request(0, 2); !hasAction(acts, ActSetup) {
		t.Fatal("refused where there is room")
	}
}

func TestReliefStopsAtTheEfficientRungUntilDeepOverload(t *testing.T) {
	for _, load := range []float64{1.05, 1.9} {
		cfg := testConfig()
		cfg.RungWorth = []float64{0.2, 0.6, 1}
		b := startFront(t, cfg)
		id := testNodes(1)[0].ID
		var ev []Event
		for i := range SessionID(10) {
			ev = append(ev, Event{Kind: EvExistingSession, Session: 500 + i, Node: id, Title: 1, Copies: 3, MaxRung: 2},
				Event{Kind: EvFeedback, Session: 500 + i, Node: id, Feedback: FeedbackRung, Value: 1})
		}
		b.step(ev...)
		b.now += 6000
		b.step(Event{Kind: EvFeedback, Session: 500, Node: id, Feedback: FeedbackLinkLoad, Value: load})
		b.now += 250
		lowered := hasAction(b.step(Event{Kind: EvTimer, Timer: tickTimerID}), ActSetRung)
		if want := load > deepReliefThreshold; lowered != want {
			t.Fatalf("at load %v lowered is %v, want %v", load, lowered, want)
		}
	}
}

// The first report of a server is all that is known of it; half of a guess must not dilute it.
func TestFirstLoadReportCountsInFull(t *testing.T) {
	b := startFront(t, testConfig())
	id, acts := b.request(0, 3)
	to, _, _ := findSetup(acts)
	b.step(Event{Kind: EvAttemptEnded, Session: id, Node: to, Outcome: Full, SessionOver: true,
		Report: Report{Present: true, Streams: -1, Link: 1.2, Uplink: -1}})
	if l := b.controller.linkLoad(b.controller.nodesByID[to]); l < 1.1 {
		t.Fatalf("link estimate %v after a first report of 1.2", l)
	}
}

// 300 fronts press one cold server at the same time; together they must stay under its budget, and some must send.
func TestWarmUpPaceWithThreeHundredFronts(t *testing.T) {
	cfg := largeConfig(300, 10)
	cfg.WarmUpMs, cfg.StreamsByKind = 10000, []int{30}
	l := largeFleet(10)
	for i := range l {
		l[i].Health = Gone
	}
	l[0].Health, l[0].StartedAtMs = Ready, 1e6
	var fronts []*Controller
	for me := range cfg.Fronts {
		cfg.Self = me
		fronts = append(fronts, newFront(t, cfg, uint64(me), l))
	}
	var at []float64
	for now := 1e6; now < 1e6+cfg.WarmUpMs; now += 50 {
		for _, c := range fronts {
			ev := Event{Kind: EvRequest, Session: SessionID(now-1e6) + 1, Title: 1, TimeLeftMs: 3000, Copies: 3}
			if to, _, ok := findSetup(c.Step(now, []Event{ev}, nil)); ok {
				at = append(at, now)
				c.Step(now, []Event{{Kind: EvAttemptEnded, Session: ev.Session, Node: to, Outcome: Full, SessionOver: true}}, nil)
			}
		}
	}
	budget := 2 * float64(cfg.StreamsByKind[0]) / cfg.WarmUpMs * cfg.ColdRateFraction * 1000
	for i := range at {
		n := 0.0
		for _, x := range at[i:] {
			if x < at[i]+1000 {
				n++
			}
		}
		if n > budget+1 {
			t.Fatalf("%v set-ups within a second, budget %v", n, budget)
		}
	}
	if len(at) == 0 {
		t.Fatal("no set-up at all in the warm-up")
	}
}

// 300 fronts that date a cold server's start each by itself, some of which start again in between and whose connections
// come up late: in any TipMs it gets no more than it bears, and sparse fronts still warm it.
func TestWarmUpPaceWithRestartsAndLateConnections(t *testing.T) {
	const n, warm, tip = 300, 12000.0, 1000.0
	for name, every := range map[string]float64{"pressed": 10, "sparse": 1000} {
		cfg := largeConfig(n, 10)
		cfg.WarmUpMs, cfg.ColdRateFraction, cfg.ColdWindowMs, cfg.ConnectTimeoutMs, cfg.StreamsByKind = warm, 0.4, tip, 250, []int{316}
		l := largeFleet(10)
		for i := range l {
			l[i].Health = Gone
		}
		l[0].Health = Ready
		r := rand.New(rand.NewPCG(1, 2))
		var at []float64
		for me := range n {
			cfg.Self = me
			begin := func(now float64) *Controller {
				l[0].StartedAtMs = 1e6 - 500*r.Float64() // as this front believes
				c, err := New(cfg, uint64(me))
				if err != nil {
					t.Fatal(err)
				}
				c.Step(now, []Event{{Kind: EvNodes, Nodes: l}}, nil)
				return c
			}
			c, again := begin(1e6), 1e6+warm*r.Float64()
			for now := 1e6 + every*r.Float64(); now < 1e6+warm-500; now += every {
				if me%3 == 0 && now > again { // killed and started anew: it has forgotten what it sent
					c, again = begin(now), math.Inf(1)
				}
				ev := Event{Kind: EvRequest, Session: SessionID(now-1e6) + 1, Title: 1, TimeLeftMs: 3000, Copies: 3}
				if to, _, ok := findSetup(c.Step(now, []Event{ev}, nil)); ok {
					at = append(at, now+cfg.ConnectTimeoutMs*r.Float64())
					c.Step(now, []Event{{Kind: EvAttemptEnded, Session: ev.Session, Node: to, Outcome: NeverSent, SessionOver: true}}, nil)
				}
			}
		}
		slices.Sort(at)
		allowed := float64(cfg.StreamsByKind[0]) / warm * cfg.ColdRateFraction * tip
		for i := range at {
			got := 0.0
			for _, x := range at[i:] {
				if x < at[i]+tip {
					got++
				}
			}
			if got > allowed+2*math.Sqrt(allowed)+2 {
				t.Errorf("%s: %v set-ups in %v ms, it bears %.1f", name, got, tip, allowed+2*math.Sqrt(allowed)+2)
			}
		}
		if most := allowed * warm / tip; float64(len(at)) < most/4 {
			t.Errorf("%s: %d set-ups in its warm-up, %.0f are allowed: it is not warmed", name, len(at), most)
		}
		t.Logf("%s: %d set-ups, %.0f allowed", name, len(at), allowed*warm/tip)
	}
}

// An empty list, titles without holders, every title everywhere, a late batch and a jump of the clock.
func TestEdgeCasesInALargeFleet(t *testing.T) {
	c := newFront(t, largeConfig(300, 300), 1, nil)
	ask := func(now float64, id SessionID, copies int) []Action {
		return c.Step(now, []Event{{Kind: EvRequest, Session: id, Title: uint64(id), TimeLeftMs: 3000,
			FirstCell: int(id), Copies: copies, MaxRung: 2}, {Kind: EvTimer, Timer: tickTimerID}}, nil)
	}
	if !hasAction(ask(1e6, 1, 3), ActRefuse) {
		t.Fatal("no answer with an empty list")
	}
	c.Step(1e6+1, []Event{{Kind: EvNodes, Nodes: largeFleet(300)}}, nil)
	var backlog []Event
	for i := range SessionID(200) {
		backlog = append(backlog, Event{Kind: EvRequest, Session: 100 + i, Title: uint64(i), TimeLeftMs: 3000,
			FirstCell: int(i), Copies: 300, MaxRung: 2})
	}
	answered := map[SessionID]bool{}
	for _, a := range c.Step(1e6+5e3, backlog, nil) {
		if a.Kind == ActSetup || a.Kind == ActRefuse || a.Kind == ActFail {
			answered[a.Session] = true
		}
	}
	if len(answered) != len(backlog) {
		t.Fatalf("%d of %d requests of a late batch were dealt with", len(answered), len(backlog))
	}
	if acts := ask(1e9, 900, 3); !hasAction(acts, ActSetup) && !hasAction(acts, ActRefuse) {
		t.Fatal("no decision after a jump of the clock")
	}
	if acts := ask(1e9+1, 901, 0); !hasAction(acts, ActRefuse) {
		t.Fatal("a title that nobody holds was not refused")
	}
}

// BenchmarkRequest is one request where all 250 servers hold the title; its figure is for reading.
func BenchmarkRequest(b *testing.B) {
	c := newFront(b, largeConfig(300, 250), 1, largeFleet(250))
	for i := range b.N {
		id := SessionID(i + 1)
		to, _, ok := findSetup(c.Step(1e6, []Event{{Kind: EvRequest, Session: id, Title: 7, TimeLeftMs: 3000,
			Copies: 250, MaxRung: 2}}, nil))
		if ok {
			c.Step(1e6, []Event{{Kind: EvAttemptEnded, Session: id, Node: to, Outcome: Served, SessionOver: true}}, nil)
		}
	}
}
