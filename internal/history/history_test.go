package history

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"headmill/decide/quality"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// closedWindow returns a window that decide/quality closed, with sessions on one rack that have one report each and
// receive a share of their rate.
func closedWindow(t *testing.T, sessions int, share float64) *quality.Window {
	t.Helper()
	tracker := quality.New(quality.Config{WindowMs: 1000, MaxSpans: 4, DedupWindow: 4,
		RungQuality: []float64{0.5, 1}, StallCost: 1, StartupCost: 0.1})
	var events []quality.Event
	for i := range sessions {
		id := uint64(i + 1)
		events = append(events, quality.Event{Kind: quality.SessionStarted, Session: id, At: 100, StartupMs: 40,
			Place: quality.Place{Rack: 1, Node: 2, Rung: 1, RateKB: 100}},
			quality.Event{Kind: quality.ReportReceived, Session: id, Report: quality.PlayerReport{At: math.NaN(),
				ArrivedAt: 500, Sequence: -1, ReceivedKB: 100 * share, Rung: 1}})
	}
	tracker.Step(500, events)
	tracker.Step(5000, nil)
	windows := tracker.TakeClosed()
	if len(windows) != 1 {
		t.Fatalf("%d windows closed, want 1", len(windows))
	}
	return windows[0]
}

// Rows of several directors are written, read back by time and merged; partial and unreadable files do no harm.
func TestWriteAndRead(t *testing.T) {
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "d0-1-2.parquet.part"), []byte("PAR1 half"), 0o644) // left by a killed process
	for director, share := range map[string]float64{"d0": 1, "d-1": 0.5} {
		w, err := Open(Config{Dir: dir, Director: director, SegmentMs: 20}, discardLogger)
		if err != nil {
			t.Fatal(err)
		}
		window := closedWindow(t, 10, share)
		key := window.Keys(quality.ByRack)[0]
		for i := range 3 {
			from := int64(1e12 + i*1000)
			w.Put([]Row{NewRow(from, from+1000, director, "rack", "7", window.Groups[key]),
				NewRow(from, from+1000, director, "whole", "", &window.Total)})
			time.Sleep(50 * time.Millisecond)
		}
		w.Close()
		if written, dropped := w.Counts(); written != 6 || dropped != 0 {
			t.Errorf("%s: %d rows written, %d dropped, want 6 and 0", director, written, dropped)
		}
	}
	if partial, _ := filepath.Glob(filepath.Join(dir, "*.part")); len(partial) > 0 {
		t.Errorf("partial segments not removed: %v", partial)
	}
	os.WriteFile(filepath.Join(dir, "d9-1-2.parquet"), []byte("no parquet at all"), 0o644)
	rows, unreadable, err := Read(dir, 1e12+500, 1e12+2000)
	if err != nil || len(unreadable) != 1 {
		t.Fatalf("error %v, unreadable %v, want one unreadable file", err, unreadable)
	}
	sum := &quality.Group{}
	for i := range rows {
		if rows[i].Dim != "rack" {
			continue
		}
		group, err := rows[i].Group()
		if err != nil {
			t.Fatal(err)
		}
		sum.Merge(group)
	}
	if len(rows) != 8 || sum.Reports != 40 || math.Abs(sum.ShareQuantile(0.1)-0.5) > 0.02 ||
		math.Abs(sum.ShareQuantile(0.9)-1) > 0.03 {
		t.Errorf("%d rows, %d reports, shares %v to %v", len(rows), sum.Reports, sum.ShareQuantile(0.1), sum.ShareQuantile(0.9))
	}
	if _, _, err := Read(t.TempDir(), 0, 0); err == nil {
		t.Error("no error for an empty directory")
	}
}

