package idempotency

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "11")
	flag.Set("rapid.checks", "2000")
	os.Exit(m.Run())
}

func newTestLedger() *Ledger {
	return New(Config{Self: 0, MaxEntries: 100, MaxWaiters: 3, UnclaimedTTLMs: 1000, RetryAfterMs: 500,
		LateAnswerMs: 2000, FirstStart: true, SweepIntervalMs: 1})
}

// request returns a request for key "j"; session is the ID to use if it starts a set-up.
func request(id RequestID, session SessionID, paid bool) Event {
	return Event{Kind: RequestArrived, Request: id, Key: "j", Fingerprint: 1, Paid: paid, TokenAgeMs: 10,
		TokenTTLMs: 60000, Session: session}
}

// format renders actions as text: "play r2 s1; " answers request 2 with session 1.
func format(actions []Action) string {
	out := ""
	names := [...]string{"start", "play", "refuse", "fail", "redirect", "abandon", "adopt", "end", "forget"}
	for _, a := range actions {
		out += names[a.Kind]
		switch a.Kind {
		case AnswerPlaying:
			out += fmt.Sprintf(" r%d s%d", a.Request, a.Session)
		case AnswerRefused, AnswerFailed:
			out += fmt.Sprintf(" r%d %s", a.Request, a.Reason)
		case Redirect:
			out += fmt.Sprintf(" r%d d%d", a.Request, a.Owner)
		default:
			out += fmt.Sprintf(" s%d", a.Session)
		}
		out += "; "
	}
	return out
}

// step is one event and the actions that it must cause.
type step struct {
	at    float64 // ms
	event Event
	want  string // as rendered by format
}

func run(t *testing.T, name string, l *Ledger, steps []step) {
	t.Helper()
	for i, s := range steps {
		if got := format(l.Step(s.at, []Event{s.event}, nil)); got != s.want {
			t.Fatalf("%s, step %d: got %q, want %q", name, i, got, s.want)
		}
	}
}

// A retry with the same token gets the answer that fits the state of its session, for a paid class and for another.
func TestRetryWithSameToken(t *testing.T) {
	for _, paid := range []bool{true, false} {
		name := fmt.Sprintf("paid=%v", paid)
		ifPaid := func(paidWant, otherWant string) string {
			if paid {
				return paidWant
			}
			return otherWant
		}
		run(t, name+" while its set-up is in progress", newTestLedger(), []step{
			{0, request(1, 1, paid), "start s1; "}, {1, request(2, 2, paid), ""},
			{2, Event{Kind: SetupSucceeded, Session: 1}, "play r1 s1; play r2 s1; "},
			{3, request(3, 3, paid), "play r3 s1; "}})
		run(t, name+" after a failure with unknown outcome", newTestLedger(), []step{
			{0, request(1, 1, paid), "start s1; "},
			{1, Event{Kind: SetupFailed, Session: 1, Reason: ReasonTimeout},
				"fail r1 time; " + ifPaid("", "forget s1; ")},
			{2, request(2, 2, paid), ifPaid("fail r2 time; ", "start s2; ")}})
		run(t, name+" after it was refused", newTestLedger(), []step{
			{0, request(1, 1, paid), "start s1; "},
			{1, Event{Kind: SetupRefused, Session: 1}, "refuse r1 refused; forget s1; "},
			{2, request(2, 2, paid), "start s2; "}})
		run(t, name+" after it has played and ended", newTestLedger(), []step{
			{0, request(1, 1, paid), "start s1; "}, {1, Event{Kind: SetupSucceeded, Session: 1}, "play r1 s1; "},
			{2, Event{Kind: SessionEnded, Session: 1}, ifPaid("", "forget s1; ")},
			{3, request(2, 2, paid), ifPaid("fail r2 over; ", "start s2; ")}})
		run(t, name+" after the viewer disconnected during the set-up", newTestLedger(), []step{
			{0, request(1, 1, paid), "start s1; "}, {1, Event{Kind: RequestCancelled, Request: 1}, "abandon s1; "},
			{2, Event{Kind: SetupSucceeded, Session: 1}, ""}, {3, request(2, 2, paid), "play r2 s1; "}})
		run(t, name+" without a retry the session is ended", newTestLedger(), []step{
			{0, request(1, 1, paid), "start s1; "}, {1, Event{Kind: RequestCancelled, Request: 1}, "abandon s1; "},
			{2, Event{Kind: SetupSucceeded, Session: 1}, ""}, {900, Event{Kind: Tick}, ""},
			{1003, Event{Kind: Tick}, "end s1; " + ifPaid("", "forget s1; ")},
			{1004, request(2, 2, paid), ifPaid("fail r2 over; ", "start s2; ")}})
	}
}

