package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"headmill"
	"headmill/decide/discovery"
	"headmill/decide/limits"
	"headmill/internal/platform/frame"
)

func TestSessionFromSetupToItsEnd(t *testing.T) {
	r := startRig(t, 2, nil)
	v := r.call()
	v.say(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	if p := v.hear(); p.Type != "pong" || p.Cause != 1 || p.ID != "x" {
		t.Fatalf("test: %+v", p)
	}
	v.ask(id1, "paid", "2;top:1")
	m, s := r.setup()
	if s.id != 0xa1 || s.class != "paid" || s.rung != "1" || s.sdp != "o\r\n\""+id1+"\"" {
		t.Fatalf("set-up: %+v", s)
	}
	s.answer("v=0\r\n\"é\"")
	if a := v.hear(); a.Type != "answer" || a.ID != id1 || a.SDP != "v=0\r\n\"é\"" {
		t.Fatalf("answer: %+v", a)
	}
	s.release(causeClear)
	if a := v.hear(); a.Type != "release" || a.ID != id1 || a.Cause != causeClear {
		t.Fatalf("end: %+v", a)
	}
	m.want(frame.Released)
}

// A session belongs to no connection: its end goes out on another one where its own is closed.
func TestEndOnAnotherConnection(t *testing.T) {
	r := startRig(t, 1, nil)
	a, b := r.call(), r.call()
	r.plays(b, id2)
	_, s1 := r.plays(a, id1)
	a.c.Close()
	r.connections(1)
	s1.release(causeReset)
	if e := b.hear(); e.Type != "release" || e.ID != id1 || e.Cause != causeReset {
		t.Fatalf("%+v", e)
	}
}

// With no connection at all the release is kept until one comes. One whose peer confirms nothing is not relied on.
func TestEndIsKeptUntilAConnectionComes(t *testing.T) {
	r := startRig(t, 1, nil)
	a := r.call()
	_, s1 := r.plays(a, id1)
	a.c.Close()
	r.connections(0)
	s1.release(causeClear)
	r.pending(1)
	mute := r.call()
	if e := mute.hear(); e.Type != "release" || e.ID != id1 {
		t.Fatalf("%+v", e)
	}
	b := r.call()
	b.say(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	b.hear()
	if e := b.hear(); e.Type != "release" || e.ID != id1 {
		t.Fatalf("%+v", e)
	}
	b.say(`{"type":"released","id":"%s","fields":{}}`, id1)
	r.pending(0)
}

// A release that is written while its viewer closes the connection is read by nobody: it goes out again.
func TestEndWrittenToAClosingConnection(t *testing.T) {
	r := startRig(t, 1, nil)
	a, b := r.call(), r.call()
	r.plays(b, id2)
	r.plays(a, id1)
	s := r.standing(id1)
	r.on(func() {
		a.c.Close()
		for s.front.c.Idle() { // the close has reached the machine, and the loop has not seen it
			time.Sleep(time.Millisecond)
		}
		r.n.ended(s, headmill.Served, causeClear, headmill.Report{})
	})
	if e := b.hear(); e.Type != "release" || e.ID != id1 || e.Cause != causeClear {
		t.Fatalf("%+v", e)
	}
	b.say(`{"type":"released","id":"%s","fields":{}}`, id1)
	r.pending(0)
}

// What the module gives up is answered at once, with a time to come back.
func TestRefusalComesAtOnceWithAdvice(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	began := time.Now()
	v.ask(id1, "paid", "1;top:0")
	_, s := r.setup()
	s.release(causeFull)
	e := v.hear()
	if e.Type != "release" || e.Cause != causeCongested || e.Fields["wait"] != "700" {
		t.Fatalf("%+v", e)
	}
	if d := time.Since(began); d > 2*time.Second {
		t.Fatalf("after %v of 3 s: it was sat on", d)
	}
}

// Errors and breaks prove nothing: the paid class gets no promise, and no second attempt.
func TestPaidSetupThatMayHaveRunIsNeverRepeated(t *testing.T) {
	for name, spoil := range map[string]func(*media, seen){
		"error": func(_ *media, s seen) { s.release(causeError) },
		"reset": func(m *media, _ seen) { m.cut() },
		"noise": func(_ *media, s seen) { s.c.Write([]byte{0, 9, 99, 1, 2, 3}) },
		"claim": func(_ *media, s seen) { s.c.Write([]byte{0xff, 0xff, 9}) },
		"short": func(_ *media, s seen) { s.c.Write([]byte{0, 40, 9, 0}) },
	} {
		t.Run(name, func(t *testing.T) {
			r := startRig(t, 2, nil)
			v := r.call()
			v.ask(id1, "paid", "2;top:0")
			m, s := r.setup()
			spoil(m, s)
			if e := v.hear(); e.Type != "release" || e.Cause != causeError {
				t.Fatalf("%+v", e)
			}
			if st := r.stats(); st.Attempts != 1 || st.Failed != 1 {
				t.Fatalf("%+v", st)
			}
		})
	}
}

// A connection that was refused proves that nothing ran: the paid set-up goes on to another media node.
func TestRefusedConnectionIsAProof(t *testing.T) {
	r := startRig(t, 2, nil)
	r.nodes[0].ln.Close()
	for i := range 4 { // titles start at either
		v := r.call()
		v.ask(fmt.Sprintf("%016x", 0xb0+i), "paid", "2;top:0")
		m, s := r.setup()
		if m != r.nodes[1] {
			t.Fatal("a set-up came to a media node that does not listen")
		}
		s.answer("x")
		if e := v.hear(); e.Type != "answer" {
			t.Fatalf("%+v", e)
		}
	}
}

// An answer that is not the open attempt's is passed over: an unknown id, a second copy.
func TestMoreThanIsTheirs(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	v.ask(id1, "paid", "1;top:0")
	_, s := r.setup()
	other := s
	other.id = 0xdead
	other.answer("not yours")
	s.answer("yours")
	s.answer("yours")
	if e := v.hear(); e.Type != "answer" || e.SDP != "yours" {
		t.Fatalf("%+v", e)
	}
	s.release(causeClear)
	if e := v.hear(); e.Type != "release" || e.Cause != causeClear {
		t.Fatalf("a second answer: %+v", e)
	}
}

// A viewer that stops waiting: the media node is told, and the director forgets.
func TestWithdrawnSetupIsGivenUp(t *testing.T) {
	for name, leave := range map[string]func(*caller){
		"release": func(c *caller) { c.say(`{"type":"release","id":"%s","fields":{},"cause":16}`, id1) },
		"close":   func(c *caller) { c.c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			r := startRig(t, 1, nil)
			v := r.call()
			v.ask(id1, "paid", "1;top:0")
			m, s := r.setup()
			leave(v)
			if e := m.want(frame.Release); e.id != 0xa1 || e.cause != causeClear {
				t.Fatalf("%+v", e)
			}
			s.answer("too late")
			r.wait("a session stands that nobody waits for", func(st Stats) bool { return st.ViewersLeft == 1 && st.Played == 0 })
		})
	}
}

// A viewer ends a session that stands: the media node is told, its last word is not passed back.
func TestViewerEndsItsSession(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, s := r.plays(v, id1)
	v.say(`{"type":"release","id":"%s","fields":{},"cause":16}`, id1)
	if e := v.hear(); e.Type != "released" {
		t.Fatalf("%+v", e)
	}
	m.want(frame.Release)
	s.release(causeCancelled)
	v.say(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	if e := v.hear(); e.Type != "pong" {
		t.Fatalf("the viewer ended it and is told again: %+v", e)
	}
}

// The start's sessions name a time that no class has; they are taken, and end as others do.
func TestSessionsOfTheStart(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m := r.adopts(v, id1)
	m.any().Write(frame.AppendRelease(nil, 0xa1, causeClear))
	if e := v.hear(); e.Type != "release" || e.ID != id1 || e.Cause != causeClear {
		t.Fatalf("%+v", e)
	}
	v.playing(id2, "s-77")
	if e := v.hear(); e.Type != "release" || e.ID != id2 || e.Cause != causeReset {
		t.Fatalf("a session at no listed media node: %+v", e)
	}
}

// A process that died cuts its sessions: viewers are told, so that they come again.
func TestSessionsOfADeadMediaNode(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, _ := r.plays(v, id1)
	m.ln.Close()
	m.cut()
	if e := v.hear(); e.Type != "release" || e.ID != id1 || e.Cause != causeReset {
		t.Fatalf("%+v", e)
	}
}

// A connection that breaks says nothing of the sessions that stand.
func TestSessionsOutliveAConnection(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, _ := r.plays(v, id1)
	m.cut()
	v.ask(id2, "free", "1;top:0")
	_, s2 := r.setup()
	s2.id = 0xa1
	s2.release(causeClear) // its end comes on the next connection
	if e := v.hear(); e.ID != id1 || e.Cause != causeClear {
		t.Fatalf("%+v", e)
	}
}

// An id in use: a newcomer on another connection is turned away and harms nobody.
func TestIDInUse(t *testing.T) {
	r := startRig(t, 1, nil)
	v, rude := r.call(), r.call()
	v.ask(id1, "paid", "1;top:0")
	_, s := r.setup()
	rude.ask(id1, "paid", "1;top:1")
	if e := rude.hear(); e.Type != "release" || e.Cause != causeInvalid {
		t.Fatalf("%+v", e)
	}
	s.answer("x")
	if e := v.hear(); e.Type != "answer" {
		t.Fatalf("%+v", e)
	}
	rude.ask(id1, "paid", "1;top:1")
	if e := rude.hear(); e.Type != "release" {
		t.Fatalf("%+v", e)
	}
	s.release(causeClear)
	if e := v.hear(); e.Type != "release" || e.Cause != causeClear {
		t.Fatalf("%+v", e)
	}
}

// Two requests under one number on one connection: neither goes on, one answer.
func TestTwoUnderOneID(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	v.ask(id1, "paid", "1;top:0")
	m, s := r.setup()
	v.ask(id1, "paid", "1;top:1")
	if e := v.hear(); e.Type != "release" || e.Cause != causeInvalid {
		t.Fatalf("%+v", e)
	}
	m.want(frame.Release)
	s.answer("x")
	v.say(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	if e := v.hear(); e.Type != "pong" {
		t.Fatalf("a second answer: %+v", e)
	}
}

// Figures that no settings know are turned down, and the connection goes on.
func TestSetupsThatCantBeUsed(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	good := `{"type":"setup","id":"` + id1 + `","fields":{"class":"paid","left":"3000","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:1"},"sdp":"x"}`
	for _, change := range [][2]string{{`"paid"`, `"gold"`}, {`"acme"`, `"none"`}, {`"3000"`, `"nan"`}, {`"3000"`, `-5`}, {`"3000"`, `1e12`},
		{`"3000"`, `"+Inf"`}, {`home:0`, `home:99`}, {`copies:1`, `copies:0`}, {`top:1`, `top:1.5`}, {`top:1`, `tip:1`},
		{`7f3a9c21e0b4d655`, `zz`}, {`"sdp":"x"`, `"sdp":""`}, {`,"sdp":"x"`, ``}, {`"left":"3000",`, ``}} {
		line := strings.Replace(good, change[0], change[1], 1)
		if line == good {
			t.Fatalf("%v changes nothing", change)
		}
		v.say("%s", line)
		if e := v.hear(); e.Type != "release" || e.Cause == causeFull || e.Cause == causeCongested || e.Cause == causeMoot {
			t.Errorf("%v: %+v", change, e)
		}
	}
	if st := r.stats(); st.Requests != 0 || st.Attempts != 0 {
		t.Fatalf("a bad set-up reached the module: %+v", st)
	}
}

// What can't be read, is too long, never ends or never begins closes its connection.
func TestRudeConnectionsAreClosed(t *testing.T) {
	r := startRig(t, 1, nil)
	for name, b := range map[string]string{"noise": "\x16\x03\x01\x02\n", "too long": strings.Repeat("x", 40000),
		"id": `{"type":"setup","id":"-1","fields":{}}` + "\n", "silent": "", "no end": `{"type":"setup"`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := r.call()
			fmt.Fprint(v.c, b)
			v.closed()
		})
	}
}

// At the bound silent connections make room for those that ask.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	r := startRig(t, 1, func(c *Config) { c.Sockets = 64 })
	var silent []net.Conn
	for range 40 {
		c, err := net.Dial("tcp4", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	v := r.call()
	v.ask(id1, "free", "1;top:0")
	_, s := r.setup()
	s.answer("x")
	if e := v.hear(); e.Type != "answer" {
		t.Fatalf("%+v", e)
	}
	silent[0].SetReadDeadline(time.Now().Add(patience))
	_, err := silent[0].Read(make([]byte, 1))
	if ne, ok := err.(net.Error); err == nil || ok && ne.Timeout() {
		t.Fatalf("the first silent connection is still there: %v", err)
	}
}

// A module that waits for an attempt that is never made would hold its place for good.
func TestLeavingInTheRoundOfAsking(t *testing.T) {
	r := startRig(t, 1, nil)
	for i := range 50 { // more than the 20 places
		v := r.call()
		id := fmt.Sprintf("%016x", 0xc00+i)
		fmt.Fprintf(v.c, `{"type":"setup","id":"%s","fields":{"class":"free","left":"3000","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:0"},"sdp":"x"}`+"\n"+
			`{"type":"release","id":"%s","fields":{},"cause":16}`+"\n", id, id)
		if e := v.hear(); e.Type != "released" {
			t.Fatalf("%+v", e)
		}
	}
	v := r.call()
	v.ask(id1, "free", "1;top:0")
	for {
		_, s := r.setup()
		if s.id == 0xa1 {
			s.answer("x")
			break
		}
	}
	if e := v.hear(); e.Type != "answer" {
		t.Fatalf("%+v", e)
	}
}

// The name service moves: the new address is asked, and what it tells counts.
func TestReload(t *testing.T) {
	r := startRig(t, 1, nil)
	other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	fresh := *r.cfg
	fresh.DNS = other.LocalAddr().String()
	r.n.Reload(&fresh)
	b := make([]byte, 512)
	other.SetReadDeadline(time.Now().Add(patience))
	if _, _, err := other.ReadFromUDP(b); err != nil {
		t.Fatalf("the new address is not asked: %v", err)
	}
	bad := *r.cfg
	bad.DNS = "nowhere"
	r.n.Reload(&bad)
	other.SetReadDeadline(time.Now().Add(patience))
	for range 3 {
		if _, _, err := other.ReadFromUDP(b); err != nil {
			t.Fatalf("an address that can't be used ends the asking: %v", err)
		}
	}
}

// A media node is its id: when its address changes, nothing more goes to where it was.
func TestChangedAddress(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	old, _ := r.plays(v, id1)
	moved := startMedia(t, "s-0")
	r.takes("ready", moved.ln.Addr().String())
	r.nodes = append(r.nodes, moved)
	v.ask(id2, "free", "1;top:0")
	m, s := r.setup()
	if m == old {
		t.Fatal("a set-up went to the old address")
	}
	s.answer("x")
	if e := v.hear(); e.ID != id2 || e.Type != "answer" {
		t.Fatalf("%+v", e)
	}
}

// A session of the start plays at a rung that only its media node tells. What the module sets after that must be sent,
// be it the lowest; what is in force already must not.
func TestRungOfASessionOfTheStart(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m := r.adopts(v, id1)
	s := r.standing(id1)
	r.note(m, s.id, "level", 1)
	r.sets(s, 0)
	if got := m.want(frame.Rate); got.id != s.id || got.rung != "0" {
		t.Fatalf("%+v", got)
	}
	r.sets(s, 0)
	r.sets(s, 1)
	if got := m.want(frame.Rate); got.rung != "1" {
		t.Fatalf("an unchanged rung was sent: %+v", got)
	}
}

// A stop: what was taken is answered, the door closes, the process may end when the last session has.
func TestStop(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	v.playing(id2, "s-77") // turned away: it must not be counted as one that waits
	v.say(`{"type":"released","id":"%s","fields":{}}`, v.hear().ID)
	_, s := r.plays(v, id1)
	r.n.Stop()
	v.ask(id2, "paid", "1;top:0")
	_, s2 := r.setup()
	s2.answer("x")
	if e := v.hear(); e.Type != "answer" {
		t.Fatalf("taken while requests still come: %+v", e)
	}
	for late := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp4", r.addr)
		if err != nil {
			break
		}
		c.Close()
		if time.Now().After(late) {
			t.Fatal("the door stays open")
		}
	}
	select {
	case <-r.done:
		t.Fatal("ended while sessions stand")
	default:
	}
	s.release(causeClear)
	s2.release(causeClear)
	for range 2 {
		v.say(`{"type":"released","id":"%s","fields":{}}`, v.hear().ID)
	}
	select {
	case <-r.done:
	case <-time.After(patience):
		t.Fatal("does not end after its last session")
	}
}

// A set-up that is out while its media node's address changes keeps its connection, and nobody else gets it.
func TestChangedAddressWithASetUpOut(t *testing.T) {
	r := startRig(t, 1, func(c *Config) { c.Module.ReportIntervalMs = 1e6 }) // not to be closed for its silence
	v := r.call()
	v.ask(id1, "free", "1;top:0")
	_, s := r.setup()
	moved := startMedia(t, "s-0")
	r.takes("ready", moved.ln.Addr().String())
	s.answer("x")
	if e := v.hear(); e.Type != "answer" {
		t.Fatalf("%+v", e)
	}
	r.wait("connections to the old address stay open", func(Stats) bool {
		old := 0
		r.on(func() {
			for _, k := range r.n.boxes[discovery.NodeIDFromName("s-0")].links {
				if k.addr != moved.ln.Addr().String() {
					old++
				}
			}
		})
		return old == 0
	})
	r.nodes = append(r.nodes, moved)
	v.ask(id2, "free", "1;top:0")
	if m, _ := r.setup(); m != moved {
		t.Fatal("a set-up went to the old address")
	}
}

// A drain that is told while a set-up waits for its connection: it is not written any more.
func TestDrainWhileConnecting(t *testing.T) {
	hole, ln := blackHole(t)
	r := startRig(t, 1, func(c *Config) { c.ConnectMs = 20000; c.Snapshot.Items[0].Roster.Hosts[0].Dial = hole })
	v := r.call()
	v.say(`{"type":"setup","id":"%s","fields":{"class":"paid","left":"6000","tenant":"acme","key":"7f3a9c21e0b4d655","extras":"home:0;copies:1;top:0"},"sdp":"x"}`, id1)
	r.wait("no attempt", func(st Stats) bool { return st.Attempts == 1 })
	r.takes("draining", hole)
	go func() { // now connections come up
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				if n, _ := c.Read(make([]byte, 100)); n > 0 {
					t.Errorf("%d bytes were written after the drain was told", n)
				}
			}()
		}
	}()
	if e := v.hear(); e.Type != "release" || e.Cause != causeCongested {
		t.Fatalf("%+v", e)
	}
}

