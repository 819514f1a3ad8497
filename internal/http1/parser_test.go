package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// parseInParts feeds whole to a new parser in parts of the given size; it returns every message as text, and the error.
func parseInParts(p *Parser, whole []byte, size int) (out []string, err error) {
	var rest []byte
	for len(whole) > 0 || len(rest) > 0 {
		n := min(size, len(whole))
		rest = append(rest, whole[:n]...)
		whole = whole[n:]
		for len(rest) > 0 {
			k, done, e := p.Feed(rest)
			rest = rest[k:]
			if e != nil {
				return out, e
			}
			if !done {
				break
			}
			out = append(out, render(&p.Msg))
			p.Next()
		}
		if len(rest) > 0 {
			return out, errors.New("the parser did not consume all bytes of an incomplete message")
		}
		if n == 0 {
			break
		}
	}
	return out, nil
}

func render(m *Message) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %d close=%v", m.Method, m.Target, m.Status, m.Minor, m.Close)
	for _, f := range m.Fields {
		fmt.Fprintf(&b, "|%s=%s", f.Name, f.Value)
	}
	fmt.Fprintf(&b, "|body=%q", m.Body)
	return b.String()
}

const testStream = "GET /a?b=c HTTP/1.1\r\nHost: x\r\nAccept: */*\r\n\r\n" +
	"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello" +
	"\r\nPUT /c HTTP/1.1\r\nhost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
	"3;ext=1\r\nabc\r\nA \r\n0123456789\r\n0\r\nTrail: er\r\n\r\n" +
	"GET /z HTTP/1.0\r\n\r\n"

func TestAnySplitGivesSameResult(t *testing.T) {
	want, err := parseInParts(NewRequests(Limits{}), []byte(testStream), len(testStream))
	if err != nil || len(want) != 4 {
		t.Fatalf("whole: %d messages, %v", len(want), err)
	}
	if want[1] != `POST /p 0 1 close=false|Host=x|Content-Length=5|body="hello"` ||
		!strings.HasSuffix(want[2], `body="abc0123456789"`) || !strings.Contains(want[3], "close=true") {
		t.Fatalf("parsed as %q", want)
	}
	for size := 1; size < len(testStream); size++ {
		got, err := parseInParts(NewRequests(Limits{}), []byte(testStream), size)
		if err != nil || strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("parts of %d: %q, %v", size, got, err)
		}
	}
}

