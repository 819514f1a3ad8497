// Package history stores the closed windows and the findings of decide/quality in
// Parquet files, and reads them back.
//
// A Writer owns the files of one director in a directory. Its input are rows (Put);
// its output are segments, one Parquet file per Config.SegmentMs.
// quality.SegmentsToDelete decides which segments are deleted to stay within the
// bounds on age and size. Writing happens on the Writer's own goroutine: rows that
// a slow disk can't take are dropped and counted, Put never blocks.
//
// A segment is written completely under a temporary name, synced and renamed, so
// that a reader never sees a partial one, even after a crash; Open removes what a
// crash left. A crash loses the rows that are not written yet: those of the last
// Config.SegmentMs at most.
//
// Read returns the rows of all directors in a directory; Summarize aggregates them,
// and Summary.Draw plots the result.
package history

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/parquet-go/parquet-go"

	"headmill/decide/quality"
)

// Row is one group in one window, the total of one window (Dim "whole"), or one finding (Finding is true). A finding
// has no figures, only its evidence; a group has no evidence. The figures are those of quality.Group. The columns' names
// are external.
type Row struct {
	FromMs   int64   `parquet:"from_ms,delta"` // Unix time, ms
	ToMs     int64   `parquet:"to_ms,delta"`
	Director string  `parquet:"director,dict"`
	Dim      string  `parquet:"dim,dict"`  // quality.Dimension as text
	Name     string  `parquet:"name,dict"` // of the group
	Finding  bool    `parquet:"finding"`
	Evidence string  `parquet:"evidence,dict"` // quality.Finding as text
	Reports  int64   `parquet:"reports"`
	Starts   int64   `parquet:"starts"`
	StallMs  float64 `parquet:"stall_ms"`
	Stalled  int64   `parquet:"stalled"`       // reports with a stall
	Score    float64 `parquet:"score"`         // sum of the reports' quality (Group.QualitySum)
	Lost     float64 `parquet:"lost"`          // sum of the missing quality (Group.QualityLost)
	Switches int64   `parquet:"switches"`      // changes of rung
	StartUp  []byte  `parquet:"start_up,zstd"` // start-up times: DDSketch in its library's encoding
	Share    []byte  `parquet:"share,zstd"`    // shares of the needed rate that sessions received: DDSketch
}

// NewRow returns the row of a group in a window.
func NewRow(fromMs, toMs int64, director, dim, name string, g *quality.Group) Row {
	startup, share := g.Encode()
	return Row{FromMs: fromMs, ToMs: toMs, Director: director, Dim: dim, Name: name, Reports: g.Reports, Starts: g.Starts,
		StallMs: g.StallMs, Stalled: g.StalledReports, Score: g.QualitySum, Lost: g.QualityLost, Switches: g.Switches,
		StartUp: startup, Share: share}
}

// Group returns the group that the row was made of.
func (r *Row) Group() (*quality.Group, error) {
	g := &quality.Group{Reports: r.Reports, Starts: r.Starts, StallMs: r.StallMs, StalledReports: r.Stalled, QualitySum: r.Score,
		QualityLost: r.Lost, Switches: r.Switches}
	return g, g.Decode(r.StartUp, r.Share)
}

// Config has the directory of a Writer and its bounds.
type Config struct {
	Dir       string
	Director  string  // prefix of the files' names
	SegmentMs float64 // interval between segments
	MaxBytes  int64   // of this director's segments; 0: no bound
	MaxAgeMs  float64 // of this director's segments; 0: no bound
}

// Writer writes segments on its own goroutine.
type Writer struct {
	cfg     Config
	log     *slog.Logger
	queue   chan []Row
	done    chan struct{} // closed when the goroutine has ended
	dropped atomic.Uint64 // rows
	written atomic.Uint64 // rows
}

const maxQueuedBatches = 64 // batches of rows that wait for the disk

// Open creates the directory, removes partial segments of an earlier run, and starts the Writer.
func Open(cfg Config, log *slog.Logger) (*Writer, error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	partial, _ := filepath.Glob(filepath.Join(cfg.Dir, cfg.Director+"-*.parquet.part"))
	for _, file := range partial {
		os.Remove(file)
	}
	w := &Writer{cfg: cfg, log: log, queue: make(chan []Row, maxQueuedBatches), done: make(chan struct{})}
	go w.run()
	return w, nil
}

// Put queues rows for writing. It never blocks: if the queue is full, it drops the rows and returns false.
func (w *Writer) Put(rows []Row) bool {
	select {
	case w.queue <- rows:
		return true
	default:
		w.dropped.Add(uint64(len(rows)))
		return false
	}
}

