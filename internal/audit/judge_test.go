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

// rec builds a record by hand, in the place of relays.
type rec struct {
	recs []relay.Record
	conn int
}

func (r *rec) add(k relay.Kind, at float64, name string, conn int, text string) {
	r.recs = append(r.recs, relay.Record{Kind: k, AtMs: at, Tap: name, Conn: conn, Data: []byte(text)})
}

func (r *rec) mark(at float64, name, text string) {
	r.recs = append(r.recs, relay.Record{Kind: relay.Mark, AtMs: at, Tap: name, Text: text})
}

// pass is one request with its answer on a connection of its own; an empty answer: none came.
func (r *rec) pass(name string, at float64, req string, answered float64, answer string) int {
	r.conn++
	r.add(relay.Open, at, name, r.conn, "")
	r.add(relay.Forth, at, name, r.conn, req)
	if answer != "" {
		r.add(relay.Back, answered, name, r.conn, answer)
	}
	return r.conn
}

func raw(sub, jti, class string) string {
	p := fmt.Sprintf(`{"jti":%q,"sub":%q,"title":"%s-title","class":%q,"top":1}`, jti, sub, class, class)
	return "e30." + base64.RawURLEncoding.EncodeToString([]byte(p)) + ".sig"
}

func get(jti, class string) string {
	return fmt.Sprintf("GET /dash/%s-title/manifest.mpd?token=%s HTTP/1.1\r\nHost: x\r\n\r\n", class, raw("v-"+jti, jti, class))
}

