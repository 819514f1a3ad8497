package discovery

import (
	"fmt"
	"strings"
	"testing"

	"headmill"
)

func e(addr, state, boot string, up float64) Entry {
	return Entry{Addr: addr, State: state, BootID: boot, UptimeMs: up, Weight: 1}
}

func list() *List { return New(Config{MaxNodes: 3, Cells: 4, Kinds: 2}) }

func show(ev headmill.Event) string {
	var out []string
	for _, s := range ev.Nodes {
		out = append(out, fmt.Sprintf("%s/%d/%.0f", FormatAddr(s.ID), s.Health, s.StartedAtMs))
	}
	return strings.Join(out, " ")
}

func TestOrderOfMessages(t *testing.T) {
	l := list()
	for i, c := range []struct {
		m    Message
		v    Verdict
		want string
	}{
		{Message{Epoch: "a", Version: 5, Entries: []Entry{e("127.0.0.1:1", "ready", "x", 0)}}, Gap, ""}, // a change to nothing
		{Message{Epoch: "a", Version: 5, Full: true, Entries: []Entry{e("127.0.0.1:1", "ready", "x", 0),
			e("127.0.0.1:2", "ready", "y", 40)}}, Accepted, "127.0.0.1:1/0/0 127.0.0.1:2/0/60"},
		{Message{Epoch: "a", Version: 5, Entries: []Entry{e("127.0.0.1:1", "draining", "x", 0)}}, Stale, ""},
		{Message{Epoch: "a", Version: 4, Full: true}, Stale, ""},
		{Message{Epoch: "a", Version: 7, Entries: []Entry{e("127.0.0.1:1", "draining", "x", 0)}}, Gap, ""},
		{Message{Epoch: "a", Version: 6, Entries: []Entry{e("127.0.0.1:1", "draining", "x", 0)}}, Accepted, "127.0.0.1:1/2/0"},
		{Message{Epoch: "a", Version: 7, Entries: []Entry{e("127.0.0.1:2", "gone", "y", 41)}}, Accepted, "127.0.0.1:2/1/60"},
		{Message{Epoch: "b", Version: 1, Entries: []Entry{e("127.0.0.1:2", "ready", "z", 1)}}, Gap, ""}, // another count
		{Message{Epoch: "b", Version: 1, Full: true, Entries: []Entry{e("127.0.0.1:3", "ready", "z", 1)}}, Accepted, "127.0.0.1:3/0/99"},
	} {
		ev, v, err := l.Apply(100, &c.m)
		if v != c.v || err != nil || show(ev) != c.want {
			t.Fatalf("message %d: %s %v %q, want %s %q", i, v, err, show(ev), c.v, c.want)
		}
		if v == Accepted && ev.Delta == c.m.Full {
			t.Fatalf("message %d: delta is %v", i, ev.Delta)
		}
	}
	if l.Len() != 1 {
		t.Fatalf("%d boxes", l.Len())
	}
}

// Told ages wander by the lateness of messages. A wandering start would be taken for a restart, and a warm box
// for a cold one.
func TestAStartIsKeptWhileTheBootIs(t *testing.T) {
	l := list()
	full := func(at, up float64, boot string, v uint64) headmill.Node {
		ev, verdict, err := l.Apply(at, &Message{Epoch: "a", Version: v, Full: true, Entries: []Entry{e("127.0.0.1:1", "ready", boot, up)}})
		if verdict != Accepted || err != nil {
			t.Fatal(verdict, err)
		}
		return ev.Nodes[0]
	}
	first := full(1000, 500, "x", 1)
	if again := full(2000, 1490, "x", 2); again.StartedAtMs != first.StartedAtMs {
		t.Fatalf("start moved from %v to %v", first.StartedAtMs, again.StartedAtMs)
	}
	if next := full(3000, 10, "y", 3); next.StartedAtMs != 2990 {
		t.Fatalf("a restart is not seen: %v", next.StartedAtMs)
	}
	if old := full(3000, 99999, "z", 4); !(old.StartedAtMs > 0) {
		t.Fatalf("a start before this director's own looks like long ago: %v", old.StartedAtMs)
	}
}

