package history

import (
	"errors"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"headmill/decide/quality"
)

// Summary is what a report shows of a time: windows of all directors added up.
type Summary struct {
	FromMs, ToMs, StepMs int64
	Racks                []string
	Cells                map[string]map[int64]*quality.Group // by rack and window
	Whole                quality.Group
	Troubles             []quality.FindingInterval
	Causes               []quality.CauseLoss
}

// Summarize adds rows up. Directors' windows don't begin at the same moment: they are put on one grid.
func Summarize(rows []Row) (*Summary, error) {
	s := &Summary{Cells: map[string]map[int64]*quality.Group{}, FromMs: math.MaxInt64}
	for i := range rows {
		if r := &rows[i]; !r.Finding {
			s.StepMs = max(s.StepMs, r.ToMs-r.FromMs)
			s.FromMs, s.ToMs = min(s.FromMs, r.FromMs), max(s.ToMs, r.ToMs)
		}
	}
	if s.StepMs <= 0 {
		return nil, errors.New("history: no closed window in that time; windows close quality.late_ms after they end")
	}
	whole := map[float64]float64{}
	var losses []quality.GroupLoss
	found := map[string]int{}
	for i := range rows {
		r := &rows[i]
		if r.Finding {
			key := r.Dim + " " + r.Name + fmt.Sprint(r.Director, r.FromMs/1000)
			n, ok := found[key]
			if !ok {
				n = len(s.Troubles)
				found[key] = n
				s.Troubles = append(s.Troubles, quality.FindingInterval{Dim: r.Dim, Name: r.Name, From: float64(r.FromMs), To: float64(r.ToMs)})
			}
			s.Troubles[n].To = max(s.Troubles[n].To, float64(r.ToMs))
			continue
		}
		g, err := r.Group()
		if err != nil {
			return nil, err
		}
		at := (r.FromMs - s.FromMs) / s.StepMs
		switch r.Dim {
		case "whole":
			s.Whole.Merge(g)
			whole[float64(at)] += r.Lost
			continue
		case "rack":
			if s.Cells[r.Name] == nil {
				s.Cells[r.Name] = map[int64]*quality.Group{}
				s.Racks = append(s.Racks, r.Name)
			}
			if s.Cells[r.Name][at] == nil {
				s.Cells[r.Name][at] = &quality.Group{}
			}
			s.Cells[r.Name][at].Merge(g)
		}
		losses = append(losses, quality.GroupLoss{Dim: r.Dim, Name: r.Name, From: float64(at), To: float64(at + 1), Lost: r.Lost})
	}
	slices.SortFunc(s.Racks, func(a, b string) int { // 2 before 10
		if len(a) != len(b) {
			return len(a) - len(b)
		}
		return strings.Compare(a, b)
	})
	grid := make([]quality.FindingInterval, 0, len(s.Troubles))
	for _, t := range s.Troubles {
		t.From, t.To = (t.From-float64(s.FromMs))/float64(s.StepMs), (t.To-float64(s.FromMs))/float64(s.StepMs)
		grid = append(grid, t)
	}
	s.Causes = quality.AttributeLoss(whole, losses, grid)
	return s, nil
}

// grid is the map of racks over time: the mean quality of the reports.
type grid struct{ s *Summary }

func (g grid) Dims() (c, r int) {
	return int((g.s.ToMs-g.s.FromMs+g.s.StepMs-1)/g.s.StepMs) + 1, len(g.s.Racks)
}
func (g grid) X(c int) float64 {
	return float64(g.s.FromMs)/1000 + (float64(c)+0.5)*float64(g.s.StepMs)/1000
}
func (g grid) Y(r int) float64 { return float64(r) }
func (g grid) Z(c, r int) float64 {
	if x := g.s.Cells[g.s.Racks[r]][int64(c)]; x != nil {
		return x.Mean()
	}
	return math.NaN()
}

// clock writes times of day.
type clock struct{}

func (clock) Ticks(lo, hi float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(lo, hi)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = time.UnixMilli(int64(ticks[i].Value * 1000)).UTC().Format("15:04:05")
		}
	}
	return ticks
}

var (
	troubleInk = color.RGBA{R: 200, A: 255}
	lineInk    = color.RGBA{B: 160, G: 70, A: 255}
)

