package faults

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// badClientLimit is the time within which a bad client is owed a refusal, an error or a close.
const badClientLimit = 3 * time.Second

// badInputs are what bad clients send. %[1]s is an id.
var badInputs = []string{
	"\x16\x03\x01\x02\n",
	strings.Repeat("x", 40000),
	`{"type":"setup","id":"-1","fields":{}}` + "\n",
	"",
	`{"type":"setup","id":"`,
	`{"type":"setup","id":"%[1]s","fields":{"class":"gold","left":"3000","key":"00000000000000aa"},"sdp":"x"}` + "\n",
	`{"type":"setup","id":"%[1]s","fields":{"class":"paid","left":"-1","tenant":"acme","key":"00000000000000aa","extras":"home:0;copies:1;top:1"},"sdp":"x"}` + "\n",
	`{"type":"setup","id":"%[1]s","fields":{"class":"paid","left":"1e999","tenant":"acme","key":"00000000000000aa","extras":"home:0;copies:1;top:1"},"sdp":"x"}` + "\n",
	`{"type":"setup","id":"%[1]s","fields":{"class":"paid","left":"900","tenant":"nobody","key":"00000000000000aa","extras":"home:0;copies:1;top:1"},"sdp":"x"}` + "\n",
	`[` + strings.Repeat("[", 2000) + "\n",
	"{}\n",
	"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
}

// sendBadInput plays bad clients, one after another, and now and then hundreds that stay silent.
func (k *soak) sendBadInput(rng *rand.Rand) {
	for k.pause(rng, 250*time.Millisecond) {
		d := k.directors[rng.IntN(len(k.directors))]
		switch rng.IntN(8) {
		case 0:
			k.connectSilently(d, 100+rng.IntN(200))
		case 1:
			k.withdrawAtOnce(d)
		default:
			text := badInputs[rng.IntN(len(badInputs))]
			if strings.Contains(text, "%[1]s") {
				text = fmt.Sprintf(text, fmt.Sprintf("%016x", rng.Uint64()))
			}
			k.clients.Add(1)
			go k.sendBad(d, text)
		}
	}
}

// sendBad sends bad input and checks that something comes back in time.
func (k *soak) sendBad(d *director, text string) {
	defer k.clients.Done()
	conn, err := net.DialTimeout("tcp4", d.addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	before, running := d.current()
	start := k.now()
	conn.Write([]byte(text))
	conn.SetReadDeadline(time.Now().Add(badClientLimit + limitSlack))
	got, err := io.ReadAll(io.LimitReader(conn, 20))
	if bytes.Contains(got, []byte(`"answer"`)) {
		k.violation("bad input was served by n%d: %q", d.index, text[:min(len(text), 80)])
	}
	netErr, ok := err.(net.Error)
	after, _ := d.current()
	if ok && netErr.Timeout() && len(got) == 0 && running && after.unchangedSince(&before) && before.termAt == 0 &&
		k.now() >= after.runUntil(start, badClientLimit+limitSlack) {
		k.violation("bad client at n%d from %.3f got neither an answer nor a close within 3 s: %q", d.index,
			start.Seconds(), text[:min(len(text), 80)])
	}
}

// connectSilently opens many connections that send nothing, for as long as they stay open, a few seconds at most.
func (k *soak) connectSilently(d *director, count int) {
	k.note("%d silent connections to n%d", count, d.index)
	for range count {
		conn, err := net.DialTimeout("tcp4", d.addr, 100*time.Millisecond)
		if err != nil {
			return
		}
		k.after(badClientLimit, func() { conn.Close() })
	}
}

// withdrawAtOnce sends many set-ups and their withdrawals in one piece.
func (k *soak) withdrawAtOnce(d *director) {
	v := k.dialViewer(d)
	if v == nil {
		return
	}
	var out bytes.Buffer
	for range 100 {
		r := v.newRequest(0, k.settings.deadlines[0])
		k.record(func() { r.sentAt, r.leftAt = k.now(), k.now() })
		out.WriteString(k.setupLine(r))
		fmt.Fprintf(&out, `{"type":"release","id":"%016x","fields":{},"cause":16}`+"\n", r.id)
	}
	v.writing.Lock()
	v.conn.Write(out.Bytes())
	v.writing.Unlock()
	k.after(time.Second, func() { v.conn.Close() })
}
