// Command headmill is the session front: one binary, its work in sub-commands.
// It is thin: it reads arguments and settings, starts a loop with a director
// on it and waits for signals.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

var cli struct {
	Serve    serveCmd    `cmd:"" help:"Run a director with the settings of FILE."`
	Node     nodeCmd     `cmd:"" help:"Run a director on the users' platform; its settings come in PROXY_CONFIG."`
	Check    checkCmd    `cmd:"" help:"Check a settings file; each fault is told with file, line and key."`
	Token    tokenCmd    `cmd:"" help:"Make keys, make tokens, read tokens."`
	Up       upCmd       `cmd:"" help:"Start a small fleet on loopback and stay until a signal."`
	Rehearse rehearseCmd `cmd:"" help:"Play a bad day against real directors and judge the rules."`
	Quality  qualityCmd  `cmd:"" help:"Show what viewers saw, by rack, box, title, class, brand or family, or one session's story."`
	Trace    traceCmd    `cmd:"" help:"Tell one sampled session's story from files of traces."`
	Bench    benchCmd    `cmd:"" help:"Measure one director at saturation, beside the same path on net/http."`
	Plain    plainCmd    `cmd:"" hidden:"" help:"Run the net/http path (for bench)."`
	Box      boxCmd      `cmd:"" hidden:"" help:"Run a stand-in box (for up and rehearse)."`
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("headmill"), kong.UsageOnError(),
		kong.Description("headmill places and shapes video sessions on streaming servers."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "headmill:", err)
		os.Exit(1)
	}
}
