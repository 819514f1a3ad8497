package relay

import (
	"io"
	"net"
	"testing"
	"time"
)

// upper is a server that answers each byte with the same byte and one more.
func upper(t *testing.T) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 64)
				for {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					for _, x := range b[:n] {
						c.Write([]byte{x, '+'})
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func setup(t *testing.T) (*Relay, *Log) {
	l := NewLog()
	p, err := New(l, "t", upper(t), false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, l
}

func dial(t *testing.T, p *Relay) net.Conn {
	c, err := net.Dial("tcp4", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	return c
}

func passed(l *Log, k Kind) (s string) {
	for _, r := range l.Records() {
		if r.Kind == k {
			s += string(r.Data)
		}
	}
	return s
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("not seen: " + what)
}

func ends(l *Log, k Kind) int {
	n := 0
	for _, r := range l.Records() {
		if r.Kind == k {
			n++
		}
	}
	return n
}

func TestRecordsWhatPasses(t *testing.T) {
	p, l := setup(t)
	c := dial(t, p)
	c.Write([]byte("ab"))
	b := make([]byte, 4)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "a+b+" {
		t.Fatalf("%q %v", b, err)
	}
	c.Close()
	until(t, "both ends", func() bool { return ends(l, ForthEnd) == 1 && ends(l, BackEnd) == 1 })
	if passed(l, Forth) != "ab" || passed(l, Back) != "a+b+" {
		t.Fatalf("forth %q back %q", passed(l, Forth), passed(l, Back))
	}
	last := 0.0
	for _, r := range l.Records() {
		if r.AtMs < last {
			t.Fatal("records out of order")
		}
		last = r.AtMs
	}
}

func TestStallHoldsAndLetsGo(t *testing.T) {
	p, l := setup(t)
	c := dial(t, p)
	p.Set(Faults{StallBack: true})
	c.Write([]byte("a"))
	until(t, "the request passes", func() bool { return passed(l, Forth) == "a" })
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatal("an answer passed the stall")
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	p.Set(Faults{})
	b := make([]byte, 2)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "a+" {
		t.Fatalf("after the stall: %q %v", b, err)
	}
	// A side that ends during a stall is seen when it does.
	p.Set(Faults{Stall: true})
	c.Write([]byte("b"))
	c.Close()
	until(t, "the end within the stall", func() bool { return ends(l, ForthEnd) == 1 })
}

func TestCuts(t *testing.T) {
	for name, f := range map[string]Faults{"request": {CutAfter: 2}, "answer": {HalfBack: 3}} {
		p, l := setup(t)
		p.Set(f)
		c := dial(t, p)
		c.Write([]byte("abcd"))
		b, err := io.ReadAll(c)
		if err == nil && len(b) == 8 {
			t.Errorf("%s: not cut", name)
		}
		if f.HalfBack > 0 && passed(l, Back) != "a+b" {
			t.Errorf("%s: %q was handed on, want three bytes", name, passed(l, Back))
		}
	}
}

func TestRefuseAndReset(t *testing.T) {
	p, _ := setup(t)
	c := dial(t, p)
	c.Write([]byte("a"))
	io.ReadFull(c, make([]byte, 2))
	if err := p.Refuse(true); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("a connection outlives the refusal")
	}
	if _, err := net.Dial("tcp4", p.Addr()); err == nil {
		t.Error("connections are still taken")
	}
	if err := p.Refuse(false); err != nil {
		t.Fatal(err)
	}
	c = dial(t, p)
	c.Write([]byte("a"))
	if _, err := io.ReadFull(c, make([]byte, 2)); err != nil {
		t.Errorf("after the refusal: %v", err)
	}
	p.Reset()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("not reset")
	}
}

func TestDelay(t *testing.T) {
	p, _ := setup(t)
	p.Set(Faults{DelayMs: 60})
	c := dial(t, p)
	began := time.Now()
	c.Write([]byte("a"))
	if _, err := io.ReadFull(c, make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 120*time.Millisecond {
		t.Errorf("took %v with 60 ms each way", took)
	}
}
