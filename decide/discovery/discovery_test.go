package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"headmill"
)

func entry(addr, state, bootID string, uptimeMs float64) Entry {
	return Entry{Addr: addr, State: state, BootID: bootID, UptimeMs: uptimeMs, Weight: 1}
}

func newTestList() *List { return New(Config{MaxNodes: 3, Cells: 4, Kinds: 2}) }

// formatNodes lists the nodes of an event as address/health/start.
func formatNodes(ev headmill.Event) string {
	var out []string
	for _, node := range ev.Nodes {
		out = append(out, fmt.Sprintf("%s/%d/%.0f", FormatAddr(node.ID), node.Health, node.StartedAtMs))
	}
	return strings.Join(out, " ")
}

func TestOrderOfMessages(t *testing.T) {
	l := newTestList()
	for i, c := range []struct {
		message Message
		verdict Verdict
		want    string
	}{
		// A delta to a list that was never seen.
		{Message{Epoch: "a", Version: 5, Entries: []Entry{entry("127.0.0.1:1", "ready", "x", 0)}}, Gap, ""},
		{Message{Epoch: "a", Version: 5, Full: true, Entries: []Entry{entry("127.0.0.1:1", "ready", "x", 0),
			entry("127.0.0.1:2", "ready", "y", 40)}}, Accepted, "127.0.0.1:1/0/0 127.0.0.1:2/0/60"},
		{Message{Epoch: "a", Version: 5, Entries: []Entry{entry("127.0.0.1:1", "draining", "x", 0)}}, Stale, ""},
		{Message{Epoch: "a", Version: 4, Full: true}, Stale, ""},
		{Message{Epoch: "a", Version: 7, Entries: []Entry{entry("127.0.0.1:1", "draining", "x", 0)}}, Gap, ""},
		{Message{Epoch: "a", Version: 6, Entries: []Entry{entry("127.0.0.1:1", "draining", "x", 0)}}, Accepted,
			"127.0.0.1:1/2/0"},
		{Message{Epoch: "a", Version: 7, Entries: []Entry{entry("127.0.0.1:2", "gone", "y", 41)}}, Accepted,
			"127.0.0.1:2/1/60"},
		// A delta of a new epoch.
		{Message{Epoch: "b", Version: 1, Entries: []Entry{entry("127.0.0.1:2", "ready", "z", 1)}}, Gap, ""},
		{Message{Epoch: "b", Version: 1, Full: true, Entries: []Entry{entry("127.0.0.1:3", "ready", "z", 1)}}, Accepted,
			"127.0.0.1:3/0/99"},
	} {
		ev, verdict, err := l.Apply(100, &c.message)
		if verdict != c.verdict || err != nil || formatNodes(ev) != c.want {
			t.Fatalf("message %d: %s %v %q, want %s %q", i, verdict, err, formatNodes(ev), c.verdict, c.want)
		}
		if verdict == Accepted && ev.NodesAreDelta == c.message.Full {
			t.Fatalf("message %d: delta is %v", i, ev.NodesAreDelta)
		}
	}
	if l.Len() != 1 {
		t.Fatalf("%d media nodes", l.Len())
	}
}

// Reported uptimes vary with the delay of messages. A start time that varies too would be taken for a restart, and a
// warm media node for a cold one.
func TestStartTimeIsKeptWithinABoot(t *testing.T) {
	l := newTestList()
	apply := func(at, uptimeMs float64, bootID string, version uint64) headmill.Node {
		ev, verdict, err := l.Apply(at, &Message{Epoch: "a", Version: version, Full: true,
			Entries: []Entry{entry("127.0.0.1:1", "ready", bootID, uptimeMs)}})
		if verdict != Accepted || err != nil {
			t.Fatal(verdict, err)
		}
		return ev.Nodes[0]
	}
	first := apply(1000, 500, "x", 1)
	if again := apply(2000, 1490, "x", 2); again.StartedAtMs != first.StartedAtMs {
		t.Fatalf("start moved from %v to %v", first.StartedAtMs, again.StartedAtMs)
	}
	if restarted := apply(3000, 10, "y", 3); restarted.StartedAtMs != 2990 {
		t.Fatalf("after a restart the start time is %v, want 2990", restarted.StartedAtMs)
	}
	if old := apply(3000, 99999, "z", 4); !(old.StartedAtMs > 0) {
		t.Fatalf("a start before this director's own is %v, want one above 0 (0 stands for long ago)", old.StartedAtMs)
	}
}

