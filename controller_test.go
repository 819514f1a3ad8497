package headmill

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// testConfig is a small fleet: 6 cells in 2 racks, links of 1000 kB/s, uplinks of 3000. Class 0 is Repeatable,
// class 1 AtMostOnce with a cap of 2 sessions per title, class 2 IdempotentByKey within a cell.
func testConfig() Config {
	return Config{Fronts: 2, Classes: []Class{
		{TargetMs: 1000, Semantics: Repeatable, ValuePerSecond: 1, RateScale: 1, MaxRung: 2},
		{TargetMs: 1000, Semantics: AtMostOnce, ValuePerSecond: 3, RateScale: 1, MaxRung: 2, MaxPerTitle: 2},
		{TargetMs: 1000, Semantics: IdempotentByKey, KeyScope: ScopeCell, KeyTTLMs: 2000, ValuePerSecond: 1,
			RateScale: 1, MinRung: 1, MaxRung: 2}},
		RateKB: []float64{50, 100, 200}, RungWorth: []float64{0.3, 0.6, 1}, Cells: 6, Racks: 2, StreamsByKind: []int{20},
		LinkKBPerWeight: 1000, TotalLinkKB: 6000, UplinkKB: 3000, WeightsKnown: true, RungChangeCostS: 0.5,
		ReportIntervalMs: 2000, ReportDelayMs: 500, MaxAttempts: 3, MaxRetryAfterMs: 800, AdviseRetryAfter: true,
		WarmUpMs: 10000, ColdRateFraction: 0.5}
}

// testNodes returns up to 6 nodes for testConfig, one in each cell.
func testNodes(count int) []Node {
	var nodes []Node
	for i := range count {
		nodes = append(nodes, Node{ID: NodeID(101 + 7*i), Cell: i % 6, Weight: 1, Zone: i % 2})
	}
	return nodes
}

// testFront drives one Controller and keeps its clock.
type testFront struct {
	t           *testing.T
	controller  *Controller
	now         float64
	nextSession SessionID
}

// startFront starts a front that knows all of testNodes.
func startFront(t *testing.T, cfg Config) *testFront {
	t.Helper()
	controller, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	front := &testFront{t: t, controller: controller, now: 1e6, nextSession: 1}
	front.step(Event{Kind: EvNodes, Nodes: testNodes(6)})
	return front
}

func (f *testFront) step(events ...Event) []Action { return f.controller.Step(f.now, events, nil) }

func (f *testFront) request(class int, title uint64) (SessionID, []Action) {
	id := f.nextSession
	f.nextSession++
	return id, f.step(Event{Kind: EvRequest, Session: id, Class: class, Title: title, TimeLeftMs: 3000,
		Copies: 3, MaxRung: 2})
}

// findSetup returns the node of the set-up among the actions, and the rung set just before it.
func findSetup(actions []Action) (node NodeID, rung int, ok bool) {
	for _, action := range actions {
		switch action.Kind {
		case ActSetRung:
			rung = action.Rung
		case ActSetup:
			return action.Node, rung, true
		}
	}
	return 0, 0, false
}

func hasAction(actions []Action, kind ActionKind) bool {
	for _, action := range actions {
		if action.Kind == kind {
			return true
		}
	}
	return false
}

// reportLinkLoads reports the same link load for all nodes.
func (f *testFront) reportLinkLoads(load float64) {
	for _, node := range testNodes(6) {
		f.step(Event{Kind: EvFeedback, Node: node.ID, Feedback: FeedbackLinkLoad, FeedbackValue: load})
	}
}

func (f *testFront) endAttempt(id SessionID, node NodeID, outcome Outcome) []Action {
	return f.step(Event{Kind: EvAttemptEnded, Session: id, Node: node, Outcome: outcome})
}

func (f *testFront) startPlaying(id SessionID, node NodeID) []Action {
	return f.step(Event{Kind: EvAttemptPlaying, Session: id, Node: node})
}

func TestPlacementTokenStaysUntilAdmissionFails(t *testing.T) {
	front := startFront(t, testConfig())
	front.reportLinkLoads(0.1)
	id, actions := front.request(0, 42)
	first, _, ok := findSetup(actions)
	if !ok {
		t.Fatal("the first session was not set up")
	}
	front.startPlaying(id, first)
	_, actions = front.request(0, 42)
	if second, _, _ := findSetup(actions); second != first {
		t.Fatalf("the second session went to node %d, the placement token is at node %d", second, first)
	}
	front.now += 10
	front.step(Event{Kind: EvFeedback, Node: first, Feedback: FeedbackLinkLoad, FeedbackValue: 1.2})
	front.now += 600
	front.step(Event{Kind: EvFeedback, Node: first, Feedback: FeedbackLinkLoad, FeedbackValue: 1.2})
	_, actions = front.request(0, 42)
	successor, _, ok := findSetup(actions)
	if !ok || successor == first {
		t.Fatalf("an overloaded node kept the placement token (set up: %v, on node %d)", ok, successor)
	}
	front.step(Event{Kind: EvFeedback, Node: first, Feedback: FeedbackLinkLoad, FeedbackValue: 0.1})
	_, actions = front.request(0, 42)
	if current, _, _ := findSetup(actions); current != successor {
		t.Fatalf("the placement token moved from node %d to node %d without a failed admission test", successor,
			current)
	}
}

