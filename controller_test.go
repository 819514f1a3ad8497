package headmill

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// testConfig is a small fleet: 6 cells in 2 racks, links of 1000 kB/s, uplinks of 3000.
func testConfig() Config {
	return Config{Fronts: 2, Classes: []Class{
		{TargetMs: 1000, Semantics: Repeatable, Value: 1, RateScale: 1, MaxRung: 2},
		{TargetMs: 1000, Semantics: AtMostOnce, Value: 3, RateScale: 1, MaxRung: 2, MaxPerTitle: 2},
		{TargetMs: 1000, Semantics: IdempotentByKey, KeyScope: ScopeCell, KeyTTLMs: 2000, Value: 1, RateScale: 1, MinRung: 1, MaxRung: 2}},
		RateKB: []float64{50, 100, 200}, RungWorth: []float64{0.3, 0.6, 1}, Cells: 6, Racks: 2, StreamsByKind: []int{20},
		LinkKBPerWeight: 1000, TotalLinkKB: 6000, UplinkKB: 3000, WeightsKnown: true, RungChangeCostS: 0.5,
		ReportIntervalMs: 2000, ReportDelayMs: 500, MaxAttempts: 3, MaxRetryAfterMs: 800, RetryAfter: true,
		WarmUpMs: 10000, ColdRateFraction: 0.5}
}

func testNodes(n int) []Node {
	var l []Node
	for i := range n {
		l = append(l, Node{ID: NodeID(101 + 7*i), Cell: i % 6, Weight: 1, Zone: i % 2})
	}
	return l
}

// bench drives one controller and keeps its clock.
type testFront struct {
	t           *testing.T
	controller  *Controller
	now         float64
	nextSession SessionID
}

func startFront(t *testing.T, cfg Config) *testFront {
	t.Helper()
	c, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &testFront{t: t, controller: c, now: 1e6, nextSession: 1}
	b.step(Event{Kind: EvNodes, Nodes: testNodes(6)})
	return b
}

func (b *testFront) step(ev ...Event) []Action { return b.controller.Step(b.now, ev, nil) }

func (b *testFront) request(class int, title uint64) (SessionID, []Action) {
	id := b.nextSession
	b.nextSession++
	return id, b.step(Event{Kind: EvRequest, Session: id, Class: class, Title: title, TimeLeftMs: 3000,
		Copies: 3, MaxRung: 2})
}

// sent finds the set-up among actions, with the rung set just before it.
func findSetup(acts []Action) (to NodeID, rung int, ok bool) {
	for _, a := range acts {
		switch a.Kind {
		case ActSetRung:
			rung = a.Rung
		case ActSetup:
			return a.Node, rung, true
		}
	}
	return 0, 0, false
}

func hasAction(acts []Action, k ActionKind) bool {
	for _, a := range acts {
		if a.Kind == k {
			return true
		}
	}
	return false
}

func (b *testFront) reportLinkLoads(load float64) {
	for _, s := range testNodes(6) {
		b.step(Event{Kind: EvFeedback, Node: s.ID, Feedback: FeedbackLinkLoad, Value: load})
	}
}

func (b *testFront) endAttempt(id SessionID, to NodeID, o Outcome) []Action {
	return b.step(Event{Kind: EvAttemptEnded, Session: id, Node: to, Outcome: o})
}

func (b *testFront) startPlaying(id SessionID, to NodeID) []Action {
	return b.step(Event{Kind: EvAttemptPlaying, Session: id, Node: to})
}

func TestTokenStaysUntilAdmissionFails(t *testing.T) {
	b := startFront(t, testConfig())
	b.reportLinkLoads(0.1)
	id, acts := b.request(0, 42)
	first, _, ok := findSetup(acts)
	if !ok {
		t.Fatal("first session was not set up")
	}
	b.startPlaying(id, first)
	_, acts = b.request(0, 42)
	if second, _, _ := findSetup(acts); second != first {
		t.Fatalf("second session went to %d, the token is at %d", second, first)
	}
	b.now += 10
	b.step(Event{Kind: EvFeedback, Node: first, Feedback: FeedbackLinkLoad, Value: 1.2})
	b.now += 600
	b.step(Event{Kind: EvFeedback, Node: first, Feedback: FeedbackLinkLoad, Value: 1.2})
	_, acts = b.request(0, 42)
	heir, _, ok := findSetup(acts)
	if !ok || heir == first {
		t.Fatalf("a full holder kept the token (sent %v to %d)", ok, heir)
	}
	b.step(Event{Kind: EvFeedback, Node: first, Feedback: FeedbackLinkLoad, Value: 0.1})
	_, acts = b.request(0, 42)
	if now, _, _ := findSetup(acts); now != heir {
		t.Fatalf("the token left %d for %d without a failed test", heir, now)
	}
}