// A retry gets the session of a paid set-up that succeeded after its timeout; it is not set up a second time.
func TestLateAnswerToPaidSetup(t *testing.T) {
	run(t, "late", newTestLedger(), []step{
		{0, request(1, 1, true), "start s1; "},
		{1, Event{Kind: SetupFailed, Session: 1, Reason: ReasonTimeout}, "fail r1 time; "},
		{2, request(2, 2, true), "fail r2 time; "}, {3, Event{Kind: LateSuccess, Session: 1}, ""},
		{4, request(3, 3, true), "adopt s1; play r3 s1; "}, {5, request(4, 4, true), "play r4 s1; "}})
	run(t, "late and never claimed", newTestLedger(), []step{
		{0, request(1, 1, true), "start s1; "},
		{1, Event{Kind: SetupFailed, Session: 1, Reason: ReasonTimeout}, "fail r1 time; "},
		{3, Event{Kind: LateSuccess, Session: 1}, ""}, {1100, Event{Kind: Tick}, "end s1; "},
		{1101, request(2, 2, true), "fail r2 over; "}})
	run(t, "late proof that it never ran", newTestLedger(), []step{
		{0, request(1, 1, true), "start s1; "},
		{1, Event{Kind: SetupFailed, Session: 1, Reason: ReasonTimeout}, "fail r1 time; "},
		{3, Event{Kind: ProvenNeverRan, Session: 1}, "forget s1; "}, {4, request(2, 2, true), "start s2; "}})
}

// A connection-bound session outlives its last connection by DetachedTTLMs, and a retry in that time resumes it.
func TestConnectionBoundSession(t *testing.T) {
	boundRequest := func(id RequestID, session SessionID, paid bool) Event {
		ev := request(id, session, paid)
		ev.ConnectionBound = true
		return ev
	}
	newLedger := func() *Ledger { l := newTestLedger(); l.cfg.DetachedTTLMs = 500; return l }
	detached := []step{{0, boundRequest(1, 1, true), "start s1; "},
		{1, Event{Kind: SetupSucceeded, Session: 1}, "play r1 s1; "},
		{2, Event{Kind: ConnectionAttached, Session: 1}, ""}, {5000, Event{Kind: Tick}, ""},
		{6000, Event{Kind: ConnectionDetached, Session: 1}, ""}}
	run(t, "not resumed", newLedger(), append(detached[:5:5], []step{{6400, Event{Kind: Tick}, ""},
		{6501, Event{Kind: Tick}, "end s1; "},
		{6502, boundRequest(2, 2, true), "fail r2 over; "}}...))
	run(t, "resumed", newLedger(), append(detached[:5:5], []step{{6400, boundRequest(2, 2, true), "play r2 s1; "},
		{6401, Event{Kind: ConnectionAttached, Session: 1}, ""},
		{9000, Event{Kind: Tick}, ""}}...))
	run(t, "retried but not attached", newLedger(), append(detached[:5:5], []step{
		{6400, boundRequest(2, 2, true), "play r2 s1; "},
		{6800, Event{Kind: Tick}, ""}, {6901, Event{Kind: Tick}, "end s1; "}}...))
	run(t, "not connection-bound", newLedger(), []step{{0, request(1, 1, true), "start s1; "},
		{1, Event{Kind: SetupSucceeded, Session: 1}, "play r1 s1; "},
		{2, Event{Kind: ConnectionAttached, Session: 1}, ""}, {3, Event{Kind: ConnectionDetached, Session: 1}, ""},
		{9000, Event{Kind: Tick}, ""}})
}

