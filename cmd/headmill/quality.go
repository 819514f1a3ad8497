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
	Show   showCmd   `cmd:"" default:"withargs" help:"What directors know now: racks, boxes, titles, classes, brands, families, or one session."`
	Report reportCmd `cmd:"" help:"Plots and a table of a time in the history."`
}

type reportCmd struct {
	From string `arg:"" help:"Beginning: RFC 3339, or so long ago (30m)."`
	To   string `arg:"" optional:"" default:"0s" help:"End, likewise; now otherwise."`
	Dir  string `required:"" help:"The history (history.dir); of several directors, one after the other merged, all in one folder."`
	Out  string `default:"quality.svg" help:"File for the plots, .svg or .png."`
}

// moment reads a time, or how long before now.
func moment(text string, now time.Time) (time.Time, error) {
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, fmt.Errorf("%q is neither a time as 2026-01-31T03:00:00Z nor a length as 30m", text)
	}
	return t, nil
}

// Run reads the history and draws.
func (c *reportCmd) Run() error {
	now := time.Now()
	from, err := moment(c.From, now)
	if err != nil {
		return err
	}
	to, err := moment(c.To, now)
	if err != nil {
		return err
	}
	rows, bad, err := history.Read(c.Dir, from.UnixMilli(), to.UnixMilli())
	if err != nil {
		return err
	}
	for _, err := range bad {
		fmt.Fprintln(os.Stderr, "headmill: passed over:", err)
	}
	sum, err := history.Summarize(rows)
	if err != nil {
		return err
	}
	if err := sum.Draw(c.Out); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	fmt.Fprintf(w, "worth lost\tcause\n")
	for _, s := range sum.Causes {
		fmt.Fprintf(w, "%.1f\t%s\n", s.Lost, s.Cause)
	}
	w.Flush()
	fmt.Printf("%d reports, start-up p50 %.0f ms, p95 %.0f ms, %.2f%% of the reports with a stall; plots in %s\n", sum.Whole.Reports,
		sum.Whole.StartUp(0.5), sum.Whole.StartUp(0.95), 100*float64(sum.Whole.Stalled)/math.Max(float64(sum.Whole.Reports), 1), c.Out)
	return nil
}

type showCmd struct {
	What  string        `arg:"" enum:"racks,boxes,titles,classes,brands,families,session" help:"racks, boxes, titles, classes, brands, families, or session."`
	JTI   string        `arg:"" optional:"" help:"Of session: the token's jti."`
	At    []string      `required:"" help:"Operators' API of each director (director.operator); their parts are added up."`
	Last  time.Duration `default:"30s" help:"How far back."`
	JSON  bool          `help:"Lines of JSON."`
	Watch bool          `help:"Once a second until a signal."`
}

var dimension = map[string]string{"racks": "rack", "boxes": "box", "titles": "title", "classes": "class", "brands": "brand",
	"families": "family"}

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

// Run asks every director and adds their parts up. A director that does not answer is named, and the rest shown.
func (c *showCmd) Run() error {
	var clients []pb.OperatorClient
	for _, at := range c.At {
		conn, err := grpc.NewClient(at, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return err
		}
		defer conn.Close()
		clients = append(clients, pb.NewOperatorClient(conn))
	}
	if c.What == "session" {
		return c.session(clients)
	}
	stop := untilSignal()
	for {
		if err := c.groups(clients); err != nil || !c.Watch {
			return err
		}
		select {
		case <-stop:
			return nil
		case <-time.After(time.Second):
		}
	}
}