func TestInitialTokenHolderIsTheSameAtEveryFront(t *testing.T) {
	oneConfig, otherConfig := testConfig(), testConfig()
	otherConfig.FrontIndex = 1
	one, other := startFront(t, oneConfig), startFront(t, otherConfig)
	for title := uint64(1); title < 40; title++ {
		_, oneActions := one.request(0, title)
		_, otherActions := other.request(0, title)
		oneNode, _, _ := findSetup(oneActions)
		otherNode, _, _ := findSetup(otherActions)
		if oneNode != otherNode {
			t.Fatalf("title %d starts on node %d at one front and on node %d at the other", title, oneNode, otherNode)
		}
	}
}

func TestFullOutcomeMovesThePlacementToken(t *testing.T) {
	front := startFront(t, testConfig())
	front.reportLinkLoads(0.1)
	id, actions := front.request(1, 7)
	node, _, _ := findSetup(actions)
	actions = front.endAttempt(id, node, OutcomeFull)
	if next, _, ok := findSetup(actions); !ok || next == node {
		t.Fatalf("after Full: next set-up %v, on node %d", ok, next)
	}
}

func TestRefusesImmediatelyWithRetryAfter(t *testing.T) {
	front := startFront(t, testConfig())
	front.now += 1000
	front.reportLinkLoads(1.3)
	_, actions := front.request(0, 9)
	for _, action := range actions {
		if action.Kind == ActRefuse && action.RetryAfterMs == 800 {
			return
		}
	}
	t.Fatalf("no refusal with RetryAfterMs 800 in %+v", actions)
}

func TestSetsUpAtALowerRungWhenTheHighestDoesNotFit(t *testing.T) {
	front := startFront(t, testConfig())
	front.now += 1000
	front.reportLinkLoads(0.8)
	_, actions := front.request(0, 9)
	if _, rung, ok := findSetup(actions); !ok || rung >= 2 {
		t.Fatalf("set up: %v, at rung %d; only 0.1 of a link is free", ok, rung)
	}
}

// A front lowers its own sessions for a new request rather than refusing it.
func TestLowersOwnSessionsForANewRequest(t *testing.T) {
	front := startFront(t, testConfig())
	front.reportLinkLoads(0.0)
	for range 4 {
		id, actions := front.request(0, 9)
		node, _, _ := findSetup(actions)
		front.startPlaying(id, node)
	}
	front.now += 3000
	front.reportLinkLoads(0.89)
	_, actions := front.request(0, 9)
	if _, _, ok := findSetup(actions); !ok {
		t.Fatal("refused although own sessions could be lowered")
	}
	if actions[0].Kind != ActSetRung || actions[0].Rung >= 2 {
		t.Fatalf("no playing session was lowered first: %+v", actions)
	}
}

// After an outcome that leaves open whether the set-up ran, an AtMostOnce request is neither repeated nor
// refused, but failed. After one that proves that nothing ran it is attempted again.
func TestAtMostOnceFailsAfterAnUncertainOutcome(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeFailed, OutcomeTimedOut, OutcomeReset, OutcomeCancelled} {
		front := startFront(t, testConfig())
		id, actions := front.request(1, 5)
		node, _, _ := findSetup(actions)
		actions = front.endAttempt(id, node, outcome)
		if hasAction(actions, ActSetup) || hasAction(actions, ActRefuse) || !hasAction(actions, ActFail) {
			t.Errorf("after outcome %d: %+v", outcome, actions)
		}
	}
	for _, outcome := range []Outcome{OutcomeFull, OutcomeConnectFailed} {
		front := startFront(t, testConfig())
		id, actions := front.request(1, 5)
		node, _, _ := findSetup(actions)
		if actions = front.endAttempt(id, node, outcome); !hasAction(actions, ActSetup) {
			t.Errorf("after outcome %d, which proves that nothing ran: %+v", outcome, actions)
		}
	}
}

func TestIdempotentByKeyStaysInItsScope(t *testing.T) {
	front := startFront(t, testConfig())
	id, actions := front.request(2, 5)
	node, _, _ := findSetup(actions)
	actions = front.endAttempt(id, node, OutcomeTimedOut)
	if hasAction(actions, ActSetup) || hasAction(actions, ActRefuse) || !hasAction(actions, ActFail) {
		t.Fatalf("key scope is a cell, and the cell has one node: %+v", actions)
	}
}

func TestNoSetupOnDrainingOrRemovedNodes(t *testing.T) {
	front := startFront(t, testConfig())
	for i := range 3 {
		nodes := testNodes(6)[i : i+1]
		nodes[0].Health = HealthDraining
		front.step(Event{Kind: EvNodes, NodesAreDelta: true, Nodes: nodes})
	}
	if _, actions := front.request(0, 3); hasAction(actions, ActSetup) {
		t.Fatal("set up on a draining node")
	}
	front.step(Event{Kind: EvNodes, Nodes: testNodes(6)[1:]})
	for title := range uint64(8) {
		_, actions := front.request(0, title)
		if node, _, ok := findSetup(actions); !ok || node == testNodes(1)[0].ID {
			t.Fatalf("set up: %v, on node %d; that node is not in the full list", ok, node)
		}
	}
}