// The viewer's request to end its session counts only with the fingerprint of that session.
func TestEndRequested(t *testing.T) {
	endRequest := Event{Kind: EndRequested, Key: "j", Fingerprint: 1}
	run(t, "playing", newTestLedger(), []step{{0, request(1, 1, true), "start s1; "},
		{1, Event{Kind: SetupSucceeded, Session: 1}, "play r1 s1; "},
		{2, Event{Kind: EndRequested, Key: "j", Fingerprint: 9}, ""}, {3, endRequest, "end s1; "},
		{4, endRequest, ""}, {5, request(2, 2, true), "fail r2 over; "}})
	run(t, "set-up in progress", newTestLedger(), []step{{0, request(1, 1, false), "start s1; "},
		{1, endRequest, "fail r1 over; abandon s1; "},
		{2, Event{Kind: SetupSucceeded, Session: 1}, "end s1; forget s1; "}, {3, request(2, 2, false), "start s2; "}})
	run(t, "unknown key", newTestLedger(), []step{{0, endRequest, ""}})
}

// Guards against a request without an answer: one that joins a set-up whose end was requested.
func TestRequestAfterEndRequested(t *testing.T) {
	endRequest := Event{Kind: EndRequested, Key: "j", Fingerprint: 1}
	for name, paid := range map[string]bool{"paid": true, "repeatable": false} {
		run(t, name, newTestLedger(), []step{{0, request(1, 1, paid), "start s1; "},
			{1, endRequest, "fail r1 over; abandon s1; "}, {2, request(2, 2, paid), "fail r2 over; "}})
	}
}

// The ledger refuses or fails requests over its limits, and never evicts a paid entry whose token is still valid.
func TestLimits(t *testing.T) {
	l := newTestLedger()
	run(t, "too many waiting", l, []step{{0, request(1, 1, true), "start s1; "}, {0, request(2, 2, true), ""},
		{0, request(3, 3, true), ""},
		{0, request(4, 4, true), "fail r4 crowd; "}})
	l = New(Config{MaxEntries: 2, MaxWaiters: 3, FirstStart: true, LateAnswerMs: 10, SweepIntervalMs: 1})
	for i, want := range []string{"start s1; ", "start s2; ", "refuse r3 full; "} {
		ev := request(RequestID(i+1), SessionID(i+1), true)
		ev.Key, ev.TokenTTLMs = fmt.Sprint(i), 100
		run(t, "ledger full", l, []step{{1, ev, want}})
	}
	// A paid entry is evicted only once its token can no longer be presented.
	run(t, "ended", l, []step{{2, Event{Kind: SetupSucceeded, Session: 1}, "play r1 s1; "},
		{3, Event{Kind: SessionEnded, Session: 1}, ""}})
	ev := request(9, 9, true)
	ev.Key = "new"
	run(t, "token still valid", l, []step{{100, ev, "refuse r9 full; "}})
	ev.Request, ev.Session = 10, 10
	run(t, "token expired", l, []step{{112, ev, "forget s1; start s10; "}})
}