func TestBadListsLeaveTheOldOneInForce(t *testing.T) {
	l := list()
	l.Apply(0, &Message{Epoch: "a", Version: 1, Full: true, Entries: []Entry{e("127.0.0.1:1", "ready", "x", 0)}})
	good := e("127.0.0.1:2", "ready", "x", 0)
	for name, entries := range map[string][]Entry{
		"state":   {good, e("127.0.0.1:3", "asleep", "x", 0)},
		"address": {good, e("box7", "ready", "x", 0)},
		"port":    {good, e("127.0.0.1:0", "ready", "x", 0)},
		"twice":   {good, good},
		"cell":    {{Addr: "127.0.0.1:3", State: "ready", Cell: 4}},
		"kind":    {{Addr: "127.0.0.1:3", State: "ready", Kind: 2}},
		"age":     {e("127.0.0.1:3", "ready", "x", -1)},
		"cap":     {good, e("127.0.0.1:3", "ready", "x", 0), e("127.0.0.1:4", "ready", "x", 0), e("127.0.0.1:5", "ready", "x", 0)},
	} {
		ev, v, err := l.Apply(1, &Message{Epoch: "a", Version: 2, Full: true, Entries: entries})
		if v != Invalid || err == nil || len(ev.Nodes) != 0 {
			t.Errorf("%s: %s, %v", name, v, err)
		}
	}
	if l.Len() != 1 || l.Version() != 1 {
		t.Fatalf("the old list is gone: %d boxes, version %d", l.Len(), l.Version())
	}
}

func TestNumbersAndAddresses(t *testing.T) {
	for _, a := range []string{"127.0.0.1:1", "127.9.8.7:65535", "10.0.0.1:80"} {
		id, err := ParseNodeID(a)
		if err != nil || FormatAddr(id) != a {
			t.Errorf("%s is %d is %s, %v", a, id, FormatAddr(id), err)
		}
	}
}

// A box with a name is its name: an address may pass to another, and a told start names the boot.
func TestNamedBoxes(t *testing.T) {
	l := list()
	take := func(version uint64, entries ...Entry) []headmill.Node {
		t.Helper()
		ev, v, err := l.Apply(5000, &Message{Version: version, Full: true, Entries: entries})
		if v != Accepted || err != nil {
			t.Fatalf("version %d: %s, %v", version, v, err)
		}
		return ev.Nodes
	}
	box := func(name, addr, state string, since float64) Entry {
		return Entry{Name: name, Addr: addr, State: state, StartedAtMs: since}
	}
	take(1, box("a", "127.0.0.1:1", "ready", 0), box("b", "127.0.0.1:2", "draining", 700))
	a, b := NodeIDFromName("a"), NodeIDFromName("b")
	if a == b || !l.Ready(a) || l.Ready(b) || !l.Listed(b) || l.Listed(NodeIDFromName("c")) || l.Name(b) != "b" || l.Addr(b) != "127.0.0.1:2" {
		t.Fatalf("%+v", l.Nodes())
	}
	for _, s := range l.Nodes() {
		if want := map[headmill.NodeID]float64{a: 0, b: 700}[s.ID]; s.StartedAtMs != want {
			t.Errorf("%s has been up since %v, want %v", l.Name(s.ID), s.StartedAtMs, want)
		}
	}
	// a has gone, c has its address, b has started anew
	got := take(2, box("c", "127.0.0.1:1", "ready", 4000), box("b", "127.0.0.1:2", "ready", 4500))
	if l.Listed(a) || l.Ready(a) || l.Addr(NodeIDFromName("c")) != "127.0.0.1:1" || len(got) != 2 {
		t.Fatalf("%+v", got)
	}
	for _, s := range got {
		if want := map[headmill.NodeID]float64{NodeIDFromName("c"): 4000, b: 4500}[s.ID]; s.StartedAtMs != want {
			t.Errorf("%s has been up since %v, want %v", l.Name(s.ID), s.StartedAtMs, want)
		}
	}
	if _, v, _ := l.Apply(5000, &Message{Version: 3, Full: true, Entries: []Entry{box("d", "127.0.0.1:1", "ready", -1)}}); v != Invalid {
		t.Errorf("a start before all time is %s", v)
	}
}