func TestInitialTokenHolderIsTheSameAtEveryFront(t *testing.T) {
	one, other := testConfig(), testConfig()
	other.Self = 1
	a, b := startFront(t, one), startFront(t, other)
	for title := uint64(1); title < 40; title++ {
		_, x := a.request(0, title)
		_, y := b.request(0, title)
		p, _, _ := findSetup(x)
		q, _, _ := findSetup(y)
		if p != q {
			t.Fatalf("title %d starts at %d and at %d", title, p, q)
		}
	}
}

func TestFullOutcomeMovesTheToken(t *testing.T) {
	b := startFront(t, testConfig())
	b.reportLinkLoads(0.1)
	id, acts := b.request(1, 7)
	to, _, _ := findSetup(acts)
	acts = b.endAttempt(id, to, Full)
	if next, _, ok := findSetup(acts); !ok || next == to {
		t.Fatalf("after full: sent %v, to %d again", ok, next)
	}
}

func TestRefusesImmediatelyWithRetryAfter(t *testing.T) {
	b := startFront(t, testConfig())
	b.now += 1000
	b.reportLinkLoads(1.3)
	_, acts := b.request(0, 9)
	for _, a := range acts {
		if a.Kind == ActRefuse && a.RetryAfterMs == 800 {
			return
		}
	}
	t.Fatalf("no refusal with advice in %+v", acts)
}

func TestSetsUpAtALowerRungWhenTheHighestDoesNotFit(t *testing.T) {
	b := startFront(t, testConfig())
	b.now += 1000
	b.reportLinkLoads(0.8)
	_, acts := b.request(0, 9)
	if _, rung, ok := findSetup(acts); !ok || rung >= 2 {
		t.Fatalf("sent %v at rung %d; only 0.1 of a link is free", ok, rung)
	}
}

// A front makes room for a newcomer from its own sessions rather than refusing it.
func TestLowersOwnSessionsForANewRequest(t *testing.T) {
	b := startFront(t, testConfig())
	b.reportLinkLoads(0.0)
	for range 4 {
		id, acts := b.request(0, 9)
		to, _, _ := findSetup(acts)
		b.startPlaying(id, to)
	}
	b.now += 3000
	b.reportLinkLoads(0.89)
	_, acts := b.request(0, 9)
	if _, _, ok := findSetup(acts); !ok {
		t.Fatal("refused although own sessions could give way")
	}
	if acts[0].Kind != ActSetRung || acts[0].Rung >= 2 {
		t.Fatalf("no playing session was lowered first: %+v", acts)
	}
}

func TestAtMostOnceFailsAfterAnUncertainOutcome(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, Reset, Cancelled} {
		b := startFront(t, testConfig())
		id, acts := b.request(1, 5)
		to, _, _ := findSetup(acts)
		acts = b.endAttempt(id, to, o)
		if hasAction(acts, ActSetup) || hasAction(acts, ActRefuse) || !hasAction(acts, ActFail) {
			t.Errorf("after outcome %d: %+v", o, acts)
		}
	}
	for _, o := range []Outcome{Full, ConnectFailed} {
		b := startFront(t, testConfig())
		id, acts := b.request(1, 5)
		to, _, _ := findSetup(acts)
		if acts = b.endAttempt(id, to, o); !hasAction(acts, ActSetup) {
			t.Errorf("after outcome %d, which proves that nothing ran: %+v", o, acts)
		}
	}
}

func TestIdempotentByKeyStaysInItsScope(t *testing.T) {
	b := startFront(t, testConfig())
	id, acts := b.request(2, 5)
	to, _, _ := findSetup(acts)
	acts = b.endAttempt(id, to, TimedOut)
	if hasAction(acts, ActSetup) || hasAction(acts, ActRefuse) || !hasAction(acts, ActFail) {
		t.Fatalf("one server a cell, scope cell: %+v", acts)
	}
}