// Tokens owned by another director are redirected, and paid tokens that an earlier run may have seen are failed.
func TestTokensOfOtherDirectorsAndEarlierRuns(t *testing.T) {
	names := []string{"d0", "d1", "d2"}
	l := New(Config{Self: 1, Directors: names, MaxEntries: 9, MaxWaiters: 3, ShardPaid: true, FirstStart: true})
	owned := map[int]int{}
	for i := range 300 {
		ev := request(RequestID(i+1), SessionID(i+1), true)
		ev.Key = fmt.Sprint("k", i)
		owner := Owner(ev.Key, names)
		owned[owner]++
		if l.WouldStartSetup(0, &ev) != (owner == 1) {
			t.Fatalf("token %d of director %d: WouldStartSetup at director 1 is %v", i, owner, owner != 1)
		}
		if owner != 1 {
			run(t, "other director", l, []step{{0, ev, fmt.Sprintf("redirect r%d d%d; ", i+1, owner)}})
		}
	}
	for d := range names {
		if owned[d] < 60 {
			t.Errorf("director %d owns %d of 300 tokens, want at least 60", d, owned[d])
		}
	}
	// Removing a director moves only its own tokens.
	for i := range 300 {
		key := fmt.Sprint("k", i)
		if owner := Owner(key, names); owner < 2 && Owner(key, names[:2]) != owner {
			t.Fatalf("token %s moved from director %d, which is still listed", key, owner)
		}
	}
	if Owner("x", nil) != -1 {
		t.Error("Owner of an empty list is not -1")
	}
	l = New(Config{MaxEntries: 9, MaxWaiters: 3, StartedAtMs: 1000, ClockSkewMs: 50})
	old := request(1, 1, true)
	// At 2000 the director has run for 1000 ms; with the clock skew the token may be older than that run.
	old.TokenAgeMs = 960
	unpaid := request(3, 3, false)
	unpaid.Key, unpaid.TokenAgeMs = "unpaid", 5000
	young := request(4, 4, true)
	young.Key, young.TokenAgeMs = "young", 900
	if l.WouldStartSetup(2000, &old) || !l.WouldStartSetup(2000, &unpaid) || !l.WouldStartSetup(2000, &young) {
		t.Error("a token of an earlier run would start a set-up, or one that needs no protection would not")
	}
	run(t, "earlier run", l, []step{{2000, old, "fail r1 earlier; "}, {2000, unpaid, "start s3; "},
		{2000, young, "start s4; "}})
}

// A token whose jti belongs to a different request fails; joining would play the wrong title.
func TestTokenReusedForAnotherRequest(t *testing.T) {
	other := request(2, 2, true)
	other.Fingerprint = 2
	run(t, "reused", newTestLedger(), []step{{0, request(1, 1, true), "start s1; "}, {1, other, "fail r2 reused; "}})
}

// After Stop new set-ups are refused, while the requests of those in progress are still answered.
func TestStop(t *testing.T) {
	l := newTestLedger()
	run(t, "before", l, []step{{0, request(1, 1, false), "start s1; "}})
	l.Stop()
	other := request(2, 2, false)
	other.Key = "other"
	run(t, "after", l, []step{{1, other, "refuse r2 stopping; "}, {2, request(3, 3, false), ""},
		{3, Event{Kind: SetupSucceeded, Session: 1}, "play r1 s1; play r3 s1; "}})
}

