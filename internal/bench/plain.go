// Package bench measures one director at saturation, side by side with the
// same path on Go's net/http. The peers are as cheap as can be, so that the
// director is what is measured: boxes that answer at once, and clients that
// keep their connections. It decides nothing.
package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"headmill"
	"headmill/decide/discovery"
	"headmill/decide/idempotency"
	"headmill/internal/config"
	"headmill/internal/dash"
	"headmill/internal/http1"
	"headmill/internal/logfile"
	"headmill/internal/orca"
	"headmill/internal/token"
)

// Plain is the manifest path on net/http: the same token check, ledger, module, set-up, manifest and log line,
// with a mutex in place of the loop and without what only the director has (notes, pools with proofs, limits).
type Plain struct {
	mu      sync.Mutex
	cfg     *config.Settings
	check   *token.Checker
	ledger  *idempotency.Ledger
	module  *headmill.Controller
	start   time.Time
	client  *http.Client
	log     *slog.Logger
	session idempotency.SessionID
	waiter  idempotency.RequestID
}

// ServePlain runs it; boxes are their addresses.
func ServePlain(cfg *config.Settings, keys []token.Key, boxes []string, ln net.Listener) error {
	out, err := os.OpenFile(cfg.Log.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p := &Plain{cfg: cfg, check: token.NewChecker(keys, cfg.Tokens.Cache, 0), start: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		log:    slog.New(slog.NewJSONHandler(logfile.New(out, 8192), nil)),
		ledger: idempotency.New(idempotency.Config{MaxEntries: 1 << 20, MaxWaiters: 8, FirstStart: true})}
	if p.module, err = headmill.New(cfg.Module(), 1); err != nil {
		return err
	}
	ev := headmill.Event{Kind: headmill.EvNodes}
	for i, addr := range boxes {
		id, err := discovery.ParseNodeID(addr)
		if err != nil {
			return err
		}
		ev.Nodes = append(ev.Nodes, headmill.Node{ID: id, Cell: i, Weight: 1})
	}
	p.module.Step(0, []headmill.Event{ev}, nil)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dash/{title}/manifest.mpd", p.manifest)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "ok\nboxes %d\n", len(boxes)) })
	return http.Serve(ln, mux)
}

func (p *Plain) now() float64 { return float64(time.Since(p.start).Microseconds()) / 1000 }

func (p *Plain) manifest(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	raw := r.URL.Query().Get("token")
	p.mu.Lock()
	c, err := p.check.Check(raw, began)
	var title *config.Title
	for i := range p.cfg.Titles {
		if p.cfg.Titles[i].Name == r.PathValue("title") {
			title = &p.cfg.Titles[i]
		}
	}
	if err != nil || title == nil || c.Title != title.Name {
		p.mu.Unlock()
		http.Error(w, "token", 401)
		return
	}
	p.session++
	p.waiter++
	s, class := p.session, p.cfg.ClassIndex(title.Class)
	k := &p.cfg.Classes[class]
	begin := false
	for _, a := range p.ledger.Step(p.now(), []idempotency.Event{{Kind: idempotency.RequestArrived, Request: p.waiter, Key: c.ID, Fingerprint: xxhash.Sum64String(title.Name),
		Paid: k.Semantics == "once", TokenAgeMs: c.AgeMs(began), TokenTTLMs: c.TTLMs(began), Session: s}}, nil) {
		begin = begin || a.Kind == idempotency.StartSetup
	}
	var server headmill.NodeID
	rung := 0
	if begin {
		for _, a := range p.module.Step(p.now(), []headmill.Event{{Kind: headmill.EvRequest, Session: headmill.SessionID(s), Class: class,
			Title: xxhash.Sum64String(title.Name), TimeLeftMs: k.GiveUpMs, FirstCell: title.FirstCell, Copies: title.Copies, MaxRung: c.MaxRung}}, nil) {
			switch a.Kind {
			case headmill.ActSetRung:
				rung = a.Rung
			case headmill.ActSetup:
				server = a.Node
			}
		}
	}
	p.mu.Unlock()
	if server == 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", 503)
		return
	}
	form := url.Values{"title": {title.Name}, "class": {title.Class}, "rung": {strconv.Itoa(rung)}, "jti": {c.ID},
		"viewer": {c.Subject}, "brand": {c.Tenant}, "director": {"plain"}, "attempt": {"1"}}
	req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s/sessions/plain.%d", discovery.FormatAddr(server), s), bytes.NewReader([]byte(form.Encode())))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := p.client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), 502)
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	load := orca.Parse(resp.Header.Get(orca.Header))
	id := headmill.SessionID(s)
	p.mu.Lock()
	p.module.Step(p.now(), []headmill.Event{{Kind: headmill.EvAttemptPlaying, Session: id, Node: server},
		{Kind: headmill.EvFeedback, Session: id, Node: server, Feedback: headmill.FeedbackLinkLoad, Value: load.X0}}, nil)
	p.ledger.Step(p.now(), []idempotency.Event{{Kind: idempotency.SetupSucceeded, Session: s}}, nil)
	p.mu.Unlock()
	time.AfterFunc(lifeMs*time.Millisecond, func() {
		p.mu.Lock()
		p.module.Step(p.now(), []headmill.Event{{Kind: headmill.EvAttemptEnded, Session: id, Node: server, Outcome: headmill.Served, SessionOver: true}}, nil)
		p.ledger.Step(p.now(), []idempotency.Event{{Kind: idempotency.SessionEnded, Session: s}}, nil)
		p.mu.Unlock()
	})
	m := dash.Manifest{Base: resp.Header.Get("Location"), Token: raw, DurationMs: title.DurationMs, SegmentMs: p.cfg.Ladder.SegmentMs}
	for i := 0; i <= rung; i++ {
		m.Reps = append(m.Reps, dash.Representation{ID: "r" + strconv.Itoa(i), KBps: p.cfg.Ladder.RateKB[i] * k.RateScale})
	}
	w.Header().Set("Content-Type", "application/dash+xml")
	w.Write(m.Append(nil))
	p.log.Info("answer", "result", "plays", "status", 200, "jti", c.ID, "title", title.Name, "class", title.Class,
		"session", s, "rung", rung, "box", discovery.FormatAddr(server), "took_ms", float64(time.Since(began).Microseconds())/1000)
}