func TestInvalidMessagesKeepTheOldList(t *testing.T) {
	l := newTestList()
	l.Apply(0, &Message{Epoch: "a", Version: 1, Full: true, Entries: []Entry{entry("127.0.0.1:1", "ready", "x", 0)}})
	valid := entry("127.0.0.1:2", "ready", "x", 0)
	for name, entries := range map[string][]Entry{
		"state":   {valid, entry("127.0.0.1:3", "asleep", "x", 0)},
		"address": {valid, entry("node7", "ready", "x", 0)},
		"port":    {valid, entry("127.0.0.1:0", "ready", "x", 0)},
		"twice":   {valid, valid},
		"cell":    {{Addr: "127.0.0.1:3", State: "ready", Cell: 4}},
		"kind":    {{Addr: "127.0.0.1:3", State: "ready", Kind: 2}},
		"uptime":  {entry("127.0.0.1:3", "ready", "x", -1)},
		"limit": {valid, entry("127.0.0.1:3", "ready", "x", 0), entry("127.0.0.1:4", "ready", "x", 0),
			entry("127.0.0.1:5", "ready", "x", 0)},
	} {
		ev, verdict, err := l.Apply(1, &Message{Epoch: "a", Version: 2, Full: true, Entries: entries})
		if verdict != Invalid || err == nil || len(ev.Nodes) != 0 {
			t.Errorf("%s: %s, %v", name, verdict, err)
		}
	}
	if l.Len() != 1 || l.Version() != 1 {
		t.Fatalf("the old list was not kept: %d media nodes, version %d", l.Len(), l.Version())
	}
}

func TestIDsAndAddresses(t *testing.T) {
	for _, addr := range []string{"127.0.0.1:1", "127.9.8.7:65535", "10.0.0.1:80"} {
		id, err := ParseNodeID(addr)
		if err != nil || FormatAddr(id) != addr {
			t.Errorf("%s is %d is %s, %v", addr, id, FormatAddr(id), err)
		}
	}
}

// A media node with a name is identified by it: its address may pass to another one. A given start time identifies
// the boot.
func TestNamedNodes(t *testing.T) {
	l := newTestList()
	apply := func(version uint64, entries ...Entry) []headmill.Node {
		t.Helper()
		ev, verdict, err := l.Apply(5000, &Message{Version: version, Full: true, Entries: entries})
		if verdict != Accepted || err != nil {
			t.Fatalf("version %d: %s, %v", version, verdict, err)
		}
		return ev.Nodes
	}
	named := func(name, addr, state string, startedAtMs float64) Entry {
		return Entry{Name: name, Addr: addr, State: state, StartedAtMs: startedAtMs}
	}
	apply(1, named("a", "127.0.0.1:1", "ready", 0), named("b", "127.0.0.1:2", "draining", 700))
	a, b := NodeIDFromName("a"), NodeIDFromName("b")
	if a == b || !l.Ready(a) || l.Ready(b) || !l.Listed(b) || l.Listed(NodeIDFromName("c")) || l.Name(b) != "b" ||
		l.Addr(b) != "127.0.0.1:2" {
		t.Fatalf("%+v", l.Nodes())
	}
	for _, node := range l.Nodes() {
		if want := map[headmill.NodeID]float64{a: 0, b: 700}[node.ID]; node.StartedAtMs != want {
			t.Errorf("%s started at %v, want %v", l.Name(node.ID), node.StartedAtMs, want)
		}
	}
	// Node a was removed, c has its address, b has restarted.
	got := apply(2, named("c", "127.0.0.1:1", "ready", 4000), named("b", "127.0.0.1:2", "ready", 4500))
	if l.Listed(a) || l.Ready(a) || l.Addr(NodeIDFromName("c")) != "127.0.0.1:1" || len(got) != 2 {
		t.Fatalf("%+v", got)
	}
	for _, node := range got {
		if want := map[headmill.NodeID]float64{NodeIDFromName("c"): 4000, b: 4500}[node.ID]; node.StartedAtMs != want {
			t.Errorf("%s started at %v, want %v", l.Name(node.ID), node.StartedAtMs, want)
		}
	}
	if _, verdict, _ := l.Apply(5000, &Message{Version: 3, Full: true,
		Entries: []Entry{named("d", "127.0.0.1:1", "ready", -1)}}); verdict != Invalid {
		t.Errorf("a negative start time is %s", verdict)
	}
}

// unorderedList is a list whose messages may come out of order, with a formatter of its state: for each listed media node,
// in the order of their addresses, ready or draining.
type unorderedStep struct {
	message Message
	verdict Verdict
	list    string
}

const startMs = 1000.0 // time of the first message

