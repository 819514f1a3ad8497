package attempt

import (
	"fmt"
	"strings"
	"testing"
)

// format renders actions as text: "report=plays keep".
func format(actions []Action) string {
	names := [...]string{"dial", "write", "report", "keep", "close", "late_success", "never_ran"}
	var words []string
	for _, a := range actions {
		word := names[a.Kind]
		if a.Kind == ReportOutcome {
			word += "=" + a.Outcome.String()
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

var (
	startNew       = Event{Kind: Start}
	startReused    = Event{Kind: Start, Reused: true}
	connected      = Event{Kind: Connected}
	noBytes        = Event{Kind: BytesWritten}
	oneByte        = Event{Kind: BytesWritten, Bytes: 1}
	responseHead   = Event{Kind: ResponseHead, Status: 201}
	created        = Event{Kind: ResponseComplete, Status: 201}
	full           = Event{Kind: ResponseComplete, Status: 503, NeverRan: true}
	unavailable    = Event{Kind: ResponseComplete, Status: 503}
	internalError  = Event{Kind: ResponseComplete, Status: 500, NeverRan: true} // only a 503 proves it
	connClosed     = Event{Kind: ConnectionClosed}
	deadline       = Event{Kind: DeadlineExceeded}
	cancelled      = Event{Kind: Cancelled}
	lateWindowOver = Event{Kind: LateWindowOver}
)

// Each path of a set-up, with the actions of each step. Only a set-up of which no byte was written, and the media
// node's own answer, prove that nothing ran.
func TestPaths(t *testing.T) {
	for name, c := range map[string]struct {
		paid     bool
		events   []Event
		want     string // the actions of each event, separated by "; "
		neverRan bool
	}{
		"plays on a new connection": {false, []Event{startNew, connected, oneByte, responseHead, created},
			"dial; write; ; ; report=plays keep", false},
		"plays on a pooled connection": {false, []Event{startReused, oneByte, created},
			"write; ; report=plays keep", false},
		"connect refused": {true, []Event{startNew, connClosed}, "dial; report=connect_failed", true},
		"pooled connection closed before the write": {true,
			[]Event{startReused, noBytes, connClosed, connected, oneByte, created},
			"write; ; dial; write; ; report=plays keep", false},
		"pooled connection closed, then connect refused": {true, []Event{startReused, connClosed, connClosed},
			"write; dial; report=connect_failed", true},
		"no byte written before the deadline": {true, []Event{startNew, connected, noBytes, deadline},
			"dial; write; ; report=connect_failed close", true},
		"no connection before the deadline": {true, []Event{startNew, deadline, connClosed},
			"dial; report=connect_failed close; ", true},
		"closed after one byte": {true, []Event{startNew, connected, oneByte, connClosed},
			"dial; write; ; report=reset", false},
		"closed within the answer": {true, []Event{startNew, connected, oneByte, responseHead, connClosed},
			"dial; write; ; ; report=reset", false},
		"full": {true, []Event{startNew, connected, oneByte, full}, "dial; write; ; report=full keep", true},
		"503 without never-ran": {true, []Event{startNew, connected, oneByte, unavailable},
			"dial; write; ; report=error keep", false},
		"500 with never-ran": {true, []Event{startNew, connected, oneByte, internalError},
			"dial; write; ; report=error keep", false},
		"deadline exceeded": {false, []Event{startNew, connected, oneByte, deadline, created},
			"dial; write; ; report=timed_out close; ", false},
		"cancelled": {false, []Event{startNew, connected, oneByte, cancelled},
			"dial; write; ; report=cancelled close", false},
		"paid: deadline exceeded, then it plays": {true, []Event{startNew, connected, oneByte, deadline, created},
			"dial; write; ; report=timed_out; keep late_success", false},
		"paid: deadline exceeded, then never-ran": {true, []Event{startNew, connected, oneByte, deadline, full},
			"dial; write; ; report=timed_out; keep never_ran", false},
		"paid: deadline exceeded, then an error": {true, []Event{startNew, connected, oneByte, deadline, unavailable},
			"dial; write; ; report=timed_out; keep", false},
		"paid: deadline exceeded, then closed": {true,
			[]Event{startNew, connected, oneByte, deadline, connClosed, created},
			"dial; write; ; report=timed_out; ; ", false},
		"paid: deadline exceeded, no late answer": {true,
			[]Event{startNew, connected, oneByte, deadline, lateWindowOver, created},
			"dial; write; ; report=timed_out; close; ", false},
		"later events change nothing": {true,
			[]Event{startNew, connected, oneByte, created, connClosed, deadline, full},
			"dial; write; ; report=plays keep; ; ; ", false},
	} {
		a := Attempt{Paid: c.paid}
		var steps []string
		for _, ev := range c.events {
			steps = append(steps, format(a.Step(ev, nil)))
		}
		if got := strings.Join(steps, "; "); got != c.want {
			t.Errorf("%s:\n got %q\nwant %q", name, got, c.want)
		}
		if a.Outcome().NeverRan() != c.neverRan {
			t.Errorf("%s: outcome %s, never ran %v", name, a.Outcome(), !c.neverRan)
		}
	}
}

// Over all sequences of five events after Start, at most one outcome is reported, and once a byte has been written
// the outcome proves "never ran" only with the media node's own answer.
func TestAllSequences(t *testing.T) {
	events := []Event{connected, noBytes, oneByte, responseHead, created, full, unavailable, connClosed, deadline,
		cancelled, lateWindowOver}
	var walk func(a Attempt, path []Event, reported int, sent, nodeSaidNeverRan bool)
	walk = func(a Attempt, path []Event, reported int, sent, nodeSaidNeverRan bool) {
		if len(path) == 6 {
			return
		}
		for _, ev := range events {
			next := a
			nextReported := reported
			nextSent, nextNeverRan := sent || ev.Kind == BytesWritten && ev.Bytes > 0,
				nodeSaidNeverRan || ev.Kind == ResponseComplete && ev.NeverRan && ev.Status == 503
			for _, action := range next.Step(ev, nil) {
				if action.Kind != ReportOutcome {
					continue
				}
				if nextReported++; nextReported > 1 {
					t.Fatalf("two outcomes reported: %v", append(path, ev))
				}
				if action.Outcome.NeverRan() && nextSent && !nextNeverRan {
					t.Fatalf("never ran without proof: %v", fmt.Sprint(append(path, ev)))
				}
			}
			walk(next, append(path[:len(path):len(path)], ev), nextReported, nextSent, nextNeverRan)
		}
	}
	for _, paid := range []bool{false, true} {
		for _, first := range []Event{startNew, startReused} {
			a := Attempt{Paid: paid}
			a.Step(first, nil)
			walk(a, []Event{first}, 0, false, false)
		}
	}
}