// A spoilt answer means that the session stands there and nobody knows: it is ended there, on another connection.
func TestSpoiltAnswersSessionIsEnded(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	v.ask(id1, "paid", "1;top:0")
	m, s := r.setup()
	s.c.Write([]byte{0xff, 0xff, 9})
	go func() { // and it keeps coming
		for b := make([]byte, 1<<16); ; {
			if _, err := s.c.Write(b); err != nil {
				return
			}
		}
	}()
	for {
		if e := m.want(frame.Release); e.id == 0xa1 && e.c != s.c {
			break
		}
	}
	if e := v.hear(); e.Type != "release" || e.Cause != causeError {
		t.Fatalf("%+v", e)
	}
}

// A description that no line to a viewer can hold: the viewer is not answered with what it can't read, and the session is
// ended at its media node.
func TestAnswerTooLongForALine(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	v.ask(id1, "paid", "1;top:0")
	m, s := r.setup()
	s.answer(strings.Repeat("\x01", 4000)) // six bytes each in JSON
	if e := m.want(frame.Release); e.id != 0xa1 {
		t.Fatalf("%+v", e)
	}
	if e := v.hear(); e.Type != "release" || e.Cause != causeError {
		t.Fatalf("%+v", e)
	}
}

// What is to be told to a media node that can't be reached just now is told when it can.
func TestEndIsToldWhenTheMediaNodeIsBack(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, _ := r.plays(v, id1)
	hole, ln := blackHole(t)
	r.on(func() { r.n.boxes[discovery.NodeIDFromName(m.name)].addr = hole })
	m.cut()
	v.say(`{"type":"release","id":"%s","fields":{},"cause":16}`, id1)
	v.hear()
	r.wait("not ended", func(Stats) bool { return r.count() == 0 }) // the first connect has failed by then, or will
	go m.serve(ln)
	if e := m.want(frame.Release); e.id != 0xa1 {
		t.Fatalf("%+v", e)
	}
}

