package health

import (
	"math"
	"testing"
)

func startedOn(id SessionID, connectedAt float64) Event {
	return Event{Kind: SessionStarted, Session: id, ConnectedAt: connectedAt}
}

func processStarted(at float64) Event { return Event{Kind: ProcessStarted, ProcessStartedAt: at} }

// Guards against sessions of an ended process that are kept since the next one accepts connections (review/6), and against
// sessions of the next one that are lost with them: in every order of the list, the connection and the set-ups.
func TestSessionsEndWithTheirProcess(t *testing.T) {
	up := []step{{0, startedOn(1, 0), "open"}, {1, opened(), ""}}
	for name, steps := range map[string][]step{
		"list after the connection":     {{600, opened(), ""}, {700, processStarted(500), "lost1"}},
		"list before the connection":    {{700, processStarted(500), "lost1"}, {800, opened(), ""}},
		"set up there before the list":  {{650, startedOn(2, 600), ""}, {700, processStarted(500), "lost1"}},
		"set up there after the list":   {{700, processStarted(500), "lost1"}, {750, startedOn(2, 710), ""}},
		"answer of the ended process":   {{700, processStarted(500), "lost1"}, {701, startedOn(2, 400), "lost2"}},
		"the list repeats it":           {{700, processStarted(500), "lost1"}, {750, startedOn(2, 710), ""}, {800, processStarted(500), ""}},
		"an older answer comes later":   {{700, processStarted(500), "lost1"}, {701, startedOn(2, 400), "lost2"}, {720, processStarted(0), ""}, {721, startedOn(3, 400), "lost3"}},
		"two starts in a row":           {{600, processStarted(500), "lost1"}, {650, startedOn(2, 600), ""}, {900, processStarted(800), "lost2"}},
		"adopted after it":              {{600, processStarted(500), "lost1"}, {650, Event{Kind: SessionAdopted, Session: 2}, "lost2"}},
		"a start before the director's": {{600, processStarted(-500), ""}, {650, Event{Kind: SessionAdopted, Session: 2}, ""}},
	} {
		m := newUnlistedMonitor()
		run(t, name, m, append(up[:len(up):len(up)], steps...))
	}
}

// A session that was given up has ended too, if the process started after its set-up.
func TestGivenUpSessionsEndWithTheirProcess(t *testing.T) {
	silent := []step{{0, startedOn(1, 0), "open"}, {1, opened(), ""}, {400, tick, "open"}, {701, tick, "cancel"},
		{802, tick, "open"}, {1103, tick, "cancel down(1) lost1 open"}}
	run(t, "started since", newUnlistedMonitor(), append(silent[:len(silent):len(silent)],
		step{1200, processStarted(1100), "gone1"}))
	run(t, "started before", newUnlistedMonitor(), append(silent[:len(silent):len(silent)],
		step{1200, processStarted(-5), ""}))
}

// The list may give a start that is too late: a connection from before it that still carries bytes tells the truth.
func TestProcessStart(t *testing.T) {
	const listed = 500.0
	for name, c := range map[string]struct {
		conns []OpenConn
		want  float64
	}{
		"no connection":              {nil, listed},
		"silent since before it":     {[]OpenConn{{100, 400}}, listed},
		"came up after it":           {[]OpenConn{{600, 700}}, listed},
		"heard since":                {[]OpenConn{{300, 350}, {100, 520}, {200, 510}}, 100},
		"heard at the moment itself": {[]OpenConn{{100, listed}}, 100},
	} {
		if got := ProcessStart(listed, c.conns); math.Abs(got-c.want) > 0 {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
