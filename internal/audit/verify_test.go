package audit

import (
	"encoding/base64"
	"fmt"
	"sort"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "headmill/internal/api/sessionv1"
	"headmill/internal/standin/relay"
)

// recording builds the records that relays would have written.
type recording struct {
	records []relay.Record
	conns   int // number of connections made by exchange
}

func (r *recording) add(kind relay.Kind, at float64, name string, conn int, text string) {
	r.records = append(r.records, relay.Record{Kind: kind, AtMs: at, Relay: name, Conn: conn, Data: []byte(text)})
}

func (r *recording) mark(at float64, name, text string) {
	r.records = append(r.records, relay.Record{Kind: relay.Mark, AtMs: at, Relay: name, Text: text})
}

// exchange adds one request with its answer on a new connection, whose number it returns. An empty answer stands
// for none.
func (r *recording) exchange(name string, at float64, request string, answeredAt float64, answer string) int {
	r.conns++
	r.add(relay.Open, at, name, r.conns, "")
	r.add(relay.ClientData, at, name, r.conns, request)
	if answer != "" {
		r.add(relay.ServerData, answeredAt, name, r.conns, answer)
	}
	return r.conns
}

func sessionToken(subject, jti, class string) string {
	payload := fmt.Sprintf(`{"jti":%q,"sub":%q,"title":"%s-title","class":%q,"top":1}`, jti, subject, class, class)
	return "e30." + base64.RawURLEncoding.EncodeToString([]byte(payload)) + ".sig"
}

func manifestRequest(jti, class string) string {
	return fmt.Sprintf("GET /dash/%s-title/manifest.mpd?token=%s HTTP/1.1\r\nHost: x\r\n\r\n", class,
		sessionToken("v-"+jti, jti, class))
}

func manifestResponse(session string) string {
	body := "<MPD><BaseURL>http://127.0.0.1:9/v/" + session + "/</BaseURL></MPD>"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func emptyResponse(code int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", code)
}

func setupRequest(session, jti, class string, rung int) string {
	body := fmt.Sprintf("jti=%s&class=%s&title=%s-title&director=d0&rung=%d", jti, class, class, rung)
	return fmt.Sprintf("PUT /sessions/%s HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: %d\r\n\r\n%s",
		session, len(body), body)
}

// notRunResponse is a media node's answer that a set-up failed and never ran.
const notRunResponse = "HTTP/1.1 503 X\r\nContent-Type: application/problem+json\r\nContent-Length: 13\r\n\r\n{\"ran\":false}"

func eventStream(events ...string) string {
	body := strings.Join(events, "")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
		len(body), body)
}

// nodeListEvent is an event of the node list that has the media node b0 alone.
func nodeListEvent(full bool, state, boot string, upMs float64) string {
	return fmt.Sprintf("data: {\"full\":%v,\"servers\":[{\"addr\":\"a0\",\"state\":%q,\"boot\":%q,\"up_ms\":%v}]}\n\n",
		full, state, boot, upMs)
}

func testTerms() Terms {
	return Terms{
		Classes: map[string]Class{"paid": {AtMostOnce: true, TargetMs: 500, GiveUpMs: 1000, Value: 3, MaxPerTitle: 3},
			"free": {TargetMs: 500, GiveUpMs: 1000, Value: 1, MinRung: 1}},
		Titles: map[string]Title{"paid-title": {"paid", 10000}, "free-title": {"free", 10000}},
		Nodes:  map[string]string{"a0": "b0", "a1": "b1"}, Worth: []float64{0.5, 1},
		SlackMs: 40, GraceMs: 250, StreamsPerNode: 20, WarmUpMs: 10000, ColdRateFraction: 0.5, ColdOverloadFactor: 2, ColdWindowMs: 1000, ShortfallPenalty: 6,
		RetryBudgetEnabled: true, MinRetries: 1, RetryRatio: 0, RetryWindowMs: 5000}
}

// validRecording keeps all rules: one session is set up, plays, has its rung raised and ends.
func validRecording() *recording {
	r := &recording{}
	r.exchange("d0/list", 0, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 1,
		eventStream(nodeListEvent(true, "ready", "x", 0)))
	r.exchange("d0", 100, manifestRequest("j1", "paid"), 140, manifestResponse("d0.1"))
	r.exchange("b0", 110, setupRequest("d0.1", "j1", "paid", 0), 135, emptyResponse(201))
	r.exchange("b0", 2140, "PATCH /sessions/d0.1 HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: 6\r\n\r\nrung=1", 2150, emptyResponse(204))
	r.exchange("b0", 8140, "DELETE /sessions/d0.1 HTTP/1.1\r\nHost: x\r\n\r\n", 8150, emptyResponse(204))
	return r
}

