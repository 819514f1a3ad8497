package idempotency

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// The same cases each time: a verdict must not depend on the day.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "11")
	flag.Set("rapid.checks", "2000")
	os.Exit(m.Run())
}

func ledger() *Ledger {
	return New(Config{Self: 0, MaxEntries: 100, MaxWaiters: 3, UnclaimedTTLMs: 1000, RetryAfterMs: 500, LateAnswerMs: 2000,
		FirstStart: true, SweepIntervalMs: 1})
}

func ask(w RequestID, s SessionID, paid bool) Event {
	return Event{Kind: RequestArrived, Request: w, Key: "j", Fingerprint: 1, Paid: paid, TokenAgeMs: 10, TokenTTLMs: 60000, Session: s}
}

func text(acts []Action) string {
	out := ""
	names := [...]string{"begin", "play", "refuse", "fail", "elsewhere", "withdraw", "adopt", "end", "forget"}
	for _, a := range acts {
		out += names[a.Kind]
		switch a.Kind {
		case AnswerPlaying:
			out += fmt.Sprintf(" w%d s%d", a.Request, a.Session)
		case AnswerRefused, AnswerFailed:
			out += fmt.Sprintf(" w%d %s", a.Request, a.Reason)
		case Redirect:
			out += fmt.Sprintf(" w%d d%d", a.Request, a.Owner)
		default:
			out += fmt.Sprintf(" s%d", a.Session)
		}
		out += "; "
	}
	return out
}

type step struct {
	at   float64
	ev   Event
	want string
}

func run(t *testing.T, name string, l *Ledger, steps []step) {
	t.Helper()
	for i, s := range steps {
		if got := text(l.Step(s.at, []Event{s.ev}, nil)); got != s.want {
			t.Fatalf("%s, step %d: got %q, want %q", name, i, got, s.want)
		}
	}
}

// What a viewer that comes again with the same token gets, state by state, for a paid and another class.
func TestComingAgain(t *testing.T) {
	for _, paid := range []bool{true, false} {
		name := fmt.Sprintf("paid=%v", paid)
		pick := func(yes, no string) string {
			if paid {
				return yes
			}
			return no
		}
		run(t, name+" while it is out", ledger(), []step{
			{0, ask(1, 1, paid), "begin s1; "}, {1, ask(2, 2, paid), ""},
			{2, Event{Kind: SetupSucceeded, Session: 1}, "play w1 s1; play w2 s1; "},
			{3, ask(3, 3, paid), "play w3 s1; "}})
		run(t, name+" after it failed unknowably", ledger(), []step{
			{0, ask(1, 1, paid), "begin s1; "},
			{1, Event{Kind: SetupFailed, Session: 1, Reason: ReasonTimeout}, "fail w1 time; " + pick("", "forget s1; ")},
			{2, ask(2, 2, paid), pick("fail w2 time; ", "begin s2; ")}})
		run(t, name+" after it was refused", ledger(), []step{
			{0, ask(1, 1, paid), "begin s1; "},
			{1, Event{Kind: SetupRefused, Session: 1}, "refuse w1 refused; forget s1; "},
			{2, ask(2, 2, paid), "begin s2; "}})
		run(t, name+" after it has played and ended", ledger(), []step{
			{0, ask(1, 1, paid), "begin s1; "}, {1, Event{Kind: SetupSucceeded, Session: 1}, "play w1 s1; "},
			{2, Event{Kind: SessionEnded, Session: 1}, pick("", "forget s1; ")},
			{3, ask(2, 2, paid), pick("fail w2 over; ", "begin s2; ")}})
		run(t, name+" after it left while it was out", ledger(), []step{
			{0, ask(1, 1, paid), "begin s1; "}, {1, Event{Kind: RequestCancelled, Request: 1}, "withdraw s1; "},
			{2, Event{Kind: SetupSucceeded, Session: 1}, ""}, {3, ask(2, 2, paid), "play w2 s1; "}})
		run(t, name+" never again: the session is ended", ledger(), []step{
			{0, ask(1, 1, paid), "begin s1; "}, {1, Event{Kind: RequestCancelled, Request: 1}, "withdraw s1; "},
			{2, Event{Kind: SetupSucceeded, Session: 1}, ""}, {900, Event{Kind: Tick}, ""},
			{1003, Event{Kind: Tick}, "end s1; " + pick("", "forget s1; ")},
			{1004, ask(2, 2, paid), pick("fail w2 over; ", "begin s2; ")}})
	}
}