func TestNoSetupOnDrainingOrRemovedNodes(t *testing.T) {
	b := startFront(t, testConfig())
	for i := range 3 {
		l := testNodes(6)[i : i+1]
		l[0].Health = Draining
		b.step(Event{Kind: EvNodes, Delta: true, Nodes: l})
	}
	if _, acts := b.request(0, 3); hasAction(acts, ActSetup) {
		t.Fatal("sent to a draining server")
	}
	b.step(Event{Kind: EvNodes, Nodes: testNodes(6)[1:]})
	for title := range uint64(8) {
		_, acts := b.request(0, title)
		if to, _, ok := findSetup(acts); !ok || to == testNodes(1)[0].ID {
			t.Fatalf("sent %v to %d; that server is not in the full list", ok, to)
		}
	}
}

func TestTitleCapCountsFromSetupToEnd(t *testing.T) {
	b := startFront(t, testConfig())
	var ids []SessionID
	var at []NodeID
	for range 2 {
		id, acts := b.request(1, 8)
		to, _, _ := findSetup(acts)
		ids, at = append(ids, id), append(at, to)
	}
	if _, acts := b.request(1, 8); hasAction(acts, ActSetup) {
		t.Fatal("a third session of a title with two seats")
	}
	b.startPlaying(ids[0], at[0])
	b.step(Event{Kind: EvAttemptEnded, Session: ids[0], Node: at[0], Outcome: Served, SessionOver: true})
	if _, acts := b.request(1, 8); !hasAction(acts, ActSetup) {
		t.Fatal("a freed seat was not used")
	}
}

func TestRungStaysWithinClassAndViewerBounds(t *testing.T) {
	b := startFront(t, testConfig())
	acts := b.step(Event{Kind: EvRequest, Session: 900, Class: 2, Title: 1, TimeLeftMs: 3000, Copies: 3, MaxRung: 0})
	if hasAction(acts, ActSetup) || !hasAction(acts, ActRefuse) {
		t.Fatalf("a viewer under the class's floor: %+v", acts)
	}
	acts = b.step(Event{Kind: EvRequest, Session: 901, Class: 2, Title: 1, TimeLeftMs: 3000, Copies: 3, MaxRung: 1})
	if _, rung, ok := findSetup(acts); !ok || rung != 1 {
		t.Fatalf("sent %v at rung %d, want 1", ok, rung)
	}
}

func TestWarmUpPaceHoldsInEveryWindow(t *testing.T) {
	cfg := testConfig()
	cfg.WarmUpMs, cfg.StreamsByKind = 10000, []int{10}
	total := []float64{}
	for me := range cfg.Fronts {
		cfg.Self = me
		b := startFront(t, cfg)
		l := testNodes(6)
		for i := range l {
			l[i].Health = Gone
		}
		l[0].Health, l[0].StartedAtMs = Ready, b.now
		b.step(Event{Kind: EvNodes, Nodes: l})
		for range 900 {
			b.now += 10
			if _, acts := b.request(0, 1); hasAction(acts, ActSetup) {
				total = append(total, b.now)
				b.step(Event{Kind: EvAttemptEnded, Session: b.nextSession - 1, Node: l[0].ID, Outcome: Full})
			}
		}
	}
	if len(total) < 2 {
		t.Fatalf("%d set-ups in a warm-up: the server is starved", len(total))
	}
	const factor, window = 2, 1000.0 // the fleet falls over beyond factor times its pace for window ms
	for _, from := range total {
		n := 0.0
		for _, at := range total {
			if at >= from && at < from+window {
				n++
			}
		}
		budget := factor * float64(cfg.StreamsByKind[0]) / cfg.WarmUpMs * cfg.ColdRateFraction * window
		if n > budget+1 {
			t.Fatalf("%v set-ups of both fronts within %v ms, budget %v", n, window, budget)
		}
	}
}

func TestRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.RetryBudget, cfg.RetryBudgetMin, cfg.RetryBudgetRatio, cfg.RetryBudgetWindowMs = true, 1, 0.1, 5000
	b := startFront(t, cfg)
	extra := 0
	for range 20 {
		id, acts := b.request(0, uint64(b.nextSession))
		to, _, ok := findSetup(acts)
		if !ok {
			continue
		}
		if acts = b.endAttempt(id, to, ConnectFailed); hasAction(acts, ActSetup) {
			extra++
		}
		b.now += 100
	}
	if extra < 1 || extra > 3 {
		t.Fatalf("%d further attempts for 20 requests; 1 + 0.1 each are allowed", extra)
	}
}