func TestTitleCapCountsFromSetupToEnd(t *testing.T) {
	front := startFront(t, testConfig())
	var ids []SessionID
	var nodes []NodeID
	for range 2 {
		id, actions := front.request(1, 8)
		node, _, _ := findSetup(actions)
		ids, nodes = append(ids, id), append(nodes, node)
	}
	if _, actions := front.request(1, 8); hasAction(actions, ActSetup) {
		t.Fatal("a third session was set up for a title with a cap of two")
	}
	front.startPlaying(ids[0], nodes[0])
	front.step(Event{Kind: EvAttemptEnded, Session: ids[0], Node: nodes[0], Outcome: OutcomeServed, SessionOver: true})
	if _, actions := front.request(1, 8); !hasAction(actions, ActSetup) {
		t.Fatal("no session was set up after one of the title had ended")
	}
}

func TestRungStaysWithinClassAndViewerBounds(t *testing.T) {
	front := startFront(t, testConfig())
	actions := front.step(Event{Kind: EvRequest, Session: 900, Class: 2, Title: 1, TimeLeftMs: 3000, Copies: 3,
		MaxRung: 0})
	if hasAction(actions, ActSetup) || !hasAction(actions, ActRefuse) {
		t.Fatalf("the viewer's MaxRung is below the class's MinRung: %+v", actions)
	}
	actions = front.step(Event{Kind: EvRequest, Session: 901, Class: 2, Title: 1, TimeLeftMs: 3000, Copies: 3,
		MaxRung: 1})
	if _, rung, ok := findSetup(actions); !ok || rung != 1 {
		t.Fatalf("set up: %v, at rung %d, want rung 1", ok, rung)
	}
}

func TestWarmUpPaceHoldsInEveryWindow(t *testing.T) {
	cfg := testConfig()
	cfg.WarmUpMs, cfg.StreamsByKind = 10000, []int{10}
	setupTimes := []float64{}
	for self := range cfg.Fronts {
		cfg.FrontIndex = self
		front := startFront(t, cfg)
		nodes := testNodes(6)
		for i := range nodes {
			nodes[i].Health = HealthRemoved
		}
		nodes[0].Health, nodes[0].StartedAtMs = HealthReady, front.now
		front.step(Event{Kind: EvNodes, Nodes: nodes})
		for range 900 {
			front.now += 10
			if _, actions := front.request(0, 1); hasAction(actions, ActSetup) {
				setupTimes = append(setupTimes, front.now)
				front.step(Event{Kind: EvAttemptEnded, Session: front.nextSession - 1, Node: nodes[0].ID, Outcome: OutcomeFull})
			}
		}
	}
	if len(setupTimes) < 2 {
		t.Fatalf("%d set-ups in a warm-up: the node gets too few", len(setupTimes))
	}
	const factor, windowMs = 2, 1000.0 // a node fails beyond factor times its pace during windowMs
	for _, from := range setupTimes {
		count := 0.0
		for _, at := range setupTimes {
			if at >= from && at < from+windowMs {
				count++
			}
		}
		budget := factor * float64(cfg.StreamsByKind[0]) / cfg.WarmUpMs * cfg.ColdRateFraction * windowMs
		if count > budget+1 {
			t.Fatalf("%v set-ups of both fronts within %v ms, budget %v", count, windowMs, budget)
		}
	}
}

func TestRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.RetryBudget, cfg.RetryBudgetMin, cfg.RetryBudgetRatio, cfg.RetryBudgetWindowMs = true, 1, 0.1, 5000
	front := startFront(t, cfg)
	furtherAttempts := 0
	for range 20 {
		id, actions := front.request(0, uint64(front.nextSession))
		node, _, ok := findSetup(actions)
		if !ok {
			continue
		}
		if actions = front.endAttempt(id, node, OutcomeConnectFailed); hasAction(actions, ActSetup) {
			furtherAttempts++
		}
		front.now += 100
	}
	if furtherAttempts < 1 || furtherAttempts > 3 {
		t.Fatalf("%d further attempts for 20 requests; 1 + 0.1 each are allowed", furtherAttempts)
	}
}

// A front that refuses everything gets no new measurements; stale high loads must not make it refuse forever.
func TestStaleHighLoadsDecay(t *testing.T) {
	cfg := testConfig()
	cfg.UplinkKB = 2400 // less than the sum of the decayed load estimates of a rack's links
	front := startFront(t, cfg)
	front.reportLinkLoads(1.1)
	if _, actions := front.request(0, 2); hasAction(actions, ActSetup) {
		t.Fatal("set up although all links were just reported as overloaded")
	}
	front.now += 20000
	if _, actions := front.request(0, 2); !hasAction(actions, ActSetup) {
		t.Fatal("still refused after 20 s without any measurement")
	}
}