// A paid set-up that plays after its time is what the retry gets; nobody sets it up again.
func TestLateAnswerOfAPaidSetUp(t *testing.T) {
	run(t, "late", ledger(), []step{
		{0, ask(1, 1, true), "begin s1; "}, {1, Event{Kind: SetupFailed, Session: 1, Reason: ReasonTimeout}, "fail w1 time; "},
		{2, ask(2, 2, true), "fail w2 time; "}, {3, Event{Kind: LateSuccess, Session: 1}, ""},
		{4, ask(3, 3, true), "adopt s1; play w3 s1; "}, {5, ask(4, 4, true), "play w4 s1; "}})
	run(t, "late and never fetched", ledger(), []step{
		{0, ask(1, 1, true), "begin s1; "}, {1, Event{Kind: SetupFailed, Session: 1, Reason: ReasonTimeout}, "fail w1 time; "},
		{3, Event{Kind: LateSuccess, Session: 1}, ""}, {1100, Event{Kind: Tick}, "end s1; "},
		{1101, ask(2, 2, true), "fail w2 over; "}})
	run(t, "late word that it never ran", ledger(), []step{
		{0, ask(1, 1, true), "begin s1; "}, {1, Event{Kind: SetupFailed, Session: 1, Reason: ReasonTimeout}, "fail w1 time; "},
		{3, Event{Kind: ProvenNeverRan, Session: 1}, "forget s1; "}, {4, ask(2, 2, true), "begin s2; "}})
}

// A tied session outlives its connection for a stated time, in which it can be taken up again.
func TestTies(t *testing.T) {
	tied := func(w RequestID, s SessionID, paid bool) Event {
		ev := ask(w, s, paid)
		ev.ConnectionBound = true
		return ev
	}
	with := func() *Ledger { l := ledger(); l.cfg.DetachedTTLMs = 500; return l }
	begun := []step{{0, tied(1, 1, true), "begin s1; "}, {1, Event{Kind: SetupSucceeded, Session: 1}, "play w1 s1; "},
		{2, Event{Kind: ConnectionAttached, Session: 1}, ""}, {5000, Event{Kind: Tick}, ""}, {6000, Event{Kind: ConnectionDetached, Session: 1}, ""}}
	run(t, "lapses", with(), append(begun[:5:5], []step{{6400, Event{Kind: Tick}, ""}, {6501, Event{Kind: Tick}, "end s1; "},
		{6502, tied(2, 2, true), "fail w2 over; "}}...))
	run(t, "taken up", with(), append(begun[:5:5], []step{{6400, tied(2, 2, true), "play w2 s1; "}, {6401, Event{Kind: ConnectionAttached, Session: 1}, ""},
		{9000, Event{Kind: Tick}, ""}}...))
	run(t, "asked again and not held", with(), append(begun[:5:5], []step{{6400, tied(2, 2, true), "play w2 s1; "},
		{6800, Event{Kind: Tick}, ""}, {6901, Event{Kind: Tick}, "end s1; "}}...))
	run(t, "not tied", with(), []step{{0, ask(1, 1, true), "begin s1; "}, {1, Event{Kind: SetupSucceeded, Session: 1}, "play w1 s1; "},
		{2, Event{Kind: ConnectionAttached, Session: 1}, ""}, {3, Event{Kind: ConnectionDetached, Session: 1}, ""}, {9000, Event{Kind: Tick}, ""}})
}

func TestQuits(t *testing.T) {
	quit := Event{Kind: EndRequested, Key: "j", Fingerprint: 1}
	run(t, "plays", ledger(), []step{{0, ask(1, 1, true), "begin s1; "}, {1, Event{Kind: SetupSucceeded, Session: 1}, "play w1 s1; "},
		{2, Event{Kind: EndRequested, Key: "j", Fingerprint: 9}, ""}, {3, quit, "end s1; "}, {4, quit, ""}, {5, ask(2, 2, true), "fail w2 over; "}})
	run(t, "out", ledger(), []step{{0, ask(1, 1, false), "begin s1; "}, {1, quit, "fail w1 over; withdraw s1; "},
		{2, Event{Kind: SetupSucceeded, Session: 1}, "end s1; forget s1; "}, {3, ask(2, 2, false), "begin s2; "}})
	run(t, "nothing there", ledger(), []step{{0, quit, ""}})
}

