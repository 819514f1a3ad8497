package headmill

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// This file tests large fleets and what many fronts do together, where each one knows only its own sessions and some
// measurements.

// largeNodes returns nodes for largeConfig, one in each cell.
func largeNodes(count int) []Node {
	var nodes []Node
	for i := range count {
		nodes = append(nodes, Node{ID: NodeID(1001 + 13*i), Cell: i, Weight: 1, Zone: i % 3})
	}
	return nodes
}

// largeConfig is testConfig with racks of five nodes.
func largeConfig(fronts, nodes int) Config {
	cfg := testConfig()
	cfg.Fronts, cfg.Cells, cfg.Racks = fronts, nodes, nodes/5
	cfg.TotalLinkKB, cfg.UplinkKB = float64(nodes)*1000, 5000
	return cfg
}

func newFront(t testing.TB, cfg Config, seed uint64, nodes []Node) *Controller {
	t.Helper()
	front, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	front.Step(1e6, []Event{{Kind: EvNodes, Nodes: nodes}}, nil)
	return front
}

// The rung that the price allows must not be lower only because there are more fronts.
func TestShadowPriceIsIndependentOfTheNumberOfFronts(t *testing.T) {
	rungs := map[int]int{}
	for _, fronts := range []int{3, 300} {
		front := newFront(t, largeConfig(fronts, 30), 1, largeNodes(30))
		for _, node := range largeNodes(3) {
			front.Step(1e6, []Event{{Kind: EvFeedback, Node: node.ID, Feedback: FeedbackLinkLoad, FeedbackValue: 0.1}}, nil)
		}
		_, rungs[fronts], _ = findSetup(front.Step(1e6, []Event{{Kind: EvRequest, Session: 1, Title: 5,
			TimeLeftMs: 3000, Copies: 3, MaxRung: 2}}, nil))
	}
	if rungs[3] != rungs[300] || rungs[300] != 2 {
		t.Fatalf("rung %d with 3 fronts, %d with 300, want the highest with both on an empty fleet", rungs[3], rungs[300])
	}
}

// A title's placement token starts in the front's own zone, on the same node for all fronts of the zone.
func TestPlacementTokensStartInTheFrontsOwnZone(t *testing.T) {
	for zone := range 3 {
		initialNodes := map[uint64]NodeID{}
		for self := range 2 {
			cfg := largeConfig(300, 30)
			cfg.FrontIndex, cfg.Zone = self, zone
			front := newFront(t, cfg, uint64(self), largeNodes(30))
			for title := uint64(1); title < 20; title++ {
				node, _, _ := findSetup(front.Step(1e6, []Event{{Kind: EvRequest, Session: SessionID(title), Title: title,
					TimeLeftMs: 3000, FirstCell: int(title), Copies: 6, MaxRung: 0}}, nil))
				if got := front.nodesByID[node].Zone; got != zone {
					t.Fatalf("a front of zone %d starts title %d in zone %d", zone, title, got)
				}
				if self > 0 && initialNodes[title] != node {
					t.Fatalf("title %d starts on nodes %d and %d in one zone", title, initialNodes[title], node)
				}
				initialNodes[title] = node
			}
		}
	}
}

// A front assumes the mean measured load for nodes without a measurement: after measurements of many full nodes it
// takes the others to be full too.
func TestNodesWithoutMeasurementsCountAsTheMean(t *testing.T) {
	front := newFront(t, largeConfig(300, 60), 1, largeNodes(60))
	request := Event{Kind: EvRequest, Session: 1, Title: 5, TimeLeftMs: 3000, FirstCell: 50, Copies: 3, MaxRung: 2}
	for i, node := range largeNodes(40) {
		front.Step(1e6+float64(i)*10, []Event{{Kind: EvFeedback, Node: node.ID, Feedback: FeedbackLinkLoad,
			FeedbackValue: 1.1}}, nil)
	}
	if _, _, ok := findSetup(front.Step(1e6+400, []Event{request}, nil)); ok {
		t.Fatal("set up on a node without a measurement, where all measured nodes are full")
	}
}

