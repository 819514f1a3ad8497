package shutdown

import (
	"fmt"
	"testing"
)

func TestStops(t *testing.T) {
	type look struct {
		at   float64
		f    Status
		want string
	}
	names := [...]string{"stop", "door", "fail", "end", "cut"}
	for name, looks := range map[string][]look{
		"not asked":     {{0, Status{PendingRequests: 3, PlayingSessions: 2}, ""}, {1e6, Status{}, ""}},
		"nothing there": {{0, Status{StopRequested: true}, "stop door cut "}, {1, Status{StopRequested: true}, ""}},
		"all in order": {{0, Status{StopRequested: true, PendingRequests: 2, PlayingSessions: 5}, "stop "}, {50, Status{StopRequested: true, PlayingSessions: 6}, "door "},
			{90, Status{StopRequested: true, PlayingSessions: 0}, "cut "}},
		"answers take too long": {{0, Status{StopRequested: true, PendingRequests: 2}, "stop "}, {99, Status{StopRequested: true, PendingRequests: 1}, ""},
			{100, Status{StopRequested: true, PendingRequests: 1}, "door fail cut "}},
		"sessions play on": {{0, Status{StopRequested: true, PlayingSessions: 4}, "stop door "}, {999, Status{StopRequested: true, PlayingSessions: 4}, ""},
			{1000, Status{StopRequested: true, PlayingSessions: 4}, "end "}, {1001, Status{StopRequested: true, UnconfirmedEnds: 1}, ""},
			{1002, Status{StopRequested: true}, "cut "}},
		"a box does not confirm": {{0, Status{StopRequested: true, PlayingSessions: 1}, "stop door "}, {1000, Status{StopRequested: true, PlayingSessions: 1}, "end "},
			{1009, Status{StopRequested: true, UnconfirmedEnds: 1}, ""}, {1010, Status{StopRequested: true, UnconfirmedEnds: 1}, "cut "}},
		"an answer is still to be written": {{0, Status{StopRequested: true, UnsentMessages: 1}, "stop door "}, {9, Status{StopRequested: true, UnsentMessages: 1}, ""},
			{9, Status{StopRequested: true}, "cut "}},
		"it never leaves": {{0, Status{StopRequested: true, UnsentMessages: 1}, "stop door "}, {10, Status{StopRequested: true, UnsentMessages: 1}, "cut "}},
		"in a hurry": {{0, Status{StopRequested: true, PlayingSessions: 1}, "stop door "}, {5, Status{StopRequested: true, SkipDrain: true, PlayingSessions: 1}, "end "},
			{6, Status{StopRequested: true, SkipDrain: true}, "cut "}},
		"in a hurry, answers first": {{0, Status{StopRequested: true, PendingRequests: 1}, "stop "}, {5, Status{StopRequested: true, SkipDrain: true, PendingRequests: 1}, ""},
			{100, Status{StopRequested: true, SkipDrain: true, PendingRequests: 1}, "door fail cut "}},
	} {
		s := New(Config{SetupDrainMs: 100, SessionDrainMs: 1000, EndConfirmMs: 10})
		for i, l := range looks {
			got := ""
			for _, a := range s.Step(l.at, l.f, nil) {
				got += names[a] + " "
			}
			if got != l.want {
				t.Errorf("%s, look %d: %q, want %q (%s)", name, i, got, l.want, fmt.Sprint(s.Phase()))
			}
		}
	}
}
