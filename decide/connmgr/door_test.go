package connmgr

import (
	"fmt"
	"slices"
	"testing"
)

type step struct {
	at   float64
	ev   Event
	want string
}

func run(t *testing.T, name string, most int, steps []step) *Manager {
	t.Helper()
	d := New(Config{MaxConns: most, ReadTimeoutMs: 2000, IdleTimeoutMs: 10000})
	for i, s := range steps {
		out := d.Step(s.at, s.ev, nil)
		slices.SortFunc(out, func(a, b Action) int { return int(a.Conn) - int(b.Conn) })
		got := ""
		for _, a := range out {
			got += fmt.Sprintf("%d %s ", a.Conn, a.Reason)
		}
		if got != s.want {
			t.Fatalf("%s, step %d at %v: got %q, want %q", name, i, s.at, got, s.want)
		}
	}
	return d
}

func TestDoor(t *testing.T) {
	came := func(c ConnID) Event { return Event{Kind: Accepted, Conn: c} }
	asked := func(c ConnID) Event { return Event{Kind: RequestRead, Conn: c} }
	heard := func(c ConnID, part bool) Event { return Event{Kind: Received, Conn: c, Partial: part} }
	carries := func(c ConnID, open, stands int) Event {
		return Event{Kind: LoadChanged, Conn: c, PendingSetups: open, Sessions: stands}
	}
	tick := Event{Kind: Tick}
	run(t, "silent", 9, []step{{0, came(1), ""}, {2000, tick, ""}, {2001, tick, "1 silent "}, {2002, tick, ""}})
	run(t, "noise is silence", 9, []step{{0, came(1), ""}, {1900, heard(1, false), ""}, {2001, tick, "1 silent "}})
	run(t, "unended, trickling", 9, []step{{0, came(1), ""}, {1, asked(1), ""}, {100, heard(1, true), ""},
		{2000, heard(1, true), ""}, {2100, tick, ""}, {2101, tick, "1 unended "}})
	run(t, "ended in time", 9, []step{{0, came(1), ""}, {1, asked(1), ""}, {100, heard(1, true), ""},
		{2000, heard(1, false), ""}, {2101, tick, ""}, {12001, tick, "1 rested "}})
	run(t, "a set-up keeps it", 9, []step{{0, came(1), ""}, {1, asked(1), ""}, {1, carries(1, 1, 0), ""}, {2, heard(1, true), ""},
		{30000, tick, ""}, {30001, carries(1, 0, 1), ""}, {30002, tick, "1 unended "}})
	run(t, "a viewer that says nothing more waits for its session's end", 9, []step{{0, came(1), ""}, {1, asked(1), ""},
		{2, carries(1, 0, 1), ""}, {30000, tick, ""}, {30001, carries(1, 0, 0), ""}, {40001, tick, ""}, {40002, tick, "1 rested "}})
	run(t, "the bound takes the silent, then the resting, then what stands", 4, []step{{0, came(1), ""}, {1, came(2), ""},
		{2, came(3), ""}, {3, came(4), ""}, {4, asked(1), ""}, {4, carries(1, 0, 1), ""}, {5, asked(2), ""}, {6, asked(4), ""},
		{6, carries(4, 1, 0), ""}, {7, came(5), "3 crowded "}, {8, asked(5), ""}, {8, carries(5, 1, 0), ""},
		{9, came(6), "2 crowded "}, {9, asked(6), ""}, {9, carries(6, 1, 0), ""}, {10, came(7), "1 crowded "},
		{10, asked(7), ""}, {10, carries(7, 1, 0), ""}, {11, came(8), "8 crowded "}})
	d := run(t, "voice", 9, []step{{0, came(1), ""}, {0, came(2), ""}, {0, came(3), ""}, {1, carries(1, 0, 1), ""},
		{2, carries(2, 0, 1), ""}, {3, heard(2, false), ""}, {4, heard(3, false), ""}, {5, carries(2, 0, 0), ""},
		{5, came(4), ""}, {5, asked(4), ""}})
	skip := map[ConnID]bool{}
	for _, want := range []ConnID{2, 1, 4, 3} { // stood and last heard, stood, asked, any
		c, ok := d.SelectForMessage(func(c ConnID) bool { return skip[c] })
		if c != want || !ok {
			t.Fatalf("voice: %d, %v, want %d", c, ok, want)
		}
		skip[c] = true
	}
	if _, ok := d.SelectForMessage(func(c ConnID) bool { return skip[c] }); ok {
		t.Fatal("a connection that is not wanted has the voice")
	}
	d.Step(6, Event{Kind: Closed, Conn: 2}, nil)
	if c, ok := d.SelectForMessage(func(ConnID) bool { return false }); c != 1 || !ok || d.Len() != 3 {
		t.Fatalf("voice: %d, %v, %d there", c, ok, d.Len())
	}
}