// A front that refuses hears nothing new; its old figures must not shut it for good.
func TestStaleHighLoadsDecay(t *testing.T) {
	cfg := testConfig()
	cfg.UplinkKB = 2400 // less than the faded links of a rack ask together
	b := startFront(t, cfg)
	b.reportLinkLoads(1.1)
	if _, acts := b.request(0, 2); hasAction(acts, ActSetup) {
		t.Fatal("sent to a fleet just told full")
	}
	b.now += 20000
	if _, acts := b.request(0, 2); !hasAction(acts, ActSetup) {
		t.Fatal("still shut after 20 s without any news")
	}
}

// A fresh front first hears of full servers; the ones unheard must still be tried.
func TestNodesWithoutMeasurementsAreUsed(t *testing.T) {
	b := startFront(t, testConfig())
	b.step(Event{Kind: EvFeedback, Node: testNodes(6)[5].ID, Feedback: FeedbackLinkLoad, Value: 1.4})
	if _, acts := b.request(0, 2); !hasAction(acts, ActSetup) {
		t.Fatal("one full server shut the front")
	}
}

// Sessions handed over at the start are in the first measurement: they are no change since then.
func TestExistingSessionsAreNotCountedTwice(t *testing.T) {
	b := startFront(t, testConfig())
	id := testNodes(1)[0].ID
	for i := range 4 {
		b.step(Event{Kind: EvExistingSession, Session: SessionID(500 + i), Node: id, Title: 1, Copies: 3, MaxRung: 2})
		b.step(Event{Kind: EvFeedback, Session: SessionID(500 + i), Node: id, Feedback: FeedbackRung, Value: 2})
	}
	b.now += 100
	b.step(Event{Kind: EvFeedback, Session: 500, Node: id, Feedback: FeedbackLinkLoad, Value: 0.85})
	if got := b.controller.linkLoad(b.controller.nodesByID[id]); math.Abs(got-0.85) > 0.01 {
		t.Fatalf("link load %.2f, told 0.85", got)
	}
}

// The note of a set-up holds the new session already, whichever event of the batch comes first.
func TestSetupFeedbackIncludesTheNewSession(t *testing.T) {
	for _, playFirst := range []bool{true, false} {
		b := startFront(t, testConfig())
		id, acts := b.request(0, 4)
		to, _, _ := findSetup(acts)
		b.now += 50
		ev := []Event{{Kind: EvAttemptPlaying, Session: id, Node: to},
			{Kind: EvFeedback, Session: id, Node: to, Feedback: FeedbackLinkLoad, Value: 0.5}}
		if !playFirst {
			ev[0], ev[1] = ev[1], ev[0]
		}
		b.step(ev...)
		if got := b.controller.linkLoad(b.controller.nodesByID[to]); math.Abs(got-0.5) > 0.01 {
			t.Errorf("play first %v: link load %.2f, told 0.50", playFirst, got)
		}
	}
}

// Late notes are silence of all servers: nothing may be done to sessions because of it.
func TestNoRungChangesWithoutNewFeedback(t *testing.T) {
	b := startFront(t, testConfig())
	b.reportLinkLoads(0.5)
	id, acts := b.request(0, 4)
	to, _, _ := findSetup(acts)
	b.startPlaying(id, to)
	for range 40 {
		b.now += 500
		for _, a := range b.step(Event{Kind: EvTimer, Timer: tickTimerID}) {
			if a.Kind != ActTimer {
				t.Fatalf("silence led to %+v", a)
			}
		}
	}
}

func TestReliefLowersEachSessionOnce(t *testing.T) {
	b := startFront(t, testConfig())
	id := testNodes(1)[0].ID
	for i := range 6 {
		s := SessionID(500 + i)
		b.step(Event{Kind: EvExistingSession, Session: s, Node: id, Title: 1, Copies: 3, MaxRung: 2},
			Event{Kind: EvFeedback, Session: s, Node: id, Feedback: FeedbackRung, Value: 2})
	}
	b.now += 1000
	b.step(Event{Kind: EvFeedback, Session: 500, Node: id, Feedback: FeedbackLinkLoad, Value: 2})
	seen := map[SessionID]int{}
	for _, a := range b.step(Event{Kind: EvTimer, Timer: tickTimerID}) {
		if a.Kind == ActSetRung {
			seen[a.Session]++
		}
	}
	if len(seen) == 0 {
		t.Fatal("no relief at twice the link")
	}
	for s, n := range seen {
		if n > 1 {
			t.Errorf("session %d changed %d times in one go", s, n)
		}
	}
	for _, a := range b.step(Event{Kind: EvTimer, Timer: tickTimerID}) {
		if a.Kind == ActSetRung {
			t.Fatal("a second relief before a later measurement")
		}
	}
}

