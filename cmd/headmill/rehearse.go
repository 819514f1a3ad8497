package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"headmill/internal/audit"
	"headmill/internal/standin/scenario"
)

type rehearseCmd struct {
	Script    string  `help:"Scenario script (TOML); by default the built-in one." placeholder:"FILE"`
	JSON      bool    `help:"Print the report as one line of JSON after the table."`
	Seed      uint64  `help:"Seed, in place of the script's."`
	Rate      float64 `help:"New viewers per second, in place of the script's."`
	Seconds   float64 `help:"Length in seconds, in place of the script's; faults keep their times as far as they fit."`
	State     string  `help:"Folder for settings, keys and logs; by default a new one under the temporary folder."`
	Admission string  `name:"gate" help:"\"off\" makes the directors' admission control admit every request, for comparison." enum:"on,off," default:""`
	Print     bool    `help:"Print the built-in script and exit."`
}

// Run executes the scenario and prints the report. It returns an error if the audit found a rule broken
// (audit.Report.OK); the folder with settings, keys and logs is then kept.
func (c *rehearseCmd) Run() error {
	if c.Print {
		fmt.Print(scenario.BuiltIn)
		return nil
	}
	text := scenario.BuiltIn
	if c.Script != "" {
		content, err := os.ReadFile(c.Script)
		if err != nil {
			return err
		}
		text = string(content)
	}
	script, err := scenario.Parse(text)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		script.Seed = c.Seed
	}
	if c.Rate > 0 {
		script.Rate = c.Rate
	}
	if c.Seconds > 0 {
		script.Cut(c.Seconds)
	}
	if c.Admission != "" {
		script.AdmissionControl = c.Admission
	}
	dir, err := stateDir(c.State)
	if err != nil {
		return err
	}
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	run := &scenario.Run{Script: script, Exe: exe, Dir: dir}
	run.Printf = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	fmt.Fprintln(os.Stderr, "rehearsal:", script)
	started := time.Now()
	report, err := run.Execute()
	if err != nil {
		return err
	}
	printReport(report, run, time.Since(started), dir)
	if c.JSON {
		line, _ := json.Marshal(report)
		fmt.Println(string(line))
	}
	if !report.OK() {
		return errors.New("a rule was broken; see the table")
	}
	if c.State == "" {
		os.RemoveAll(dir)
	}
	return nil
}

func sortedKeys(m map[string]float64) []string { return slices.Sorted(maps.Keys(m)) }

// printReport prints the audit's report, the rules with their verdicts and the findings of the quality detector. The texts
// are external.
func printReport(report *audit.Report, run *scenario.Run, elapsed time.Duration, dir string) {
	fmt.Println()
	writer := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	row := func(name string, v any, detail string) { fmt.Fprintf(writer, "%s\t%v\t%s\n", name, v, detail) }
	verdict := func(n int) string {
		if n > 0 {
			return "BROKEN"
		}
		return "kept"
	}
	row("requests", report.Requests, "that reached a director whole")
	row("  answered once, in time", report.AnsweredOnce,
		fmt.Sprintf("%d play, %d refused, %d failed, %d sent on, %d denied",
			report.Plays, report.Refused, report.Failed, report.Redirected, report.Denied))
	row("  not owed an answer", report.ViewerDisconnected+report.LostWithDirector,
		fmt.Sprintf("%d viewers left first, %d went with a killed director", report.ViewerDisconnected, report.LostWithDirector))
	row("rules", "", "")
	row("  1 unanswered or late", report.Unanswered, verdict(report.Unanswered))
	row("  1 answered twice", report.AnsweredTwice, verdict(report.AnsweredTwice))
	row("  2 paid set up twice", report.AtMostOnceRepeated, verdict(report.AtMostOnceRepeated))
	row("  2 paid refused after it may have run", report.WrongRefusals, verdict(report.WrongRefusals))
	row("  2 two attempts out", report.ConcurrentAttempts, verdict(report.ConcurrentAttempts))
	row("  3 sent to a draining or gone box", report.SetupsAfterDrain, verdict(report.SetupsAfterDrain))
	row("  4 cold boxes pushed", report.ColdStartOverloads, verdict(report.ColdStartOverloads))
	row("  5 seats exceeded", report.TitleCapExceeded, verdict(report.TitleCapExceeded))
	row("  5 under the floor", report.BelowMinRung, verdict(report.BelowMinRung))
	row("  6 attempts over the ration", report.RetryBudgetExceeded, verdict(report.RetryBudgetExceeded))
	row("worth in time", report.WorthInTime, "of what was wanted (stand-in boxes)")
	row("set-up, ms", fmt.Sprintf("%.1f / %.1f", report.SetupP50Ms, report.SetupP99Ms),
		"p50 / p99, as the viewer's relay saw it")
	row("first tries", report.FirstRequests,
		fmt.Sprintf("%d played in time; %d of all requests over the session API", report.FirstRequestsInTime, report.SessionAPIRequests))
	row("rush and returns, a second", fmt.Sprintf("%.0f / %.0f", report.PeakFirstRequestsPerS, report.PeakRetriesPerS),
		"most first tries, most tries of viewers refused before")
	for _, tenant := range sortedKeys(report.WorthByTenant) {
		row("worth in time, "+tenant, report.WorthByTenant[tenant], "")
	}
	row("sessions a second", report.SessionsPerS, fmt.Sprintf("%d set-ups sent", report.Setups))
	// Only directors that run at the end are included, so i is not the director's number if one was not restarted.
	for i, ms := range run.CPUMs {
		row(fmt.Sprintf("director %d, CPU ms", i), ms, "over the process's life")
	}
	row("segments played", run.Stats.Segments.Load(),
		fmt.Sprintf("%d late; %d sessions broke off", run.Stats.LateSegments.Load(), run.Stats.BrokenSessions.Load()))
	findings, err := run.Findings()
	if err != nil {
		row("findings", "", err.Error())
	}
	for i, finding := range findings { // only the first 40 are printed
		if rack := run.RackOfNode(finding.Name); i < 40 && finding.Group == "box" {
			finding.Name += fmt.Sprintf(" (rack %d)", rack)
		}
		if i < 40 {
			row(fmt.Sprintf("finding at %.1f s", finding.At), map[bool]string{true: "over"}[finding.Ended],
				fmt.Sprintf("%s: %s %s, load %.2f", finding.Director, finding.Group, finding.Name, finding.Load))
		}
	}
	row("took", elapsed.Round(100*time.Millisecond), "")
	writer.Flush()
	if len(report.Violations) > 0 {
		fmt.Println("\nbroken:\n  " + strings.Join(report.Violations, "\n  "))
		fmt.Println("\nlogs and settings are in", dir)
	}
}