func runUnordered(t *testing.T, name string, intervalMs float64, steps []unorderedStep) {
	t.Helper()
	l := New(Config{MaxNodes: 4, Cells: 4, Kinds: 2, VersionsMayRestart: true})
	atModule := map[headmill.NodeID]headmill.Node{}
	for i, s := range steps {
		ev, verdict, err := l.Apply(startMs+float64(i)*intervalMs, &s.message)
		if err != nil || verdict != s.verdict {
			t.Fatalf("%s, message %d: %s %v, want %s", name, i, verdict, err, s.verdict)
		}
		if verdict == Accepted && !ev.NodesAreDelta {
			clear(atModule)
		}
		for _, node := range ev.Nodes {
			atModule[node.ID] = node
		}
		var got []string
		for _, node := range l.Nodes() {
			state := stateReady
			if node.Health == headmill.HealthDraining {
				state = stateDraining
			}
			got = append(got, FormatAddr(node.ID)[len("127.0.0.1:"):]+state)
			if atModule[node.ID].Health != node.Health || l.Ready(node.ID) != (state == stateReady) {
				t.Fatalf("%s, message %d: the module is told otherwise: %+v", name, i, atModule)
			}
		}
		if text := strings.Join(got, " "); text != s.list || len(atModule) != len(got) {
			t.Fatalf("%s, message %d: %q, want %q; module %+v", name, i, text, s.list, atModule)
		}
	}
}

// repeat is a step that comes several times.
func repeat(times int, s unorderedStep) []unorderedStep {
	return slices.Repeat([]unorderedStep{s}, times)
}