func ok(session string) string {
	body := "<MPD><BaseURL>http://127.0.0.1:9/v/" + session + "/</BaseURL></MPD>"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func status(code int) string { return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", code) }

func put(session, jti, class string, rung int) string {
	body := fmt.Sprintf("jti=%s&class=%s&title=%s-title&director=d0&rung=%d", jti, class, class, rung)
	return fmt.Sprintf("PUT /sessions/%s HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: %d\r\n\r\n%s",
		session, len(body), body)
}

const neverRan = "HTTP/1.1 503 X\r\nContent-Type: application/problem+json\r\nContent-Length: 13\r\n\r\n{\"ran\":false}"

func stream(events ...string) string {
	body := strings.Join(events, "")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
}

func listed(full bool, state, boot string, up float64) string {
	return fmt.Sprintf("data: {\"full\":%v,\"servers\":[{\"addr\":\"a0\",\"state\":%q,\"boot\":%q,\"up_ms\":%v}]}\n\n", full, state, boot, up)
}

func terms() Terms {
	return Terms{Classes: map[string]Class{"paid": {AtMostOnce: true, TargetMs: 500, GiveUpMs: 1000, Value: 3, Seats: 3},
		"free": {TargetMs: 500, GiveUpMs: 1000, Value: 1, Floor: 1}},
		Titles: map[string]Title{"paid-title": {"paid", 10000}, "free-title": {"free", 10000}},
		Boxes:  map[string]string{"a0": "b0", "a1": "b1"}, Worth: []float64{0.5, 1}, SlackMs: 40, GraceMs: 250, Places: 20,
		WarmMs: 10000, ColdFrom: 0.5, Factor: 2, TipMs: 1000, Shortfall: 6, Rationed: true, MinExtra: 1, Ratio: 0, LookBack: 5000}
}

// day is a record in which every rule is kept: one session set up, played, its rung raised, ended.
func day() *rec {
	r := &rec{}
	r.pass("d0/list", 0, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 1, stream(listed(true, "ready", "x", 0)))
	r.pass("d0", 100, get("j1", "paid"), 140, ok("d0.1"))
	r.pass("b0", 110, put("d0.1", "j1", "paid", 0), 135, status(201))
	r.pass("b0", 2140, "PATCH /sessions/d0.1 HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: 6\r\n\r\nrung=1", 2150, status(204))
	r.pass("b0", 8140, "DELETE /sessions/d0.1 HTTP/1.1\r\nHost: x\r\n\r\n", 8150, status(204))
	return r
}

// judged sorts as relays record: by time.
func judged(r *rec) *Report {
	sort.SliceStable(r.recs, func(i, j int) bool { return r.recs[i].AtMs < r.recs[j].AtMs })
	return Judge(r.recs, terms())
}

func TestAKeptDay(t *testing.T) {
	rep := judged(day())
	if !rep.OK() || rep.Asked != 1 || rep.AnsweredOnce != 1 || rep.Plays != 1 || rep.Setups != 1 || rep.SetupP50 != 40 {
		t.Fatalf("%+v", rep)
	}
	// 2 s at 0.5 and 6 s at 1 of 10 s at 1.
	if rep.WorthInTime != 0.7 {
		t.Fatalf("worth %v, want 0.7", rep.WorthInTime)
	}
}

// Each rule, broken once in a day that is else kept: the auditor finds that one and no other.
func TestEveryBrokenRuleIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(r *rec)
		count func(r *Report) int
	}{
		"no answer": {func(r *rec) { r.pass("d0", 300, get("j2", "free"), 0, "") },
			func(r *Report) int { return r.Unanswered }},
		"closed without an answer": {func(r *rec) { r.add(relay.BackEnd, 400, "d0", r.pass("d0", 300, get("j2", "free"), 0, ""), "") },
			func(r *Report) int { return r.Unanswered }},
		"half an answer": {func(r *rec) {
			r.pass("d0", 300, get("j2", "free"), 310, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		},
			func(r *Report) int { return r.Unanswered }},
		"late answer": {func(r *rec) { r.pass("d0", 300, get("j2", "free"), 1341, status(504)) },
			func(r *Report) int { return r.Unanswered }},
		"two answers": {func(r *rec) { r.pass("d0", 300, get("j2", "free"), 310, status(503)+status(503)) },
			func(r *Report) int { return r.AnsweredTwice }},
		"paid again after it may have run": {func(r *rec) {
			r.pass("b0", 300, put("d0.2", "j2", "paid", 0), 310, status(500))
			r.pass("b1", 400, put("d0.3", "j2", "paid", 0), 410, neverRan)
		}, func(r *Report) int { return r.PaidTwice }},
		"paid again while it is out": {func(r *rec) {
			r.pass("b0", 300, put("d0.2", "j2", "paid", 0), 900, neverRan)
			r.pass("b1", 400, put("d0.3", "j2", "paid", 0), 910, neverRan)
		}, func(r *Report) int { return r.PaidTwice }},
		"paid at two directors": {func(r *rec) {
			r.pass("b0", 300, strings.ReplaceAll(put("d1.2", "j1", "paid", 0), "director=d0", "director=d1"), 310, neverRan)
		}, func(r *Report) int { return r.PaidTwice }},
		"paid refused after it may have run": {func(r *rec) {
			r.pass("d0", 300, get("j2", "paid"), 400, status(503))
			r.add(relay.BackEnd, 390, "b0", r.pass("b0", 310, put("d0.2", "j2", "paid", 0), 0, ""), "")
		}, func(r *Report) int { return r.WrongRefusals }},
		"two attempts out": {func(r *rec) {
			r.pass("b0", 300, put("d0.2", "j2", "free", 1), 700, status(500))
			r.pass("b1", 500, put("d0.2", "j2", "free", 1), 510, status(500))
		}, func(r *Report) int { return r.TwoAttempts }},
		"another attempt while it plays": {func(r *rec) {
			r.pass("b0", 300, put("d0.2", "j2", "free", 1), 310, status(201))
			r.pass("b1", 500, put("d0.2", "j2", "free", 1), 510, status(500))
		}, func(r *Report) int { return r.TwoAttempts }},
		"sent after a drain": {func(r *rec) {
			r.pass("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201, stream(listed(false, "draining", "x", 0)))
			r.pass("b0", 452, put("d0.2", "j2", "free", 1), 460, status(500))
		}, func(r *Report) int { return r.DrainLate }},
		"sent after it left the list": {func(r *rec) {
			r.pass("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201, stream("data: {\"full\":true,\"servers\":[]}\n\n"))
			r.pass("b0", 452, put("d0.2", "j2", "free", 1), 460, status(500))
		}, func(r *Report) int { return r.DrainLate }},
		"cold box pushed": {func(r *rec) { // 2 a second at most, so 4 in a second and two for chance
			r.pass("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201, stream(listed(false, "ready", "y", 1)))
			for i := range 7 {
				s := fmt.Sprint("d0.", i+2)
				r.pass("b0", 300+float64(i)*10, put(s, "j"+s, "free", 1), 305+float64(i)*10, status(500))
			}
		}, func(r *Report) int { return r.ColdPushed }},
		"fell over": {func(r *rec) { r.mark(500, "b0", "fell") }, func(r *Report) int { return r.ColdPushed }},
		"over the seats": {func(r *rec) {
			r.pass("b0", 300, put("d0.2", "j2", "paid", 0), 310, status(201))
			r.pass("b0", 320, put("d0.4", "j4", "paid", 0), 330, status(201))
			r.pass("b0", 400, put("d0.3", "j3", "paid", 0), 500, neverRan)
		}, func(r *Report) int { return r.SeatsExceeded }},
		"set up under the floor": {func(r *rec) { r.pass("b0", 300, put("d0.2", "j2", "free", 0), 310, status(500)) },
			func(r *Report) int { return r.UnderFloor }},
		"lowered under the floor": {func(r *rec) {
			r.pass("b0", 300, put("d0.2", "j2", "free", 1), 310, status(201))
			r.pass("b0", 400, "PATCH /sessions/d0.2 HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\nContent-Length: 6\r\n\r\nrung=0", 410, status(204))
		}, func(r *Report) int { return r.UnderFloor }},
		"over the ration": {func(r *rec) {
			for i := range 3 {
				r.pass("b1", 300+float64(i)*100, put("d0.2", "j2", "free", 1), 310+float64(i)*100, status(500))
			}
		}, func(r *Report) int { return r.RationExceeded }},
	} {
		r := day()
		c.spoil(r)
		rep := judged(r)
		if c.count(rep) != 1 || len(rep.Broken) != 1 || rep.OK() {
			t.Errorf("%s: %d found, %d in all: %q", name, c.count(rep), len(rep.Broken), rep.Broken)
		}
	}
}

// client is a masked binary frame, server one that is not.
func client(m *pb.ClientMessage) string {
	b, _ := proto.Marshal(m)
	out := []byte{0x82, 0x80 | byte(126), byte(len(b) >> 8), byte(len(b)), 1, 2, 3, 4}
	for i, x := range b {
		out = append(out, x^byte(i&3+1))
	}
	return string(out)
}

func server(m *pb.ServerMessage) string {
	b, _ := proto.Marshal(m)
	return string(append([]byte{0x82, byte(len(b))}, b...))
}

// The session API is judged as the manifest path is.
func TestSessionAPI(t *testing.T) {
	open := client(&pb.ClientMessage{Id: 1, Body: &pb.ClientMessage_Open{Open: &pb.Open{Token: raw("v-j2", "j2", "paid")}}})
	up := "GET /session HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + raw("v", "own", "free") + "\r\n\r\n" + open
	back := "HTTP/1.1 101 Switching Protocols\r\n\r\n"
	refused := server(&pb.ServerMessage{Id: 1, Body: &pb.ServerMessage_Refused{Refused: &pb.Refused{}}})
	for name, c := range map[string]struct {
		back  string
		setup bool
		count func(r *Report) int
	}{
		"kept":        {back + refused, false, nil},
		"no answer":   {back, false, func(r *Report) int { return r.Unanswered }},
		"two answers": {back + refused + refused, false, func(r *Report) int { return r.AnsweredTwice }},
		"an answer too many": {back + refused + server(&pb.ServerMessage{Id: 9, Body: &pb.ServerMessage_Refused{Refused: &pb.Refused{}}}), false,
			func(r *Report) int { return r.AnsweredTwice }},
		"paid refused though it may have run": {back + refused, true, func(r *Report) int { return r.WrongRefusals }},
	} {
		r := day()
		if c.setup {
			r.add(relay.BackEnd, 320, "b0", r.pass("b0", 305, put("d0.2", "j2", "paid", 0), 0, ""), "")
		}
		r.pass("d0", 300, up, 330, c.back)
		rep := judged(r)
		if rep.Sockets != 1 || rep.Asked != 2 {
			t.Fatalf("%s: %+v", name, rep)
		}
		if c.count == nil && !rep.OK() || c.count != nil && (c.count(rep) != 1 || len(rep.Broken) != 1) {
			t.Errorf("%s: %q", name, rep.Broken)
		}
	}
}

// A rush and its returns are counted in their seconds; shown the way elsewhere is no first try.
func TestRushAndReturns(t *testing.T) {
	r := day()
	for i := range 20 {
		j := fmt.Sprint("r", i)
		r.pass("d0", 1000+float64(i)*20, get(j, "free"), 1005+float64(i)*20, status(503))
		if i < 6 {
			r.pass("d0", 3000+float64(i)*20, get(j, "free"), 3005+float64(i)*20, status(503))
		}
	}
	r.pass("d0", 5000, get("e", "free"), 5005, status(307))
	rep := judged(r)
	if rep.FirstTries != 21 || rep.FirstInTime != 1 || rep.RushPerS != 21 && rep.RushPerS != 20 || rep.ReturnsPerS != 6 {
		t.Errorf("%+v", rep)
	}
}

// What only looks like a broken rule is not one.
func TestNoFalseAlarm(t *testing.T) {
	for name, spoil := range map[string]func(r *rec){
		"viewer left first": func(r *rec) { r.add(relay.ForthEnd, 400, "d0", r.pass("d0", 300, get("j2", "free"), 0, ""), "") },
		"went with its director": func(r *rec) {
			r.mark(399, "d0", "killed")
			r.add(relay.BackEnd, 400, "d0", r.pass("d0", 300, get("j2", "free"), 0, ""), "")
		},
		"paid again after the box's word": func(r *rec) {
			r.pass("b0", 300, put("d0.2", "j2", "paid", 0), 310, neverRan)
			r.pass("b1", 320, put("d0.2", "j2", "paid", 0), 330, status(201))
		},
		"paid refused after the box's word": func(r *rec) {
			r.pass("d0", 300, get("j2", "paid"), 400, status(503))
			r.pass("b0", 310, put("d0.2", "j2", "paid", 0), 320, neverRan)
		},
		"within the grace of a drain": func(r *rec) {
			r.pass("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201, stream(listed(false, "draining", "x", 0)))
			r.pass("b0", 450, put("d0.2", "j2", "free", 1), 460, status(500))
		},
		"after a drain was taken back": func(r *rec) {
			r.pass("d0/list", 200, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 201, stream(listed(false, "draining", "x", 0)))
			r.pass("d0/list", 400, "GET /list HTTP/1.1\r\nHost: x\r\n\r\n", 401, stream(listed(false, "ready", "x", 0)))
			r.pass("b0", 900, put("d0.2", "j2", "free", 1), 910, status(500))
		},
		"a request cut short": func(r *rec) { r.add(relay.Forth, 300, "d0", 99, "GET /dash/x/manifest.mpd HTTP/1.1\r\nHo") },
	} {
		r := day()
		spoil(r)
		if rep := judged(r); !rep.OK() {
			t.Errorf("%s: %q", name, rep.Broken)
		}
	}
}

// A share that falls short costs worth, as the terms say.
func TestWorthFollowsShares(t *testing.T) {
	r := day()
	r.pass("b0", 50, "GET /notes?director=d0 HTTP/1.1\r\nHost: x\r\n\r\n", 2140, stream("event: share\ndata: {\"value\":0.88}\n\n"))
	// From 2.14 s on for 2.5 s at rung 1: 6 x 0.10 of the worth is lost.
	if rep := judged(r); rep.WorthInTime != 0.55 {
		t.Fatalf("worth %v, want 0.7 - 0.6 x 2.5 / 10", rep.WorthInTime)
	}
}