// A new front gets its first measurement from a full node; nodes without one must still be used.
func TestNodesWithoutMeasurementsAreUsed(t *testing.T) {
	front := startFront(t, testConfig())
	front.step(Event{Kind: EvFeedback, Node: testNodes(6)[5].ID, Feedback: FeedbackLinkLoad, FeedbackValue: 1.4})
	if _, actions := front.request(0, 2); !hasAction(actions, ActSetup) {
		t.Fatal("refused because of one overloaded node")
	}
}

// The first measurement includes sessions that were playing at the start; their rates must not be added to it again.
func TestExistingSessionsAreNotCountedTwice(t *testing.T) {
	front := startFront(t, testConfig())
	node := testNodes(1)[0].ID
	for i := range 4 {
		front.step(Event{Kind: EvExistingSession, Session: SessionID(500 + i), Node: node, Title: 1, Copies: 3,
			MaxRung: 2})
		front.step(Event{Kind: EvFeedback, Session: SessionID(500 + i), Node: node, Feedback: FeedbackRung, FeedbackValue: 2})
	}
	front.now += 100
	front.step(Event{Kind: EvFeedback, Session: 500, Node: node, Feedback: FeedbackLinkLoad, FeedbackValue: 0.85})
	if got := front.controller.linkLoad(front.controller.nodesByID[node]); math.Abs(got-0.85) > 0.01 {
		t.Fatalf("link load %.2f, measured 0.85", got)
	}
}

// The measurement sent at set-up includes the new session, whichever event of the batch comes first.
func TestSetupFeedbackIncludesTheNewSession(t *testing.T) {
	for _, playFirst := range []bool{true, false} {
		front := startFront(t, testConfig())
		id, actions := front.request(0, 4)
		node, _, _ := findSetup(actions)
		front.now += 50
		events := []Event{{Kind: EvAttemptPlaying, Session: id, Node: node},
			{Kind: EvFeedback, Session: id, Node: node, Feedback: FeedbackLinkLoad, FeedbackValue: 0.5}}
		if !playFirst {
			events[0], events[1] = events[1], events[0]
		}
		front.step(events...)
		if got := front.controller.linkLoad(front.controller.nodesByID[node]); math.Abs(got-0.5) > 0.01 {
			t.Errorf("play first %v: link load %.2f, measured 0.50", playFirst, got)
		}
	}
}

// When feedback is late for all nodes, no session may be changed because of it.
func TestNoRungChangesWithoutNewFeedback(t *testing.T) {
	front := startFront(t, testConfig())
	front.reportLinkLoads(0.5)
	id, actions := front.request(0, 4)
	node, _, _ := findSetup(actions)
	front.startPlaying(id, node)
	for range 40 {
		front.now += 500
		for _, action := range front.step(Event{Kind: EvTimer, TimerID: tickTimerID}) {
			if action.Kind != ActTimer {
				t.Fatalf("without new feedback: %+v", action)
			}
		}
	}
}

// An overloaded link lowers each of its sessions in one rung change, and none again before a later measurement.
func TestOverloadLowersEachSessionOnce(t *testing.T) {
	front := startFront(t, testConfig())
	node := testNodes(1)[0].ID
	for i := range 6 {
		id := SessionID(500 + i)
		front.step(Event{Kind: EvExistingSession, Session: id, Node: node, Title: 1, Copies: 3, MaxRung: 2},
			Event{Kind: EvFeedback, Session: id, Node: node, Feedback: FeedbackRung, FeedbackValue: 2})
	}
	front.now += 1000
	front.step(Event{Kind: EvFeedback, Session: 500, Node: node, Feedback: FeedbackLinkLoad, FeedbackValue: 2})
	changes := map[SessionID]int{}
	for _, action := range front.step(Event{Kind: EvTimer, TimerID: tickTimerID}) {
		if action.Kind == ActSetRung {
			changes[action.Session]++
		}
	}
	if len(changes) == 0 {
		t.Fatal("no session was lowered at a link load of 2")
	}
	for id, count := range changes {
		if count > 1 {
			t.Errorf("session %d was changed %d times in one step", id, count)
		}
	}
	for _, action := range front.step(Event{Kind: EvTimer, TimerID: tickTimerID}) {
		if action.Kind == ActSetRung {
			t.Fatal("a session was lowered again before a later measurement")
		}
	}
}

func TestRaisesToTheHighestRungInOneChange(t *testing.T) {
	front := startFront(t, testConfig())
	node := testNodes(1)[0].ID
	front.step(Event{Kind: EvExistingSession, Session: 500, Node: node, Title: 1, Copies: 3, MaxRung: 2})
	front.now += 6000
	front.step(Event{Kind: EvFeedback, Session: 500, Node: node, Feedback: FeedbackLinkLoad, FeedbackValue: 0.05},
		Event{Kind: EvFeedback, Session: 500, Node: node, Feedback: FeedbackUplinkLoad, FeedbackValue: 0.05})
	for range 8 {
		front.now += 250
		for _, action := range front.step(Event{Kind: EvTimer, TimerID: tickTimerID}) {
			if action.Kind == ActSetRung && action.Session == 500 && action.Rung == 2 {
				return
			}
		}
	}
	t.Fatal("a session on an empty link was not raised to its highest rung in one change")
}