// A media node tells an end on its connection and again on the next one: it counts once.
func TestEndToldTwice(t *testing.T) {
	r := startRig(t, 1, nil)
	v := r.call()
	m, s := r.plays(v, id1)
	s.release(causeReset)
	s.release(causeReset)
	m.want(frame.Released)
	m.want(frame.Released)
	if e := v.hear(); e.Type != "release" || e.Cause != causeReset {
		t.Fatalf("%+v", e)
	}
	v.say(`{"type":"ping","id":"x","fields":{},"cause":0}`)
	if e := v.hear(); e.Type != "pong" {
		t.Fatalf("told twice: %+v", e)
	}
}

// A drain that the name service tells keeps set-ups away, through DNS on a socket.
func TestDrainToldByTheNameService(t *testing.T) {
	r := startRig(t, 2, nil)
	v := r.call()
	r.tells(7, func(i int) bool { return i == 0 })
	r.wait("the list is not taken", func(Stats) bool {
		var no uint64
		r.on(func() { no = r.n.list.Version() })
		return no == 7
	})
	for i := range 6 {
		v.ask(fmt.Sprintf("%016x", 0xd0+i), "free", "2;top:0")
		m, s := r.setup()
		if m == r.nodes[0] {
			t.Fatal("a set-up came to a draining media node")
		}
		s.answer("x")
		v.hear()
	}
}

