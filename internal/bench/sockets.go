package bench

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/coder/websocket"
	"google.golang.org/protobuf/proto"

	pb "headmill/internal/api/sessionv1"
)

// SocketResult is what many players on one director cost.
type SocketResult struct {
	Connections int     `json:"connections"`
	BytesEach   float64 `json:"bytes_each"`   // resident memory with one session each
	OpenedPerS  float64 `json:"opened_per_s"` // sessions
	Pushed      int64   `json:"rung_pushes"`
	P50Ms       float64 `json:"push_p50_ms"` // from the note that caused them to the player
	P99Ms       float64 `json:"push_p99_ms"`
	MaxMs       float64 `json:"push_max_ms"`
}

// Sockets opens connections with one session each, then calls push, which makes the director change all rungs,
// and measures when the players hear of it.
func Sockets(addr string, pid int, tokens []string, push func(), wait time.Duration) (r SocketResult, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := Resident(pid)
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var pushed atomic.Int64
	var began atomic.Int64 // of the push, ns; 0: not yet
	gate := make(chan struct{}, 64)
	errs := make(chan error, len(tokens))
	start := time.Now()
	for _, tok := range tokens {
		gate <- struct{}{}
		go func() {
			c, _, err := websocket.Dial(ctx, "ws://"+addr+"/session", &websocket.DialOptions{
				Subprotocols: []string{"headmill.session.v1+proto"}, CompressionMode: websocket.CompressionDisabled,
				HTTPHeader: http.Header{"Authorization": {"Bearer " + tok}}})
			if err == nil {
				b, _ := proto.Marshal(&pb.ClientMessage{Id: 1, Body: &pb.ClientMessage_Open{Open: &pb.Open{}}})
				err = c.Write(ctx, websocket.MessageBinary, b)
			}
			var m pb.ServerMessage
			if err == nil {
				var b []byte
				if _, b, err = c.Read(ctx); err == nil {
					err = proto.Unmarshal(b, &m)
				}
			}
			if err == nil && m.GetPlaying() == nil {
				err = fmt.Errorf("bench: %v", strings.TrimSpace(m.String()))
			}
			<-gate
			errs <- err
			if err != nil {
				return
			}
			for {
				_, b, err := c.Read(ctx)
				if err != nil {
					return
				}
				at := time.Now().UnixNano()
				if proto.Unmarshal(b, &m) != nil || m.GetRung() == nil || began.Load() == 0 {
					continue
				}
				pushed.Add(1)
				mu.Lock()
				hist.RecordValue((at - began.Load()) / 1000)
				mu.Unlock()
			}
		}()
	}
	for range tokens {
		if e := <-errs; e != nil && err == nil {
			err = e
		}
	}
	if err != nil {
		return r, err
	}
	r.Connections, r.OpenedPerS = len(tokens), float64(len(tokens))/time.Since(start).Seconds()
	time.Sleep(time.Second)
	r.BytesEach = (Resident(pid) - before) / float64(len(tokens))
	began.Store(time.Now().UnixNano())
	push()
	for last, end := int64(-1), time.Now().Add(wait); time.Now().Before(end) && (pushed.Load() != last || last == 0); time.Sleep(time.Second) {
		last = pushed.Load()
	}
	mu.Lock()
	defer mu.Unlock()
	r.Pushed = pushed.Load()
	r.P50Ms, r.P99Ms = float64(hist.ValueAtQuantile(50))/1000, float64(hist.ValueAtQuantile(99))/1000
	r.MaxMs = float64(hist.Max()) / 1000
	return r, nil
}

// Overload makes a box tell every director that its link is asked for so many times what it gives.
func (b *Node) Overload(load float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.streams {
		fmt.Fprintf(c, "event: link\ndata: {\"session\":\"\",\"value\":%v}\n\n", load)
	}
}

// Hold makes sessions last until they are ended by the director.
func (b *Node) Hold() {
	b.mu.Lock()
	b.hold = true
	b.mu.Unlock()
}