// Each of these messages is read differently by some pair of servers, or is unbounded. All are rejected, in one piece and
// byte by byte, with the status for the response.
func TestSmugglingAndLimits(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: x\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"both lengths":           {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two lengths":            {head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		"list of lengths":        {head + "Content-Length: 3, 3\r\n\r\nabc", 400},
		"signed length":          {head + "Content-Length: +3\r\n\r\nabc", 400},
		"length too great":       {head + "Content-Length: 99999999999999999999\r\n\r\n", 400},
		"gzip, chunked":          {head + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"two codings":            {head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
		"odd coding":             {head + "Transfer-Encoding: xchunked\r\n\r\n", 501},
		"chunked in 1.0":         {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"folding":                {head + "A: b\r\n c\r\n\r\n", 400},
		"space before colon":     {head + "Content-Length : 3\r\n\r\nabc", 400},
		"space in name":          {head + "Content Length: 3\r\n\r\nabc", 400},
		"no name":                {head + ": 3\r\n\r\n", 400},
		"bare LF":                {"GET / HTTP/1.1\nHost: x\n\n\r\n\r\n", 400},
		"bare LF in a field":     {head + "A: b\nC: d\r\n\r\n", 400},
		"bare CR in a field":     {head + "A: b\rC: d\r\n\r\n", 400},
		"NUL in a value":         {head + "A: b\x00\r\n\r\n", 400},
		"no Host":                {"GET / HTTP/1.1\r\n\r\n", 400},
		"two Hosts":              {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"two spaces":             {"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"space in target":        {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"version 2":              {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
		"no version":             {"GET /\r\nHost: a\r\n\r\n", 400},
		"chunk size not hex":     {head + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n", 400},
		"chunk size negative":    {head + "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n", 400},
		"chunk size too great":   {head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffff\r\n", 400},
		"chunk longer than size": {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", 400},
		"chunk ended by LF":      {head + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n", 400},
		"body over the limit":    {head + "Content-Length: 101\r\n\r\n", 413},
		"chunks over the limit":  {head + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("a", 101) + "\r\n0\r\n\r\n", 413},
		"line without end":       {"GET /" + strings.Repeat("a", 300), 414},
		"line too long":          {"GET /" + strings.Repeat("a", 200) + " HTTP/1.1\r\nHost: a\r\n\r\n", 414},
		"header without end":     {head + strings.Repeat("A: bbbbbbbbbbbbbbbbbbbbbbbb\r\n", 30), 431},
		"too many fields":        {head + strings.Repeat("A: b\r\n", 9) + "\r\n", 431},
		"trailer without end":    {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: bbbbbbbb\r\n", 60), 431},
		"only empty lines":       {strings.Repeat("\r\n", 40), 400},
	} {
		for _, size := range []int{1, 7, len(c.text)} {
			_, err := parseInParts(NewRequests(Limits{Line: 128, Head: 512, Fields: 8, Body: 100}), []byte(c.text), size)
			var he *Error
			if !errors.As(err, &he) {
				t.Errorf("%s, parts of %d: accepted (%v)", name, size, err)
			} else if he.Status != c.status {
				t.Errorf("%s, parts of %d: status %d (%v), want %d", name, size, he.Status, err, c.status)
			}
		}
	}
}

func TestResponses(t *testing.T) {
	p := NewResponses(Limits{})
	got, err := parseInParts(p, []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"+
		"HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\n\r\nuntil the end"), 3)
	if err != nil || len(got) != 3 {
		t.Fatalf("%q %v", got, err)
	}
	if done, err := p.End(); !done || err != nil || string(p.Msg.Body) != "until the end" || !p.Msg.Close {
		t.Fatalf("at the end: %v %v %q", done, err, p.Msg.Body)
	}
	p = NewResponses(Limits{})
	p.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"))
	if done, err := p.End(); done || err == nil {
		t.Fatal("an incomplete response is reported as complete")
	}
	for _, text := range []string{"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 abc OK\r\n\r\n",
		"ICY 200 OK\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n"} {
		if _, err := parseInParts(NewResponses(Limits{}), []byte(text), len(text)); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

// Where both this parser and net/http accept a request, they must read it alike, so that no message has two meanings.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(testStream), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, text []byte, part uint8) {
		l := Limits{Line: 256, Head: 1024, Fields: 16, Body: 512}
		whole, err := parseInParts(NewRequests(l), text, max(len(text), 1))
		split, err2 := parseInParts(NewRequests(l), text, int(part)+1)
		if (err == nil) != (err2 == nil) || strings.Join(whole, "\n") != strings.Join(split, "\n") {
			t.Fatalf("whole: %q %v\nsplit: %q %v", whole, err, split, err2)
		}
		p := NewRequests(l)
		n, done, _ := p.Feed(text)
		if !done {
			return
		}
		m := &p.Msg
		r, herr := http.ReadRequest(bufferedReader(text[:n]))
		if herr != nil {
			return // net/http is stricter about the target; what it rejects it cannot read differently
		}
		if r.Method != string(m.Method) || r.RequestURI != string(m.Target) {
			t.Fatalf("%q %q, net/http has %q %q", m.Method, m.Target, r.Method, r.RequestURI)
		}
		var body bytes.Buffer
		if _, herr := body.ReadFrom(r.Body); herr != nil || !bytes.Equal(body.Bytes(), m.Body) {
			t.Fatalf("body %q, net/http has %q %v", m.Body, body.Bytes(), herr)
		}
	})
}

func FuzzResponses(f *testing.F) {
	f.Add([]byte("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"), uint8(1))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), uint8(4))
	f.Fuzz(func(t *testing.T, text []byte, part uint8) {
		l := Limits{Line: 256, Head: 1024, Fields: 16, Body: 512}
		whole, err := parseInParts(NewResponses(l), text, max(len(text), 1))
		split, err2 := parseInParts(NewResponses(l), text, int(part)+1)
		if (err == nil) != (err2 == nil) || strings.Join(whole, "\n") != strings.Join(split, "\n") {
			t.Fatalf("whole: %q %v\nsplit: %q %v", whole, err, split, err2)
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("event: a\ndata: b\n\n: c\r\n\r\ndata\ndata: d\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, part uint8) {
		read := func(size int) string {
			e, out := EventParser{Max: 128}, ""
			for b := text; len(b) > 0; {
				n := min(size, len(b))
				if e.Feed(b[:n], func(k, d []byte) { out += fmt.Sprintf("%q:%q;", k, d) }) != nil {
					return out + "error"
				}
				b = b[n:]
			}
			return out
		}
		if a, b := read(max(len(text), 1)), read(int(part)+1); a != b {
			t.Fatalf("whole %s, split %s", a, b)
		}
	})
}

func TestEvents(t *testing.T) {
	var got []string
	e := EventParser{}
	err := e.Feed([]byte("event: hello\ndata: {\"a\":1}\n\n:\n\ndata: x\r\ndata: y\r\n\r\nevent: none\n\n"),
		func(k, d []byte) { got = append(got, string(k)+"="+string(d)) })
	if err != nil || strings.Join(got, ";") != `hello={"a":1};message=x`+"\ny" {
		t.Fatalf("%q %v", got, err)
	}
	small := EventParser{Max: 10}
	if small.Feed([]byte("data: 0123456789"), func(_, _ []byte) {}) == nil {
		t.Fatal("an event over the limit is accepted")
	}
}

// An untrusted header value cannot inject a header field.
func TestFieldsCannotBeSplit(t *testing.T) {
	b := AppendField(nil, "Location", "x\r\nSet-Cookie: a\x00")
	if string(b) != "Location: x  Set-Cookie: a \r\n" {
		t.Fatalf("%q", b)
	}
}

func BenchmarkRequest(b *testing.B) {
	text := []byte("GET /dash/plan-basics/manifest.mpd?token=" + strings.Repeat("x", 330) +
		" HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nUser-Agent: player/1.0\r\nAccept: */*\r\nAccept-Encoding: gzip\r\n\r\n")
	p := NewRequests(Limits{})
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, done, err := p.Feed(text); !done || err != nil {
			b.Fatal(err)
		}
		p.Next()
	}
}

func bufferedReader(b []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(b)) }