// TestRulesOnRandomEvents feeds long random but legal event sequences and checks every action. The same
// events must give the same actions again.
func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range uint64(6) {
		first := runRandomEvents(t, seed, true)
		if !reflect.DeepEqual(first, runRandomEvents(t, seed, false)) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
		if len(first) < 500 {
			t.Fatalf("seed %d: only %d actions", seed, len(first))
		}
	}
}

// liveSession is what runRandomEvents knows of a request or session that has not ended.
type liveSession struct {
	class, title                     int
	deadline                         float64
	node                             NodeID
	attemptOpen, playing, mayHaveRun bool
	attempts, maxRung                int
}

// runRandomEvents returns the actions of one random run. With check it fails the test on any action that
// breaks a rule.
func runRandomEvents(t *testing.T, seed uint64, check bool) []Action {
	cfg := testConfig()
	cfg.RetryBudget, cfg.RetryBudgetMin, cfg.RetryBudgetRatio, cfg.RetryBudgetWindowMs = true, 3, 0.3, 5000
	front := startFront(t, cfg)
	random := rand.New(rand.NewPCG(seed, 9))
	live := map[SessionID]*liveSession{}
	var order []SessionID
	unavailable := map[NodeID]bool{}
	var allActions []Action
	var requestTimes, furtherAttemptTimes []float64
	fail := func(format string, args ...any) {
		if check {
			t.Helper()
			t.Fatalf(format, args...)
		}
	}
	countInWindow := func(times []float64) (count float64) {
		for _, at := range times {
			if at > front.now-cfg.RetryBudgetWindowMs {
				count++
			}
		}
		return count
	}
	for range 6000 {
		front.now += float64(random.IntN(60))
		var event Event
		switch choice := random.IntN(10); {
		case choice < 3:
			session := &liveSession{class: random.IntN(3), title: random.IntN(5), deadline: front.now + 1000,
				maxRung: random.IntN(3)}
			live[front.nextSession] = session
			order = append(order, front.nextSession)
			requestTimes = append(requestTimes, front.now)
			event = Event{Kind: EvRequest, Session: front.nextSession, Class: session.class, Title: uint64(session.title),
				TimeLeftMs: 1000, FirstCell: session.title, Copies: 3, MaxRung: session.maxRung}
			front.nextSession++
		case choice < 4:
			nodes := testNodes(6)
			i := random.IntN(6)
			nodes[i].Health = []Health{HealthReady, HealthReady, HealthDraining, HealthRemoved}[random.IntN(4)]
			if random.IntN(3) == 0 {
				nodes[i].StartedAtMs = front.now - 100
			}
			unavailable[nodes[i].ID] = nodes[i].Health != HealthReady
			event = Event{Kind: EvNodes, NodesAreDelta: true, Nodes: nodes[i : i+1]}
		case choice < 5:
			event = Event{Kind: EvFeedback, Node: testNodes(6)[random.IntN(6)].ID,
				Feedback: FeedbackKind(1 + random.IntN(4)), FeedbackValue: random.Float64() * 1.5}
		case choice < 6:
			event = Event{Kind: EvTimer, TimerID: tickTimerID}
		default:
			if len(order) == 0 {
				continue
			}
			id := order[random.IntN(len(order))]
			session := live[id]
			if session == nil || !session.attemptOpen {
				continue
			}
			late := front.now >= session.deadline && !session.playing
			if !session.playing && !late && random.IntN(2) == 0 {
				session.playing = true
				event = Event{Kind: EvAttemptPlaying, Session: id, Node: session.node}
				break
			}
			outcome := []Outcome{OutcomeFailed, OutcomeFull, OutcomeTimedOut, OutcomeConnectFailed, OutcomeReset}[random.IntN(5)]
			if late {
				outcome = OutcomeTimedOut
			}
			if session.playing {
				outcome = []Outcome{OutcomeServed, OutcomeReset, OutcomeCancelled}[random.IntN(3)]
			}
			session.attemptOpen = false
			session.mayHaveRun = session.mayHaveRun || outcome != OutcomeFull && outcome != OutcomeConnectFailed
			event = Event{Kind: EvAttemptEnded, Session: id, Node: session.node, Outcome: outcome,
				SessionOver: session.playing}
			if session.playing {
				delete(live, id)
			}
		}
		actions := front.step(event)
		allActions = append(allActions, actions...)
		for _, action := range actions {
			session := live[action.Session]
			switch action.Kind {
			case ActSetup:
				if session == nil || session.attemptOpen || front.now >= session.deadline {
					fail("seed %d: set-up of session %d, which is answered, being attempted or late", seed,
						action.Session)
				}
				if session.mayHaveRun && cfg.Classes[session.class].Semantics == AtMostOnce ||
					session.mayHaveRun && session.class == 2 {
					fail("seed %d: a set-up that may have run was sent again", seed)
				}
				if unavailable[action.Node] {
					fail("seed %d: set-up on a draining or removed node", seed)
				}
				if session.attempts++; session.attempts > cfg.MaxAttempts {
					fail("seed %d: attempt %d", seed, session.attempts)
				}
				if session.attempts > 1 {
					furtherAttemptTimes = append(furtherAttemptTimes, front.now)
					if countInWindow(furtherAttemptTimes) >
						cfg.RetryBudgetMin+cfg.RetryBudgetRatio*countInWindow(requestTimes) {
						fail("seed %d: the retry budget was exceeded", seed)
					}
				}
				cell := -1
				for _, node := range testNodes(6) {
					if node.ID == action.Node {
						cell = node.Cell
					}
				}
				if (cell-session.title+6)%6 > 2 {
					fail("seed %d: cell %d does not hold title %d", seed, cell, session.title)
				}
				session.attemptOpen, session.node = true, action.Node
				count := 0
				for _, other := range live {
					if other.attemptOpen && other.class == 1 && session.class == 1 && other.title == session.title {
						count++
					}
				}
				if count > 2 {
					fail("seed %d: %d sessions of a title with a cap of 2", seed, count)
				}
			case ActSetRung:
				if session == nil || action.Rung > session.maxRung || action.Rung < cfg.Classes[session.class].MinRung {
					fail("seed %d: rung %d for session %+v", seed, action.Rung, session)
				}
			case ActRefuse, ActFail:
				if session == nil || session.attemptOpen {
					fail("seed %d: final answer for session %d, which is answered or being attempted", seed,
						action.Session)
				}
				if action.Kind == ActRefuse && session.mayHaveRun && session.class != 0 {
					fail("seed %d: refused a set-up that may have run", seed)
				}
				delete(live, action.Session)
			}
		}
		for id, session := range live {
			if !session.attemptOpen {
				fail("seed %d: request %d has neither an attempt nor an answer", seed, id)
			}
		}
	}
	return allActions
}

