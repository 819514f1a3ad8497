package faults

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// setupLine is the set-up of a request, as sendRequest writes it.
func (w *world) setupLine(r *request) string {
	return fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{"class":"%s","left":"%d","tenant":"acme","key":"%016x","extras":"home:%d;copies:%d;top:1"},"sdp":"v=0\r\no=%016x"}`+"\n",
		r.id, classes[r.class], r.wait.Milliseconds(), r.title, r.homeCell(w.cells), min(copies, w.cells), r.id)
}

// setupsOfOneWrite makes requests of both classes, and the lines that send them all at once.
func (w *world) setupsOfOneWrite(v *viewerConn, count int) (requests []*request, lines *bytes.Buffer) {
	lines = &bytes.Buffer{}
	for i := range count {
		r := v.newRequest(i%2, w.settings.deadlines[i%2])
		requests = append(requests, r)
		lines.WriteString(w.setupLine(r))
	}
	return requests, lines
}

// markLeft records that requests were sent and given up just now.
func (w *world) markLeft(requests []*request) {
	now := w.now()
	w.record(func() {
		for _, r := range requests {
			r.sentAt, r.leftAt = now, now
		}
	})
}

// sendInStalls stalls the director several times, and sends set-ups to it meanwhile, on one connection each time.
func (w *world) sendInStalls(setups int, send func(v *viewerConn, requests []*request, lines *bytes.Buffer)) {
	const rounds = 3
	const stall, sentAfter = 700 * time.Millisecond, 100 * time.Millisecond
	d := w.directors[0]
	d.start()
	for range rounds {
		v := w.dialViewer(d)
		requests, lines := w.setupsOfOneWrite(v, setups)
		w.after(sentAfter, func() { send(v, requests, lines) })
		d.stall(stall)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// Guards against set-ups that are sent on to media nodes after their viewer has closed its connection, with much of what it sent
// unread: the director stands still meanwhile, so that it finds all of that at once.
func TestSetupsOfAViewerThatLeft(t *testing.T) {
	const setups = 400
	w := newWorld(t, 14, 1, 4, usualSettings)
	w.sessionMs = 1000
	w.sendInStalls(setups, func(v *viewerConn, requests []*request, lines *bytes.Buffer) {
		v.conn.Write(lines.Bytes())
		w.markLeft(requests)
		v.conn.Close()
	})
	w.report("viewers that left")
}

// Guards against set-ups that are sent on to media nodes after their viewer has withdrawn them on the same connection, since the
// withdrawals stand behind more input than one iteration reads: the director stands still meanwhile.
func TestSetupsThatAreWithdrawnUnread(t *testing.T) {
	for _, setups := range []int{10, 400} {
		t.Run(fmt.Sprintf("%d set-ups", setups), func(t *testing.T) {
			w := newWorld(t, 16, 1, 4, usualSettings)
			w.sessionMs = 1000
			w.sendInStalls(setups, func(v *viewerConn, requests []*request, lines *bytes.Buffer) {
				for _, r := range requests {
					fmt.Fprintf(lines, `{"type":"release","id":"%016x","fields":{},"cause":16}`+"\n", r.id)
				}
				v.conn.Write(lines.Bytes())
				w.markLeft(requests)
			})
			w.report("withdrawn set-ups")
		})
	}
}

// Guards against a paid set-up that runs twice: its viewer leaves while it is out, and comes again with the same id.
func TestSetupThatComesAgain(t *testing.T) {
	w := newWorld(t, 15, 1, 4, usualSettings)
	d := w.directors[0]
	d.start()
	for _, n := range w.allNodes() {
		n.mu.Lock()
		n.useFixed, n.fixed = true, answerNever
		n.mu.Unlock()
	}
	for class, most := range []int{1, 2} { // a paid one runs once
		v := w.dialViewer(d)
		r := v.newRequest(class, w.settings.deadlines[class])
		for range 3 {
			v.conn.Write([]byte(w.setupLine(r)))
			time.Sleep(100 * time.Millisecond)
			v.conn.Close()
			time.Sleep(20 * time.Millisecond)
			v = w.dialViewer(d)
		}
		count := 0
		w.record(func() {
			for _, a := range w.attempts {
				if a.id == r.id {
					count++
				}
			}
		})
		t.Logf("%s: %d attempts", classes[class], count)
		if class == 0 && count > most {
			t.Errorf("a paid set-up was sent on %d times", count)
		}
	}
}
