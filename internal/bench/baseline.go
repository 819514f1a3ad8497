// Package bench measures one director at saturation, beside the same path on
// net/http.
//
// Load, IdleConnectionBytes and MeasureWebSockets take the address of a running
// server, and its process ID where they measure memory. They return session
// rates, latencies and the memory per connection. The peers do as little work as
// possible, so that the server dominates the measurement: a Node answers set-ups
// at once, and clients keep their connections. ServeBaseline runs the server to compare with. The
// package only measures and sets no limits for the results.
package bench

import (
	"bytes"
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
	"headmill/internal/logfile"
	"headmill/internal/orca"
	"headmill/internal/token"
)

// Baseline serves the manifest path on net/http, for comparison with the director. It has the same token check,
// idempotency ledger, decision module, set-up, manifest and log line, with a mutex in place of the event loop. It
// lacks what only the director has: the media nodes' event streams, connection pools that prove whether a set-up
// was sent, and limits.
type Baseline struct {
	mu          sync.Mutex
	settings    *config.Settings
	checker     *token.Checker
	ledger      *idempotency.Ledger
	controller  *headmill.Controller
	startedAt   time.Time
	client      *http.Client
	log         *slog.Logger
	lastSession idempotency.SessionID
	lastRequest idempotency.RequestID
}

// ServeBaseline runs a Baseline server on listener with media nodes at the given addresses.
func ServeBaseline(settings *config.Settings, keys []token.Key, nodes []string, listener net.Listener) error {
	out, err := os.OpenFile(settings.Log.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	b := &Baseline{settings: settings, checker: token.NewChecker(keys, settings.Tokens.Cache, 0), startedAt: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}, // connections
		log:    slog.New(slog.NewJSONHandler(logfile.New(out, 8192), nil)),         // queue of 8192 lines
		ledger: idempotency.New(idempotency.Config{MaxEntries: 1 << 20, MaxWaiters: 8, FirstStart: true})}
	if b.controller, err = headmill.New(settings.ModuleConfig(), 1); err != nil {
		return err
	}
	event := headmill.Event{Kind: headmill.EvNodes}
	for i, addr := range nodes {
		id, err := discovery.ParseNodeID(addr)
		if err != nil {
			return err
		}
		event.Nodes = append(event.Nodes, headmill.Node{ID: id, Cell: i, Weight: 1})
	}
	b.controller.Step(0, []headmill.Event{event}, nil)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dash/{title}/manifest.mpd", b.handleManifest)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "ok\nboxes %d\n", len(nodes))
	})
	return http.Serve(listener, mux)
}

// nowMs returns the time since the server's start in ms.
func (b *Baseline) nowMs() float64 { return float64(time.Since(b.startedAt).Microseconds()) / 1000 }

func (b *Baseline) handleManifest(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	rawToken := r.URL.Query().Get("token")
	b.mu.Lock()
	claims, err := b.checker.Check(rawToken, startedAt)
	var title *config.Title
	for i := range b.settings.Titles {
		if b.settings.Titles[i].Name == r.PathValue("title") {
			title = &b.settings.Titles[i]
		}
	}
	if err != nil || title == nil || claims.Title != title.Name {
		b.mu.Unlock()
		http.Error(w, "token", http.StatusUnauthorized)
		return
	}
	b.lastSession++
	b.lastRequest++
	session, classIndex := b.lastSession, b.settings.ClassIndex(title.Class)
	class := &b.settings.Classes[classIndex]
	startSetup := false
	for _, action := range b.ledger.Step(b.nowMs(), []idempotency.Event{{Kind: idempotency.RequestArrived,
		Request: b.lastRequest, Key: claims.ID, Fingerprint: xxhash.Sum64String(title.Name),
		Paid: class.Semantics == "once", TokenAgeMs: claims.AgeMs(startedAt), TokenTTLMs: claims.TTLMs(startedAt),
		Session: session}}, nil) {
		startSetup = startSetup || action.Kind == idempotency.StartSetup
	}
	var node headmill.NodeID
	rung := 0
	if startSetup {
		for _, action := range b.controller.Step(b.nowMs(), []headmill.Event{{Kind: headmill.EvRequest,
			Session: headmill.SessionID(session), Class: classIndex, Title: xxhash.Sum64String(title.Name),
			TimeLeftMs: class.GiveUpMs, FirstCell: title.FirstCell, Copies: title.Copies,
			MaxRung: claims.MaxRung}}, nil) {
			switch action.Kind {
			case headmill.ActSetRung:
				rung = action.Rung
			case headmill.ActSetup:
				node = action.Node
			}
		}
	}
	b.mu.Unlock()
	if node == 0 {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	form := url.Values{"title": {title.Name}, "class": {title.Class}, "rung": {strconv.Itoa(rung)}, "jti": {claims.ID},
		"viewer": {claims.Subject}, "brand": {claims.Tenant}, "director": {"plain"}, "attempt": {"1"}}
	req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s/sessions/plain.%d", discovery.FormatAddr(node), session),
		bytes.NewReader([]byte(form.Encode())))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := b.client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	load := orca.Parse(resp.Header.Get(orca.Header))
	id := headmill.SessionID(session)
	b.mu.Lock()
	b.controller.Step(b.nowMs(), []headmill.Event{{Kind: headmill.EvAttemptPlaying, Session: id, Node: node},
		{Kind: headmill.EvFeedback, Session: id, Node: node, Feedback: headmill.FeedbackLinkLoad, FeedbackValue: load.LinkLoad}}, nil)
	b.ledger.Step(b.nowMs(), []idempotency.Event{{Kind: idempotency.SetupSucceeded, Session: session}}, nil)
	b.mu.Unlock()
	time.AfterFunc(sessionMs*time.Millisecond, func() {
		b.mu.Lock()
		b.controller.Step(b.nowMs(), []headmill.Event{{Kind: headmill.EvAttemptEnded, Session: id, Node: node,
			Outcome: headmill.OutcomeServed, SessionOver: true}}, nil)
		b.ledger.Step(b.nowMs(), []idempotency.Event{{Kind: idempotency.SessionEnded, Session: session}}, nil)
		b.mu.Unlock()
	})
	manifest := dash.Manifest{BaseURL: resp.Header.Get("Location"), Token: rawToken, DurationMs: title.DurationMs,
		SegmentMs: b.settings.Ladder.SegmentMs}
	for i := 0; i <= rung; i++ {
		manifest.Representations = append(manifest.Representations, dash.Representation{ID: "r" + strconv.Itoa(i),
			KBps: b.settings.Ladder.RateKB[i] * class.RateScale})
	}
	w.Header().Set("Content-Type", "application/dash+xml")
	w.Write(manifest.Append(nil))
	b.log.Info("answer", "result", "plays", "status", 200, "jti", claims.ID, "title", title.Name, "class", title.Class,
		"session", session, "rung", rung, "box", discovery.FormatAddr(node),
		"took_ms", float64(time.Since(startedAt).Microseconds())/1000)
}
