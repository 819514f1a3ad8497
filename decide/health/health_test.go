package health

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

var testConfig = Config{StreamTimeoutMs: 300, NodeTimeoutMs: 1000, MinRetryMs: 100, MaxRetryMs: 400, IdleTimeoutMs: 500,
	OpenTimeoutMs: 300, LostRetentionMs: 3000, StreamListsSessions: true}

func newTestMonitor() *Monitor { return New(testConfig) }

// newUnlistedMonitor returns a monitor of media nodes that don't list their sessions.
func newUnlistedMonitor() *Monitor {
	cfg := testConfig
	cfg.StreamListsSessions = false
	return New(cfg)
}

func formatActions(actions []Action) string {
	names := [...]string{"open", "cancel", "close", "lost", "gone", "orphan", "down"}
	var out []string
	for _, action := range actions {
		s := names[action.Kind]
		switch action.Kind {
		case SessionLost, LostSessionGone, EndOrphan:
			s += fmt.Sprint(action.Session)
		case NodeDown:
			s += fmt.Sprintf("(%d)", action.Count)
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

func run(t *testing.T, name string, m *Monitor, steps []step) {
	t.Helper()
	for i, s := range steps {
		s.ev.Node = 7
		if got := formatActions(m.Step(s.at, []Event{s.ev}, nil)); got != s.want {
			t.Fatalf("%s, step %d at %v: got %q, want %q (%s)", name, i, s.at, got, s.want, m.State(7))
		}
	}
}

func started(id SessionID) Event { return Event{Kind: SessionStarted, Session: id} }
func opened(running ...SessionID) Event {
	return Event{Kind: StreamOpened, BootID: "a", Sessions: running}
}
func setupSent(id SessionID) Event { return Event{Kind: SetupSent, Session: id} }
func ended(id SessionID) Event     { return Event{Kind: SessionEnded, Session: id} }
func connRefused() Event           { return Event{Kind: StreamFailed, ConnRefused: true} }

var (
	tick     = Event{Kind: Tick}
	activity = Event{Kind: StreamActivity}
	failed   = Event{Kind: StreamFailed}
)

// The stream is opened with the first set-up and closed when it is unused for long.
func TestStreamFollowsUse(t *testing.T) {
	run(t, "use", newTestMonitor(), []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""},
		{200, activity, ""}, {300, ended(1), ""}, {301, tick, ""}, {460, activity, ""}, {700, activity, ""},
		{820, tick, "close"}, {830, setupSent(2), "open"}})
	run(t, "failed set-up", newTestMonitor(), []step{{0, setupSent(1), "open"}, {1, failed, ""}, {2, ended(1), ""},
		{600, tick, ""}, {5000, tick, ""}, {5001, setupSent(2), "open"}})
}

func TestShortInterruptionLosesNoSession(t *testing.T) {
	run(t, "interruption", newTestMonitor(), []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""},
		{100, failed, ""}, {150, tick, ""}, {200, tick, "open"}, {210, opened(1), ""}, {220, tick, ""}})
}

func TestSilentNodeIsDown(t *testing.T) {
	m := newTestMonitor()
	run(t, "silent", m, []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""}, {3, started(2), ""},
		{200, activity, ""}, {499, tick, ""}, {501, tick, "open"}, {802, tick, "cancel"}, {902, tick, "open"},
		{1201, tick, "down(2) lost1 lost2 cancel open"}, {1300, tick, ""}})
	if m.State(7) != StateDown {
		t.Fatalf("state %s", m.State(7))
	}
	// The media node comes back and still runs the sessions that were given up: they are orphans.
	run(t, "back", m, []step{{1400, setupSent(3), ""}, {1410, opened(1, 2), "gone1 gone2 orphan1 orphan2"}})
}

// A host that refuses the connection twice has lost its process: waiting longer would only cost viewers time.
func TestRefusedTwiceIsDownAtOnce(t *testing.T) {
	run(t, "refused", newTestMonitor(), []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""},
		{100, failed, ""}, {200, tick, "open"}, {201, connRefused(), ""}, {202, tick, ""}, {401, tick, "open"},
		{402, connRefused(), ""}, {403, tick, "down(1) lost1"}})
	run(t, "refused once", newTestMonitor(), []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""},
		{100, failed, ""}, {200, tick, "open"}, {201, connRefused(), ""}, {401, tick, "open"}, {402, opened(1), ""},
		{403, tick, ""}})
}

func TestRestartedNodeIsDetectedByItsSessions(t *testing.T) {
	run(t, "restart", newTestMonitor(), []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""},
		{3, started(2), ""}, {100, failed, ""}, {200, tick, "open"}, {205, started(3), ""},
		{210, opened(2, 9), "orphan9 lost1"}})
	// A session that started after the stream was requested can be missing from a list that was written before.
	run(t, "started later", newTestMonitor(), []step{{0, setupSent(1), "open"}, {5, started(1), ""}, {6, opened(), ""},
		{7, tick, ""}})
	// A session whose set-up is pending is not an orphan.
	run(t, "pending set-up", newTestMonitor(), []step{{0, setupSent(1), "open"}, {6, opened(1), ""}})
}

