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

// Summary aggregates the rows of a period over all directors. Its time is divided into steps of StepMs from FromMs on.
type Summary struct {
	FromMs, ToMs, StepMs int64
	Racks                []string                            // names, in numerical order
	GroupsByRack         map[string]map[int64]*quality.Group // by the rack's name and the index of the step
	Total                quality.Group                       // total of all windows
	Findings             []quality.FindingInterval           // Unix ms
	Causes               []quality.CauseLoss
}

// Summarize aggregates rows. The windows of different directors don't begin at the same time: each is assigned to the
// step in which it begins.
func Summarize(rows []Row) (*Summary, error) {
	s := &Summary{GroupsByRack: map[string]map[int64]*quality.Group{}, FromMs: math.MaxInt64}
	for i := range rows {
		if row := &rows[i]; !row.Finding {
			s.StepMs = max(s.StepMs, row.ToMs-row.FromMs)
			s.FromMs, s.ToMs = min(s.FromMs, row.FromMs), max(s.ToMs, row.ToMs)
		}
	}
	if s.StepMs <= 0 {
		return nil, errors.New("history: no closed window in this period; windows close quality.late_ms after their end")
	}
	totalLoss := map[float64]float64{}
	var losses []quality.GroupLoss
	findingIndex := map[string]int{}
	for i := range rows {
		row := &rows[i]
		if row.Finding {
			// A finding has a row for its beginning and one for its end, with the same FromMs to the second.
			key := row.Dim + " " + row.Name + fmt.Sprint(row.Director, row.FromMs/1000)
			index, ok := findingIndex[key]
			if !ok {
				index = len(s.Findings)
				findingIndex[key] = index
				s.Findings = append(s.Findings, quality.FindingInterval{Dim: row.Dim, Name: row.Name,
					From: float64(row.FromMs), To: float64(row.ToMs)})
			}
			s.Findings[index].To = max(s.Findings[index].To, float64(row.ToMs))
			continue
		}
		group, err := row.Group()
		if err != nil {
			return nil, err
		}
		step := (row.FromMs - s.FromMs) / s.StepMs
		switch row.Dim {
		case "whole":
			s.Total.Merge(group)
			totalLoss[float64(step)] += row.Lost
			continue
		case "rack":
			if s.GroupsByRack[row.Name] == nil {
				s.GroupsByRack[row.Name] = map[int64]*quality.Group{}
				s.Racks = append(s.Racks, row.Name)
			}
			if s.GroupsByRack[row.Name][step] == nil {
				s.GroupsByRack[row.Name][step] = &quality.Group{}
			}
			s.GroupsByRack[row.Name][step].Merge(group)
		}
		losses = append(losses, quality.GroupLoss{Dim: row.Dim, Name: row.Name, From: float64(step), To: float64(step + 1),
			QualityLost: row.Lost})
	}
	slices.SortFunc(s.Racks, func(a, b string) int { // 2 before 10
		if len(a) != len(b) {
			return len(a) - len(b)
		}
		return strings.Compare(a, b)
	})
	inSteps := make([]quality.FindingInterval, 0, len(s.Findings))
	for _, finding := range s.Findings {
		finding.From, finding.To = (finding.From-float64(s.FromMs))/float64(s.StepMs),
			(finding.To-float64(s.FromMs))/float64(s.StepMs)
		inSteps = append(inSteps, finding)
	}
	s.Causes = quality.AttributeLoss(totalLoss, losses, inSteps)
	return s, nil
}

// rackGrid is the data of the heat map: the mean quality of the reports by step (column) and rack (row). It implements
// plotter.GridXYZ.
type rackGrid struct{ summary *Summary }

func (g rackGrid) Dims() (columns, rows int) {
	return int((g.summary.ToMs-g.summary.FromMs+g.summary.StepMs-1)/g.summary.StepMs) + 1, len(g.summary.Racks)
}

// X is the middle of a step, in Unix seconds.
func (g rackGrid) X(column int) float64 {
	return float64(g.summary.FromMs)/1000 + (float64(column)+0.5)*float64(g.summary.StepMs)/1000
}
func (g rackGrid) Y(row int) float64 { return float64(row) }
func (g rackGrid) Z(column, row int) float64 {
	if group := g.summary.GroupsByRack[g.summary.Racks[row]][int64(column)]; group != nil {
		return group.MeanQuality()
	}
	return math.NaN()
}

// utcTimeTicks labels an axis in Unix seconds with times of day.
type utcTimeTicks struct{}

func (utcTimeTicks) Ticks(low, high float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(low, high)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = time.UnixMilli(int64(ticks[i].Value * 1000)).UTC().Format("15:04:05")
		}
	}
	return ticks
}

var (
	findingColor = color.RGBA{R: 200, A: 255}
	plotColor    = color.RGBA{B: 160, G: 70, A: 255}
)