func TestRaisesToTheHighestRungInOneChange(t *testing.T) {
	b := startFront(t, testConfig())
	id := testNodes(1)[0].ID
	b.step(Event{Kind: EvExistingSession, Session: 500, Node: id, Title: 1, Copies: 3, MaxRung: 2})
	b.now += 6000
	b.step(Event{Kind: EvFeedback, Session: 500, Node: id, Feedback: FeedbackLinkLoad, Value: 0.05},
		Event{Kind: EvFeedback, Session: 500, Node: id, Feedback: FeedbackUplinkLoad, Value: 0.05})
	for range 8 {
		b.now += 250
		for _, a := range b.step(Event{Kind: EvTimer, Timer: tickTimerID}) {
			if a.Kind == ActSetRung && a.Session == 500 && a.Rung == 2 {
				return
			}
		}
	}
	t.Fatal("a session on an empty link was not raised to its top in one change")
}

// TestRulesOnRandomEvents feeds long random but legal event sequences and checks every action.
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

type liveSession struct {
	class, title                     int
	deadline                         float64
	node                             NodeID
	attemptOpen, playing, mayHaveRun bool
	attempts, maxRung                int
}

func runRandomEvents(t *testing.T, seed uint64, check bool) []Action {
	cfg := testConfig()
	cfg.RetryBudget, cfg.RetryBudgetMin, cfg.RetryBudgetRatio, cfg.RetryBudgetWindowMs = true, 3, 0.3, 5000
	b := startFront(t, cfg)
	r := rand.New(rand.NewPCG(seed, 9))
	live := map[SessionID]*liveSession{}
	var order []SessionID
	off := map[NodeID]bool{}
	var all []Action
	var asked, extras []float64
	fail := func(format string, args ...any) {
		if check {
			t.Helper()
			t.Fatalf(format, args...)
		}
	}
	recent := func(l []float64) (n float64) {
		for _, at := range l {
			if at > b.now-cfg.RetryBudgetWindowMs {
				n++
			}
		}
		return n
	}
	for range 6000 {
		b.now += float64(r.IntN(60))
		var ev Event
		switch k := r.IntN(10); {
		case k < 3:
			s := &liveSession{class: r.IntN(3), title: r.IntN(5), deadline: b.now + 1000, maxRung: r.IntN(3)}
			live[b.nextSession] = s
			order = append(order, b.nextSession)
			asked = append(asked, b.now)
			ev = Event{Kind: EvRequest, Session: b.nextSession, Class: s.class, Title: uint64(s.title),
				TimeLeftMs: 1000, FirstCell: s.title, Copies: 3, MaxRung: s.maxRung}
			b.nextSession++
		case k < 4:
			l := testNodes(6)
			i := r.IntN(6)
			l[i].Health = []Health{Ready, Ready, Draining, Gone}[r.IntN(4)]
			if r.IntN(3) == 0 {
				l[i].StartedAtMs = b.now - 100
			}
			off[l[i].ID] = l[i].Health != Ready
			ev = Event{Kind: EvNodes, Delta: true, Nodes: l[i : i+1]}
		case k < 5:
			ev = Event{Kind: EvFeedback, Node: testNodes(6)[r.IntN(6)].ID, Feedback: FeedbackKind(1 + r.IntN(4)), Value: r.Float64() * 1.5}
		case k < 6:
			ev = Event{Kind: EvTimer, Timer: tickTimerID}
		default:
			if len(order) == 0 {
				continue
			}
			id := order[r.IntN(len(order))]
			s := live[id]
			if s == nil || !s.attemptOpen {
				continue
			}
			late := b.now >= s.deadline && !s.playing
			if !s.playing && !late && r.IntN(2) == 0 {
				s.playing = true
				ev = Event{Kind: EvAttemptPlaying, Session: id, Node: s.node}
				break
			}
			o := []Outcome{Failed, Full, TimedOut, ConnectFailed, Reset}[r.IntN(5)]
			if late {
				o = TimedOut
			}
			if s.playing {
				o = []Outcome{Served, Reset, Cancelled}[r.IntN(3)]
			}
			s.attemptOpen = false
			s.mayHaveRun = s.mayHaveRun || o != Full && o != ConnectFailed
			ev = Event{Kind: EvAttemptEnded, Session: id, Node: s.node, Outcome: o, SessionOver: s.playing}
			if s.playing {
				delete(live, id)
			}
		}
		acts := b.step(ev)
		all = append(all, acts...)
		for _, a := range acts {
			s := live[a.Session]
			switch a.Kind {
			case ActSetup:
				if s == nil || s.attemptOpen || b.now >= s.deadline {
					fail("seed %d: set-up of %d, which is answered, out or late", seed, a.Session)
				}
				if s.mayHaveRun && cfg.Classes[s.class].Semantics == AtMostOnce || s.mayHaveRun && s.class == 2 {
					fail("seed %d: a set-up that may have run was sent again", seed)
				}
				if off[a.Node] {
					fail("seed %d: set-up to a server told off", seed)
				}
				if s.attempts++; s.attempts > cfg.MaxAttempts {
					fail("seed %d: attempt %d", seed, s.attempts)
				}
				if s.attempts > 1 {
					extras = append(extras, b.now)
					if recent(extras) > cfg.RetryBudgetMin+cfg.RetryBudgetRatio*recent(asked) {
						fail("seed %d: retry budget broken", seed)
					}
				}
				cell := -1
				for _, f := range testNodes(6) {
					if f.ID == a.Node {
						cell = f.Cell
					}
				}
				if (cell-s.title+6)%6 > 2 {
					fail("seed %d: cell %d does not hold title %d", seed, cell, s.title)
				}
				s.attemptOpen, s.node = true, a.Node
				n := 0
				for _, o := range live {
					if o.attemptOpen && o.class == 1 && s.class == 1 && o.title == s.title {
						n++
					}
				}
				if n > 2 {
					fail("seed %d: %d sessions on 2 seats", seed, n)
				}
			case ActSetRung:
				if s == nil || a.Rung > s.maxRung || a.Rung < cfg.Classes[s.class].MinRung {
					fail("seed %d: rung %d for session %+v", seed, a.Rung, s)
				}
			case ActRefuse, ActFail:
				if s == nil || s.attemptOpen {
					fail("seed %d: second answer for %d", seed, a.Session)
				}
				if a.Kind == ActRefuse && s.mayHaveRun && s.class != 0 {
					fail("seed %d: refused a set-up that may have run", seed)
				}
				delete(live, a.Session)
			}
		}
		for id, s := range live {
			if !s.attemptOpen {
				fail("seed %d: request %d is held without an attempt", seed, id)
			}
		}
	}
	return all
}

