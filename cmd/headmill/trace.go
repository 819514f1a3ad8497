package main

import (
	"fmt"
	"os"
	"slices"

	"headmill/internal/trace"
)

type traceCmd struct {
	JTI   string   `arg:"" help:"The token's jti."`
	Files []string `arg:"" help:"Files of traces (trace.file), of all directors."`
}

// Run tells what the files have of the session, by time.
func (c *traceCmd) Run() error {
	var all []trace.Line
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		lines, err := trace.Tell(f, c.JTI)
		f.Close()
		if err != nil {
			fmt.Fprintf(os.Stderr, "headmill: %s: %v; the rest is told\n", name, err)
		}
		all = append(all, lines...)
	}
	if len(all) == 0 {
		return fmt.Errorf("no trace of %s: it was not sampled (trace.part), still plays, or its director was killed", c.JTI)
	}
	slices.SortStableFunc(all, func(a, b trace.Line) int { return a.At.Compare(b.At) })
	for _, l := range all {
		fmt.Printf("%s  %s\n", l.At.UTC().Format("15:04:05.000"), l.Text)
	}
	return nil
}
