package main

import (
	"fmt"
	"os"
	"slices"

	"headmill/internal/trace"
)

type traceCmd struct {
	JTI   string   `arg:"" help:"The token's jti."`
	Files []string `arg:"" help:"Trace files (trace.file) of all directors."`
}

// Run prints what the files contain about the session, in the order of time. A file that is damaged is used as far as
// it can be read.
func (c *traceCmd) Run() error {
	var history []trace.Entry
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		lines, err := trace.ReadSession(file, c.JTI)
		file.Close()
		if err != nil {
			fmt.Fprintf(os.Stderr, "headmill: %s: %v; what could be read is shown\n", name, err)
		}
		history = append(history, lines...)
	}
	if len(history) == 0 {
		return fmt.Errorf("no trace of %s: it was not sampled (trace.part), it still plays, or its director was killed",
			c.JTI)
	}
	slices.SortStableFunc(history, func(a, b trace.Entry) int { return a.At.Compare(b.At) })
	for _, line := range history {
		fmt.Printf("%s  %s\n", line.At.UTC().Format("15:04:05.000"), line.Text)
	}
	return nil
}
