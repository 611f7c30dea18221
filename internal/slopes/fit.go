// Package slopes measures how the CPU time, memory and traffic of the real components grow
// with the size of the fleet, and extrapolates the cost of an instance in the target fleet.
package slopes

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a size and the cost at that size.
type Point struct {
	Size float64
	Cost float64
}

// Series is one cost measured at several sizes.
type Series struct {
	// Name identifies the cost, such as "heartbeat cpu".
	Name string
	// By is what the size counts, such as "loads". The slope is per one of them.
	By string
	// Unit is the unit of the cost: "B", "ns" or "calls".
	Unit   string
	Points []Point
}

// Line is a linear fit.
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
		explained = 1 // R² is undefined for a constant cost; the fit is exact
	}
	return Line{Fixed: fixed, Slope: slope, R2: explained}
}

// At returns the cost at a size: interpolated between the neighbouring points within the
// measured range, else extrapolated on the fitted line, and never negative.
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

// Report holds all measured series.
type Report struct {
	series []Series
}

// Add adds a series.
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
