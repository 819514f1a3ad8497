// Package trace writes sampled sessions as OpenTelemetry traces to a file, and
// reads such a file back. A trace has the request, each attempt, and the playback
// with its changes of rung, reports and findings.
//
// Sessions are sampled by a hash of the session token's jti, from which the trace
// ID is derived too: every director samples the same sessions, and the spans that
// different directors write of a session have the same trace ID.
//
// Spans are written by a goroutine of the OpenTelemetry SDK. If sessions end faster
// than the disk can write them, the SDK drops spans and does not block.
package trace

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// Tracer writes the traces of one director. A nil Tracer samples no session.
type Tracer struct {
	provider    *sdk.TracerProvider
	tracer      oteltrace.Tracer
	file        io.Closer
	director    string
	sampleBelow uint64 // sessions whose jti has a smaller hash are sampled; math.MaxUint64: all
}

// jtiKey is the context key of a session's jti.
type jtiKey struct{}

// idGenerator derives the trace ID from the jti in the context. Span IDs are random.
type idGenerator struct{}

func (idGenerator) NewIDs(ctx context.Context) (traceID oteltrace.TraceID, spanID oteltrace.SpanID) {
	jti, _ := ctx.Value(jtiKey{}).(string)
	binary.BigEndian.PutUint64(traceID[:], xxhash.Sum64String(jti)|1) // |1: an ID of zeros is not valid
	binary.BigEndian.PutUint64(traceID[8:], xxhash.Sum64String(jti+"\x00"))
	return traceID, idGenerator{}.NewSpanID(ctx, traceID)
}

func (idGenerator) NewSpanID(context.Context, oteltrace.TraceID) (spanID oteltrace.SpanID) {
	binary.BigEndian.PutUint64(spanID[:], rand.Uint64()|1)
	return spanID
}

// Open returns a Tracer that appends to a file and samples a fraction of the sessions, 0 to 1.
func Open(path, director string, fraction float64) (*Tracer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("trace: %w", err)
	}
	t := &Tracer{file: file, director: director, sampleBelow: math.MaxUint64}
	if fraction < 1 {
		t.sampleBelow = uint64(math.Max(fraction, 0) * (1 << 63) * 2) // fraction x 2^64
	}
	t.provider = sdk.NewTracerProvider(sdk.WithBatcher(exporter, sdk.WithBatchTimeout(time.Second)),
		sdk.WithIDGenerator(idGenerator{}))
	t.tracer = t.provider.Tracer("headmill")
	return t, nil
}

// Close writes the spans that have ended and closes the file. Spans that have not ended are lost.
func (t *Tracer) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := t.provider.Shutdown(ctx)
	if closeErr := t.file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// SessionTrace is the trace of one session. All methods of a nil SessionTrace do nothing.
type SessionTrace struct {
	tracer        *Tracer
	ctx           context.Context
	root, attempt oteltrace.Span // nil where none is open
	play          oteltrace.Span // nil where none is open
}

// StartSession starts the trace of a session; nil if the session is not sampled.
func (t *Tracer) StartSession(jti string, attrs ...attribute.KeyValue) *SessionTrace {
	if t == nil || t.sampleBelow < math.MaxUint64 && xxhash.Sum64String(jti) >= t.sampleBelow {
		return nil
	}
	s := &SessionTrace{tracer: t}
	s.ctx, s.root = t.tracer.Start(context.WithValue(context.Background(), jtiKey{}, jti), "session",
		oteltrace.WithAttributes(append(attrs, attribute.String("jti", jti), attribute.String("director", t.director))...))
	return s
}

// StartAttempt starts the span of an attempt. EndAttempt ends it.
func (s *SessionTrace) StartAttempt(attrs ...attribute.KeyValue) {
	if s != nil {
		_, s.attempt = s.tracer.tracer.Start(s.ctx, "attempt", oteltrace.WithAttributes(attrs...))
	}
}

// EndAttempt ends the span of the pending attempt with its outcome, and marks it as an error if the attempt failed.
func (s *SessionTrace) EndAttempt(outcome string, succeeded bool) {
	if s == nil || s.attempt == nil {
		return
	}
	if !succeeded {
		s.attempt.SetStatus(codes.Error, outcome)
	}
	s.attempt.SetAttributes(attribute.String("outcome", outcome))
	s.attempt.End()
	s.attempt = nil
}

// StartPlayback starts the span of the playback, if it is not open already. End ends it.
func (s *SessionTrace) StartPlayback(attrs ...attribute.KeyValue) {
	if s != nil && s.play == nil {
		_, s.play = s.tracer.tracer.Start(s.ctx, "play", oteltrace.WithAttributes(attrs...))
	}
}

// AddEvent adds an event to the span of the playback. It is ignored before StartPlayback.
func (s *SessionTrace) AddEvent(event string, attrs ...attribute.KeyValue) {
	if s != nil && s.play != nil {
		s.play.AddEvent(event, oteltrace.WithAttributes(attrs...))
	}
}

// End ends the trace and all its open spans, with the reason for the session's end. Further calls do nothing.
func (s *SessionTrace) End(reason string) {
	if s == nil || s.root == nil {
		return
	}
	s.EndAttempt("left open", false)
	if s.play != nil {
		s.play.End()
	}
	s.root.SetAttributes(attribute.String("end", reason))
	s.root.End()
	s.root, s.play = nil, nil
}

// Entry is one entry of a session's trace in text form: the start or end of a span, or an event.
type Entry struct {
	At   time.Time
	Text string
}

// ReadSession reads a file of traces and returns the entries of the session with a jti, by time. If some lines of the
// file are not valid, it returns the entries of the others and an error with the number of invalid lines.
func ReadSession(r io.Reader, jti string) ([]Entry, error) {
	// The types have the part of stdouttrace's JSON that is shown.
	type attr struct {
		Key   string
		Value struct{ Value any }
	}
	type spanRecord struct {
		Name               string
		SpanContext        struct{ TraceID string }
		StartTime, EndTime time.Time
		Attributes         []attr
		Events             []struct {
			Name       string
			Attributes []attr
			Time       time.Time
		}
		Status struct{ Code, Description string }
	}
	var traceID oteltrace.TraceID
	traceID, _ = idGenerator{}.NewIDs(context.WithValue(context.Background(), jtiKey{}, jti))
	formatAttrs := func(attrs []attr) string {
		var b strings.Builder
		for _, a := range attrs {
			fmt.Fprintf(&b, " %s=%v", a.Key, a.Value.Value)
		}
		return b.String()
	}
	var out []Entry
	reader, invalid := bufio.NewReader(r), 0
	for {
		line, readErr := reader.ReadBytes('\n')
		if readErr != nil { // a last line without a newline is still being written, or its writer was killed
			break
		}
		var span spanRecord
		// A killed writer leaves a partial line, to which the next writer appends its first line.
		if json.Unmarshal(line, &span) != nil {
			invalid++
			continue
		}
		if span.SpanContext.TraceID != traceID.String() {
			continue
		}
		out = append(out, Entry{span.StartTime, span.Name + " begins" + formatAttrs(span.Attributes)},
			Entry{span.EndTime, fmt.Sprintf("%s ends after %.0f ms", span.Name,
				float64(span.EndTime.Sub(span.StartTime).Microseconds())/1000)})
		for _, event := range span.Events {
			out = append(out, Entry{event.Time, "  " + event.Name + formatAttrs(event.Attributes)})
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return a.At.Compare(b.At) })
	if invalid > 0 {
		return out, fmt.Errorf("trace: %d lines are not valid JSON spans and were skipped", invalid)
	}
	return out, nil
}