// Messages may come late, and may be of an earlier run of the director, whose versions were higher. What they restrict counts
// at once, what they permit must hold against contradiction.
func TestUnorderedMessages(t *testing.T) {
	nodeA, drainedA, nodeB := entry("127.0.0.1:1", stateReady, "x", 0), entry("127.0.0.1:1", stateDraining, "x", 0),
		entry("127.0.0.1:2", stateReady, "y", 0)
	newB := Entry{Addr: "127.0.0.1:2", State: stateReady, BootID: "z", StartedAtMs: startMs + 500}
	full := func(version uint64, entries ...Entry) Message {
		return Message{Version: version, Full: true, Entries: entries}
	}
	const both, onlyA, onlyB, heldB = "1ready 2ready", "1ready", "2ready", "1ready 2draining"
	both5 := unorderedStep{full(5, nodeA, nodeB), Accepted, both}
	for name, steps := range map[string][]unorderedStep{
		// Guards against set-ups for a media node that has gone (review/3).
		"older messages in a row": slices.Concat([]unorderedStep{both5, {full(6, nodeA), Accepted, onlyA}},
			repeat(5, unorderedStep{full(6, nodeA), Stale, onlyA}), repeat(20, unorderedStep{full(5, nodeA, nodeB), Stale, onlyA}),
			[]unorderedStep{{full(7, nodeA, newB), Accepted, both}}),
		"older messages in a row, before the removal is established": slices.Concat(
			[]unorderedStep{both5, {full(6, nodeA), Accepted, onlyA}},
			repeat(3, unorderedStep{full(5, nodeA, nodeB), Stale, onlyA}), // the fourth is believed, but for the removal
			[]unorderedStep{{full(5, nodeA, nodeB), Accepted, heldB}},
			repeat(20, unorderedStep{full(5, nodeA, nodeB), Stale, heldB}),
			[]unorderedStep{{full(6, nodeA), Accepted, onlyA}}),
		"older messages in turn with present ones": slices.Concat([]unorderedStep{both5, {full(6, nodeA), Accepted, onlyA}},
			slices.Concat(slices.Repeat([]unorderedStep{{full(5, nodeA, nodeB), Stale, onlyA}, {full(6, nodeA), Stale, onlyA}}, 9))),
		"older than the first one, with a removed media node": slices.Concat([]unorderedStep{{full(5, nodeA), Accepted, onlyA}},
			repeat(20, unorderedStep{full(4, nodeA, nodeB), Stale, onlyA})),
		"a media node is added": {{full(5, nodeA), Accepted, onlyA}, {full(6, nodeA, newB), Accepted, both},
			{full(5, nodeA), Stale, heldB}, {full(6, nodeA, newB), Stale, heldB}, {full(6, nodeA, newB), Stale, heldB},
			{full(6, nodeA, newB), Stale, heldB}, {full(6, nodeA, newB), Stale, both}, {full(5, nodeA), Stale, both},
			{full(4, nodeA), Stale, both}},
		// Guards against removals that are taken back by a message of an earlier run, whose version was higher.
		"a higher version of an earlier run": slices.Concat([]unorderedStep{both5, {full(6, nodeA), Accepted, onlyA}},
			repeat(3, unorderedStep{full(90, nodeA, nodeB), Accepted, heldB})[:1],
			repeat(2, unorderedStep{full(90, nodeA, nodeB), Stale, heldB}), repeat(3, unorderedStep{full(6, nodeA), Stale, heldB}),
			[]unorderedStep{{full(6, nodeA), Accepted, onlyA}, {full(7, nodeA, newB), Accepted, both}}),
		"a higher version of an earlier run, with what the first message lacks": slices.Concat(
			[]unorderedStep{{full(1, nodeA), Accepted, onlyA}, {full(9, nodeA, nodeB), Accepted, heldB}},
			repeat(3, unorderedStep{full(1, nodeA), Stale, heldB}), []unorderedStep{{full(1, nodeA), Accepted, onlyA}}),
		"a higher version of an earlier run, without what is ready": slices.Concat(
			[]unorderedStep{both5, {full(90, nodeA), Accepted, onlyA}}, repeat(3, unorderedStep{full(5, nodeA, nodeB), Stale, onlyA}),
			[]unorderedStep{{full(5, nodeA, nodeB), Accepted, heldB}},
			repeat(lowerReturnMessages-1, unorderedStep{full(5, nodeA, nodeB), Stale, heldB}),
			[]unorderedStep{{full(5, nodeA, nodeB), Stale, both}}),
		"a removal that comes below a higher version": {both5, {full(90, nodeA, nodeB), Accepted, both},
			{full(6, nodeA), Stale, heldB}, {full(90, nodeA, nodeB), Stale, heldB}, {full(6, nodeA), Stale, heldB},
			{full(6, nodeA), Stale, heldB}, {full(6, nodeA), Stale, heldB}, {full(6, nodeA), Accepted, onlyA}},
		"a drain that comes below a higher version": {{full(1, nodeA, nodeB), Accepted, both}, {full(9, nodeA), Accepted, onlyA},
			{full(2, drainedA, nodeB), Stale, "1draining"}, {full(2, drainedA, nodeB), Stale, "1draining"},
			{full(2, drainedA, nodeB), Stale, "1draining"}, {full(2, drainedA, nodeB), Accepted, "1draining 2draining"},
			{full(3, nodeB), Accepted, "2draining"}},
		"a removed media node comes back": slices.Concat([]unorderedStep{both5, {full(6, nodeA), Accepted, onlyA},
			{full(7, nodeA, nodeB), Accepted, heldB}}, repeat(3, unorderedStep{full(7, nodeA, nodeB), Stale, heldB}),
			[]unorderedStep{{full(7, nodeA, nodeB), Stale, both}}),
		"a drain is not taken back": slices.Concat([]unorderedStep{{full(5, drainedA, nodeB), Accepted, "1draining 2ready"},
			{full(6, nodeA, nodeB), Accepted, "1draining 2ready"}}, repeat(9, unorderedStep{full(6, nodeA, nodeB), Stale, "1draining 2ready"}),
			[]unorderedStep{{full(7, entry("127.0.0.1:1", stateReady, "new", 0), nodeB), Accepted, both}}),
		"the same version with other contents": slices.Concat([]unorderedStep{{full(3, nodeA), Accepted, onlyA}},
			repeat(3, unorderedStep{full(3, nodeA, newB), Stale, onlyA}),
			[]unorderedStep{{full(3, nodeA, newB), Accepted, both}, {full(3, nodeA, newB), Stale, both}}),
		"an older one drains": {both5, {full(4, drainedA), Stale, "1draining 2ready"}},
		"the last one goes":   {both5, {full(6, nodeB), Accepted, onlyB}},
	} {
		runUnordered(t, name, 200, steps)
	}
	// A service whose versions begin again without a new epoch is believed in the end.
	runUnordered(t, "versions begin again", restartMs/10, slices.Concat([]unorderedStep{both5, {full(6, nodeA), Accepted, onlyA}},
		repeat(5, unorderedStep{full(6, nodeA), Stale, onlyA}), repeat(13, unorderedStep{full(1, newB), Stale, onlyA})[:10],
		repeat(3, unorderedStep{full(1, newB), Stale, "1draining"}), []unorderedStep{{full(1, newB), Accepted, onlyB}}))
}

// The memory of drains and removals is bounded: those of boots that no message has any more are forgotten.
func TestRestrictionsAreForgotten(t *testing.T) {
	l := New(Config{MaxNodes: 3, Cells: 4, Kinds: 2, VersionsMayRestart: true})
	for i := range 1000 {
		m := Message{Version: uint64(i + 1), Full: true, Entries: []Entry{entry("127.0.0.1:1", stateDraining, fmt.Sprint(i), 0)}}
		if _, _, err := l.Apply(float64(i)*restrictionMemoryMs/10, &m); err != nil {
			t.Fatal(err)
		}
	}
	if len(l.unordered.drains) > 12 || len(l.unordered.removals) > 12 {
		t.Fatalf("%d drains and %d removals are remembered", len(l.unordered.drains), len(l.unordered.removals))
	}
}
