package health

import (
	"fmt"
	"strings"
	"testing"
)

func watch() *Monitor {
	return New(Config{StreamTimeoutMs: 300, NodeTimeoutMs: 1000, MinRetryMs: 100, MaxRetryMs: 400, IdleTimeoutMs: 500, OpenTimeoutMs: 300})
}

func acts(l []Action) string {
	names := [...]string{"open", "shut", "lose", "orphan", "down"}
	var out []string
	for _, a := range l {
		s := names[a.Kind]
		switch a.Kind {
		case SessionLost, EndOrphan:
			s += fmt.Sprint(a.Session)
		case NodeDown:
			s += fmt.Sprintf("(%d)", a.Count)
		}
		out = append(out, s)
	}
	return strings.Join(out, " ")
}

type step struct {
	at   float64
	ev   Event
	want string
}

func run(t *testing.T, name string, w *Monitor, steps []step) {
	t.Helper()
	for i, s := range steps {
		s.ev.Node = 7
		if got := acts(w.Step(s.at, []Event{s.ev}, nil)); got != s.want {
			t.Fatalf("%s, step %d at %v: got %q, want %q (%s)", name, i, s.at, got, s.want, w.State(7))
		}
	}
}

func placed(s SessionID) Event    { return Event{Kind: SessionStarted, Session: s} }
func hello(ss ...SessionID) Event { return Event{Kind: StreamOpened, BootID: "a", Sessions: ss} }
func expect(s SessionID) Event    { return Event{Kind: SetupSent, Session: s} }
func gone(s SessionID) Event      { return Event{Kind: SessionEnded, Session: s} }
func refused() Event              { return Event{Kind: StreamFailed, ConnRefused: true} }

var (
	tick  = Event{Kind: Tick}
	heard = Event{Kind: StreamActivity}
	broke = Event{Kind: StreamFailed}
)

func TestStreamFollowsUse(t *testing.T) {
	run(t, "use", watch(), []step{{0, expect(1), "open"}, {1, hello(), ""}, {2, placed(1), ""}, {200, heard, ""},
		{300, gone(1), ""}, {301, tick, ""}, {460, heard, ""}, {700, heard, ""}, {820, tick, "shut"}, {830, expect(2), "open"}})
	run(t, "failed set-up", watch(), []step{{0, expect(1), "open"}, {1, broke, ""}, {2, gone(1), ""}, {600, tick, ""},
		{5000, tick, ""}, {5001, expect(2), "open"}})
}

func TestShortBreakLosesNothing(t *testing.T) {
	run(t, "break", watch(), []step{{0, expect(1), "open"}, {1, hello(), ""}, {2, placed(1), ""}, {100, broke, ""},
		{150, tick, ""}, {200, tick, "open"}, {210, hello(1), ""}, {220, tick, ""}})
}

func TestSilentBoxIsLost(t *testing.T) {
	w := watch()
	run(t, "silent", w, []step{{0, expect(1), "open"}, {1, hello(), ""}, {2, placed(1), ""}, {3, placed(2), ""},
		{200, heard, ""}, {499, tick, ""}, {501, tick, "shut"}, {601, tick, "open"}, {902, tick, "shut"},
		{1102, tick, "open"}, {1201, tick, "down(2) lose1 lose2 shut"}, {1300, tick, ""}})
	if w.State(7) != StateDown {
		t.Fatalf("state %s", w.State(7))
	}
	// It comes back and still runs what was given up: that belongs to nobody.
	run(t, "back", w, []step{{1400, expect(3), "open"}, {1410, hello(1, 2), "orphan1 orphan2"}})
}

// A machine that says twice that nobody listens has lost its process: waiting longer costs viewers time.
func TestRefusedTwiceIsLostAtOnce(t *testing.T) {
	run(t, "refused", watch(), []step{{0, expect(1), "open"}, {1, hello(), ""}, {2, placed(1), ""}, {100, broke, ""},
		{200, tick, "open"}, {201, refused(), ""}, {202, tick, ""}, {401, tick, "open"}, {402, refused(), ""},
		{403, tick, "down(1) lose1"}})
	run(t, "refused once", watch(), []step{{0, expect(1), "open"}, {1, hello(), ""}, {2, placed(1), ""}, {100, broke, ""},
		{200, tick, "open"}, {201, refused(), ""}, {401, tick, "open"}, {402, hello(1), ""}, {403, tick, ""}})
}

func TestRestartedBoxIsSeenByItsHello(t *testing.T) {
	run(t, "restart", watch(), []step{{0, expect(1), "open"}, {1, hello(), ""}, {2, placed(1), ""}, {3, placed(2), ""},
		{100, broke, ""}, {200, tick, "open"}, {205, placed(3), ""}, {210, hello(2, 9), "orphan9 lose1"}})
	// A session placed after the stream was asked for can be missing from a hello that was written before it.
	run(t, "young", watch(), []step{{0, expect(1), "open"}, {5, placed(1), ""}, {6, hello(), ""}, {7, tick, ""}})
	// One whose set-up is out is nobody's orphan.
	run(t, "out", watch(), []step{{0, expect(1), "open"}, {6, hello(1), ""}})
}

func TestTheTableFollowsTheFleet(t *testing.T) {
	w := watch()
	for i := range 50 {
		w.Step(0, []Event{{Kind: SetupSent, Node: NodeID(i), Session: 1}, {Kind: SessionEnded, Node: NodeID(i), Session: 1},
			{Kind: StreamFailed, Node: NodeID(i)}}, nil)
	}
	w.Step(6000, []Event{tick}, nil)
	if len(w.boxes) != 0 || len(w.order) != 0 {
		t.Fatalf("%d boxes kept for ever", len(w.boxes))
	}
}
