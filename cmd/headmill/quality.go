package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"headmill/decide/quality"
	pb "headmill/internal/api/operatorv1"
	"headmill/internal/history"
)

type qualityCmd struct {
	Show   showCmd   `cmd:"" default:"withargs" help:"Show what directors know now, by racks, boxes, titles, classes, brands or families, or of one session."`
	Report reportCmd `cmd:"" help:"Plot and tabulate a period of the recorded history."`
}

type reportCmd struct {
	From string `arg:"" help:"Start of the period: a time (RFC 3339) or a duration before now (30m)."`
	To   string `arg:"" optional:"" default:"0s" help:"End of the period, in the same form; now by default."`
	Dir  string `required:"" help:"Folder of the history (history.dir); for several directors, a folder with all their files."`
	Out  string `default:"quality.svg" help:"File for the plots, .svg or .png."`
}

// parseTime reads a time, or a duration before now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("%q is neither a time like 2026-01-31T03:00:00Z nor a duration like 30m", text)
	}
	return t, nil
}

// Run reads the history of the period, writes the plots and prints the causes of lost quality, which the printed heading
// calls worth. Damaged files are named and left out.
func (c *reportCmd) Run() error {
	now := time.Now()
	from, err := parseTime(c.From, now)
	if err != nil {
		return err
	}
	to, err := parseTime(c.To, now)
	if err != nil {
		return err
	}
	rows, readErrors, err := history.Read(c.Dir, from.UnixMilli(), to.UnixMilli())
	if err != nil {
		return err
	}
	for _, err := range readErrors {
		fmt.Fprintln(os.Stderr, "headmill: skipped:", err)
	}
	summary, err := history.Summarize(rows)
	if err != nil {
		return err
	}
	if err := summary.Draw(c.Out); err != nil {
		return err
	}
	writer := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	fmt.Fprintf(writer, "worth lost\tcause\n")
	for _, cause := range summary.Causes {
		fmt.Fprintf(writer, "%.1f\t%s\n", cause.QualityLost, cause.Cause)
	}
	writer.Flush()
	fmt.Printf("%d reports, start-up p50 %.0f ms, p95 %.0f ms, %.2f%% of the reports with a stall; plots in %s\n",
		summary.Total.Reports, summary.Total.StartupQuantile(0.5), summary.Total.StartupQuantile(0.95),
		100*float64(summary.Total.StalledReports)/math.Max(float64(summary.Total.Reports), 1), c.Out)
	return nil
}

type showCmd struct {
	What      string        `arg:"" name:"what" enum:"racks,boxes,titles,classes,brands,families,session" help:"racks, boxes, titles, classes, brands, families, or session."`
	JTI       string        `arg:"" optional:"" help:"The token's jti, for session."`
	Operators []string      `name:"at" required:"" help:"Address of each director's operator API (director.operator); their figures are added up."`
	Window    time.Duration `name:"last" default:"30s" help:"Length of the period before now."`
	JSON      bool          `help:"Print lines of JSON."`
	Watch     bool          `help:"Repeat every second until a signal."`
}

// dimensionNames maps the argument of "quality show" to the dimension in the operator API.
var dimensionNames = map[string]string{"racks": "rack", "boxes": "box", "titles": "title", "classes": "class",
	"brands": "brand", "families": "family"}

// qualityRow holds the figures of one group; its tags are the JSON output's keys.
type qualityRow struct {
	Name     string  `json:"name"`
	Reports  int64   `json:"reports"`
	Quality  float64 `json:"quality"`
	ShareP50 float64 `json:"share_p50"`
	ShareP05 float64 `json:"share_p05"`
	StartP50 float64 `json:"start_ms_p50"`
	StartP95 float64 `json:"start_ms_p95"`
	Stalled  float64 `json:"stalled_share"`
	Lost     float64 `json:"worth_lost"`
}

// Run queries every director and adds up their figures. A director that does not answer is named on standard error,
// and the figures of the others are shown.
func (c *showCmd) Run() error {
	var clients []pb.OperatorClient
	for _, address := range c.Operators {
		conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return err
		}
		defer conn.Close()
		clients = append(clients, pb.NewOperatorClient(conn))
	}
	if c.What == "session" {
		return c.showSession(clients)
	}
	stop := untilSignal()
	for {
		if err := c.showGroups(clients); err != nil || !c.Watch {
			return err
		}
		select {
		case <-stop:
			return nil
		case <-time.After(time.Second):
		}
	}
}