// totalRateChangeKB runs 100 fronts with one session each on the same node at a measured load, and returns the sum
// of their rate changes.
func totalRateChangeKB(t *testing.T, load float64, rung int) (kb float64) {
	for self := range 100 {
		cfg := largeConfig(100, 10)
		cfg.FrontIndex = self
		front := newFront(t, cfg, uint64(self), largeNodes(10))
		node := largeNodes(1)[0].ID
		front.Step(1e6, []Event{{Kind: EvExistingSession, Session: 1, Node: node, Title: 1, Copies: 3, MaxRung: 2},
			{Kind: EvFeedback, Session: 1, Node: node, Feedback: FeedbackRung, FeedbackValue: float64(rung)}}, nil)
		front.Step(1e6+6000, []Event{{Kind: EvFeedback, Session: 1, Node: node, Feedback: FeedbackLinkLoad, FeedbackValue: load},
			{Kind: EvFeedback, Session: 1, Node: node, Feedback: FeedbackUplinkLoad, FeedbackValue: 0.5}}, nil)
		for _, action := range front.Step(1e6+6250, []Event{{Kind: EvTimer, TimerID: tickTimerID}}, nil) {
			if action.Kind == ActSetRung {
				kb += cfg.RateKB[action.Rung] - cfg.RateKB[rung]
			}
		}
	}
	return kb
}

// All fronts together use or free about as much as is measured, whatever their number: neither no front acts nor
// does each one act for all.
func TestManyFrontsRaiseAboutTheFreeCapacity(t *testing.T) {
	demandKB := 100 * 50.0 // of all fronts, measured as a load of 0.6: a third of it is free up to 0.80
	if kb := totalRateChangeKB(t, 0.6, 0); kb < 0.15*demandKB || kb > 0.6*demandKB {
		t.Fatalf("%v kB/s raised where about %v were free", kb, demandKB/3)
	}
}

// As above, for the excess over reliefTargetLoad: all fronts together must lower about that much.
func TestManyFrontsLowerAboutTheExcess(t *testing.T) {
	demandKB := 100 * 200.0
	excessKB := demandKB * (1.2 - reliefTargetLoad) / 1.2
	if kb := -totalRateChangeKB(t, 1.2, 2); kb < 0.6*excessKB || kb > 1.5*excessKB {
		t.Fatalf("%v kB/s lowered where %v were in excess", kb, excessKB)
	}
}

// 300 fronts send requests to one cold node at the same time. Together they must stay within its budget, and at
// least one must set up a session.
func TestWarmUpPaceWithThreeHundredFronts(t *testing.T) {
	cfg := largeConfig(300, 10)
	cfg.WarmUpMs, cfg.StreamsByKind = 10000, []int{30}
	nodes := largeNodes(10)
	for i := range nodes {
		nodes[i].Health = HealthRemoved
	}
	nodes[0].Health, nodes[0].StartedAtMs = HealthReady, 1e6
	var fronts []*Controller
	for self := range cfg.Fronts {
		cfg.FrontIndex = self
		fronts = append(fronts, newFront(t, cfg, uint64(self), nodes))
	}
	var setupTimes []float64
	for now := 1e6; now < 1e6+cfg.WarmUpMs; now += 50 {
		for _, front := range fronts {
			request := Event{Kind: EvRequest, Session: SessionID(now-1e6) + 1, Title: 1, TimeLeftMs: 3000, Copies: 3}
			if node, _, ok := findSetup(front.Step(now, []Event{request}, nil)); ok {
				setupTimes = append(setupTimes, now)
				front.Step(now, []Event{{Kind: EvAttemptEnded, Session: request.Session, Node: node, Outcome: OutcomeFull,
					SessionOver: true}}, nil)
			}
		}
	}
	budget := 2 * float64(cfg.StreamsByKind[0]) / cfg.WarmUpMs * cfg.ColdRateFraction * 1000
	for i := range setupTimes {
		count := 0.0
		for _, at := range setupTimes[i:] {
			if at < setupTimes[i]+1000 {
				count++
			}
		}
		if count > budget+1 {
			t.Fatalf("%v set-ups within a second, budget %v", count, budget)
		}
	}
	if len(setupTimes) == 0 {
		t.Fatal("no set-up at all in the warm-up")
	}
}