// rackMap is quality by rack over time, with the findings on racks framed and others as lines at their beginning.
func (s *Summary) rackMap() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "quality by rack over time (mean of the reports; red: findings)"
	p.X.Tick.Marker = clock{}
	p.X.Label.Text = "UTC"
	if len(s.Racks) > 0 {
		h := plotter.NewHeatMap(grid{s}, reversed{moreland.SmoothBlueRed().Palette(64)})
		if h.Max <= h.Min || math.IsNaN(h.Max) {
			h.Max = h.Min + 1e-6
		}
		h.NaN = color.Gray{Y: 230}
		p.Add(h)
	}
	var ticks []plot.Tick
	for i, r := range s.Racks {
		label := "rack " + r
		if len(s.Racks) > 20 && i%2 == 1 {
			label = ""
		}
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: label})
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	for _, t := range s.Troubles {
		y := slices.Index(s.Racks, t.Name)
		from, to := t.From/1000, t.To/1000
		xy := plotter.XYs{{X: from, Y: -0.5}, {X: from, Y: float64(len(s.Racks)) - 0.5}}
		if t.Dim == "rack" && y >= 0 {
			a, b := float64(y)-0.5, float64(y)+0.5
			xy = plotter.XYs{{X: from, Y: a}, {X: to, Y: a}, {X: to, Y: b}, {X: from, Y: b}, {X: from, Y: a}}
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = troubleInk, vg.Points(1.2)
		p.Add(line)
	}
	return p, nil
}

// reversed is a palette from bad to good: red is low.
type reversed struct {
	p interface{ Colors() []color.Color }
}

func (r reversed) Colors() []color.Color {
	c := slices.Clone(r.p.Colors())
	slices.Reverse(c)
	return c
}

// startUps is the distribution of start-up times.
func (s *Summary) startUps() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "start-up: part of the sessions that play within"
	p.X.Label.Text = "ms"
	var xy plotter.XYs
	for q := 0.0; q <= 1.0001; q += 0.01 {
		if v := s.Whole.StartUp(math.Min(q, 1)); !math.IsNaN(v) {
			xy = append(xy, plotter.XY{X: v, Y: q})
		}
	}
	if len(xy) == 0 {
		return p, nil
	}
	line, err := plotter.NewLine(xy)
	if err != nil {
		return nil, err
	}
	line.Color = lineInk
	p.Add(line, plotter.NewGrid())
	return p, nil
}

func bars(title string, values plotter.Values, names []string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	if len(values) == 0 {
		return p, nil
	}
	b, err := plotter.NewBarChart(values, vg.Points(math.Max(240/float64(len(values)), 3)))
	if err != nil {
		return nil, err
	}
	b.Color = lineInk
	p.Add(b)
	p.NominalX(names...)
	if len(names) > 3 {
		p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = math.Pi/2, draw.XRight, draw.YCenter
	}
	p.Y.Min = 0
	return p, nil
}

// stalls is the part of each rack's reports with a stall.
func (s *Summary) stalls() (*plot.Plot, error) {
	var v plotter.Values
	for _, r := range s.Racks {
		sum := &quality.Group{}
		for _, g := range s.Cells[r] {
			sum.Reports, sum.Stalled = sum.Reports+g.Reports, sum.Stalled+g.Stalled
		}
		v = append(v, float64(sum.Stalled)/math.Max(float64(sum.Reports), 1))
	}
	return bars("reports with a stall, by rack", v, s.Racks)
}

// causes is the worth lost by cause, the first ten.
func (s *Summary) causes() (*plot.Plot, error) {
	var v plotter.Values
	var names []string
	for i, c := range s.Causes {
		if i < 10 || i == len(s.Causes)-1 {
			v, names = append(v, c.Lost), append(names, c.Cause)
		}
	}
	return bars("worth lost, by cause", v, names)
}

// Draw writes the four plots into one file, by its ending.
func (s *Summary) Draw(path string) error {
	var plots [][]*plot.Plot
	for _, row := range [][]func() (*plot.Plot, error){{s.rackMap}, {s.startUps, s.stalls, s.causes}} {
		var line []*plot.Plot
		for _, f := range row {
			p, err := f()
			if err != nil {
				return fmt.Errorf("history: plot: %w", err)
			}
			line = append(line, p)
		}
		plots = append(plots, line)
	}
	top := vg.Points(math.Max(200, 60+14*float64(len(s.Racks))))
	const width, low = 1000, 260
	var c vg.CanvasSizer
	var save func(*os.File) error
	switch strings.ToLower(filepath.Ext(path)) {
	case ".svg":
		svg := vgsvg.New(width, top+low)
		c, save = svg, func(f *os.File) error { _, err := svg.WriteTo(f); return err }
	case ".png":
		img := vgimg.New(width, top+low)
		c, save = img, func(f *os.File) error { _, err := vgimg.PngCanvas{Canvas: img}.WriteTo(f); return err }
	default:
		return fmt.Errorf("history: %s: the ending must be .svg or .png", path)
	}
	dc := draw.New(c)
	dc.SetColor(color.White)
	dc.Fill(dc.Rectangle.Path())
	plots[0][0].Draw(draw.Crop(dc, 10, -10, low, -5))
	for i, p := range plots[1] {
		w := vg.Length(width) / 3
		p.Draw(draw.Crop(dc, w*vg.Length(i)+10, -w*vg.Length(2-i)-10, 5, -top))
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return errors.Join(save(f), f.Close())
}
