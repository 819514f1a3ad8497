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

// WebSocketResult is the cost of many players that are connected to one director over the session API.
type WebSocketResult struct {
	Connections int     `json:"connections"`
	BytesEach   float64 `json:"bytes_each"`   // resident memory per connection with one session
	OpenedPerS  float64 `json:"opened_per_s"` // sessions
	Pushed      int64   `json:"rung_pushes"`
	P50Ms       float64 `json:"push_p50_ms"` // from the load report that causes a rung change to its receipt
	P99Ms       float64 `json:"push_p99_ms"`
	MaxMs       float64 `json:"push_max_ms"`
}

// MeasureWebSockets opens one connection with one session for each token. It then calls push, which must make the
// director change all rungs, and measures when the players receive the changes. It waits for at most the given time,
// and less once no more changes arrive.
func MeasureWebSockets(addr string, pid int, tokens []string, push func(), wait time.Duration) (r WebSocketResult, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := ResidentBytes(pid)
	latencies := hdrhistogram.New(1, 60_000_000, 3) // us
	var mu sync.Mutex
	var pushed atomic.Int64
	var pushedAt atomic.Int64          // ns; 0: push has not been called
	dialing := make(chan struct{}, 64) // limits the connections that are being opened
	errs := make(chan error, len(tokens))
	startedAt := time.Now()
	for _, token := range tokens {
		dialing <- struct{}{}
		go func() {
			c, _, err := websocket.Dial(ctx, "ws://"+addr+"/session", &websocket.DialOptions{
				Subprotocols: []string{"headmill.session.v1+proto"}, CompressionMode: websocket.CompressionDisabled,
				HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
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
				err = fmt.Errorf("bench: the director did not open the session: %v", strings.TrimSpace(m.String()))
			}
			<-dialing
			errs <- err
			if err != nil {
				return
			}
			for {
				_, b, err := c.Read(ctx)
				if err != nil {
					return
				}
				receivedAt := time.Now().UnixNano()
				if proto.Unmarshal(b, &m) != nil || m.GetRung() == nil || pushedAt.Load() == 0 {
					continue
				}
				pushed.Add(1)
				mu.Lock()
				latencies.RecordValue((receivedAt - pushedAt.Load()) / 1000)
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
	r.Connections, r.OpenedPerS = len(tokens), float64(len(tokens))/time.Since(startedAt).Seconds()
	time.Sleep(time.Second)
	r.BytesEach = (ResidentBytes(pid) - before) / float64(len(tokens))
	pushedAt.Store(time.Now().UnixNano())
	push()
	for last, end := int64(-1), time.Now().Add(wait); time.Now().Before(end) &&
		(pushed.Load() != last || last == 0); time.Sleep(time.Second) {
		last = pushed.Load()
	}
	mu.Lock()
	defer mu.Unlock()
	r.Pushed = pushed.Load()
	r.P50Ms, r.P99Ms = float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000
	r.MaxMs = float64(latencies.Max()) / 1000
	return r, nil
}