// Descriptions that wait are held within a part of the memory; one more is refused at once, with a time to come back.
func TestFloodIsHeldWithinBounds(t *testing.T) {
	r := startRig(t, 1, func(c *Config) { c.MemoryMB = 1 })
	v := r.call()
	big, n := strings.Repeat("x", 15000), 40
	go func() {
		for i := range n {
			v.say(`{"type":"setup","id":"%016x","fields":{"class":"free","left":"3000","tenant":"acme","key":"%016x","extras":"home:0;copies:1;top:0"},"sdp":"%s"}`, 0xe00+i, i, big)
		}
	}()
	refused := 0
	for range n {
		if e := v.hear(); e.Type == "release" && e.Cause == causeCongested && e.Fields["wait"] != "" {
			refused++
		}
	}
	if st := r.stats(); refused < n/2 || st.Requests+st.Denied != n || st.Denied == 0 {
		t.Fatalf("%d refused, %+v", refused, st)
	}
	r.wait("what was held is not given back", func(Stats) bool {
		var held int64
		r.on(func() { held = r.n.accounts.Usage(limits.Waiting).Used + r.n.accounts.Usage(limits.Sessions).Used })
		return held == 0
	})
}

// What has ended leaves nothing behind: ids, connections and media nodes are new all the time on a long day.
func TestNothingGrows(t *testing.T) {
	r := startRig(t, 1, nil)
	m := r.nodes[0]
	for round := range 8 {
		name := fmt.Sprintf("s-new-%d", round)
		r.on(func() {
			if err := r.n.take(&discovery.Message{Version: uint64(10 + round), Full: true, Entries: []discovery.Entry{
				{Name: name, Addr: m.ln.Addr().String(), State: "ready", Weight: 1}}}); err != nil {
				t.Error(err)
			}
		})
		for i := range 10 {
			v, id := r.call(), fmt.Sprintf("%016x", 0x1000+100*round+i)
			v.ask(id, "free", "1;top:0")
			_, s := r.setup()
			if i%5 == 0 { // nobody waits any more
				v.c.Close()
				continue
			}
			s.answer("x")
			v.hear()
			s.release(causeClear)
			v.hear()
			v.say(`{"type":"released","id":"%s","fields":{}}`, id)
			v.c.Close()
		}
	}
	sizes := func() (out string) {
		r.on(func() {
			n := r.n
			out = fmt.Sprint(len(n.sessions), len(n.numbers), len(n.viewers), n.door.Len(), n.waiting, n.pending.Len(),
				n.accounts.Usage(limits.Waiting).Used, n.accounts.Usage(limits.Sessions).Used, len(n.boxes)-1)
			for _, b := range n.boxes {
				out += fmt.Sprint(" ", len(b.standing), len(b.queue))
				for _, k := range b.links {
					out += fmt.Sprint(" ", len(k.tries))
				}
			}
			if n.links > perBox {
				out += fmt.Sprint(" links ", n.links)
			}
		})
		return out
	}
	for late := time.Now().Add(patience); strings.Trim(sizes(), "0 ") != ""; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(late) {
			t.Fatalf("left behind: %s", sizes())
		}
	}
}