// Random events in random order keep these rules: every request gets exactly one answer or disconnects; a paid key
// is set up again only after proof that it never ran; a paid request is refused only where nothing can have run; no
// key has two sessions at once; and the tables are empty in the end.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Config{MaxEntries: 6, MaxWaiters: 3, UnclaimedTTLMs: 50, LateAnswerMs: 20, FirstStart: true,
			SweepIntervalMs: 1})
		now := 0.0
		lastRequest, lastSession := RequestID(0), SessionID(0)
		waiting := map[RequestID]string{}        // keys of requests that have no answer yet
		settingUp := map[SessionID]string{}      // keys of set-ups without an outcome
		mayHaveRun := map[string]bool{}          // by key
		outcomeUnknown := map[SessionID]string{} // keys of set-ups that failed without proof
		playing := map[SessionID]string{}        // keys of sessions at a media node
		activeSessions := map[string]int{}       // by key: set-ups in progress and sessions that play
		// Keys that begin with p are of paid classes (at most one set-up may run), those with f of others.
		isPaid := func(key string) bool { return key[0] == 'p' }
		do := func(ev Event) {
			predicted := ev.Kind == RequestArrived && l.WouldStartSetup(now, &ev)
			started := false
			defer func() {
				if ev.Kind == RequestArrived && started && !predicted {
					t.Fatalf("%s starts a set-up, though WouldStartSetup was false", ev.Key)
				}
				if predicted && isPaid(ev.Key) && mayHaveRun[ev.Key] && !started {
					t.Fatalf("WouldStartSetup was true for paid %s, which may have run", ev.Key)
				}
			}()
			for _, a := range l.Step(now, []Event{ev}, nil) {
				started = started || a.Kind == StartSetup
				switch a.Kind {
				case StartSetup:
					key := waiting[a.Request]
					if isPaid(key) && mayHaveRun[key] {
						t.Fatalf("paid %s is set up again", key)
					}
					if activeSessions[key]++; activeSessions[key] > 1 {
						t.Fatalf("%s has two sessions at once", key)
					}
					settingUp[a.Session] = key
				case AnswerPlaying, AnswerRefused, AnswerFailed, Redirect:
					key, ok := waiting[a.Request]
					if !ok {
						t.Fatalf("request %d is answered twice or was never sent", a.Request)
					}
					if a.Kind == AnswerPlaying && playing[a.Session] != key {
						t.Fatalf("%s gets session %d, which is not its own or does not play", key, a.Session)
					}
					if a.Kind == AnswerRefused && isPaid(key) && mayHaveRun[key] {
						t.Fatalf("paid %s is refused though it may have run", key)
					}
					delete(waiting, a.Request)
				case EndSession:
					if key, ok := playing[a.Session]; ok {
						delete(playing, a.Session)
						activeSessions[key]--
					}
				}
			}
		}
		// lowest returns the entry with the lowest ID, so that a seed always gives the same run.
		lowest := func(m map[SessionID]string) (SessionID, string) {
			ids := make([]int, 0, len(m))
			for id := range m {
				ids = append(ids, int(id))
			}
			if len(ids) == 0 {
				return 0, ""
			}
			best := ids[0]
			for _, id := range ids {
				best = min(best, id)
			}
			return SessionID(best), m[SessionID(best)]
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 30).Draw(t, "ms"))
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1, 2:
				lastRequest++
				lastSession++
				key := rapid.SampledFrom([]string{"p1", "p2", "f1", "f2"}).Draw(t, "key")
				waiting[lastRequest] = key
				do(Event{Kind: RequestArrived, Request: lastRequest, Key: key, Fingerprint: uint64(len(key)),
					Paid: isPaid(key), TokenTTLMs: 1e6, Session: lastSession})
			case 3:
				if id, key := lowest(settingUp); id != 0 {
					delete(settingUp, id)
					mayHaveRun[key], playing[id] = true, key
					do(Event{Kind: SetupSucceeded, Session: id})
				}
			case 4:
				if id, key := lowest(settingUp); id != 0 {
					delete(settingUp, id)
					activeSessions[key]--
					do(Event{Kind: SetupRefused, Session: id})
				}
			case 5:
				if id, key := lowest(settingUp); id != 0 {
					delete(settingUp, id)
					mayHaveRun[key], outcomeUnknown[id] = true, key
					activeSessions[key]--
					do(Event{Kind: SetupFailed, Session: id, Reason: ReasonTimeout})
				}
			case 6:
				if id, key := lowest(outcomeUnknown); id != 0 && isPaid(key) {
					delete(outcomeUnknown, id)
					if rapid.Bool().Draw(t, "late") {
						playing[id] = key
						activeSessions[key]++
						do(Event{Kind: LateSuccess, Session: id})
					} else {
						mayHaveRun[key] = false
						do(Event{Kind: ProvenNeverRan, Session: id})
					}
				}
			case 7:
				if id, key := lowest(playing); id != 0 {
					delete(playing, id)
					activeSessions[key]--
					do(Event{Kind: SessionEnded, Session: id})
				}
			case 8:
				oldest := lastRequest + 1
				for request := range waiting {
					oldest = min(oldest, request)
				}
				if oldest <= lastRequest && rapid.Bool().Draw(t, "disconnects") {
					delete(waiting, oldest)
					do(Event{Kind: RequestCancelled, Request: oldest})
				}
			}
			do(Event{Kind: Tick})
		}
		for id := range settingUp {
			do(Event{Kind: SetupRefused, Session: id})
		}
		if len(waiting) != 0 || l.Waiting() != 0 {
			t.Fatalf("%d requests were never answered; the ledger has %d", len(waiting), l.Waiting())
		}
		now += 2e6
		for id := range playing {
			do(Event{Kind: SessionEnded, Session: id})
		}
		do(Event{Kind: Tick})
		now += 100
		do(Event{Kind: Tick})
		if l.Entries() != 0 || len(l.bySession) != 0 {
			t.Fatalf("%d entries and %d sessions are never forgotten", l.Entries(), len(l.bySession))
		}
	})
}
