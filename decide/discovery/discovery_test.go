package discovery

import (
	"fmt"
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

// After a restart of a director, versions begin again without a new epoch. An old message of the last count, with a
// higher version than the new ones, must not block them: drains count at once, the rest with the second message that
// contradicts the list. One old message in between changes nothing, and no message takes a drain back.
func TestVersionsThatRestart(t *testing.T) {
	nodeA, drainedA, nodeB := entry("127.0.0.1:1", "ready", "x", 0), entry("127.0.0.1:1", "draining", "x", 0),
		entry("127.0.0.1:2", "ready", "y", 0)
	full := func(version uint64, entries ...Entry) Message {
		return Message{Version: version, Full: true, Entries: entries}
	}
	const none, readyA, both, drainingA = "", "127.0.0.1:1/0/0", "127.0.0.1:1/0/0 127.0.0.1:2/0/0", "127.0.0.1:1/2/0"
	for name, steps := range map[string][]struct {
		message Message
		verdict Verdict
		want    string
		len     int
	}{
		"an old message first": {{full(1, nodeA, nodeB), Accepted, both, 2}, {full(9, nodeA), Accepted, readyA, 1},
			{full(2, drainedA, nodeB), Stale, drainingA, 1},
			{full(2, drainedA, nodeB), Accepted, drainingA + " 127.0.0.1:2/0/0", 2},
			{full(2, drainedA, nodeB), Stale, none, 2}, {full(3, nodeB), Accepted, "127.0.0.1:2/0/0", 1}},
		"one old message between": {{full(5, nodeA, nodeB), Accepted, both, 2}, {full(4, nodeA), Stale, none, 2},
			{full(5, nodeA, nodeB), Stale, none, 2}, {full(4, nodeA), Stale, none, 2},
			{full(5, nodeA, nodeB), Stale, none, 2}, {full(6, nodeA), Accepted, readyA, 1}},
		"a drain is not taken back": {{full(5, drainedA, nodeB), Accepted, drainingA + " 127.0.0.1:2/0/0", 2},
			{full(4, nodeA, nodeB), Stale, none, 2}, {full(4, nodeA, nodeB), Accepted, drainingA + " 127.0.0.1:2/0/0", 2},
			{full(6, nodeA), Accepted, drainingA, 1},
			{full(7, entry("127.0.0.1:1", "ready", "new", 0)), Accepted, readyA, 1}},
		"older than the first message, with a removed media node": {{full(5, nodeA), Accepted, readyA, 1},
			{full(4, nodeA, nodeB), Stale, none, 1}, {full(4, nodeA, nodeB), Accepted, readyA, 1},
			{full(6, nodeA, nodeB), Accepted, both, 2}},
		"the same version with other contents": {{full(3, nodeA), Accepted, readyA, 1},
			{full(3, nodeA, nodeB), Stale, none, 1}, {full(3, nodeA, nodeB), Accepted, both, 2}},
	} {
		l := New(Config{MaxNodes: 3, Cells: 4, Kinds: 2, VersionsMayRestart: true})
		for i, s := range steps {
			ev, verdict, err := l.Apply(100, &s.message)
			if verdict != s.verdict || err != nil || formatNodes(ev) != s.want || l.Len() != s.len {
				t.Errorf("%s, message %d: %s %v %q, %d media nodes, want %s %q, %d", name, i, verdict, err, formatNodes(ev),
					l.Len(), s.verdict, s.want, s.len)
			}
		}
	}
}

// The memory of drains is bounded: those of boots that no message has any more are forgotten.
func TestDrainsAreForgotten(t *testing.T) {
	l := New(Config{MaxNodes: 3, Cells: 4, Kinds: 2, VersionsMayRestart: true})
	for i := range 1000 {
		m := Message{Version: uint64(i + 1), Full: true, Entries: []Entry{entry("127.0.0.1:1", "draining", fmt.Sprint(i), 0)}}
		if _, _, err := l.Apply(float64(i)*drainMemoryMs/10, &m); err != nil {
			t.Fatal(err)
		}
	}
	if len(l.drains) > 12 {
		t.Fatalf("%d drains are remembered", len(l.drains))
	}
}
