package load

import (
	"fmt"
	"image/color"
	"io"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// rankColour assigns a line colour to a rank.
type rankColour struct {
	rank   profile.Rank
	colour color.Color
}

var rankColours = []rankColour{
	{profile.RankUrgent, color.RGBA{R: 200, A: 255}},
	{profile.RankStandard, color.RGBA{B: 200, A: 255}},
	{profile.RankBulk, color.RGBA{R: 110, G: 110, B: 110, A: 255}},
}

// WritePlot writes an SVG that plots the time to first token of each rank over
// the run, as the median and the 99th percentile of each interval.
func WritePlot(w io.Writer, samples []Sample, interval time.Duration) error {
	p := plot.New()
	p.Title.Text = "Time to the first token"
	p.X.Label.Text = "time of the run, s"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.Legend.Top = true
	for _, r := range rankColours {
		if err := addRankLines(p, samples, interval, r); err != nil {
			return fmt.Errorf("plot rank %s: %w", r.rank, err)
		}
	}
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if _, err = canvas.WriteTo(w); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func addRankLines(p *plot.Plot, samples []Sample, interval time.Duration, r rankColour) error {
	groups := map[time.Duration]*group{}
	var starts []time.Duration
	for _, s := range samples {
		if s.Rank != r.rank || !s.Complete {
			continue
		}
		start := s.Due.Truncate(interval)
		if groups[start] == nil {
			groups[start] = newGroup()
			starts = append(starts, start)
		}
		groups[start].add(s, 0)
	}
	if len(starts) == 0 {
		return nil
	}
	slices.Sort(starts)
	lines := []struct {
		name     string
		quantile float64
		dashes   []vg.Length
	}{
		{"median", 50, nil},
		{"99th percentile", 99, []vg.Length{vg.Points(3), vg.Points(3)}},
	}
	for _, l := range lines {
		points := make(plotter.XYs, len(starts))
		for i, start := range starts {
			points[i].X = start.Seconds()
			points[i].Y = float64(groups[start].firstToken.ValueAtQuantile(l.quantile)) / 1000
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = r.colour, l.dashes
		p.Add(line)
		p.Legend.Add(string(r.rank)+", "+l.name, line)
	}
	return nil
}
