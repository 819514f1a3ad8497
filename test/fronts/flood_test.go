package fronts

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"headmill/internal/ws"
)

// floodLength is the time for which a flood goes on.
const floodLength = 2 * time.Second

// flood writes a payload on one connection at full speed for a time, and reads what comes unless it is told not to. It dials
// again when the connection ends, writes the preamble first on each, and returns the number of bytes written.
func (f *front) flood(length time.Duration, preamble []byte, payload func() []byte, reads bool) (written int64) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		conn, err := net.DialTimeout("tcp4", f.addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if reads {
			go io.Copy(io.Discard, conn)
		}
		conn.Write(preamble)
		for time.Now().Before(end) {
			conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			n, err := conn.Write(payload())
			written += int64(n)
			if err != nil {
				break
			}
		}
		conn.Close()
	}
	return written
}

func repeated(request string) func() []byte {
	block := bytes.Repeat([]byte(request), 64<<10/len(request))
	return func() []byte { return block }
}

// Guards against clients that delay others since all that they have sent is handled first: small or unsound requests at full
// speed, also under ever new names.
func TestFloodOfOneClient(t *testing.T) {
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: d\r\n\r\n" }
	for name, c := range map[string]struct {
		payload  func(f *front) func() []byte
		reads    bool
		clients  int
		upgraded bool // to a WebSocket
	}{
		"unknown paths":               {func(*front) func() []byte { return repeated(get("/x")) }, true, 1, false},
		"unknown paths, 4 clients":    {func(*front) func() []byte { return repeated(get("/x")) }, true, 4, false},
		"unknown paths, answers kept": {func(*front) func() []byte { return repeated(get("/x")) }, false, 1, false},
		"WebSocket pings": {func(*front) func() []byte {
			return repeated(string(maskedFrame(ws.OpPing, []byte("x"))))
		}, true, 1, true},
		"WebSocket pings, 4 clients": {func(*front) func() []byte {
			return repeated(string(maskedFrame(ws.OpPing, []byte("x"))))
		}, true, 4, true},
		"WebSocket bad tokens, 4 clients": {func(*front) func() []byte {
			return repeated(string(maskedFrame(ws.OpText, []byte(`{"id":"1","open":{"token":"a.b.c"}}`))))
		}, true, 4, true},
		"WebSocket reports, 4 clients": {func(*front) func() []byte {
			return repeated(string(maskedFrame(ws.OpText, []byte(`{"id":"1","report":{"jti":"a","cmcd":"bl=1"}}`))))
		}, true, 4, true},
		"WebSocket new names": {func(f *front) func() []byte {
			return func() []byte {
				var b []byte
				for range 50 {
					b = append(b, maskedFrame(ws.OpText, fmt.Appendf(nil, `{"id":"1","open":{"token":"%s"}}`, f.newToken()))...)
				}
				return b
			}
		}, true, 1, true},
		"bad tokens": {func(*front) func() []byte {
			return repeated(get("/dash/" + titleName + "/manifest.mpd?token=a.b.c"))
		}, true, 1, false},
		"wrong signatures": {func(f *front) func() []byte {
			return repeated(get("/dash/" + titleName + "/manifest.mpd?token=" + f.newToken() + "x"))
		}, true, 1, false},
		"one token again": {func(f *front) func() []byte {
			return repeated(get("/dash/" + titleName + "/manifest.mpd?token=" + f.newToken()))
		}, true, 1, false},
		"new names": {func(f *front) func() []byte {
			return func() []byte {
				var b bytes.Buffer
				for range 50 {
					fmt.Fprint(&b, get("/dash/"+titleName+"/manifest.mpd?token="+f.newToken()))
				}
				return b.Bytes()
			}
		}, true, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFront(t, descriptorLimit, nil)
			var flooding sync.WaitGroup
			var written atomic.Int64
			var preamble []byte
			if c.upgraded {
				preamble = f.upgrade()
			}
			payload := c.payload(f)
			honest := f.startHonest(4, 50*time.Millisecond, false)
			for range c.clients {
				flooding.Add(1)
				go func() {
					defer flooding.Done()
					written.Add(f.flood(floodLength, preamble, payload, c.reads))
				}()
			}
			flooding.Wait()
			o := honest.finish()
			t.Logf("%d MB written", written.Load()>>20)
			f.check(name, o)
		})
	}
}