// Load reports are noisy: one of them must not replace the estimate.
func TestLoadReportIsWeighted(t *testing.T) {
	front := startFront(t, testConfig())
	node := testNodes(1)[0].ID
	front.reportLinkLoads(0.4)
	front.now += 1000
	front.step(Event{Kind: EvAttemptEnded, Session: 77, Node: node, Outcome: OutcomeServed, SessionOver: true,
		LoadReport: LoadReport{Present: true, Streams: -1, LinkLoad: 1.2, UplinkLoad: -1}})
	if got := front.controller.linkLoad(front.controller.nodesByID[node]); got < 0.6 || got > 1.0 {
		t.Fatalf("measured 0.4, load report 1.2: estimate %.2f, want 0.6 to 1.0", got)
	}
}

// Nodes with equal shortfalls behind an uplink without measurements point to the uplink, not to their links.
func TestUplinkCapacityIsInferredFromRateShares(t *testing.T) {
	front := startFront(t, testConfig())
	front.reportLinkLoads(0.5)
	front.now += 600
	for range 2 {
		for _, i := range []int{0, 2, 4} { // the nodes of one rack
			front.step(Event{Kind: EvFeedback, Node: testNodes(6)[i].ID, Feedback: FeedbackRateShare, FeedbackValue: 0.7})
		}
	}
	rack := front.controller.nodesByID[testNodes(1)[0].ID].rack
	if load := front.controller.uplinkLoad(rack); load < 1.3 || rack.uplink.capacityKB > 0.6*3000 {
		t.Fatalf("uplink load %.2f and %.0f kB/s; shares of 0.7 at link loads of 0.5", load, rack.uplink.capacityKB)
	}
	if load := front.controller.linkLoad(front.controller.nodesByID[testNodes(6)[4].ID]); load > 1 {
		t.Fatalf("link load %.2f for a shortage of the uplink", load)
	}
}

// Without stream limits or weights all links are taken to be equal.
func TestLinksAreEqualWithoutStreamLimitsOrWeights(t *testing.T) {
	cfg := testConfig()
	cfg.StreamsByKind, cfg.WeightsKnown = nil, false
	front := startFront(t, cfg)
	for _, node := range front.controller.nodes {
		if node.link.capacityKB != 1000 {
			t.Fatalf("a link of %v kB/s, want 6000 shared by six nodes", node.link.capacityKB)
		}
	}
}

// A request with headroom is not set up on the last free streams; one without is.
func TestHeadroomIsLeftFree(t *testing.T) {
	cfg := testConfig()
	cfg.StreamsByKind, cfg.Cells = []int{4}, 6
	front := startFront(t, cfg)
	front.reportLinkLoads(0)
	for id := SessionID(1); id <= 3; id++ { // three of four streams of the only holder
		actions := front.step(Event{Kind: EvRequest, Session: id, Title: 42, TimeLeftMs: 3000, Copies: 1, MaxRung: 0})
		node, _, _ := findSetup(actions)
		front.startPlaying(id, node)
	}
	if _, _, ok := findSetup(front.step(Event{Kind: EvRequest, Session: 8, Title: 42, TimeLeftMs: 3000, Copies: 1,
		Headroom: 0.25})); ok {
		t.Error("the last stream went to a request that must leave a quarter free")
	}
	if _, _, ok := findSetup(front.step(Event{Kind: EvRequest, Session: 9, Title: 42, TimeLeftMs: 3000,
		Copies: 1})); !ok {
		t.Error("the last stream was not given to a request without headroom")
	}
}