// Counts returns the numbers of rows written and dropped.
func (w *Writer) Counts() (written, dropped uint64) { return w.written.Load(), w.dropped.Load() }

// Close writes the queued rows and ends the Writer. Put must not be called after it.
func (w *Writer) Close() {
	close(w.queue)
	<-w.done
}

// run collects rows and writes them as a segment once per SegmentMs, and at the end.
func (w *Writer) run() {
	defer close(w.done)
	var rows []Row
	ticker := time.NewTicker(time.Duration(max(w.cfg.SegmentMs, 10) * float64(time.Millisecond)))
	defer ticker.Stop()
	flush := func() {
		if len(rows) == 0 {
			return
		}
		if err := w.writeSegment(rows); err != nil {
			w.dropped.Add(uint64(len(rows)))
			w.log.Error("history: segment not written, its rows are lost; check the disk",
				"dir", w.cfg.Dir, "rows", len(rows), "error", err.Error())
		} else {
			w.written.Add(uint64(len(rows)))
		}
		rows = nil
		w.prune()
	}
	for {
		select {
		case batch, ok := <-w.queue:
			if !ok {
				flush()
				return
			}
			rows = append(rows, batch...)
		case <-ticker.C:
			flush()
		}
	}
}

// writeSegment writes a file under a temporary name, syncs it and renames it.
func (w *Writer) writeSegment(rows []Row) error {
	from := rows[0].FromMs
	for i := range rows {
		from = min(from, rows[i].FromMs)
	}
	name := filepath.Join(w.cfg.Dir, fmt.Sprintf("%s-%d-%d.parquet", w.cfg.Director, from, time.Now().UnixNano()))
	file, err := os.Create(name + ".part")
	if err != nil {
		return err
	}
	parquetWriter := parquet.NewGenericWriter[Row](file)
	_, err = parquetWriter.Write(rows)
	err = errors.Join(err, parquetWriter.Close(), file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(name+".part", name)
	}
	if err != nil {
		os.Remove(name + ".part")
	}
	return err
}

// prune deletes the segments of this director that exceed MaxAgeMs or MaxBytes.
func (w *Writer) prune() {
	var segments []quality.Segment
	files, _ := filepath.Glob(filepath.Join(w.cfg.Dir, w.cfg.Director+"-*.parquet"))
	for _, file := range files {
		// The pattern also matches directors whose names begin with this one's and a hyphen.
		if director, from, ok := parseName(file); ok && director == w.cfg.Director {
			if info, err := os.Stat(file); err == nil {
				segments = append(segments, quality.Segment{Name: file, FromMs: float64(from), Bytes: info.Size()})
			}
		}
	}
	for _, file := range quality.SegmentsToDelete(segments, float64(time.Now().UnixMilli()), w.cfg.MaxAgeMs,
		w.cfg.MaxBytes) {
		if err := os.Remove(file); err != nil {
			w.log.Error("history: segment not deleted", "file", file, "error", err.Error())
		}
	}
}

// parseName reads a segment's name, DIRECTOR-FROM-WRITTEN.parquet. The director's name may contain hyphens.
func parseName(path string) (director string, fromMs int64, ok bool) {
	parts := strings.Split(strings.TrimSuffix(filepath.Base(path), ".parquet"), "-")
	if len(parts) < 3 {
		return "", 0, false
	}
	from, err := strconv.ParseInt(parts[len(parts)-2], 10, 64)
	return strings.Join(parts[:len(parts)-2], "-"), from, err == nil
}

// Read returns the rows of all directors that overlap the interval from fromMs to toMs (Unix ms; toMs 0: no end). Files
// that can't be read are skipped, since the others are still useful; unreadable has an error for each.
func Read(dir string, fromMs, toMs int64) (rows []Row, unreadable []error, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.parquet"))
	if err != nil {
		return nil, nil, err
	}
	if len(files) == 0 {
		return nil, nil, fmt.Errorf("history: directory %s has no segments (*.parquet)", dir)
	}
	for _, file := range files {
		fileRows, err := parquet.ReadFile[Row](file)
		if err != nil {
			unreadable = append(unreadable, fmt.Errorf("history: reading segment %s: %w", file, err))
			continue
		}
		for _, row := range fileRows {
			if row.ToMs > fromMs && (toMs == 0 || row.FromMs < toMs) {
				rows = append(rows, row)
			}
		}
	}
	return rows, unreadable, nil
}
