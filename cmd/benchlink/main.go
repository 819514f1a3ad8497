// Command benchlink runs headmill controllers on the bench's wire: batches of
// events on standard input, one reply each on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"headmill"
	"headmill/internal/wire"
)

// host holds one controller for each instance number; they share nothing.
type host struct {
	dec   *wire.Decoder
	enc   wire.Encoder
	live  map[uint16]*headmill.Controller
	queue map[uint16][]headmill.Event
	order []uint16
	acts  []headmill.Action
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	h := &host{dec: wire.NewDecoder(), live: make(map[uint16]*headmill.Controller),
		queue: make(map[uint16][]headmill.Event)}
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<16)
	for {
		now, msgs, err := h.dec.ReadBatch(r)
		if errors.Is(err, io.EOF) && msgs == nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.batch(now, msgs); err != nil {
			return err
		}
		if _, err := h.enc.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// batch hands each instance its events in their order and gathers the actions.
func (h *host) batch(now float64, msgs []wire.Message) error {
	h.enc.Reset()
	h.order = h.order[:0]
	for i := range msgs {
		m := &msgs[i]
		switch {
		case m.Open:
			s, err := wire.ParseSettings(m.Settings)
			if err != nil {
				return err
			}
			c, err := headmill.New(s.Config, m.Seed)
			if err != nil {
				return err
			}
			h.live[m.Instance] = c
			h.queue[m.Instance] = h.queue[m.Instance][:0]
		case m.Exit:
			delete(h.live, m.Instance)
			h.queue[m.Instance] = h.queue[m.Instance][:0]
		default:
			if h.live[m.Instance] == nil {
				return fmt.Errorf("event for instance %d, which is not open", m.Instance)
			}
			q := h.queue[m.Instance]
			if len(q) == 0 {
				h.order = append(h.order, m.Instance)
			}
			h.queue[m.Instance] = append(q, m.Event)
		}
	}
	for _, id := range h.order {
		q := h.queue[id]
		if len(q) == 0 || h.live[id] == nil { // ended in this batch, or answered already
			continue
		}
		h.acts = h.live[id].Step(now, q, h.acts[:0])
		h.queue[id] = q[:0]
		for i := range h.acts {
			if err := h.enc.Add(id, &h.acts[i]); err != nil {
				return err
			}
		}
	}
	return nil
}
