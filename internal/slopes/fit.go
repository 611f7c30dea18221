// Package slopes measures how the cost of the real parts grows with the size of the
// fleet, and works out from the slopes what a node of the target fleet would spend.
package slopes

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a size and what it cost.
type Point struct {
	Size float64
	Cost float64
}

// Series is one cost measured at several sizes.
type Series struct {
	// Name of the cost, such as "beat cpu".
	Name string
	// By is what the size counts, such as "loads".
	By string
	// Unit of the cost: "B", "ns", "calls".
	Unit   string
	Points []Point
}

// Line is a fitted straight line.
type Line struct {
	Fixed float64 // cost at size zero
	Slope float64 // cost for each unit of size
	R2    float64 // share of the variance that the line explains
}

// Fit returns the least-squares line through the points.
func (s Series) Fit() Line {
	var x, y []float64
	for _, p := range s.Points {
		x, y = append(x, p.Size), append(y, p.Cost)
	}
	fixed, slope := stat.LinearRegression(x, y, nil, false)
	explained := stat.RSquared(x, y, nil, fixed, slope)
	if math.IsNaN(explained) {
		explained = 1 // a cost that doesn't change leaves nothing to explain
	}
	return Line{Fixed: fixed, Slope: slope, R2: explained}
}

// At returns the cost of a size: between the points beside it where it lies within
// what was measured, else on the line, never below zero.
func (s Series) At(size float64) float64 {
	for i := 1; i < len(s.Points); i++ {
		a, b := s.Points[i-1], s.Points[i]
		if size >= a.Size && size <= b.Size {
			return a.Cost + (b.Cost-a.Cost)*(size-a.Size)/(b.Size-a.Size)
		}
	}
	line := s.Fit()
	return max(0, line.Fixed+line.Slope*size)
}

// Report is everything measured, by name.
type Report struct {
	series []Series
}

// Add keeps one series.
func (r *Report) Add(s Series) {
	r.series = append(r.series, s)
}

// Series returns a series by name.
func (r *Report) Series(name string) (Series, error) {
	for _, s := range r.series {
		if s.Name == name {
			return s, nil
		}
	}
	return Series{}, fmt.Errorf("series %q was not measured", name)
}

// Print writes a table of all fits with their points.
func (r *Report) Print(w io.Writer) error {
	var t table
	t.row("cost", "unit", "fixed", "slope", "per", "R2", "measured (size: cost)")
	for _, s := range r.series {
		l := s.Fit()
		t.row(s.Name, s.Unit, fmt.Sprintf("%.4g", l.Fixed), fmt.Sprintf("%.4g", l.Slope), s.By, fmt.Sprintf("%.3f", l.R2), points(s.Points))
	}
	return t.print(w)
}

func points(list []Point) string {
	text := ""
	for i, p := range list {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%g: %.4g", p.Size, p.Cost)
	}
	return text
}
