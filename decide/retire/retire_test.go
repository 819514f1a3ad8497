package retire

import (
	"fmt"
	"testing"
)

func TestStops(t *testing.T) {
	type look struct {
		at   float64
		f    Facts
		want string
	}
	names := [...]string{"stop", "door", "fail", "end", "cut"}
	for name, looks := range map[string][]look{
		"not asked":     {{0, Facts{Waiting: 3, Playing: 2}, ""}, {1e6, Facts{}, ""}},
		"nothing there": {{0, Facts{Asked: true}, "stop door cut "}, {1, Facts{Asked: true}, ""}},
		"all in order": {{0, Facts{Asked: true, Waiting: 2, Playing: 5}, "stop "}, {50, Facts{Asked: true, Playing: 6}, "door "},
			{90, Facts{Asked: true, Playing: 0}, "cut "}},
		"answers take too long": {{0, Facts{Asked: true, Waiting: 2}, "stop "}, {99, Facts{Asked: true, Waiting: 1}, ""},
			{100, Facts{Asked: true, Waiting: 1}, "door fail cut "}},
		"sessions play on": {{0, Facts{Asked: true, Playing: 4}, "stop door "}, {999, Facts{Asked: true, Playing: 4}, ""},
			{1000, Facts{Asked: true, Playing: 4}, "end "}, {1001, Facts{Asked: true, Ending: 1}, ""},
			{1002, Facts{Asked: true}, "cut "}},
		"a box does not confirm": {{0, Facts{Asked: true, Playing: 1}, "stop door "}, {1000, Facts{Asked: true, Playing: 1}, "end "},
			{1009, Facts{Asked: true, Ending: 1}, ""}, {1010, Facts{Asked: true, Ending: 1}, "cut "}},
		"an answer is still to be written": {{0, Facts{Asked: true, Unsent: 1}, "stop door "}, {9, Facts{Asked: true, Unsent: 1}, ""},
			{9, Facts{Asked: true}, "cut "}},
		"it never leaves": {{0, Facts{Asked: true, Unsent: 1}, "stop door "}, {10, Facts{Asked: true, Unsent: 1}, "cut "}},
		"in a hurry": {{0, Facts{Asked: true, Playing: 1}, "stop door "}, {5, Facts{Asked: true, Hurry: true, Playing: 1}, "end "},
			{6, Facts{Asked: true, Hurry: true}, "cut "}},
		"in a hurry, answers first": {{0, Facts{Asked: true, Waiting: 1}, "stop "}, {5, Facts{Asked: true, Hurry: true, Waiting: 1}, ""},
			{100, Facts{Asked: true, Hurry: true, Waiting: 1}, "door fail cut "}},
	} {
		s := New(Config{FinishMs: 100, PlayMs: 1000, EndMs: 10})
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