// Media nodes that are no longer used are forgotten, so that the table does not grow without bound.
func TestUnusedNodesAreForgotten(t *testing.T) {
	m := newTestMonitor()
	for i := range 50 {
		m.Step(0, []Event{{Kind: SetupSent, Node: NodeID(i), Session: 1}, {Kind: SessionEnded, Node: NodeID(i), Session: 1},
			{Kind: StreamFailed, Node: NodeID(i)}}, nil)
	}
	m.Step(6000, []Event{tick}, nil)
	if len(m.nodes) != 0 || len(m.sortedNodes) != 0 {
		t.Fatalf("%d unused media nodes are never forgotten", len(m.nodes))
	}
}

// Guards against sessions of a vanished media node that are kept too long because further ones are adopted there: a
// viewer's word is no contact. Bytes are, whatever the state of the stream.
func TestOnlyObservationsAreContact(t *testing.T) {
	adopted := func(id SessionID) Event { return Event{Kind: SessionAdopted, Session: id} }
	run(t, "adopted", newTestMonitor(), []step{{0, adopted(1), "open"}, {1, failed, ""}, {101, tick, "open"},
		{102, failed, ""}, {302, tick, "open"}, {303, failed, ""}, {400, adopted(2), ""}, {703, tick, "open"},
		{704, failed, ""}, {900, adopted(3), ""}, {1001, tick, "down(3) lost1 lost2 lost3 open"}})
	run(t, "bytes", newTestMonitor(), []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""},
		{303, tick, "open"}, {350, activity, ""}, {604, tick, "cancel"}, {700, activity, ""}, {704, tick, "open"},
		{705, failed, ""}, {905, tick, "open"}, {906, failed, ""}, {1306, tick, "open"}, {1307, failed, ""},
		{1700, tick, ""}, {1701, tick, "down(1) lost1 open"}})
}

// Guards against ends of sessions that a media node writes, after it stood still, on a stream that was closed for being
// silent (review/1): while it has sessions, further streams are opened beside the silent one, and none is closed.
func TestSilentStreamStaysOpenWhileItIsUsed(t *testing.T) {
	run(t, "stands still", newTestMonitor(), []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""},
		{303, tick, "open"}, {304, opened(1), ""}, {605, tick, "open"}, {606, opened(1), ""}, {907, tick, "open"},
		{908, opened(1), ""}, {1000, activity, ""}, {1001, ended(1), ""}, {1302, tick, "close"}})
	run(t, "unused", newTestMonitor(), []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, ended(1), ""},
		{302, tick, "close"}, {700, tick, ""}})
}

// Guards against sessions that are forgotten when a media node is silent though it runs (review/2): until it is told to end
// them, refuses connections, reports their ends or stays unreachable for long, what they hold is not free.
func TestGivenUpSessionsAreEndedOrOutwaited(t *testing.T) {
	giveUp := []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""}, {3, started(2), ""},
		{304, tick, "open"}, {310, failed, ""}, {1004, tick, "down(2) lost1 lost2 open"}, {1010, failed, ""}}
	for name, rest := range map[string][]step{
		"reached again": {{1110, tick, "open"}, {1111, opened(), "orphan1 orphan2 gone1 gone2"}, {1300, tick, ""}},
		"a connection for a set-up comes up between two retries": {{1050, opened(), "orphan1 orphan2 gone1 gone2"}},
		"bytes on an old connection":                             {{1050, activity, "orphan1 orphan2 gone1 gone2"}},
		"refused": {{1110, tick, "open"}, {1111, connRefused(), ""}, {1112, tick, ""}, {1400, tick, "open"},
			{1401, connRefused(), ""}, {1402, tick, "gone1 gone2"}},
		"the end is reported": {{1020, Event{Kind: LostSessionEnded, Session: 1}, ""}, {1110, tick, "open"},
			{1111, opened(), "orphan2 gone2"}},
		"never reached": {{1110, tick, "open"}, {1111, failed, ""}, {1400, tick, "open"}, {1401, failed, ""},
			{4005, tick, "open gone1 gone2"}, {4006, failed, ""}, {4500, tick, ""}, {9999, tick, ""}},
	} {
		run(t, name, newUnlistedMonitor(), append(slices.Clone(giveUp), rest...))
	}
	// What refuses connections has ended, and its sessions with it.
	run(t, "refused at once", newUnlistedMonitor(), []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""},
		{100, failed, ""}, {200, tick, "open"}, {201, connRefused(), ""}, {401, tick, "open"}, {402, connRefused(), ""},
		{403, tick, "down(1) lost1"}, {500, tick, ""}})
}
