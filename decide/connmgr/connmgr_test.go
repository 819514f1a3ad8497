package connmgr

import (
	"fmt"
	"slices"
	"testing"
)

// step is one event and the connections that it must close.
type step struct {
	at    float64 // ms
	event Event
	want  string // "connection reason " for each one closed
}

func run(t *testing.T, name string, maxConns int, steps []step) *Manager {
	t.Helper()
	m := New(Config{MaxConns: maxConns, ReadTimeoutMs: 2000, IdleTimeoutMs: 10000})
	for i, s := range steps {
		out := m.Step(s.at, s.event, nil)
		slices.SortFunc(out, func(a, b Action) int { return int(a.Conn) - int(b.Conn) })
		got := ""
		for _, a := range out {
			got += fmt.Sprintf("%d %s ", a.Conn, a.Reason)
		}
		if got != s.want {
			t.Fatalf("%s, step %d at %v: got %q, want %q", name, i, s.at, got, s.want)
		}
	}
	return m
}

// The reasons for closing a connection, the order in which the limit closes them, and the choice of a connection for
// a message that belongs to none.
func TestManager(t *testing.T) {
	accepted := func(c ConnID) Event { return Event{Kind: Accepted, Conn: c} }
	requestRead := func(c ConnID) Event { return Event{Kind: RequestRead, Conn: c} }
	received := func(c ConnID, partial bool) Event { return Event{Kind: Received, Conn: c, Partial: partial} }
	loadChanged := func(c ConnID, pendingSetups, sessions int) Event {
		return Event{Kind: UseChanged, Conn: c, PendingSetups: pendingSetups, Sessions: sessions}
	}
	tick := Event{Kind: Tick}
	run(t, "nothing received", 9, []step{{0, accepted(1), ""}, {2000, tick, ""}, {2001, tick, "1 silent "},
		{2002, tick, ""}})
	run(t, "bytes that are no request", 9, []step{{0, accepted(1), ""}, {1900, received(1, false), ""},
		{2001, tick, "1 silent "}})
	run(t, "incomplete message that trickles in", 9, []step{{0, accepted(1), ""}, {1, requestRead(1), ""},
		{100, received(1, true), ""}, {2000, received(1, true), ""}, {2100, tick, ""}, {2101, tick, "1 unended "}})
	run(t, "message completed in time", 9, []step{{0, accepted(1), ""}, {1, requestRead(1), ""},
		{100, received(1, true), ""}, {2000, received(1, false), ""}, {2101, tick, ""}, {12001, tick, "1 rested "}})
	run(t, "not closed while it carries a set-up", 9, []step{{0, accepted(1), ""}, {1, requestRead(1), ""},
		{1, loadChanged(1, 1, 0), ""}, {2, received(1, true), ""}, {30000, tick, ""},
		{30001, loadChanged(1, 0, 1), ""}, {30002, tick, "1 unended "}})
	run(t, "a viewer that sends nothing more waits for its session's end", 9, []step{{0, accepted(1), ""},
		{1, requestRead(1), ""}, {2, loadChanged(1, 0, 1), ""}, {30000, tick, ""}, {30001, loadChanged(1, 0, 0), ""},
		{40001, tick, ""}, {40002, tick, "1 rested "}})
	run(t, "the limit closes those without a request, then the idle, then those with a session", 4, []step{
		{0, accepted(1), ""}, {1, accepted(2), ""}, {2, accepted(3), ""}, {3, accepted(4), ""},
		{4, requestRead(1), ""}, {4, loadChanged(1, 0, 1), ""}, {5, requestRead(2), ""}, {6, requestRead(4), ""},
		{6, loadChanged(4, 1, 0), ""}, {7, accepted(5), "3 crowded "}, {8, requestRead(5), ""},
		{8, loadChanged(5, 1, 0), ""}, {9, accepted(6), "2 crowded "}, {9, requestRead(6), ""},
		{9, loadChanged(6, 1, 0), ""}, {10, accepted(7), "1 crowded "}, {10, requestRead(7), ""},
		{10, loadChanged(7, 1, 0), ""}, {11, accepted(8), "8 crowded "}})
	m := run(t, "SelectForMessage", 9, []step{{0, accepted(1), ""}, {0, accepted(2), ""}, {0, accepted(3), ""},
		{1, loadChanged(1, 0, 1), ""}, {2, loadChanged(2, 0, 1), ""}, {3, received(2, false), ""},
		{4, received(3, false), ""}, {5, loadChanged(2, 0, 0), ""}, {5, accepted(4), ""}, {5, requestRead(4), ""}})
	skip := map[ConnID]bool{}
	// The order: had a session and received last, had a session, sent a request, any.
	for _, want := range []ConnID{2, 1, 4, 3} {
		c, ok := m.SelectForMessage(func(c ConnID) bool { return skip[c] })
		if c != want || !ok {
			t.Fatalf("SelectForMessage: %d, %v, want %d", c, ok, want)
		}
		skip[c] = true
	}
	if _, ok := m.SelectForMessage(func(c ConnID) bool { return skip[c] }); ok {
		t.Fatal("SelectForMessage returned a connection that was to be skipped")
	}
	m.Step(6, Event{Kind: Closed, Conn: 2}, nil)
	if c, ok := m.SelectForMessage(func(ConnID) bool { return false }); c != 1 || !ok || m.Len() != 3 {
		t.Fatalf("SelectForMessage: %d, %v, with %d connections; want 1 and 3", c, ok, m.Len())
	}
}