// A director that starts again has a new count of versions; an old message of its last count, higher than the new ones,
// must not hold it: drains count at once, the rest with the second message that contradicts. One old message in between
// changes nothing, and no message takes a drain back.
func TestVersionsThatStartAgain(t *testing.T) {
	a, drained, b := e("127.0.0.1:1", "ready", "x", 0), e("127.0.0.1:1", "draining", "x", 0), e("127.0.0.1:2", "ready", "y", 0)
	msg := func(version uint64, l ...Entry) Message { return Message{Version: version, Full: true, Entries: l} }
	const gone, one, two, off = "", "127.0.0.1:1/0/0", "127.0.0.1:1/0/0 127.0.0.1:2/0/0", "127.0.0.1:1/2/0"
	for name, steps := range map[string][]struct {
		m    Message
		v    Verdict
		want string
		len  int
	}{
		"an old message first": {{msg(1, a, b), Accepted, two, 2}, {msg(9, a), Accepted, one, 1}, {msg(2, drained, b), Stale, off, 1},
			{msg(2, drained, b), Accepted, off + " 127.0.0.1:2/0/0", 2}, {msg(2, drained, b), Stale, gone, 2}, {msg(3, b), Accepted, "127.0.0.1:2/0/0", 1}},
		"one old message between": {{msg(5, a, b), Accepted, two, 2}, {msg(4, a), Stale, gone, 2}, {msg(5, a, b), Stale, gone, 2},
			{msg(4, a), Stale, gone, 2}, {msg(5, a, b), Stale, gone, 2}, {msg(6, a), Accepted, one, 1}},
		"a drain is not taken back": {{msg(5, drained, b), Accepted, off + " 127.0.0.1:2/0/0", 2}, {msg(4, a, b), Stale, gone, 2},
			{msg(4, a, b), Accepted, off + " 127.0.0.1:2/0/0", 2}, {msg(6, a), Accepted, off, 1},
			{msg(7, e("127.0.0.1:1", "ready", "new", 0)), Accepted, one, 1}},
		"the same version says something else": {{msg(3, a), Accepted, one, 1}, {msg(3, a, b), Stale, gone, 1}, {msg(3, a, b), Accepted, two, 2}},
	} {
		l := New(Config{MaxNodes: 3, Cells: 4, Kinds: 2, VersionsMayRestart: true})
		for i, s := range steps {
			ev, v, err := l.Apply(100, &s.m)
			if v != s.v || err != nil || show(ev) != s.want || l.Len() != s.len {
				t.Errorf("%s, message %d: %s %v %q, %d boxes, want %s %q, %d", name, i, v, err, show(ev), l.Len(), s.v, s.want, s.len)
			}
		}
	}
}

// What is remembered of drains follows the fleet and not its history.
func TestDrainsAreForgotten(t *testing.T) {
	l := New(Config{MaxNodes: 3, Cells: 4, Kinds: 2, VersionsMayRestart: true})
	for i := range 1000 {
		m := Message{Version: uint64(i + 1), Full: true, Entries: []Entry{e("127.0.0.1:1", "draining", fmt.Sprint(i), 0)}}
		if _, _, err := l.Apply(float64(i)*drainedMs/10, &m); err != nil {
			t.Fatal(err)
		}
	}
	if len(l.drained) > 12 {
		t.Fatalf("%d drains are remembered", len(l.drained))
	}
}
