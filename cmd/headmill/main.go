// Command headmill runs directors and the tools around them, each as a
// sub-command: serve and node run a director, up and rehearse start a small
// cluster on this machine, token and check prepare settings, quality and trace
// show what directors recorded, and bench measures one. The hidden commands box
// and plain are processes that other commands start.
//
// The commands hold no logic of the director: they read arguments and settings,
// start an event loop with a director on it and wait for signals. The exit
// status is 0 on success and 1 on an error, which goes to standard error.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

var cli struct {
	Serve     serveCmd     `cmd:"" help:"Run a director with the settings of FILE."`
	Proxy     proxyCmd     `cmd:"" name:"node" help:"Run a director on the users' platform; its settings come in PROXY_CONFIG."`
	Check     checkCmd     `cmd:"" help:"Check a settings file and report each error with file, line and key."`
	Token     tokenCmd     `cmd:"" help:"Make keys, make tokens, read tokens."`
	Up        upCmd        `cmd:"" help:"Start a small cluster on loopback and run it until a signal."`
	Rehearse  rehearseCmd  `cmd:"" help:"Run a scenario with injected faults against real directors and check the rules."`
	Quality   qualityCmd   `cmd:"" help:"Show playback quality by rack, box, title, class, brand or player family, or one session's history."`
	Trace     traceCmd     `cmd:"" help:"Show one sampled session's history from trace files."`
	Bench     benchCmd     `cmd:"" help:"Measure one director at saturation, beside the same path on net/http."`
	Plain     plainCmd     `cmd:"" hidden:"" help:"Run the net/http path (for bench)."`
	MediaNode mediaNodeCmd `cmd:"" name:"box" hidden:"" help:"Run a stand-in media node (for up and rehearse)."`
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("headmill"), kong.UsageOnError(),
		kong.Description("headmill places and shapes video sessions on streaming servers."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "headmill:", err)
		os.Exit(1)
	}
}