func TestCaps(t *testing.T) {
	l := ledger()
	run(t, "crowd", l, []step{{0, ask(1, 1, true), "begin s1; "}, {0, ask(2, 2, true), ""}, {0, ask(3, 3, true), ""},
		{0, ask(4, 4, true), "fail w4 crowd; "}})
	l = New(Config{MaxEntries: 2, MaxWaiters: 3, FirstStart: true, LateAnswerMs: 10, SweepIntervalMs: 1})
	for i, want := range []string{"begin s1; ", "begin s2; ", "refuse w3 full; "} {
		ev := ask(RequestID(i+1), SessionID(i+1), true)
		ev.Key, ev.TokenTTLMs = fmt.Sprint(i), 100
		run(t, "full", l, []step{{1, ev, want}})
	}
	// A paid entry makes room only once its token can't come again.
	run(t, "over", l, []step{{2, Event{Kind: SetupSucceeded, Session: 1}, "play w1 s1; "}, {3, Event{Kind: SessionEnded, Session: 1}, ""}})
	ev := ask(9, 9, true)
	ev.Key = "new"
	run(t, "still remembered", l, []step{{100, ev, "refuse w9 full; "}})
	ev.Request, ev.Session = 10, 10
	run(t, "forgotten", l, []step{{112, ev, "forget s1; begin s10; "}})
}

func TestTokensOfOthersAndOfEarlierRuns(t *testing.T) {
	names := []string{"d0", "d1", "d2"}
	l := New(Config{Self: 1, Directors: names, MaxEntries: 9, MaxWaiters: 3, ShardPaid: true, FirstStart: true})
	seen := map[int]int{}
	for i := range 300 {
		ev := ask(RequestID(i+1), SessionID(i+1), true)
		ev.Key = fmt.Sprint("k", i)
		home := Owner(ev.Key, names)
		seen[home]++
		if l.WouldStartSetup(0, &ev) != (home == 1) {
			t.Fatalf("token %d of director %d: begins here is %v", i, home, home != 1)
		}
		if home != 1 {
			run(t, "elsewhere", l, []step{{0, ev, fmt.Sprintf("elsewhere w%d d%d; ", i+1, home)}})
		}
	}
	for d := range names {
		if seen[d] < 60 {
			t.Errorf("director %d is home of %d of 300 tokens", d, seen[d])
		}
	}
	// A director that leaves moves its own tokens only.
	for i := range 300 {
		k := fmt.Sprint("k", i)
		if h := Owner(k, names); h < 2 && Owner(k, names[:2]) != h {
			t.Fatalf("token %s moved from %d without need", k, h)
		}
	}
	if Owner("x", nil) != -1 {
		t.Error("a home without directors")
	}
	l = New(Config{MaxEntries: 9, MaxWaiters: 3, StartedMs: 1000, ClockSkewMs: 50})
	old := ask(1, 1, true)
	old.TokenAgeMs = 960 // at 2000 the director is 1000 old; with the skew the token may be older
	free := ask(3, 3, false)
	free.Key, free.TokenAgeMs = "free", 5000
	young := ask(4, 4, true)
	young.Key, young.TokenAgeMs = "young", 900
	if l.WouldStartSetup(2000, &old) || !l.WouldStartSetup(2000, &free) || !l.WouldStartSetup(2000, &young) {
		t.Error("a token of an earlier run would begin, or a young one not")
	}
	run(t, "earlier run", l, []step{{2000, old, "fail w1 earlier; "}, {2000, free, "begin s3; "}, {2000, young, "begin s4; "}})
}

func TestOneNameForTwoWishes(t *testing.T) {
	other := ask(2, 2, true)
	other.Fingerprint = 2
	run(t, "reused", ledger(), []step{{0, ask(1, 1, true), "begin s1; "}, {1, other, "fail w2 reused; "}})
}

func TestStopping(t *testing.T) {
	l := ledger()
	run(t, "before", l, []step{{0, ask(1, 1, false), "begin s1; "}})
	l.Stop()
	other := ask(2, 2, false)
	other.Key = "other"
	run(t, "after", l, []step{{1, other, "refuse w2 stopping; "}, {2, ask(3, 3, false), ""},
		{3, Event{Kind: SetupSucceeded, Session: 1}, "play w1 s1; play w3 s1; "}})
}