// A malformed request fails on every node; the nodes must stay in use for other requests.
func TestBadRequestEjectsNoNode(t *testing.T) {
	front := startFront(t, testConfig())
	front.reportLinkLoads(0.1)
	for title := uint64(1); title <= 3; title++ { // a bad request and a good one in turn
		id, actions := front.request(0, title)
		for node, _, ok := findSetup(actions); ok; node, _, ok = findSetup(actions) {
			actions = front.endAttempt(id, node, OutcomeFailed)
		}
		if !hasAction(actions, ActRefuse) {
			t.Fatalf("title %d: a repeatable request that fails everywhere gets %v, want an immediate refusal",
				title, actions)
		}
		id, actions = front.request(1, 100+title)
		node, _, ok := findSetup(actions)
		if !ok {
			t.Fatalf("after %d bad requests an AtMostOnce request finds no node: %v", title, actions)
		}
		front.startPlaying(id, node)
	}
	for _, node := range front.controller.nodes {
		if node.consecutiveFailures > 0 || node.ejectedUntil > front.now {
			t.Fatalf("node %d is ejected after errors of bad requests: %d failures", node.ID, node.consecutiveFailures)
		}
	}
}

// Two bad requests that fail on one node, before either has failed on another one, eject nothing. Two good
// requests that then play elsewhere eject it.
func TestInterleavedErrorsAreAttributedByTheNextAttempt(t *testing.T) {
	for name, bad := range map[string]bool{"bad requests": true, "a bad node": false} {
		front := startFront(t, testConfig())
		front.reportLinkLoads(0.1)
		one, actions := front.request(0, 42)
		first, _, _ := findSetup(actions)
		two, actions := front.request(0, 42)
		if second, _, _ := findSetup(actions); second != first {
			t.Fatalf("%s: set up on nodes %d and %d", name, first, second)
		}
		next := map[SessionID][]Action{}
		for _, id := range []SessionID{one, two} {
			next[id] = front.endAttempt(id, first, OutcomeFailed)
		}
		for id, actions := range next {
			node, _, ok := findSetup(actions)
			if !ok || node == first {
				t.Fatalf("%s: no second attempt elsewhere: %v", name, actions)
			}
			if bad {
				front.endAttempt(id, node, OutcomeFailed)
			} else {
				front.startPlaying(id, node)
			}
		}
		if node := front.controller.nodesByID[first]; (node.ejectedUntil > front.now) == bad {
			t.Errorf("%s: ejected until %v at %v", name, node.ejectedUntil, front.now)
		}
	}
}

// One set-up whose connection was reset neither ejects its node nor makes it cold; two in a row eject it. A
// session that is reset while it plays means that the node is down.
func TestOneResetNeitherEjectsNorRestartsWarmUp(t *testing.T) {
	front := startFront(t, testConfig())
	front.reportLinkLoads(0.1)
	resetSetup := func() *nodeState {
		id, actions := front.request(1, 42)
		node, _, ok := findSetup(actions)
		if !ok {
			t.Fatalf("not set up: %v", actions)
		}
		if actions = front.endAttempt(id, node, OutcomeReset); !hasAction(actions, ActFail) {
			t.Fatalf("an AtMostOnce set-up that was reset gets %v, want a failure", actions)
		}
		return front.controller.nodesByID[node]
	}
	state := resetSetup()
	if state.consecutiveFailures != 0 || state.presumedDown || state.ejectedUntil > front.now {
		t.Fatalf("after one reset: %d failures, presumed down %v, ejected until %v at %v",
			state.consecutiveFailures, state.presumedDown, state.ejectedUntil, front.now)
	}
	id, actions := front.request(0, 42)
	node, _, _ := findSetup(actions)
	if front.startPlaying(id, node); node != state.ID || front.controller.warmingUp(state) {
		t.Fatalf("the next set-up is on node %d, want %d; warming up %v", node, state.ID,
			front.controller.warmingUp(state))
	}
	resetSetup()
	if resetSetup(); state.consecutiveFailures != 1 || state.ejectedUntil <= front.now {
		t.Fatalf("after two resets in a row: %d failures, ejected until %v at %v", state.consecutiveFailures,
			state.ejectedUntil, front.now)
	}
	front.step(Event{Kind: EvAttemptEnded, Session: id, Node: node, Outcome: OutcomeReset, SessionOver: true})
	if !state.presumedDown {
		t.Fatal("a session that was reset while it played does not mark its node as down")
	}
}

