// Package logfile writes log lines off the loop's way: a bounded queue and one
// goroutine that writes. A slow or full disk costs lines, which are counted,
// and never an answer.
package logfile

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Writer queues whole lines.
type Writer struct {
	ch      chan []byte
	done    chan struct{}
	dropped atomic.Int64
	once    sync.Once
}

// New starts a writer with a queue of lines.
func New(out io.Writer, lines int) *Writer {
	w := &Writer{ch: make(chan []byte, lines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		told := int64(0)
		for b := range w.ch {
			if n := w.dropped.Load(); n > told {
				fmt.Fprintf(out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped: the log could not be written fast enough\",\"dropped\":%d}\n", n-told)
				told = n
			}
			out.Write(b)
		}
	}()
	return w
}

// Write queues one line; it never blocks and never fails.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.ch <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped is the number of lines that were lost.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued. Nothing may be written after it.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.ch) })
	<-w.done
}