// Whatever happens in whatever order: every request gets exactly one answer or leaves, a paid key is begun
// again only after a proof, a refusal of a paid one only where nothing can have run, no key has two sessions
// under way, and the tables empty themselves.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Config{MaxEntries: 6, MaxWaiters: 3, UnclaimedTTLMs: 50, LateAnswerMs: 20, FirstStart: true, SweepIntervalMs: 1})
		now := 0.0
		w, s := RequestID(0), SessionID(0)
		open := map[RequestID]string{}    // asked and owed an answer
		live := map[SessionID]string{}    // begun and not yet told about
		ran := map[string]bool{}          // keys of which an attempt may have run
		maybe := map[SessionID]string{}   // failed unknowably
		playing := map[SessionID]string{} // at a box
		under := map[string]int{}         // sessions under way by key
		paid := func(k string) bool { return k[0] == 'p' }
		do := func(ev Event) {
			begins := ev.Kind == RequestArrived && l.WouldStartSetup(now, &ev)
			began := false
			defer func() {
				if ev.Kind == RequestArrived && began && !begins {
					t.Fatalf("%s begins, though it was said that it would not", ev.Key)
				}
				if begins && paid(ev.Key) && ran[ev.Key] && !began {
					t.Fatalf("%s was said to begin though it may have run", ev.Key)
				}
			}()
			for _, a := range l.Step(now, []Event{ev}, nil) {
				began = began || a.Kind == StartSetup
				switch a.Kind {
				case StartSetup:
					k := open[a.Request]
					if paid(k) && ran[k] {
						t.Fatalf("paid %s begun again", k)
					}
					if under[k]++; under[k] > 1 {
						t.Fatalf("%s has two sessions under way", k)
					}
					live[a.Session] = k
				case AnswerPlaying, AnswerRefused, AnswerFailed, Redirect:
					k, ok := open[a.Request]
					if !ok {
						t.Fatalf("waiter %d answered twice or never asked", a.Request)
					}
					if a.Kind == AnswerPlaying && playing[a.Session] != k {
						t.Fatalf("%s is shown session %d, which is not its own or does not play", k, a.Session)
					}
					if a.Kind == AnswerRefused && paid(k) && ran[k] {
						t.Fatalf("paid %s refused though it may have run", k)
					}
					delete(open, a.Request)
				case EndSession:
					if k, ok := playing[a.Session]; ok {
						delete(playing, a.Session)
						under[k]--
					}
				}
			}
		}
		one := func(m map[SessionID]string) (SessionID, string) {
			keys := make([]int, 0, len(m))
			for k := range m {
				keys = append(keys, int(k))
			}
			if len(keys) == 0 {
				return 0, ""
			}
			best := keys[0]
			for _, k := range keys {
				best = min(best, k)
			}
			return SessionID(best), m[SessionID(best)]
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 30).Draw(t, "ms"))
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0, 1, 2:
				w++
				s++
				k := rapid.SampledFrom([]string{"p1", "p2", "f1", "f2"}).Draw(t, "key")
				open[w] = k
				do(Event{Kind: RequestArrived, Request: w, Key: k, Fingerprint: uint64(len(k)), Paid: paid(k), TokenTTLMs: 1e6, Session: s})
			case 3:
				if id, k := one(live); id != 0 {
					delete(live, id)
					ran[k], playing[id] = true, k
					do(Event{Kind: SetupSucceeded, Session: id})
				}
			case 4:
				if id, k := one(live); id != 0 {
					delete(live, id)
					under[k]--
					do(Event{Kind: SetupRefused, Session: id})
				}
			case 5:
				if id, k := one(live); id != 0 {
					delete(live, id)
					ran[k], maybe[id] = true, k
					under[k]--
					do(Event{Kind: SetupFailed, Session: id, Reason: ReasonTimeout})
				}
			case 6:
				if id, k := one(maybe); id != 0 && paid(k) {
					delete(maybe, id)
					if rapid.Bool().Draw(t, "late") {
						playing[id] = k
						under[k]++
						do(Event{Kind: LateSuccess, Session: id})
					} else {
						ran[k] = false
						do(Event{Kind: ProvenNeverRan, Session: id})
					}
				}
			case 7:
				if id, k := one(playing); id != 0 {
					delete(playing, id)
					under[k]--
					do(Event{Kind: SessionEnded, Session: id})
				}
			case 8:
				least := w + 1
				for q := range open {
					least = min(least, q)
				}
				if least <= w && rapid.Bool().Draw(t, "leaves") {
					delete(open, least)
					do(Event{Kind: RequestCancelled, Request: least})
				}
			}
			do(Event{Kind: Tick})
		}
		for id := range live {
			do(Event{Kind: SetupRefused, Session: id})
		}
		if len(open) != 0 || l.Waiting() != 0 {
			t.Fatalf("%d requests were never answered; the ledger has %d", len(open), l.Waiting())
		}
		now += 2e6
		for id := range playing {
			do(Event{Kind: SessionEnded, Session: id})
		}
		do(Event{Kind: Tick})
		now += 100
		do(Event{Kind: Tick})
		if l.Entries() != 0 || len(l.bySession) != 0 {
			t.Fatalf("%d entries and %d sessions are left for ever", l.Entries(), len(l.bySession))
		}
	})
}