// One noisy report must not turn the estimate around.
func TestLoadReportIsWeighted(t *testing.T) {
	b := startFront(t, testConfig())
	id := testNodes(1)[0].ID
	b.reportLinkLoads(0.4)
	b.now += 1000
	b.step(Event{Kind: EvAttemptEnded, Session: 77, Node: id, Outcome: Served, SessionOver: true,
		Report: Report{Present: true, Streams: -1, Link: 1.2, Uplink: -1}})
	if got := b.controller.linkLoad(b.controller.nodesByID[id]); got < 0.6 || got > 1.0 {
		t.Fatalf("told 0.4 by note and 1.2 by report: estimate %.2f", got)
	}
}

// Two servers short alike behind an uplink that nobody tells point to the uplink, not to their links.
func TestUplinkCapacityIsInferredFromRateShares(t *testing.T) {
	b := startFront(t, testConfig())
	b.reportLinkLoads(0.5)
	b.now += 600
	for range 2 {
		for _, i := range []int{0, 2, 4} { // the servers of one rack
			b.step(Event{Kind: EvFeedback, Node: testNodes(6)[i].ID, Feedback: FeedbackRateShare, Value: 0.7})
		}
	}
	r := b.controller.nodesByID[testNodes(1)[0].ID].rack
	if load := b.controller.uplinkLoad(r); load < 1.3 || r.uplink.capacityKB > 0.6*3000 {
		t.Fatalf("uplink load %.2f and %.0f kB/s; shares of 0.7 at links of 0.5", load, r.uplink.capacityKB)
	}
	if l := b.controller.linkLoad(b.controller.nodesByID[testNodes(6)[4].ID]); l > 1 {
		t.Fatalf("the link is booked with %.2f for a shortage of the uplink", l)
	}
}