// lifeMs is how long a session of a measurement lasts.
const lifeMs = 200

// Box answers every set-up at once and tells its end after lifeMs. It is as cheap as a peer can be.
type Node struct {
	ln net.Listener
	mu sync.Mutex
	// streams of notes by director; ended sessions go there
	streams map[string]net.Conn
	hold    bool // sessions don't end by themselves
}

// StartBox listens on loopback.
func StartNode() (*Node, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Node{ln: ln, streams: map[string]net.Conn{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

// Addr is where it listens.
func (b *Node) Addr() string { return b.ln.Addr().String() }

func (b *Node) serve(c net.Conn) {
	defer c.Close()
	p := http1.NewRequests(http1.Limits{})
	buf, out := make([]byte, 16<<10), []byte(nil)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		for in := buf[:n]; len(in) > 0; {
			k, done, err := p.Feed(in)
			if err != nil {
				return
			}
			in = in[k:]
			if !done {
				break
			}
			if string(p.Msg.Method) == "GET" {
				b.notes(c, string(p.Msg.Target))
				return
			}
			if string(p.Msg.Method) != "PUT" {
				if _, err := c.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n")); err != nil {
					return
				}
				p.Next()
				continue
			}
			name := string(p.Msg.Target[len("/sessions/"):])
			out = http1.AppendStatus(out[:0], 201)
			out = append(out, "endpoint-load-metrics: TEXT named_metrics.inflight=10, named_metrics.x0=0.3, named_metrics.x1=0.3\r\nLocation: http://"...)
			out = append(append(append(out, b.Addr()...), "/v/"...), name...)
			out = append(out, "/\r\nContent-Length: 0\r\n\r\n"...)
			if _, err := c.Write(out); err != nil {
				return
			}
			p.Next()
			b.end(name)
		}
	}
}

func (b *Node) end(name string) {
	b.mu.Lock()
	hold := b.hold
	b.mu.Unlock()
	if hold {
		return
	}
	time.AfterFunc(lifeMs*time.Millisecond, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, c := range b.streams {
			data, _ := json.Marshal(map[string]string{"session": name, "why": "done"})
			fmt.Fprintf(c, "event: ended\ndata: %s\n\n", data)
		}
	})
}

func (b *Node) notes(c net.Conn, target string) {
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: hello\ndata: {\"boot\":\"x\",\"sessions\":[]}\n\n")
	b.mu.Lock()
	b.streams[target] = c
	b.mu.Unlock()
	for {
		time.Sleep(500 * time.Millisecond)
		b.mu.Lock()
		_, err := fmt.Fprint(c, ":\n\n")
		b.mu.Unlock()
		if err != nil {
			return
		}
	}
}
