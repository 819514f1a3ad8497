package shutdown

import (
	"fmt"
	"testing"
)

// Each path of a shutdown, as a list of statuses and the actions that follow.
func TestShutdown(t *testing.T) {
	type step struct {
		at     float64 // ms
		status Status
		want   string // action names, each followed by a space
	}
	names := [...]string{"refuse_new", "close_listeners", "fail_pending", "end_sessions", "close_all"}
	for name, steps := range map[string][]step{
		"not requested": {{0, Status{PendingRequests: 3, PlayingSessions: 2}, ""}, {1e6, Status{}, ""}},
		"idle": {{0, Status{StopRequested: true}, "refuse_new close_listeners close_all "},
			{1, Status{StopRequested: true}, ""}},
		"everything finishes": {
			{0, Status{StopRequested: true, PendingRequests: 2, PlayingSessions: 5}, "refuse_new "},
			{50, Status{StopRequested: true, PlayingSessions: 6}, "close_listeners "},
			{90, Status{StopRequested: true, PlayingSessions: 0}, "close_all "}},
		"answers take too long": {{0, Status{StopRequested: true, PendingRequests: 2}, "refuse_new "},
			{99, Status{StopRequested: true, PendingRequests: 1}, ""},
			{100, Status{StopRequested: true, PendingRequests: 1}, "close_listeners fail_pending close_all "}},
		"sessions play on": {{0, Status{StopRequested: true, PlayingSessions: 4}, "refuse_new close_listeners "},
			{999, Status{StopRequested: true, PlayingSessions: 4}, ""},
			{1000, Status{StopRequested: true, PlayingSessions: 4}, "end_sessions "},
			{1001, Status{StopRequested: true, UnconfirmedEnds: 1}, ""},
			{1001, Status{StopRequested: true, PlayingSessions: 1}, "end_sessions "}, // by a late answer
			{1002, Status{StopRequested: true}, "close_all "}},
		"a media node does not confirm": {
			{0, Status{StopRequested: true, PlayingSessions: 1}, "refuse_new close_listeners "},
			{1000, Status{StopRequested: true, PlayingSessions: 1}, "end_sessions "},
			{1009, Status{StopRequested: true, UnconfirmedEnds: 1}, ""},
			{1010, Status{StopRequested: true, UnconfirmedEnds: 1}, "close_all "}},
		"an answer is still to be written": {
			{0, Status{StopRequested: true, UnsentMessages: 1}, "refuse_new close_listeners "},
			{9, Status{StopRequested: true, UnsentMessages: 1}, ""},
			{9, Status{StopRequested: true}, "close_all "}},
		"an answer is never written": {
			{0, Status{StopRequested: true, UnsentMessages: 1}, "refuse_new close_listeners "},
			{10, Status{StopRequested: true, UnsentMessages: 1}, "close_all "}},
		"drain skipped": {{0, Status{StopRequested: true, PlayingSessions: 1}, "refuse_new close_listeners "},
			{5, Status{StopRequested: true, SkipDrain: true, PlayingSessions: 1}, "end_sessions "},
			{6, Status{StopRequested: true, SkipDrain: true}, "close_all "}},
		"drain skipped, answers come first": {{0, Status{StopRequested: true, PendingRequests: 1}, "refuse_new "},
			{5, Status{StopRequested: true, SkipDrain: true, PendingRequests: 1}, ""},
			{100, Status{StopRequested: true, SkipDrain: true, PendingRequests: 1},
				"close_listeners fail_pending close_all "}},
	} {
		s := New(Config{AnswerMs: 100, SessionDrainMs: 1000, EndConfirmMs: 10})
		for i, step := range steps {
			got := ""
			for _, a := range s.Step(step.at, step.status, nil) {
				got += names[a] + " "
			}
			if got != step.want {
				t.Errorf("%s, step %d: %q, want %q (%s)", name, i, got, step.want, fmt.Sprint(s.Phase()))
			}
		}
	}
}

// With KeepSessions, sessions are not ended and not waited for once the drain is skipped.
func TestSessionsAreKept(t *testing.T) {
	s := New(Config{AnswerMs: 100, SessionDrainMs: 1000, KeepSessions: true, EndConfirmMs: 10})
	status := Status{StopRequested: true, PlayingSessions: 3}
	s.Step(0, status, nil)
	status.SkipDrain = true
	if got := s.Step(1, status, nil); len(got) != 1 || got[0] != CloseAllConnections {
		t.Fatalf("%v", got)
	}
}

// Guards against requests that a stop neither refuses nor fails because they arrive after a change of phase: sessions play
// on, and requests come on connections that stay open.
func TestRequestsThatArriveDuringAStop(t *testing.T) {
	s := New(Config{AcceptMs: 20, NoticeMs: 20, AnswerMs: 100, SessionDrainMs: 1000, EndConfirmMs: 10})
	if !s.Accepts(5) || s.TimeLeft(5, 300) != 300 {
		t.Fatal("a director that is serving accepts requests with all their time")
	}
	s.Step(10, Status{StopRequested: true, PlayingSessions: 1}, nil)
	for _, c := range []struct {
		at       float64 // ms
		accepts  bool
		timeLeft float64 // of 300 ms
	}{{10, true, 100}, {29, true, 81}, {30, false, 80}, {100, false, 10}, {110, false, 0}, {500, false, 0}} {
		if got := s.Accepts(c.at); got != c.accepts {
			t.Errorf("at %v ms: accepts %v", c.at, got)
		}
		if got := s.TimeLeft(c.at, 300); got != c.timeLeft {
			t.Errorf("at %v ms: %v ms left, want %v", c.at, got, c.timeLeft)
		}
	}
	playing := Status{StopRequested: true, PlayingSessions: 1}
	waiting := Status{StopRequested: true, PlayingSessions: 1, PendingRequests: 1}
	s.Step(31, playing, nil)
	if s.Phase() != PhaseDrainingSessions || s.Accepts(31) {
		t.Fatalf("%v at 31 ms, and requests are accepted: %v", s.Phase(), s.Accepts(31))
	}
	for _, at := range []float64{110, 111, 600} { // whenever one waits, not only once
		if got := s.Step(at, waiting, nil); len(got) != 1 || got[0] != FailPending {
			t.Errorf("at %v ms: actions %v, want FailPending", at, got)
		}
	}
}

// The times of a stop follow from the earliest kill, also where deadlines are short.
func TestTimesBeforeAKill(t *testing.T) {
	for _, c := range []struct{ kill, target, accept, answer float64 }{
		{3700, 1500, 1500, 3500}, {2500, 1500, 800, 2300}, {1440, 300, 940, 1240}, {1440, 800, 700, 1240},
	} {
		got := KillSchedule{EarliestKillMs: c.kill, MarginMs: 200, UnawareMs: 700, MaxAcceptMs: 1500,
			LongestTargetMs: c.target}.Config()
		if got != (Config{AcceptMs: c.accept, NoticeMs: c.accept, AnswerMs: c.answer}) {
			t.Errorf("kill after %v ms, target %v ms: %+v", c.kill, c.target, got)
		}
	}
}
