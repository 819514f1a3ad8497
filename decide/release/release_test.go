package release

import (
	"fmt"
	"slices"
	"testing"

	"headmill/decide/connmgr"
)

// openConns is a ConnectionSelector with a fixed list of connections, the best first.
type openConns []connmgr.ConnID

func (l *openConns) SelectForMessage(skip func(connmgr.ConnID) bool) (connmgr.ConnID, bool) {
	for _, conn := range *l {
		if !skip(conn) {
			return conn, true
		}
	}
	return 0, false
}

// Each path of a release, from the end of its session to the confirmation or the end of its retention. A step's want
// has "session>connection " for each release written.
func TestReleases(t *testing.T) {
	ended := func(id SessionID, conn connmgr.ConnID) Event {
		return Event{Kind: SessionEnded, Session: id, Cause: 16, Conn: conn}
	}
	confirmed := Event{Kind: Confirmed, Session: 1}
	closed := func(conn connmgr.ConnID) Event { return Event{Kind: ConnectionClosed, Conn: conn} }
	tick := Event{Kind: Tick}
	type step struct {
		at      float64 // ms
		open    openConns
		event   Event
		want    string
		pending int
	}
	for name, steps := range map[string][]step{
		"confirmed": {{0, openConns{7, 8}, ended(1, 8), "1>8 ", 1}, {300, openConns{7, 8}, confirmed, "", 0},
			{400, openConns{7, 8}, tick, "", 0}},
		"connection of the set-up has closed": {{0, openConns{7}, ended(1, 0), "1>7 ", 1}},
		"connection closes as it is written": {{0, openConns{7, 8}, ended(1, 8), "1>8 ", 1},
			{1, openConns{7}, closed(8), "1>7 ", 1}, {2, openConns{7}, confirmed, "", 0}},
		"no connection": {{0, nil, ended(1, 0), "", 1}, {5000, nil, tick, "", 1},
			{5100, openConns{9}, tick, "1>9 ", 1}, {5101, openConns{9}, confirmed, "", 0}},
		"the last connection closes": {{0, openConns{7}, ended(1, 7), "1>7 ", 1}, {1, nil, closed(7), "", 1},
			{100, openConns{9}, tick, "1>9 ", 1}},
		"never confirmed": {{0, openConns{7, 8, 9, 10}, ended(1, 7), "1>7 ", 1},
			{332, openConns{7, 8, 9, 10}, tick, "", 1}, {333, openConns{7, 8, 9, 10}, tick, "1>8 ", 1},
			{666, openConns{7, 8, 9, 10}, tick, "1>9 ", 1}, {999, openConns{7, 8, 9, 10}, tick, "", 1},
			{7999, openConns{7, 8, 9, 10}, tick, "", 1}, {8000, openConns{10}, tick, "", 0}},
		"one connection only": {{0, openConns{7}, ended(1, 7), "1>7 ", 1}, {333, openConns{7}, tick, "", 1},
			{400, openConns{7}, tick, "", 1}},
		"MaxPending reached": {{0, nil, ended(1, 0), "", 1}, {0, nil, ended(2, 0), "", 2},
			{0, nil, ended(3, 0), "", 2}, {1, openConns{7}, tick, "2>7 3>7 ", 2}},
	} {
		open := openConns{}
		rt := New(Config{RetentionMs: 8000, RetransmitMs: 333, MaxPending: 2}, &open)
		for i, s := range steps {
			open = slices.Clone(s.open)
			got := ""
			for _, tr := range rt.Step(s.at, s.event, nil) {
				got += fmt.Sprintf("%d>%d ", tr.Session, tr.Conn)
			}
			if got != s.want || rt.Len() != s.pending {
				t.Errorf("%s, step %d: %q and %d pending, want %q and %d", name, i, got, rt.Len(), s.want, s.pending)
			}
		}
	}
}

// Ends of unknown sessions are remembered for a time, in a bounded number.
func TestEarlyEnds(t *testing.T) {
	e := EarlyEnds{RetentionMs: 100, MaxEnds: 2}
	for session := range SessionID(3) {
		e.Add(float64(session), session, 1, 40+int(session))
	}
	for _, c := range []struct {
		at      float64 // ms
		session SessionID
		cause   int
	}{{10, 0, 0}, {10, 1, 41}, {10, 1, 0}, {101.9, 2, 42}} {
		if cause, ok := e.Take(c.at, c.session, 1); cause != c.cause || ok != (c.cause != 0) {
			t.Errorf("session %d at %v ms: cause %d, %v", c.session, c.at, cause, ok)
		}
	}
	e.Add(200, 7, 1, 41)
	if _, ok := e.Take(300, 7, 1); ok {
		t.Error("an end is remembered for too long")
	}
}

// Guards against the end of an attempt that is taken for the end of its session, which plays at another media node (review/7).
func TestEarlyEndsOfOtherNodes(t *testing.T) {
	const session, ended, playing = SessionID(7), NodeID(1), NodeID(2)
	e := EarlyEnds{RetentionMs: 100, MaxEnds: 4}
	e.Add(0, session, ended, 31)
	if cause, ok := e.Take(1, session, playing); ok {
		t.Errorf("ended at another media node, cause %d", cause)
	}
	e.Add(2, session, playing, 41)
	if cause, ok := e.Take(3, session, playing); !ok || cause != 41 {
		t.Errorf("cause %d, %v: want the end that the named media node has reported", cause, ok)
	}
	if cause, ok := e.Take(4, session, ended); !ok || cause != 31 {
		t.Errorf("cause %d, %v: want the end of the attempt", cause, ok)
	}
}

// Guards against a paid set-up that runs twice under one ID: it is remembered for a time, in a bounded number.
func TestGivenUpSetups(t *testing.T) {
	g := GivenUpSetups{RetentionMs: 100, MaxSetups: 2}
	if g.MayHaveRun(0, 1) {
		t.Error("a set-up that never was")
	}
	g.Add(0, 1)
	g.Add(10, 2)
	g.Add(20, 1) // again: its time stays
	for _, c := range []struct {
		at      float64 // ms
		session SessionID
		want    bool
	}{{99, 1, true}, {99, 2, true}, {100, 1, false}, {100, 2, true}, {110, 2, false}} {
		if got := g.MayHaveRun(c.at, c.session); got != c.want {
			t.Errorf("set-up %d at %v ms: %v", c.session, c.at, got)
		}
	}
	for session := SessionID(5); session < 8; session++ {
		g.Add(200, session)
	}
	if g.MayHaveRun(200, 5) || !g.MayHaveRun(200, 6) || !g.MayHaveRun(200, 7) {
		t.Error("the limit forgets another than the oldest")
	}
}
