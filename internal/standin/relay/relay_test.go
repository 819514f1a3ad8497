package relay

import (
	"io"
	"net"
	"testing"
	"time"
)

// startEchoServer starts a server that answers each byte with the same byte and a plus sign, and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 64)
				for {
					n, err := conn.Read(buffer)
					if err != nil {
						return
					}
					for _, octet := range buffer[:n] {
						conn.Write([]byte{octet, '+'})
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// startRelay starts a relay to an echo server.
func startRelay(t *testing.T) (*Relay, *Log) {
	log := NewLog()
	relay, err := New(log, "t", startEchoServer(t), false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return relay, log
}

func dialRelay(t *testing.T, relay *Relay) net.Conn {
	conn, err := net.Dial("tcp4", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// recordedData returns the data of all records of a kind.
func recordedData(log *Log, kind Kind) (data string) {
	for _, record := range log.Records() {
		if record.Kind == kind {
			data += string(record.Data)
		}
	}
	return data
}

// waitFor fails the test if the condition does not become true within ten seconds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("did not happen: " + what)
}

func countRecords(log *Log, kind Kind) int {
	n := 0
	for _, record := range log.Records() {
		if record.Kind == kind {
			n++
		}
	}
	return n
}

// Both directions and the ends of a connection are recorded, in the order of time.
func TestRecordsWhatPasses(t *testing.T) {
	relay, log := startRelay(t)
	conn := dialRelay(t, relay)
	conn.Write([]byte("ab"))
	answer := make([]byte, 4)
	if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "a+b+" {
		t.Fatalf("answer %q, error %v", answer, err)
	}
	conn.Close()
	waitFor(t, "both ends are recorded", func() bool {
		return countRecords(log, ClientEnd) == 1 && countRecords(log, ServerEnd) == 1
	})
	if recordedData(log, ClientData) != "ab" || recordedData(log, ServerData) != "a+b+" {
		t.Fatalf("recorded %q forth and %q back", recordedData(log, ClientData), recordedData(log, ServerData))
	}
	last := 0.0
	for _, record := range log.Records() {
		if record.AtMs < last {
			t.Fatal("records are out of order")
		}
		last = record.AtMs
	}
}

// A stall holds data back and loses none; the end of a side is recorded during the stall.
func TestStallHoldsDataUntilLifted(t *testing.T) {
	relay, log := startRelay(t)
	conn := dialRelay(t, relay)
	relay.SetFaults(Faults{StallAnswers: true})
	conn.Write([]byte("a"))
	waitFor(t, "the request is recorded", func() bool { return recordedData(log, ClientData) == "a" })
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatal("an answer passed the stall")
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	relay.SetFaults(Faults{})
	answer := make([]byte, 2)
	if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "a+" {
		t.Fatalf("after the stall: answer %q, error %v", answer, err)
	}
	// The end of a side during a stall is recorded when it happens.
	relay.SetFaults(Faults{Stall: true})
	conn.Write([]byte("b"))
	conn.Close()
	waitFor(t, "the end is recorded during the stall", func() bool { return countRecords(log, ClientEnd) == 1 })
}

// A connection is reset after the given number of bytes, and exactly those are recorded as sent to the client.
func TestResetAfterBytes(t *testing.T) {
	for name, faults := range map[string]Faults{
		"request": {ResetAfterRequestBytes: 2}, "answer": {ResetAfterAnswerBytes: 3},
	} {
		relay, log := startRelay(t)
		relay.SetFaults(faults)
		conn := dialRelay(t, relay)
		conn.Write([]byte("abcd"))
		answer, err := io.ReadAll(conn)
		if err == nil && len(answer) == 8 {
			t.Errorf("%s: connection was not reset", name)
		}
		if faults.ResetAfterAnswerBytes > 0 && recordedData(log, ServerData) != "a+b" {
			t.Errorf("%s: %q was sent to the client, want three bytes", name, recordedData(log, ServerData))
		}
	}
}

// Refuse resets open connections and refuses new ones until it is lifted; Reset only resets open ones.
func TestRefuseAndReset(t *testing.T) {
	relay, _ := startRelay(t)
	conn := dialRelay(t, relay)
	conn.Write([]byte("a"))
	io.ReadFull(conn, make([]byte, 2))
	if err := relay.Refuse(true); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("connection stays open after Refuse(true)")
	}
	if _, err := net.Dial("tcp4", relay.Addr()); err == nil {
		t.Error("connection accepted after Refuse(true)")
	}
	if err := relay.Refuse(false); err != nil {
		t.Fatal(err)
	}
	conn = dialRelay(t, relay)
	conn.Write([]byte("a"))
	if _, err := io.ReadFull(conn, make([]byte, 2)); err != nil {
		t.Errorf("after Refuse(false): %v", err)
	}
	relay.Reset()
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("connection stays open after Reset")
	}
}

// Data is delayed in both directions.
func TestDelay(t *testing.T) {
	relay, _ := startRelay(t)
	relay.SetFaults(Faults{DelayMs: 60})
	conn := dialRelay(t, relay)
	startedAt := time.Now()
	conn.Write([]byte("a"))
	if _, err := io.ReadFull(conn, make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(startedAt); took < 120*time.Millisecond {
		t.Errorf("round trip took %v, want at least 120 ms (60 ms each way)", took)
	}
}
