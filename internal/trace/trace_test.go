package trace

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/attribute"
)

// The spans that two directors write of one session are read back as one trace, in order of time, and a partial line is
// skipped.
func TestTraceAcrossDirectors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.json")
	for director := range 2 {
		tracer, err := Open(path, fmt.Sprintf("d%d", director), 1)
		if err != nil {
			t.Fatal(err)
		}
		story := tracer.StartSession("j-1", attribute.String("title", "t"))
		story.StartAttempt(attribute.String("box", "b1"))
		story.EndAttempt("timed out", false)
		story.StartAttempt(attribute.String("box", "b2"))
		story.EndAttempt("plays", true)
		story.StartPlayback(attribute.String("box", "b2"))
		story.AddEvent("report", attribute.Float64("stall_ms", 1200))
		story.End("done")
		story.End("twice")
		tracer.StartSession("j-2").End("refused")
		if err := tracer.Close(); err != nil {
			t.Fatal(err)
		}
	}
	content, _ := os.ReadFile(path)
	lines, err := ReadSession(strings.NewReader(string(content)+`{"Name":"half`), "j-1")
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for i, line := range lines {
		if i > 0 && line.At.Before(lines[i-1].At) {
			t.Error("lines are not in order of time")
		}
		fmt.Fprintln(&text, line.Text)
	}
	for expected, count := range map[string]int{"session begins title=t jti=j-1": 2,
		"attempt begins box=b1 outcome=timed out": 2, "outcome=plays": 2, "  report stall_ms=1200": 2, "end=done": 2, "j-2": 0} {
		if strings.Count(text.String(), expected) != count {
			t.Errorf("%q occurs %d times, want %d:\n%s", expected, strings.Count(text.String(), expected), count, text.String())
		}
	}
	// A director was killed while writing a line and a later run appended to it: the other lines are returned, with an
	// error.
	broken := `{"Name":"half` + "\n" + string(content)
	if remaining, err := ReadSession(strings.NewReader(broken), "j-1"); err == nil || len(remaining) != len(lines) {
		t.Errorf("with an invalid line: %d lines of %d, error %v", len(remaining), len(lines), err)
	}
}

// All directors sample the same sessions, at about the configured fraction. The methods of a nil SessionTrace and of
// a nil Tracer do nothing.
func TestSampling(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.json")
	var sampledSum [2]int // of the sampled sessions' numbers
	for director := range 2 {
		tracer, err := Open(path, "d", 0.1)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 2000 {
			if story := tracer.StartSession(fmt.Sprint(i)); story != nil {
				sampledSum[director] += i
			} else {
				story.StartAttempt()
				story.EndAttempt("x", false)
				story.StartPlayback()
				story.AddEvent("x")
				story.End("x")
			}
		}
		tracer.Close()
	}
	if sampledSum[0] != sampledSum[1] || sampledSum[0] < 2000*2000/2/20 ||
		sampledSum[0] > 2000*2000/2/5 {
		t.Errorf("sums of the sampled sessions' numbers: %v", sampledSum)
	}
	var nilTracer *Tracer
	nilTracer.StartSession("j").End("")
}