// Forty racks over five minutes, with two directors whose windows begin at different times and one overloaded rack: the
// findings, the attributed losses and the plots show that rack.
func TestSummarizeAndDraw(t *testing.T) {
	good, degraded := closedWindow(t, 5, 1), closedWindow(t, 5, 0.5)
	var rows []Row
	for director := range 2 {
		for step := range 60 {
			from := int64(1764590400000 + step*5000 + director*1700)
			name := fmt.Sprintf("d%d", director)
			total := &quality.Group{}
			for rack := range 40 {
				window := good
				if rack == 13 && step >= 20 && step < 32 {
					window = degraded
				}
				group := *window.Groups[window.Keys(quality.ByRack)[0]]
				if window == degraded {
					group.QualitySum, group.QualityLost, group.StalledReports, group.StallMs = 1, 4, 3, 1500
				}
				rows = append(rows, NewRow(from, from+5000, name, "rack", fmt.Sprint(rack), &group))
				total.Merge(&group)
			}
			rows = append(rows, NewRow(from, from+5000, name, "whole", "", total))
		}
	}
	begin := int64(1764590400000 + 101000)
	rows = append(rows, Row{FromMs: begin, ToMs: begin + 1, Director: "d0", Dim: "rack", Name: "13", Finding: true},
		Row{FromMs: begin, ToMs: begin + 58000, Director: "d0", Dim: "rack", Name: "13", Finding: true})
	summary, err := Summarize(rows)
	if err != nil {
		t.Fatal(err)
	}
	if len(summary.Racks) != 40 || summary.Racks[13] != "13" || len(summary.Findings) != 1 ||
		summary.Findings[0].To != float64(begin+58000) {
		t.Errorf("racks %v, findings %v", summary.Racks, summary.Findings)
	}
	if summary.Causes[0].Cause != "rack 13" || math.Abs(summary.Causes[0].QualityLost-2*12*4) > 4.1*2 {
		t.Errorf("causes %v", summary.Causes)
	}
	if group := summary.GroupsByRack["13"][25]; group == nil || group.Reports != 10 || group.MeanQuality() > 0.3 {
		t.Errorf("window 25 of rack 13: %+v", group)
	}
	for _, name := range []string{"q.svg", "q.png"} {
		path := filepath.Join(t.TempDir(), name)
		if err := summary.Draw(path); err != nil {
			t.Fatal(err)
		}
		content, _ := os.ReadFile(path)
		if name == "q.svg" && !strings.Contains(string(content), "rack 38") {
			t.Error("the plot has no label for rack 38")
		}
		if plotDir := os.Getenv("HISTORY_PLOT"); plotDir != "" {
			os.WriteFile(filepath.Join(plotDir, name), content, 0o644)
		}
	}
	if summary.Draw("x.pdf") == nil {
		t.Error("no error for a plot file of another type")
	}
	if _, err := Summarize(rows[len(rows)-1:]); err == nil {
		t.Error("no error for rows without a window")
	}
}

// Segments are deleted to stay within the bounds, the newest is kept, and rows that the queue can't take are dropped
// and counted.
func TestRetentionAndQueueBounds(t *testing.T) {
	dir, now := t.TempDir(), time.Now().UnixMilli()
	w, err := Open(Config{Dir: dir, Director: "d0", SegmentMs: 10, MaxAgeMs: 60000, MaxBytes: 6000}, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	group := &quality.Group{Reports: 1}
	for i, from := range []int64{now - 120000, now - 3000, now - 2000, now - 1000, now} {
		w.Put([]Row{NewRow(from, from+1000, "d0", "rack", fmt.Sprint(i), group)})
		for written := uint64(0); written < uint64(i+1); written, _ = w.Counts() {
			time.Sleep(time.Millisecond)
		}
	}
	w.Close()
	files, _ := filepath.Glob(filepath.Join(dir, "*.parquet"))
	totalBytes := int64(0)
	for _, file := range files {
		info, _ := os.Stat(file)
		totalBytes += info.Size()
	}
	rows, _, _ := Read(dir, 0, 0)
	if totalBytes > 6000 || len(rows) == 0 || len(rows) == 5 ||
		rows[len(rows)-1].Name != "4" {
		t.Errorf("%d bytes in %d files, rows %v", totalBytes, len(files), rows)
	}
	blocked := &Writer{queue: make(chan []Row)} // its queue is never read, as with a blocked disk
	if blocked.Put(make([]Row, 3)) || blocked.dropped.Load() != 3 {
		t.Error("Put blocked or did not count the dropped rows")
	}
}