// Without told places or weights all links are taken to be alike.
func TestLinksAreEqualWithoutStreamLimitsOrWeights(t *testing.T) {
	cfg := testConfig()
	cfg.StreamsByKind, cfg.WeightsKnown = nil, false
	b := startFront(t, cfg)
	for _, s := range b.controller.nodes {
		if s.link.capacityKB != 1000 {
			t.Fatalf("a link of %v kB/s; 6000 for six", s.link.capacityKB)
		}
	}
}

// A request that must leave places free is not set up on the last ones; one that need not is.
func TestHeadroomIsLeftFree(t *testing.T) {
	cfg := testConfig()
	cfg.StreamsByKind, cfg.Cells = []int{4}, 6
	b := startFront(t, cfg)
	b.reportLinkLoads(0)
	for id := SessionID(1); id <= 3; id++ { // three of four places of the only holder
		acts := b.step(Event{Kind: EvRequest, Session: id, Title: 42, TimeLeftMs: 3000, Copies: 1, MaxRung: 0})
		to, _, _ := findSetup(acts)
		b.startPlaying(id, to)
	}
	if _, _, ok := findSetup(b.step(Event{Kind: EvRequest, Session: 8, Title: 42, TimeLeftMs: 3000, Copies: 1, Headroom: 0.25})); ok {
		t.Error("the last place went to a request that must leave a quarter free")
	}
	if _, _, ok := findSetup(b.step(Event{Kind: EvRequest, Session: 9, Title: 42, TimeLeftMs: 3000, Copies: 1})); !ok {
		t.Error("the last place is not given at all")
	}
}

// A request that no server can use errs at each of them; the servers must stay in use for others.
func TestBadRequestEjectsNoNode(t *testing.T) {
	b := startFront(t, testConfig())
	b.reportLinkLoads(0.1)
	for title := uint64(1); title <= 3; title++ { // a bad request and a good one in turn
		id, acts := b.request(0, title)
		for to, _, ok := findSetup(acts); ok; to, _, ok = findSetup(acts) {
			acts = b.endAttempt(id, to, Failed)
		}
		if !hasAction(acts, ActRefuse) {
			t.Fatalf("title %d: a repeatable request that errs everywhere gets %v, want a refusal at once", title, acts)
		}
		id, acts = b.request(1, 100+title)
		to, _, ok := findSetup(acts)
		if !ok {
			t.Fatalf("after %d bad requests a paid one finds no server: %v", title, acts)
		}
		b.startPlaying(id, to)
	}
	for _, v := range b.controller.nodes {
		if v.consecutiveFailures > 0 || v.ejectedUntil > b.now {
			t.Fatalf("server %d is shut after errors of bad requests: fails %d", v.ID, v.consecutiveFailures)
		}
	}
}

// Two bad requests that err at one server before either has erred at another shut nothing; two good ones that play
// elsewhere shut it.
func TestInterleavedErrorsAreAttributedByTheNextAttempt(t *testing.T) {
	for name, bad := range map[string]bool{"bad requests": true, "a bad server": false} {
		b := startFront(t, testConfig())
		b.reportLinkLoads(0.1)
		one, acts := b.request(0, 42)
		v, _, _ := findSetup(acts)
		two, acts := b.request(0, 42)
		if at, _, _ := findSetup(acts); at != v {
			t.Fatalf("%s: sent to %d and %d", name, v, at)
		}
		next := map[SessionID][]Action{}
		for _, id := range []SessionID{one, two} {
			next[id] = b.endAttempt(id, v, Failed)
		}
		for id, acts := range next {
			to, _, ok := findSetup(acts)
			if !ok || to == v {
				t.Fatalf("%s: no second attempt elsewhere: %v", name, acts)
			}
			if bad {
				b.endAttempt(id, to, Failed)
			} else {
				b.startPlaying(id, to)
			}
		}
		if s := b.controller.nodesByID[v]; (s.ejectedUntil > b.now) == bad {
			t.Errorf("%s: shut until %v at %v", name, s.ejectedUntil, b.now)
		}
	}
}

