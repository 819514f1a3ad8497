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

// Guards against connections that are closed before their request is read, since clients that send none dial again as soon as they
// are closed: places are given away only after a grace, and such clients get half of them at most.
func TestMakeRoom(t *testing.T) {
	const maxConns, graceMs = 4, 100
	m := New(Config{MaxConns: maxConns, ReadTimeoutMs: 2000, IdleTimeoutMs: 10000, RequestGraceMs: graceMs})
	expect := func(what string, now float64, wantRoom Room, wantConn ConnID) {
		t.Helper()
		if room, conn := m.MakeRoom(now); room != wantRoom || conn != wantConn {
			t.Fatalf("%s: %d, connection %d; want %d, %d", what, room, conn, wantRoom, wantConn)
		}
	}
	accept := func(now float64, id ConnID) { m.Step(now, Event{Kind: Accepted, Conn: id}, nil) }
	expect("no connection", 0, RoomFree, 0)
	for id := range ConnID(2) { // two that have sent a request, of which the first was used last
		accept(0, id+1)
		m.Step(0, Event{Kind: RequestRead, Conn: id + 1}, nil)
	}
	m.Step(1, Event{Kind: Received, Conn: 1}, nil)
	accept(1000, 3)
	expect("below the limit", 1000, RoomFree, 0)
	accept(1010, 4)
	expect("half of the places are young and without a request", 1011, RoomLater, 0)
	m.Step(1050, Event{Kind: Received, Conn: 3, Partial: true}, nil)
	expect("a part of a request gives no more time", 1100, RoomByClosing, 3)
	m.Step(1100, Event{Kind: CloseForLimit, Conn: 3}, nil)
	expect("below the limit again", 1100, RoomFree, 0)
	accept(1101, 5)
	m.Step(1101, Event{Kind: RequestRead, Conn: 5}, nil)
	expect("fewer than half are young: the one that was unused for longest", 1102, RoomByClosing, 2)
	m.Step(1102, Event{Kind: CloseForLimit, Conn: 2}, nil)
	accept(1102, 6)
	m.Step(1102, Event{Kind: RequestRead, Conn: 4}, nil)
	m.Step(1102, Event{Kind: RequestRead, Conn: 6}, nil)
	for _, id := range []ConnID{1, 4, 5, 6} {
		m.Step(1103, Event{Kind: UseChanged, Conn: id, PendingSetups: 1}, nil)
	}
	expect("all carry set-ups", 9000, RoomNone, 0)
	m.Step(9001, Event{Kind: UseChanged, Conn: 5, Sessions: 1}, nil)
	expect("only one with a session can be closed", 9001, RoomByClosing, 5)
	m.cfg.KeepSessions = true
	expect("and that is not to be", 9001, RoomNone, 0)
}

// Guards against memory that grows with the number of clients whose requests stay incomplete: beyond the limit the one that has
// held input for longest is closed unless it carries a set-up, and the sum is right after every change.
func TestInputLimit(t *testing.T) {
	held := func(c ConnID, bytes int) Event { return Event{Kind: InputHeld, Conn: c, Bytes: bytes} }
	m := New(Config{MaxConns: 9, ReadTimeoutMs: 2000, IdleTimeoutMs: 10000, MaxInputBytes: 100})
	for id := range ConnID(4) {
		m.Step(0, Event{Kind: Accepted, Conn: id + 1}, nil)
	}
	for i, s := range []struct {
		event  Event
		closed []ConnID
		sum    int
	}{
		{held(1, 10), nil, 10}, {held(2, 60), nil, 70}, {held(1, 0), nil, 60}, {held(3, 20), nil, 80},
		{held(1, 20), nil, 100},              // 1 has held some since after 3
		{held(3, 30), []ConnID{2}, 50},       // not 3, which asks for more
		{held(1, 70), nil, 100},              // the limit itself
		{held(4, 101), []ConnID{3, 1, 4}, 0}, // not even alone
	} {
		var closed []ConnID
		for _, action := range m.Step(1, s.event, nil) {
			if closed = append(closed, action.Conn); action.Reason != InputLimit {
				t.Errorf("step %d: reason %s", i, action.Reason)
			}
		}
		if !slices.Equal(closed, s.closed) || m.InputBytes() != s.sum {
			t.Errorf("step %d: closed %v, %d bytes; want %v, %d", i, closed, m.InputBytes(), s.closed, s.sum)
		}
	}
	if m.Len() != 0 {
		t.Errorf("%d connections are left", m.Len())
	}
	for id := ConnID(5); id < 7; id++ {
		m.Step(2, Event{Kind: Accepted, Conn: id}, nil)
		m.Step(2, held(id, 50), nil)
	}
	m.Step(2, Event{Kind: UseChanged, Conn: 5, PendingSetups: 1}, nil)
	if out := m.Step(3, held(5, 60), nil); len(out) != 1 || out[0].Conn != 6 {
		t.Errorf("closed %v, want the one without a set-up", out)
	}
	if out := m.Step(3, held(5, 101), nil); len(out) != 0 {
		t.Errorf("closed %v, which carries a set-up", out)
	}
}