func (c *showCmd) groups(clients []pb.OperatorClient) error {
	sum := map[string]*quality.Group{}
	var told []quality.DirectorFinding
	answered := 0
	for i, cl := range clients {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r, err := cl.Quality(ctx, &pb.QualityRequest{Dimension: dimension[c.What], LastMs: float64(c.Last.Milliseconds())})
		cancel()
		if err != nil {
			fmt.Fprintf(os.Stderr, "headmill: %s does not answer, its part is missing: %v\n", c.At[i], err)
			continue
		}
		answered++
		for _, f := range r.Findings {
			told = append(told, quality.DirectorFinding{Director: r.Director, Dim: f.Dimension, Name: f.Name, SinceMs: f.SinceMs, Load: f.Load,
				Sessions: f.Sessions, Short: f.Short})
		}
		for _, g := range r.Groups {
			part := &quality.Group{Reports: g.Reports, Starts: g.Starts, StallMs: g.StallMs, Stalled: g.Stalled, Score: g.Score,
				Lost: g.Lost, Switches: g.Switches}
			if err := part.Decode(g.StartUp, g.Share); err != nil {
				return fmt.Errorf("%s: %w", c.At[i], err)
			}
			if sum[g.Name] == nil {
				sum[g.Name] = &quality.Group{}
			}
			sum[g.Name].Merge(part)
		}
	}
	if answered == 0 {
		return errors.New("no director answers")
	}
	var rows []qualityRow
	for name, g := range sum {
		r := qualityRow{Name: name, Reports: g.Reports, Quality: tidy(g.Mean()), ShareP50: tidy(g.Share(0.5)), ShareP05: tidy(g.Share(0.05)),
			StartP50: tidy(g.StartUp(0.5)), StartP95: tidy(g.StartUp(0.95)), Lost: tidy(g.Lost)}
		if g.Reports > 0 {
			r.Stalled = tidy(float64(g.Stalled) / float64(g.Reports))
		}
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b qualityRow) int { // what loses most first
		if a.Lost != b.Lost {
			return int(math.Copysign(1, b.Lost-a.Lost))
		}
		return int(map[bool]float64{true: -1, false: 1}[a.Name < b.Name])
	})
	findings := quality.MergeFindings(told)
	if c.JSON {
		line, err := json.Marshal(map[string]any{"groups": rows, "findings": findings, "directors": answered})
		if err != nil {
			return err
		}
		fmt.Println(string(line))
		return nil
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)
	fmt.Fprintf(w, "%s\treports\tquality\tshare p50\tshare p5\tstart p50 ms\tp95\tstalled\tworth lost\n", dimension[c.What])
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.3f\t%.1f\n", r.Name, r.Reports, r.Quality, r.ShareP50, r.ShareP05,
			r.StartP50, r.StartP95, r.Stalled, r.Lost)
	}
	w.Flush()
	for _, f := range findings {
		fmt.Printf("finding: %s %s, for %.1f s, named by %s: %d of %d sessions short; asked for about %.2f of what it gives\n", f.Dim, f.Name,
			f.SinceMs/1000, strings.Join(f.Directors, ", "), f.Short, f.Sessions, f.Load)
	}
	return nil
}

// tidy rounds, and gives 0 for what is not known: JSON has no such number.
func tidy(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return math.Round(v*1000) / 1000
}

func (c *showCmd) session(clients []pb.OperatorClient) error {
	if c.JTI == "" {
		return errors.New("session needs the token's jti")
	}
	known := false
	for i, cl := range clients {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r, err := cl.Session(ctx, &pb.SessionRequest{Jti: c.JTI})
		cancel()
		if err != nil {
			fmt.Fprintf(os.Stderr, "headmill: %s does not answer: %v\n", c.At[i], err)
			continue
		}
		if !r.Known {
			continue
		}
		known = true
		if c.JSON {
			line, err := json.Marshal(r)
			if err != nil {
				return err
			}
			fmt.Println(string(line))
			continue
		}
		fmt.Printf("%s at %s: %s, box %s, rung %d; its clock is wrong by about %.0f ms\n", r.Session, c.At[i], r.State, r.Box, r.Rung, r.SkewMs)
		if r.Partly {
			fmt.Println("  what was before is not known")
		}
		for _, s := range r.Spans {
			fmt.Printf("  %6.1f s ago: rack %s, box %s, rung %d, %.0f kB/s\n", s.AgoMs/1000, s.Rack, s.Box, s.Rung, s.Kb)
		}
	}
	if !known {
		return fmt.Errorf("no director knows a session of %s", c.JTI)
	}
	return nil
}