// showGroups queries every director once and prints the groups and findings of all of them.
func (c *showCmd) showGroups(clients []pb.OperatorClient) error {
	merged := map[string]*quality.Group{}
	var directorFindings []quality.DirectorFinding
	answered := 0
	for i, client := range clients {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		reply, err := client.Quality(ctx, &pb.QualityRequest{Dimension: dimensionNames[c.What],
			LastMs: float64(c.Window.Milliseconds())})
		cancel()
		if err != nil {
			fmt.Fprintf(os.Stderr, "headmill: %s does not answer, its part is missing: %v\n", c.Operators[i], err)
			continue
		}
		answered++
		for _, f := range reply.Findings {
			directorFindings = append(directorFindings, quality.DirectorFinding{Director: reply.Director, Dim: f.Dimension,
				Name: f.Name, SinceMs: f.SinceMs, Load: f.Load, Sessions: f.Sessions, Short: f.Short})
		}
		for _, g := range reply.Groups {
			group := &quality.Group{Reports: g.Reports, Starts: g.Starts, StallMs: g.StallMs, StalledReports: g.Stalled, QualitySum: g.Score,
				QualityLost: g.Lost, Switches: g.Switches}
			if err := group.Decode(g.StartUp, g.Share); err != nil {
				return fmt.Errorf("%s: %w", c.Operators[i], err)
			}
			if merged[g.Name] == nil {
				merged[g.Name] = &quality.Group{}
			}
			merged[g.Name].Merge(group)
		}
	}
	if answered == 0 {
		return errors.New("no director answers")
	}
	var rows []qualityRow
	for name, g := range merged {
		row := qualityRow{Name: name, Reports: g.Reports, Quality: roundOrZero(g.MeanQuality()),
			ShareP50: roundOrZero(g.ShareQuantile(0.5)), ShareP05: roundOrZero(g.ShareQuantile(0.05)),
			StartP50: roundOrZero(g.StartupQuantile(0.5)), StartP95: roundOrZero(g.StartupQuantile(0.95)), Lost: roundOrZero(g.QualityLost)}
		if g.Reports > 0 {
			row.Stalled = roundOrZero(float64(g.StalledReports) / float64(g.Reports))
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b qualityRow) int { // largest loss first, then by name
		if a.Lost != b.Lost {
			return int(math.Copysign(1, b.Lost-a.Lost))
		}
		return int(map[bool]float64{true: -1, false: 1}[a.Name < b.Name]) // -1 if a's name precedes b's
	})
	findings := quality.MergeFindings(directorFindings)
	if c.JSON {
		line, err := json.Marshal(map[string]any{"groups": rows, "findings": findings, "directors": answered})
		if err != nil {
			return err
		}
		fmt.Println(string(line))
		return nil
	}
	writer := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	fmt.Fprintf(writer, "%s\treports\tquality\tshare p50\tshare p5\tstart p50 ms\tp95\tstalled\tworth lost\n",
		dimensionNames[c.What])
	for _, row := range rows {
		fmt.Fprintf(writer, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.3f\t%.1f\n", row.Name, row.Reports, row.Quality,
			row.ShareP50, row.ShareP05, row.StartP50, row.StartP95, row.Stalled, row.Lost)
	}
	writer.Flush()
	for _, f := range findings { // Load is the rate needed over the rate received
		fmt.Printf("finding: %s %s, for %.1f s, named by %s: %d of %d sessions short; asked for about %.2f of what it gives\n",
			f.Dim, f.Name, f.SinceMs/1000,
			strings.Join(f.Directors, ", "), f.Short, f.Sessions, f.Load)
	}
	return nil
}

// roundOrZero rounds to three decimals. NaN, which stands for an unknown value, becomes 0, since JSON has no NaN.
func roundOrZero(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return math.Round(v*1000) / 1000
}

// showSession prints what each director knows about the session.
func (c *showCmd) showSession(clients []pb.OperatorClient) error {
	if c.JTI == "" {
		return errors.New("session needs the token's jti")
	}
	known := false
	for i, client := range clients {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		reply, err := client.Session(ctx, &pb.SessionRequest{Jti: c.JTI})
		cancel()
		if err != nil {
			fmt.Fprintf(os.Stderr, "headmill: %s does not answer: %v\n", c.Operators[i], err)
			continue
		}
		if !reply.Known {
			continue
		}
		known = true
		if c.JSON {
			line, err := json.Marshal(reply)
			if err != nil {
				return err
			}
			fmt.Println(string(line))
			continue
		}
		fmt.Printf("%s at %s: %s, box %s, rung %d; its clock is wrong by about %.0f ms\n", reply.Session,
			c.Operators[i], reply.State, reply.Box, reply.Rung, reply.SkewMs)
		if reply.Partly {
			fmt.Println("  what was before is not known")
		}
		for _, span := range reply.Spans {
			fmt.Printf("  %6.1f s ago: rack %s, box %s, rung %d, %.0f kB/s\n",
				span.AgoMs/1000, span.Rack, span.Box, span.Rung, span.Kb)
		}
	}
	if !known {
		return fmt.Errorf("no director knows a session of %s", c.JTI)
	}
	return nil
}
