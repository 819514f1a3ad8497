package loop

import (
	"net"
	"testing"
)

// iterationCounter counts what one iteration of the loop delivers.
type iterationCounter struct {
	inIteration, most int
	total             int
}

func (c *iterationCounter) Connected(*Conn) {}
func (c *iterationCounter) Flushed(*Conn)   {}
func (c *iterationCounter) Closed(*Conn, error) {
}
func (c *iterationCounter) Data(_ *Conn, b []byte) {
	c.inIteration += len(b)
	c.total += len(b)
}

// Guards against a peer that sends at full speed and has all that it sent handled before others are: one iteration reads no more
// than the budget of its connection, and nothing is lost.
func TestReadBudget(t *testing.T) {
	const budget, sent = 1000, 1 << 20
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	counter := &iterationCounter{}
	finished := make(chan struct{})
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		c.SetReadBudget(budget)
		return counter
	})
	if err != nil {
		t.Fatal(err)
	}
	l.OnIteration(func() {
		counter.most = max(counter.most, counter.inIteration)
		counter.inIteration = 0
		if counter.total == sent {
			l.Stop()
		}
	})
	go func() {
		l.Run()
		close(finished)
	}()
	peer, err := net.Dial("tcp4", listener.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if _, err := peer.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	<-finished
	if counter.most > budget || counter.total != sent {
		t.Errorf("%d bytes in one iteration, %d in all; want at most %d, and %d", counter.most, counter.total, budget, sent)
	}
}

// answeringCounter is an iterationCounter that answers what it is delivered.
type answeringCounter struct {
	iterationCounter
	loop *Loop
}

func (c *answeringCounter) Data(conn *Conn, b []byte) {
	c.iterationCounter.Data(conn, b)
	conn.Write([]byte("x"))
}

func (c *answeringCounter) Closed(*Conn, error) { c.loop.Stop() }

// Guards against a peer that sends at full speed and resets its connection: all that it had sent was handled at once as the first
// answer failed, which took up to 75 ms, and the director refused others as overloaded.
func TestReadBudgetOfABrokenConnection(t *testing.T) {
	const budget, sent = 1000, 64 << 10
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	counter := &answeringCounter{loop: l}
	listener, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
		c.SetReadBudget(budget)
		return counter
	})
	if err != nil {
		t.Fatal(err)
	}
	l.OnIteration(func() {
		counter.most = max(counter.most, counter.inIteration)
		counter.inIteration = 0
	})
	peer, err := net.Dial("tcp4", listener.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	peer.(*net.TCPConn).SetLinger(0)
	peer.Close()
	l.Run()
	if counter.most > 2*budget || counter.total != sent {
		t.Errorf("%d bytes in one iteration, %d in all; want at most %d, and %d", counter.most, counter.total, 2*budget, sent)
	}
}
