package discovery

import "testing"

// A session plays at the successor if its connection came up after the successor's start, and not if either is unknown.
func TestSuccessorPlays(t *testing.T) {
	for _, c := range []struct {
		startedAt, connectedAt float64
		want                   bool
	}{{0, 0, false}, {0, 500, false}, {1000, 0, false}, {1000, 999, false}, {1000, 1000, true}, {1000, 1001, true}} {
		if got := (Successor{c.startedAt}).Plays(c.connectedAt); got != c.want {
			t.Errorf("started at %v, connected at %v: %v", c.startedAt, c.connectedAt, got)
		}
	}
}
