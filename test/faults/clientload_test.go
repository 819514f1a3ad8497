package faults

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// limitDescriptors gives the present process the descriptors that its configuration states.
func (d *director) limitDescriptors() {
	limit := unix.Rlimit{Cur: uint64(d.world.settings.sockets), Max: uint64(d.world.settings.sockets)}
	if err := unix.Prlimit(d.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		d.world.t.Error(err)
	}
}

// memoryMB is the memory that the present process holds, without the pages of its program file.
func (d *director) memoryMB() (mb float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		d.world.t.Errorf("the director has ended: %v", err)
		return 0
	}
	for line := range bytes.Lines(text) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			fmt.Sscan(string(rest), &mb)
		}
	}
	return mb / 1024
}

// viewerAim is the time within which the settings of a run aim to have a set-up answered.
const viewerAim = 800 * time.Millisecond

// checkViewers fails the test if viewers were refused, not answered or kept waiting beside a client that harms others, or if the
// director holds more memory than its limit.
func (w *world) checkViewers(d *director) {
	w.t.Helper()
	var times []time.Duration
	refused, unanswered := 0, 0
	w.record(func() {
		for _, r := range w.order {
			switch {
			case r.sentAt == 0:
			case r.answer == noAnswer:
				unanswered++
			default:
				times = append(times, r.answeredAt-r.sentAt)
				if r.answer == answerRefused {
					refused++
				}
			}
		}
	})
	if len(times) == 0 {
		w.t.Error("no viewer was answered")
		return
	}
	slices.Sort(times)
	p99, memory := times[len(times)*99/100], d.memoryMB()
	w.t.Logf("viewers: %d answered, %d of them refused, %d not; p50 %v, p99 %v; %.0f MB of %d", len(times), refused, unanswered,
		times[len(times)/2].Round(time.Millisecond), p99.Round(time.Millisecond), memory, w.settings.memoryLimitMB())
	if refused+unanswered > 0 || p99 > viewerAim || memory > float64(w.settings.memoryLimitMB()) {
		w.t.Errorf("%d viewers were refused, %d not answered; p99 %v, want %v; %.0f MB of %d", refused, unanswered, p99,
			viewerAim, memory, w.settings.memoryLimitMB())
	}
}

// holdLines keeps count connections open on which a line stays incomplete, and dials again when one is closed.
// It counts the connections that the director has ended.
func (w *world) holdLines(d *director, count int, prefix []byte, stop *atomic.Bool) (ended *atomic.Int64) {
	ended = &atomic.Int64{}
	for range count {
		w.clients.Add(1)
		go func() {
			defer w.clients.Done()
			for !stop.Load() && !w.hasStopped() {
				conn, err := net.DialTimeout("tcp4", d.addr, time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				conn.SetWriteDeadline(time.Now().Add(time.Second))
				conn.Write(prefix)
				for !stop.Load() {
					conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
					_, err := conn.Read(make([]byte, 100))
					if err, ok := err.(net.Error); ok && err.Timeout() {
						continue
					}
					if err != nil {
						break
					}
				}
				ended.Add(1)
				conn.Close()
			}
		}()
	}
	return ended
}

// shortFields is the beginning of a line of very many short fields.
func shortFields() []byte {
	var b bytes.Buffer
	b.WriteString(`{"type":"setup","id":"00000000000000aa","fields":{`)
	for i := 0; b.Len() < 16000; i++ {
		fmt.Fprintf(&b, `"f%d":"1",`, i)
	}
	return b.Bytes()
}

// Guards against viewers that are refused or not answered while clients hold more connections than a director has, with lines
// that stay incomplete, and dial again as soon as one is closed: at both ends of the platform's limits.
func TestUnfinishedLines(t *testing.T) {
	for name, prefix := range map[string][]byte{"long line": []byte(`{"type":"setup","sdp":"` + strings.Repeat("x", 15400)),
		"short fields": shortFields(), "nothing": nil} {
		for _, c := range []struct{ sockets, memoryMB, clients int }{{256, 32, 150}, {1024, 192, 900}} {
			t.Run(fmt.Sprintf("%s, %d clients, %d descriptors", name, c.clients, c.sockets), func(t *testing.T) {
				s := usualSettings
				s.sockets, s.memoryMB = c.sockets, c.memoryMB
				w := newWorld(t, 12, 1, 4, s)
				w.sessionMs = 1000
				d := w.directors[0]
				d.start()
				d.limitDescriptors()
				var stop atomic.Bool
				ended := w.holdLines(d, c.clients, prefix, &stop)
				time.Sleep(500 * time.Millisecond)
				w.startViewers(4, viewerHabits{interval: 50 * time.Millisecond, newConn: 1})
				time.Sleep(2 * time.Second)
				w.quiet.Store(true)
				time.Sleep(time.Second)
				w.checkViewers(d)
				stop.Store(true)
				t.Logf("%d connections ended by the director", ended.Load())
				w.report(name)
			})
		}
	}
}

// floodLength is the time for which a flood goes on.
const floodLength = 1500 * time.Millisecond

// floodingClients is the number of clients that do so.
const floodingClients = 4

// flood writes at full speed on one connection for a time, and reads what comes.
func (d *director) flood(length time.Duration, payload []byte, reads bool) (written int64) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		conn, err := net.DialTimeout("tcp4", d.addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if reads {
			go io.Copy(io.Discard, conn)
		}
		for time.Now().Before(end) {
			conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			n, err := conn.Write(payload)
			written += int64(n)
			if err != nil {
				break
			}
		}
		conn.Close()
	}
	return written
}

// Guards against viewers that wait since all that another one has sent at full speed is handled first.
func TestFloodOfOneViewer(t *testing.T) {
	for name, c := range map[string]struct {
		line  string
		reads bool
	}{
		"pings":          {`{"type":"ping","id":"0000000000000000","fields":{},"cause":0}`, true},
		"pings, no read": {`{"type":"ping","id":"0000000000000000","fields":{},"cause":0}`, false},
		"empty lines":    {"", true},
		"notes":          {`{"type":"note","id":"0000000000000000","fields":{}}`, true},
		"releases":       {`{"type":"release","id":"0000000000000001","fields":{},"cause":16}`, true},
		"unsound":        {`{"type":"setup","id":"0000000000000001","fields":{"class":"gold","left":"3000","key":"00000000000000aa"},"sdp":"x"}`, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 13, 1, 4, usualSettings)
			w.sessionMs = 1000
			d := w.directors[0]
			d.start()
			w.startViewers(4, viewerHabits{interval: 50 * time.Millisecond})
			payload := bytes.Repeat([]byte(c.line+"\n"), 64<<10/(len(c.line)+1))
			var flooding sync.WaitGroup
			var written atomic.Int64
			for range floodingClients {
				flooding.Add(1)
				go func() { defer flooding.Done(); written.Add(d.flood(floodLength, payload, c.reads)) }()
			}
			flooding.Wait()
			w.quiet.Store(true)
			time.Sleep(time.Second)
			w.checkViewers(d)
			t.Logf("%d MB written", written.Load()>>20)
			w.report(name)
		})
	}
}