// rackHeatMap plots the quality by rack over time. Findings on racks are framed; others are a vertical line at their
// beginning.
func (s *Summary) rackHeatMap() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "quality by rack over time (mean of the reports; red: findings)"
	p.X.Tick.Marker = utcTimeTicks{}
	p.X.Label.Text = "UTC"
	if len(s.Racks) > 0 {
		heatMap := plotter.NewHeatMap(rackGrid{s}, reversedPalette{moreland.SmoothBlueRed().Palette(64)})
		if heatMap.Max <= heatMap.Min || math.IsNaN(heatMap.Max) {
			heatMap.Max = heatMap.Min + 1e-6 // the heat map needs a range that is not empty
		}
		heatMap.NaN = color.Gray{Y: 230}
		p.Add(heatMap)
	}
	var ticks []plot.Tick
	for i, rack := range s.Racks {
		label := "rack " + rack
		if len(s.Racks) > 20 && i%2 == 1 {
			label = ""
		}
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: label})
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	for _, finding := range s.Findings {
		rackRow := slices.Index(s.Racks, finding.Name)
		from, to := finding.From/1000, finding.To/1000
		points := plotter.XYs{{X: from, Y: -0.5}, {X: from, Y: float64(len(s.Racks)) - 0.5}}
		if finding.Dim == "rack" && rackRow >= 0 {
			bottom, top := float64(rackRow)-0.5, float64(rackRow)+0.5
			points = plotter.XYs{{X: from, Y: bottom}, {X: to, Y: bottom}, {X: to, Y: top}, {X: from, Y: top},
				{X: from, Y: bottom}}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = findingColor, vg.Points(1.2)
		p.Add(line)
	}
	return p, nil
}

// reversedPalette reverses the colors of a palette, so that low quality is red.
type reversedPalette struct {
	palette interface{ Colors() []color.Color }
}

func (r reversedPalette) Colors() []color.Color {
	colors := slices.Clone(r.palette.Colors())
	slices.Reverse(colors)
	return colors
}

// startupPlot plots the cumulative distribution of start-up times.
func (s *Summary) startupPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "start-up: part of the sessions that play within"
	p.X.Label.Text = "ms"
	var points plotter.XYs
	for quantile := 0.0; quantile <= 1.0001; quantile += 0.01 {
		if startupMs := s.Total.StartupQuantile(math.Min(quantile, 1)); !math.IsNaN(startupMs) {
			points = append(points, plotter.XY{X: startupMs, Y: quantile})
		}
	}
	if len(points) == 0 {
		return p, nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	line.Color = plotColor
	p.Add(line, plotter.NewGrid())
	return p, nil
}

// barPlot plots named values; it is empty without values.
func barPlot(title string, values plotter.Values, names []string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	if len(values) == 0 {
		return p, nil
	}
	chart, err := plotter.NewBarChart(values, vg.Points(math.Max(240/float64(len(values)), 3)))
	if err != nil {
		return nil, err
	}
	chart.Color = plotColor
	p.Add(chart)
	p.NominalX(names...)
	if len(names) > 3 {
		p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = math.Pi/2, draw.XRight, draw.YCenter
	}
	p.Y.Min = 0
	return p, nil
}

// stallPlot plots the share of each rack's reports that have a stall.
func (s *Summary) stallPlot() (*plot.Plot, error) {
	var shares plotter.Values
	for _, rack := range s.Racks {
		sum := &quality.Group{}
		for _, group := range s.GroupsByRack[rack] {
			sum.Reports, sum.StalledReports = sum.Reports+group.Reports, sum.StalledReports+group.StalledReports
		}
		shares = append(shares, float64(sum.StalledReports)/math.Max(float64(sum.Reports), 1))
	}
	return barPlot("reports with a stall, by rack", shares, s.Racks)
}

// causePlot plots the quality lost by cause: the ten largest, and the remainder without a cause, which is last.
func (s *Summary) causePlot() (*plot.Plot, error) {
	var losses plotter.Values
	var names []string
	for i, cause := range s.Causes {
		if i < 10 || i == len(s.Causes)-1 {
			losses, names = append(losses, cause.QualityLost), append(names, cause.Cause)
		}
	}
	return barPlot("worth lost, by cause", losses, names)
}

// Draw writes the four plots into one file, as SVG or PNG by the extension of its name.
func (s *Summary) Draw(path string) error {
	var plots [][]*plot.Plot
	for _, rowFuncs := range [][]func() (*plot.Plot, error){{s.rackHeatMap}, {s.startupPlot, s.stallPlot, s.causePlot}} {
		var row []*plot.Plot
		for _, newPlot := range rowFuncs {
			p, err := newPlot()
			if err != nil {
				return fmt.Errorf("history: plot: %w", err)
			}
			row = append(row, p)
		}
		plots = append(plots, row)
	}
	heatMapHeight := vg.Points(math.Max(200, 60+14*float64(len(s.Racks))))
	const width, lowerHeight = 1000, 260
	var sizer vg.CanvasSizer
	var save func(*os.File) error
	switch strings.ToLower(filepath.Ext(path)) {
	case ".svg":
		svg := vgsvg.New(width, heatMapHeight+lowerHeight)
		sizer, save = svg, func(file *os.File) error { _, err := svg.WriteTo(file); return err }
	case ".png":
		img := vgimg.New(width, heatMapHeight+lowerHeight)
		sizer, save = img, func(file *os.File) error { _, err := vgimg.PngCanvas{Canvas: img}.WriteTo(file); return err }
	default:
		return fmt.Errorf("history: plot file %s: extension must be .svg or .png", path)
	}
	canvas := draw.New(sizer)
	canvas.SetColor(color.White)
	canvas.Fill(canvas.Rectangle.Path())
	plots[0][0].Draw(draw.Crop(canvas, 10, -10, lowerHeight, -5))
	for i, p := range plots[1] {
		plotWidth := vg.Length(width) / 3
		p.Draw(draw.Crop(canvas, plotWidth*vg.Length(i)+10, -plotWidth*vg.Length(2-i)-10, 5, -heatMapHeight))
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	return errors.Join(save(file), file.Close())
}
