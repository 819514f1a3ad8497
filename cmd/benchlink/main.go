// Command benchlink connects headmill's decision module to the simulator (and
// has nothing to do with package bench): it reads batches of events in the
// format of package wire from standard input and writes one reply with the
// resulting actions for each batch to standard output. It ends at the end of the
// input, and with status 1 on a batch that it cannot decode or that does not fit
// the open instances.
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

// host runs one controller for each open instance. Controllers share no state.
type host struct {
	decoder     *wire.Decoder
	encoder     wire.Encoder
	controllers map[uint16]*headmill.Controller // by instance number
	pending     map[uint16][]headmill.Event     // events of the current batch, by instance number
	order       []uint16                        // instances in the order of their first event in the batch
	actions     []headmill.Action
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run serves batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := &host{decoder: wire.NewDecoder(), controllers: make(map[uint16]*headmill.Controller),
		pending: make(map[uint16][]headmill.Event)}
	reader, writer := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<16)
	for {
		now, msgs, err := h.decoder.ReadBatch(reader)
		// Plain EOF: the input ended between two batches, not within one.
		if errors.Is(err, io.EOF) && msgs == nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(now, msgs); err != nil {
			return err
		}
		if _, err := h.encoder.WriteTo(writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// handleBatch passes each instance its events in their order and encodes the actions that result. A controller gets all
// its events of a batch in one step.
func (h *host) handleBatch(now float64, msgs []wire.Message) error {
	h.encoder.Reset()
	h.order = h.order[:0]
	for i := range msgs {
		m := &msgs[i]
		switch {
		case m.Open:
			settings, err := wire.ParseSettings(m.Settings)
			if err != nil {
				return err
			}
			controller, err := headmill.New(settings.Config, m.Seed)
			if err != nil {
				return err
			}
			h.controllers[m.Instance] = controller
			h.pending[m.Instance] = h.pending[m.Instance][:0]
		case m.Exit:
			delete(h.controllers, m.Instance)
			h.pending[m.Instance] = h.pending[m.Instance][:0]
		default:
			if h.controllers[m.Instance] == nil {
				return fmt.Errorf("event for instance %d, which is not open", m.Instance)
			}
			events := h.pending[m.Instance]
			if len(events) == 0 {
				h.order = append(h.order, m.Instance)
			}
			h.pending[m.Instance] = append(events, m.Event)
		}
	}
	for _, instance := range h.order {
		events := h.pending[instance]
		// Without events, the instance ended in this batch or was already handled under an earlier entry.
		if len(events) == 0 || h.controllers[instance] == nil {
			continue
		}
		h.actions = h.controllers[instance].Step(now, events, h.actions[:0])
		h.pending[instance] = events[:0]
		for i := range h.actions {
			if err := h.encoder.Add(instance, &h.actions[i]); err != nil {
				return err
			}
		}
	}
	return nil
}
