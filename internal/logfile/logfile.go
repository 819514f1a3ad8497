// Package logfile writes log lines asynchronously, so that the event loop never
// blocks on the log: a bounded queue and one goroutine that writes. If the disk
// is slow or full, lines are dropped and counted, and a line in the log reports
// their number; request handling is not affected.
package logfile

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Writer is an io.Writer that queues each line for a background goroutine. It is safe for concurrent use.
type Writer struct {
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	once    sync.Once
}

// New starts a writer to out with a queue of the given number of lines.
func New(out io.Writer, lines int) *Writer {
	w := &Writer{queue: make(chan []byte, lines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		reported := int64(0)
		for b := range w.queue {
			if n := w.dropped.Load(); n > reported {
				fmt.Fprintf(out,
					"{\"level\":\"WARN\",\"msg\":\"log lines dropped: the log could not be written fast enough\",\"dropped\":%d}\n",
					n-reported)
				reported = n
			}
			out.Write(b)
		}
	}()
	return w
}

// Write queues a copy of one line. It never blocks and never fails; if the queue is full, the line is dropped.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes all queued lines and stops the writer. Write must not be called after Close.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.queue) })
	<-w.done
}