// Nodes are replaced under new IDs all the time. Removed ones are forgotten after a while, but not before their
// sessions have ended.
func TestRemovedNodesAreForgotten(t *testing.T) {
	for _, fullList := range []bool{true, false} {
		front := startFront(t, testConfig())
		front.reportLinkLoads(0.1)
		id, actions := front.request(0, 42)
		playingNode, _, _ := findSetup(actions)
		front.startPlaying(id, playingNode)
		list := func(nodes ...Node) { front.step(Event{Kind: EvNodes, Nodes: nodes, NodesAreDelta: !fullList}) }
		newNode := Node{ID: 9000, Weight: 1}
		removed := testNodes(6)
		for i := range removed {
			removed[i].Health = HealthRemoved
		}
		if fullList { // absent nodes are removed
			removed = nil
		}
		list(append(removed, newNode)...)
		if len(front.controller.nodes) != 7 {
			t.Fatalf("full list %v: %d nodes are known, want 7 for a while", fullList, len(front.controller.nodes))
		}
		front.now += removedNodeRetentionMs + 1
		list(newNode)
		if len(front.controller.nodes) != 2 || len(front.controller.nodesByID) != 2 ||
			front.controller.nodesByID[playingNode] == nil {
			t.Fatalf("full list %v: %d nodes are known, want the new one and the one with a session", fullList,
				len(front.controller.nodes))
		}
		front.step(Event{Kind: EvAttemptEnded, Session: id, Node: playingNode, Outcome: OutcomeReset, SessionOver: true})
		list(newNode)
		if len(front.controller.nodes) != 1 || len(front.controller.nodesByID) != 1 {
			t.Fatalf("full list %v: %d nodes are known, want 1", fullList, len(front.controller.nodes))
		}
		list(newNode, testNodes(6)[0]) // listed again
		if node := front.controller.nodesByID[testNodes(6)[0].ID]; node == nil || node.unavailable {
			t.Fatalf("full list %v: a node that is listed again can't be used", fullList)
		}
	}
}

// Requests for any number of titles must not fill the table of placement tokens.
func TestPlacementTokensAreBounded(t *testing.T) {
	front := startFront(t, testConfig())
	front.reportLinkLoads(0.1)
	for title := uint64(1); len(front.controller.placementTokens) < maxPlacementTokens-1; title++ {
		front.controller.placementTokens[title] = front.controller.nodes[0]
	}
	for title := uint64(1 << 40); title < 1<<40+20; title++ {
		id, actions := front.request(0, title)
		node, _, ok := findSetup(actions)
		if !ok {
			t.Fatalf("not set up: %v", actions)
		}
		front.startPlaying(id, node)
		front.step(Event{Kind: EvAttemptEnded, Session: id, Node: node, Outcome: OutcomeServed, SessionOver: true})
	}
	if count := len(front.controller.placementTokens); count == 0 || count > maxPlacementTokens {
		t.Fatalf("%d placement tokens are kept, at most %d are allowed", count, maxPlacementTokens)
	}
}

// Where rung 1 has the most worth per kB, a request that fits only at the lowest rung is refused.
func TestNoSetupBelowTheEfficientRung(t *testing.T) {
	cfg := testConfig()
	cfg.RungWorth = []float64{0.2, 0.6, 1}
	front := startFront(t, cfg)
	front.reportLinkLoads(setupLoadLimit - 0.06) // 60 of 1000 kB/s are free: enough for rung 0 (50), not for 1 (100)
	if _, actions := front.request(0, 2); hasAction(actions, ActSetup) {
		t.Fatal("set up at the lowest rung, which is worth less per kB")
	}
	front.reportLinkLoads(0.4)
	if _, actions := front.request(0, 2); !hasAction(actions, ActSetup) {
		t.Fatal("refused where there is free capacity")
	}
}

// Relief lowers no session below the rung with the most worth per kB until the load exceeds deepReliefThreshold.
func TestReliefStopsAtTheEfficientRungUntilDeepOverload(t *testing.T) {
	for _, load := range []float64{1.05, 1.9} {
		cfg := testConfig()
		cfg.RungWorth = []float64{0.2, 0.6, 1}
		front := startFront(t, cfg)
		node := testNodes(1)[0].ID
		var events []Event
		for i := range SessionID(10) {
			events = append(events,
				Event{Kind: EvExistingSession, Session: 500 + i, Node: node, Title: 1, Copies: 3, MaxRung: 2},
				Event{Kind: EvFeedback, Session: 500 + i, Node: node, Feedback: FeedbackRung, FeedbackValue: 1})
		}
		front.step(events...)
		front.now += 6000
		front.step(Event{Kind: EvFeedback, Session: 500, Node: node, Feedback: FeedbackLinkLoad, FeedbackValue: load})
		front.now += 250
		lowered := hasAction(front.step(Event{Kind: EvTimer, TimerID: tickTimerID}), ActSetRung)
		if want := load > deepReliefThreshold; lowered != want {
			t.Fatalf("at load %v lowered is %v, want %v", load, lowered, want)
		}
	}
}

// The first load report of a node is all that is known of it; it must not be averaged with an assumption.
func TestFirstLoadReportCountsInFull(t *testing.T) {
	front := startFront(t, testConfig())
	id, actions := front.request(0, 3)
	node, _, _ := findSetup(actions)
	front.step(Event{Kind: EvAttemptEnded, Session: id, Node: node, Outcome: OutcomeFull, SessionOver: true,
		LoadReport: LoadReport{Present: true, Streams: -1, LinkLoad: 1.2, UplinkLoad: -1}})
	if load := front.controller.linkLoad(front.controller.nodesByID[node]); load < 1.1 {
		t.Fatalf("link load estimate %v after a first report of 1.2", load)
	}
}