// 300 fronts each have a different start time of a cold node, some of them restart meanwhile, and connections are
// established late. In any ColdWindowMs the node must get no more set-ups than it accepts, and fronts with little
// traffic must still warm it up.
func TestWarmUpPaceWithRestartsAndLateConnections(t *testing.T) {
	const fronts, warmUpMs, windowMs = 300, 12000.0, 1000.0
	for name, intervalMs := range map[string]float64{"heavy traffic": 10, "little traffic": 1000} {
		cfg := largeConfig(fronts, 10)
		cfg.WarmUpMs, cfg.ColdRateFraction, cfg.ColdWindowMs, cfg.ConnectTimeoutMs, cfg.StreamsByKind =
			warmUpMs, 0.4, windowMs, 250, []int{316}
		nodes := largeNodes(10)
		for i := range nodes {
			nodes[i].Health = HealthRemoved
		}
		nodes[0].Health = HealthReady
		random := rand.New(rand.NewPCG(1, 2))
		var setupTimes []float64
		for self := range fronts {
			cfg.FrontIndex = self
			start := func(now float64) *Controller {
				nodes[0].StartedAtMs = 1e6 - 500*random.Float64() // in this front's node list
				front, err := New(cfg, uint64(self))
				if err != nil {
					t.Fatal(err)
				}
				front.Step(now, []Event{{Kind: EvNodes, Nodes: nodes}}, nil)
				return front
			}
			front, restartAt := start(1e6), 1e6+warmUpMs*random.Float64()
			for now := 1e6 + intervalMs*random.Float64(); now < 1e6+warmUpMs-500; now += intervalMs {
				if self%3 == 0 && now > restartAt { // a restart: the front has forgotten its set-ups
					front, restartAt = start(now), math.Inf(1)
				}
				request := Event{Kind: EvRequest, Session: SessionID(now-1e6) + 1, Title: 1, TimeLeftMs: 3000,
					Copies: 3}
				if node, _, ok := findSetup(front.Step(now, []Event{request}, nil)); ok {
					setupTimes = append(setupTimes, now+cfg.ConnectTimeoutMs*random.Float64())
					front.Step(now, []Event{{Kind: EvAttemptEnded, Session: request.Session, Node: node, Outcome: OutcomeNeverRan,
						SessionOver: true}}, nil)
				}
			}
		}
		slices.Sort(setupTimes)
		allowed := float64(cfg.StreamsByKind[0]) / warmUpMs * cfg.ColdRateFraction * windowMs
		for i := range setupTimes {
			count := 0.0
			for _, at := range setupTimes[i:] {
				if at < setupTimes[i]+windowMs {
					count++
				}
			}
			if count > allowed+2*math.Sqrt(allowed)+2 {
				t.Errorf("%s: %v set-ups in %v ms, the node accepts %.1f", name, count, windowMs,
					allowed+2*math.Sqrt(allowed)+2)
			}
		}
		if most := allowed * warmUpMs / windowMs; float64(len(setupTimes)) < most/4 {
			t.Errorf("%s: %d set-ups in the warm-up, %.0f are allowed: the node is not warmed up", name,
				len(setupTimes), most)
		}
		t.Logf("%s: %d set-ups, %.0f allowed", name, len(setupTimes), allowed*warmUpMs/windowMs)
	}
}

// An empty node list, titles without holders, titles on every node, a late batch and a jump of the clock.
func TestEdgeCasesInALargeFleet(t *testing.T) {
	front := newFront(t, largeConfig(300, 300), 1, nil)
	request := func(now float64, id SessionID, copies int) []Action {
		return front.Step(now, []Event{{Kind: EvRequest, Session: id, Title: uint64(id), TimeLeftMs: 3000,
			FirstCell: int(id), Copies: copies, MaxRung: 2}, {Kind: EvTimer, TimerID: tickTimerID}}, nil)
	}
	if !hasAction(request(1e6, 1, 3), ActRefuse) {
		t.Fatal("no refusal with an empty node list")
	}
	front.Step(1e6+1, []Event{{Kind: EvNodes, Nodes: largeNodes(300)}}, nil)
	var backlog []Event
	for i := range SessionID(200) {
		backlog = append(backlog, Event{Kind: EvRequest, Session: 100 + i, Title: uint64(i), TimeLeftMs: 3000,
			FirstCell: int(i), Copies: 300, MaxRung: 2})
	}
	answered := map[SessionID]bool{}
	for _, action := range front.Step(1e6+5e3, backlog, nil) {
		if action.Kind == ActSetup || action.Kind == ActRefuse || action.Kind == ActFail {
			answered[action.Session] = true
		}
	}
	if len(answered) != len(backlog) {
		t.Fatalf("%d of %d requests of a late batch were set up or answered", len(answered), len(backlog))
	}
	if actions := request(1e9, 900, 3); !hasAction(actions, ActSetup) && !hasAction(actions, ActRefuse) {
		t.Fatal("no decision after a jump of the clock")
	}
	if actions := request(1e9+1, 901, 0); !hasAction(actions, ActRefuse) {
		t.Fatal("a title that no node holds was not refused")
	}
}

// BenchmarkRequest measures one request whose title is held by all 250 nodes.
func BenchmarkRequest(b *testing.B) {
	front := newFront(b, largeConfig(300, 250), 1, largeNodes(250))
	for i := range b.N {
		id := SessionID(i + 1)
		node, _, ok := findSetup(front.Step(1e6, []Event{{Kind: EvRequest, Session: id, Title: 7, TimeLeftMs: 3000,
			Copies: 250, MaxRung: 2}}, nil))
		if ok {
			front.Step(1e6, []Event{{Kind: EvAttemptEnded, Session: id, Node: node, Outcome: OutcomeServed,
				SessionOver: true}}, nil)
		}
	}
}