// A set-up whose connection broke neither shuts its server nor makes it cold; two in a row shut it, and a session that
// breaks while it plays means that the server was lost.
func TestOneResetNeitherEjectsNorRestartsWarmUp(t *testing.T) {
	b := startFront(t, testConfig())
	b.reportLinkLoads(0.1)
	broken := func() *nodeState {
		id, acts := b.request(1, 42)
		to, _, ok := findSetup(acts)
		if !ok {
			t.Fatalf("not set up: %v", acts)
		}
		if acts = b.endAttempt(id, to, Reset); !hasAction(acts, ActFail) {
			t.Fatalf("a paid set-up that broke gets %v, want a failure", acts)
		}
		return b.controller.nodesByID[to]
	}
	v := broken()
	if v.consecutiveFailures != 0 || v.presumedDown || v.ejectedUntil > b.now {
		t.Fatalf("after one break: fails %d, lost %v, shut until %v at %v", v.consecutiveFailures, v.presumedDown, v.ejectedUntil, b.now)
	}
	id, acts := b.request(0, 42)
	to, _, _ := findSetup(acts)
	if b.startPlaying(id, to); to != v.ID || b.controller.warmingUp(v) {
		t.Fatalf("the next goes to %d, want %d; cold %v", to, v.ID, b.controller.warmingUp(v))
	}
	broken()
	if broken(); v.consecutiveFailures != 1 || v.ejectedUntil <= b.now {
		t.Fatalf("after two breaks in a row: fails %d, shut until %v at %v", v.consecutiveFailures, v.ejectedUntil, b.now)
	}
	b.step(Event{Kind: EvAttemptEnded, Session: id, Node: to, Outcome: Reset, SessionOver: true})
	if !v.presumedDown {
		t.Fatal("a session that broke while it played does not mark its server as lost")
	}
}

// Servers are replaced under new names all the time; those that have gone are forgotten, after a while, and not before
// their sessions have ended.
func TestRemovedNodesAreForgotten(t *testing.T) {
	for _, whole := range []bool{true, false} {
		b := startFront(t, testConfig())
		b.reportLinkLoads(0.1)
		id, acts := b.request(0, 42)
		to, _, _ := findSetup(acts)
		b.startPlaying(id, to)
		list := func(l ...Node) { b.step(Event{Kind: EvNodes, Nodes: l, Delta: !whole}) }
		next := Node{ID: 9000, Weight: 1}
		all := testNodes(6)
		for i := range all {
			all[i].Health = Gone
		}
		if whole { // absent is gone
			all = nil
		}
		list(append(all, next)...)
		if len(b.controller.nodes) != 7 {
			t.Fatalf("whole %v: %d servers are known, want 7 for a while", whole, len(b.controller.nodes))
		}
		b.now += removedNodeRetentionMs + 1
		list(next)
		if len(b.controller.nodes) != 2 || len(b.controller.nodesByID) != 2 || b.controller.nodesByID[to] == nil {
			t.Fatalf("whole %v: %d servers are known, want the new one and that with a session", whole, len(b.controller.nodes))
		}
		b.step(Event{Kind: EvAttemptEnded, Session: id, Node: to, Outcome: Reset, SessionOver: true})
		list(next)
		if len(b.controller.nodes) != 1 || len(b.controller.nodesByID) != 1 {
			t.Fatalf("whole %v: %d servers are known, want 1", whole, len(b.controller.nodes))
		}
		list(next, testNodes(6)[0]) // back
		if v := b.controller.nodesByID[testNodes(6)[0].ID]; v == nil || v.unavailable {
			t.Fatalf("whole %v: a server that is back can't be used", whole)
		}
	}
}

// A flood of titles must not fill the table of tokens.
func TestPlacementTokensAreBounded(t *testing.T) {
	b := startFront(t, testConfig())
	b.reportLinkLoads(0.1)
	for title := uint64(1); len(b.controller.placementTokens) < maxPlacementTokens-1; title++ {
		b.controller.placementTokens[title] = b.controller.nodes[0]
	}
	for title := uint64(1 << 40); title < 1<<40+20; title++ {
		id, acts := b.request(0, title)
		to, _, ok := findSetup(acts)
		if !ok {
			t.Fatalf("not set up: %v", acts)
		}
		b.startPlaying(id, to)
		b.step(Event{Kind: EvAttemptEnded, Session: id, Node: to, Outcome: Served, SessionOver: true})
	}
	if n := len(b.controller.placementTokens); n == 0 || n > maxPlacementTokens {
		t.Fatalf("%d tokens are kept, at most %d are allowed", n, maxPlacementTokens)
	}
}