// verify sorts the records by time, as relays write them, and checks them.
func verify(r *recording) *Report {
	sort.SliceStable(r.records, func(i, j int) bool { return r.records[i].AtMs < r.records[j].AtMs })
	return Verify(r.records, testTerms())
}

func TestValidRecording(t *testing.T) {
	report := verify(validRecording())
	if !report.OK() || report.Requests != 1 || report.AnsweredOnce != 1 || report.Plays != 1 || report.Setups != 1 ||
		report.SetupP50Ms != 40 {
		t.Fatalf("%+v", report)
	}
	// 2 s at 0.5 and 6 s at 1 of 10 s at 1.
	if report.WorthInTime != 0.7 {
		t.Fatalf("worth %v, want 0.7", report.WorthInTime)
	}
}

// Adds one violation to a recording that keeps all rules otherwise. This violation and no other must be reported.
func TestEachViolationIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(r *recording)
		count func(r *Report) int
	}{
		"no answer": {func(r *recording) { r.exchange("d0", 300, manifestRequest("j2", "free"), 0, "") },
			func(r *Report) int { return r.Unanswered }},
		"connection closed without an answer": {func(r *recording) {
			r.add(relay.ServerEnd, 400, "d0", r.exchange("d0", 300, manifestRequest("j2", "free"), 0, ""), "")
		},
			func(r *Report) int { return r.Unanswered }},
		"incomplete answer": {func(r *recording) {
			r.exchange("d0", 300, manifestRequest("j2", "free"), 310,
				"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		},
			func(r *Report) int { return r.Unanswered }},
		"late answer": {func(r *recording) {
			r.exchange("d0", 300, manifestRequest("j2", "free"), 1341, emptyResponse(504))
		},
			func(r *Report) int { return r.Unanswered }},
		"two answers": {func(r *recording) {
			r.exchange("d0", 300, manifestRequest("j2", "free"), 310, emptyResponse(503)+emptyResponse(503))
		},
			func(r *Report) int { return r.AnsweredTwice }},
		"paid set up again after it may have run": {func(r *recording) {
			r.exchange("b0", 300, setupRequest("d0.2", "j2", "paid", 0), 310, emptyResponse(500))
			r.exchange("b1", 400, setupRequest("d0.3", "j2", "paid", 0), 410, notRunResponse)
		}, func(r *Report) int { return r.AtMostOnceRepeated }},
		"paid set up again while an attempt is pending": {func(r *recording) {
			r.exchange("b0", 300, setupRequest("d0.2", "j2", "paid", 0), 900, notRunResponse)
			r.exchange("b1", 400, setupRequest("d0.3", "j2", "paid", 0), 910, notRunResponse)
		}, func(r *Report) int { return r.AtMostOnceRepeated }},
		"paid set up by two directors": {func(r *recording) {
			r.exchange("b0", 300,
				strings.ReplaceAll(setupRequest("d1.2", "j1", "paid", 0), "director=d0", "director=d1"),
				310, notRunResponse)
		}, func(r *Report) int { return r.AtMostOnceRepeated }},
		"paid refused after it may have run": {func(r *recording) {
			r.exchange("d0", 300, manifestRequest("j2", "paid"), 400, emptyResponse(503))
			r.add(relay.ServerEnd, 390, "b0", r.exchange("b0", 310, setupRequest("d0.2", "j2", "paid", 0), 0, ""), "")
		}, func(r *Report) int { return r.WrongRefusals }},
		"two attempts at a time": {func(r *recording) {
			r.exchange("b0", 300, setupRequest("d0.2", "j2", "free", 1), 700, emptyResponse(500))
			r.exchange("b1", 500, setupRequest("d0.2", "j2", "free", 1), 510, emptyResponse(500))
		}, func(r *Report) int { return r.ConcurrentAttempts }},
		"another attempt while the session plays": {func(r *recording) {
			r.exchange("b0", 300, setupRequest("d0.2", "j2", "free", 1), 310, emptyResponse(201))
			r.exchange("b1", 500, setupRequest("d0.2", "j2", "free", 1), 510, emptyResponse(500))
		}, func(r *Report) int { return r.ConcurrentAttempts }},
		"sent after a drain": {func(r *recording) {
			r.exchange("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201,
				eventStream(nodeListEvent(false, "draining", "x", 0)))
			r.exchange("b0", 452, setupRequest("d0.2", "j2", "free", 1), 460, emptyResponse(500))
		}, func(r *Report) int { return r.SetupsAfterDrain }},
		"sent after removal from the node list": {func(r *recording) {
			r.exchange("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201,
				eventStream("data: {\"full\":true,\"servers\":[]}\n\n"))
			r.exchange("b0", 452, setupRequest("d0.2", "j2", "free", 1), 460, emptyResponse(500))
		}, func(r *Report) int { return r.SetupsAfterDrain }},
		"too many set-ups on a cold media node": {func(r *recording) {
			// The rate is at most 2 a second: 4 within a second and two more are allowed.
			r.exchange("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201,
				eventStream(nodeListEvent(false, "ready", "y", 1)))
			for i := range 7 {
				s := fmt.Sprint("d0.", i+2)
				r.exchange("b0", 300+float64(i)*10, setupRequest(s, "j"+s, "free", 1), 305+float64(i)*10,
					emptyResponse(500))
			}
		}, func(r *Report) int { return r.ColdStartOverloads }},
		"cold media node crashed": {func(r *recording) { r.mark(500, "b0", "fell") },
			func(r *Report) int { return r.ColdStartOverloads }},
		"over the per-title session cap": {func(r *recording) {
			r.exchange("b0", 300, setupRequest("d0.2", "j2", "paid", 0), 310, emptyResponse(201))
			r.exchange("b0", 320, setupRequest("d0.4", "j4", "paid", 0), 330, emptyResponse(201))
			r.exchange("b0", 400, setupRequest("d0.3", "j3", "paid", 0), 500, notRunResponse)
		}, func(r *Report) int { return r.TitleCapExceeded }},
		"set up below the lowest rung": {func(r *recording) {
			r.exchange("b0", 300, setupRequest("d0.2", "j2", "free", 0), 310, emptyResponse(500))
		},
			func(r *Report) int { return r.BelowMinRung }},
		"lowered below the lowest rung": {func(r *recording) {
			r.exchange("b0", 300, setupRequest("d0.2", "j2", "free", 1), 310, emptyResponse(201))
			r.exchange("b0", 400, "PATCH /sessions/d0.2 HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: 6\r\n\r\nrung=0", 410, emptyResponse(204))
		}, func(r *Report) int { return r.BelowMinRung }},
		"over the retry budget": {func(r *recording) {
			for i := range 3 {
				r.exchange("b1", 300+float64(i)*100, setupRequest("d0.2", "j2", "free", 1), 310+float64(i)*100,
					emptyResponse(500))
			}
		}, func(r *Report) int { return r.RetryBudgetExceeded }},
	} {
		r := validRecording()
		c.spoil(r)
		report := verify(r)
		if c.count(report) != 1 || len(report.Violations) != 1 || report.OK() {
			t.Errorf("%s: %d violations of the expected kind, %d in all: %q", name, c.count(report),
				len(report.Violations), report.Violations)
		}
	}
}

// clientFrame returns a masked binary frame that carries m.
func clientFrame(m *pb.ClientMessage) string {
	b, _ := proto.Marshal(m)
	out := []byte{0x82, 0x80 | byte(126), byte(len(b) >> 8), byte(len(b)), 1, 2, 3, 4}
	for i, x := range b {
		out = append(out, x^byte(i&3+1))
	}
	return string(out)
}

// serverFrame returns a binary frame without a mask that carries m.
func serverFrame(m *pb.ServerMessage) string {
	b, _ := proto.Marshal(m)
	return string(append([]byte{0x82, byte(len(b))}, b...))
}

// Requests over the session API are checked by the rules for the manifest path.
func TestSessionAPI(t *testing.T) {
	open := clientFrame(&pb.ClientMessage{Id: 1,
		Body: &pb.ClientMessage_Open{Open: &pb.Open{Token: sessionToken("v-j2", "j2", "paid")}}})
	up := "GET /session HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
		sessionToken("v", "own", "free") + "\r\n\r\n" + open
	back := "HTTP/1.1 101 Switching Protocols\r\n\r\n"
	refused := serverFrame(&pb.ServerMessage{Id: 1, Body: &pb.ServerMessage_Refused{Refused: &pb.Refused{}}})
	for name, c := range map[string]struct {
		back  string
		setup bool
		count func(r *Report) int
	}{
		"valid":       {back + refused, false, nil},
		"no answer":   {back, false, func(r *Report) int { return r.Unanswered }},
		"two answers": {back + refused + refused, false, func(r *Report) int { return r.AnsweredTwice }},
		"answer to an unknown message": {back + refused + serverFrame(&pb.ServerMessage{Id: 9,
			Body: &pb.ServerMessage_Refused{Refused: &pb.Refused{}}}), false,
			func(r *Report) int { return r.AnsweredTwice }},
		"paid refused though it may have run": {back + refused, true, func(r *Report) int { return r.WrongRefusals }},
	} {
		r := validRecording()
		if c.setup {
			r.add(relay.ServerEnd, 320, "b0", r.exchange("b0", 305, setupRequest("d0.2", "j2", "paid", 0), 0, ""), "")
		}
		r.exchange("d0", 300, up, 330, c.back)
		report := verify(r)
		if report.SessionAPIRequests != 1 || report.Requests != 2 {
			t.Fatalf("%s: %+v", name, report)
		}
		if c.count == nil && !report.OK() || c.count != nil && (c.count(report) != 1 || len(report.Violations) != 1) {
			t.Errorf("%s: %q", name, report.Violations)
		}
	}
}

// Checks the peak rates of first requests and of retries. A request that is redirected to another director is not a
// first request.
func TestPeakRates(t *testing.T) {
	r := validRecording()
	for i := range 20 {
		j := fmt.Sprint("r", i)
		r.exchange("d0", 1000+float64(i)*20, manifestRequest(j, "free"), 1005+float64(i)*20, emptyResponse(503))
		if i < 6 {
			r.exchange("d0", 3000+float64(i)*20, manifestRequest(j, "free"), 3005+float64(i)*20, emptyResponse(503))
		}
	}
	r.exchange("d0", 5000, manifestRequest("e", "free"), 5005, emptyResponse(307))
	report := verify(r)
	if report.FirstRequests != 21 || report.FirstRequestsInTime != 1 || report.PeakFirstRequestsPerS != 21 && report.PeakFirstRequestsPerS != 20 ||
		report.PeakRetriesPerS != 6 {
		t.Errorf("%+v", report)
	}
}

// Cases that resemble a violation but are none.
func TestNoFalsePositives(t *testing.T) {
	for name, spoil := range map[string]func(r *recording){
		"viewer disconnected first": func(r *recording) {
			r.add(relay.ClientEnd, 400, "d0", r.exchange("d0", 300, manifestRequest("j2", "free"), 0, ""), "")
		},
		"pending when the director was killed": func(r *recording) {
			r.mark(399, "d0", "killed")
			r.add(relay.ServerEnd, 400, "d0", r.exchange("d0", 300, manifestRequest("j2", "free"), 0, ""), "")
		},
		"paid set up again after an attempt that never ran": func(r *recording) {
			r.exchange("b0", 300, setupRequest("d0.2", "j2", "paid", 0), 310, notRunResponse)
			r.exchange("b1", 320, setupRequest("d0.2", "j2", "paid", 0), 330, emptyResponse(201))
		},
		"paid refused after an attempt that never ran": func(r *recording) {
			r.exchange("d0", 300, manifestRequest("j2", "paid"), 400, emptyResponse(503))
			r.exchange("b0", 310, setupRequest("d0.2", "j2", "paid", 0), 320, notRunResponse)
		},
		"within the grace period of a drain": func(r *recording) {
			r.exchange("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201,
				eventStream(nodeListEvent(false, "draining", "x", 0)))
			r.exchange("b0", 450, setupRequest("d0.2", "j2", "free", 1), 460, emptyResponse(500))
		},
		"after a drain was cancelled": func(r *recording) {
			r.exchange("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201,
				eventStream(nodeListEvent(false, "draining", "x", 0)))
			r.exchange("d0/list", 400, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 401,
				eventStream(nodeListEvent(false, "ready", "x", 0)))
			r.exchange("b0", 900, setupRequest("d0.2", "j2", "free", 1), 910, emptyResponse(500))
		},
		"incomplete request": func(r *recording) {
			r.add(relay.ClientData, 300, "d0", 99, "GET /dash/x/manifest.mpd HTTP/1.1\r\nHo")
		},
	} {
		r := validRecording()
		spoil(r)
		if report := verify(r); !report.OK() {
			t.Errorf("%s: %q", name, report.Violations)
		}
	}
}

// A reported share below 0.98 reduces the worth by Terms.ShortfallPenalty.
func TestShortShareReducesWorth(t *testing.T) {
	r := validRecording()
	r.exchange("b0", 50, "GET /notes?director=d0 HTTP/1.1\r\nHost: x\r\n\r\n", 2140,
		eventStream("event: share\ndata: {\"value\":0.88}\n\n"))
	// From 2.14 s on for 2.5 s at rung 1: 6 x 0.10 of the worth is lost.
	if report := verify(r); report.WorthInTime != 0.55 {
		t.Fatalf("worth %v, want 0.7 - 0.6 x 2.5 / 10", report.WorthInTime)
	}
}
