package health

import (
	"slices"
	"testing"
)

// Guards against a seat that is given again while its session, which its viewer has ended, plays at a media node that is cut off
// (review/10).
func TestEndPresumed(t *testing.T) {
	for name, c := range map[string]struct {
		capped                bool
		toldAt, lastContactAt float64
		want                  bool
	}{
		"not capped":              {false, 100, 50, true},
		"heard since it was told": {true, 100, 101, true},
		"not heard":               {true, 100, 50, false},
		"heard as it was told":    {true, 100, 100, false},
	} {
		if got := EndPresumed(c.capped, c.toldAt, c.lastContactAt); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a seat that is free while the session which its viewer has ended may still stand: until its media node has
// confirmed the end, has listed its sessions, or has been out of reach for long.
func TestEndingSessionsAreConfirmedOrOutwaited(t *testing.T) {
	ending := []step{{0, setupSent(1), "open"}, {1, opened(), ""}, {2, started(1), ""},
		{10, Event{Kind: SessionEnding, Session: 1}, ""}, {11, ended(1), ""}}
	for name, rest := range map[string][]step{
		"confirmed":              {{20, Event{Kind: LostSessionEnded, Session: 1}, ""}, {303, tick, "close"}},
		"listed after a silence": {{303, tick, "open"}, {310, opened(1), "gone1 orphan1"}, {811, tick, "close"}},
		"ended meanwhile":        {{303, tick, "open"}, {310, opened(), "gone1"}},
		"never reached": {{303, tick, "open"}, {310, failed, ""}, {410, tick, "open"}, {420, failed, ""},
			{3011, tick, "open gone1"}},
	} {
		t.Run(name, func(t *testing.T) { run(t, name, newTestMonitor(), append(slices.Clone(ending), rest...)) })
	}
}
