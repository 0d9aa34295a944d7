package bench

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Figure is a measured quantity with one value per run.
type Figure struct {
	Experiment string
	Layout     string
	// Variant names the settings of the nodes, for example the product or a
	// baseline.
	Variant string
	Name    string
	Unit    string
	Values  []float64
	// Target is the bound that the median must meet; nil if there is none.
	Target *Target
}

// Target is a bound on the median of a quantity.
type Target struct {
	Bound float64
	// AtLeast is true if the bound is a minimum, false if it is a maximum.
	AtLeast bool
}

// AtMost returns a target that is met if the median is not above the bound.
func AtMost(bound float64) *Target { return &Target{Bound: bound} }

// AtLeast returns a target that is met if the median is not below the bound.
func AtLeast(bound float64) *Target { return &Target{Bound: bound, AtLeast: true} }

// String returns the bound after its comparison sign, or "" if the target is nil.
func (t *Target) String() string {
	switch {
	case t == nil:
		return ""
	case t.AtLeast:
		return "≥ " + formatNumber(t.Bound)
	default:
		return "≤ " + formatNumber(t.Bound)
	}
}

// Verdict returns "met", "not met" or "not measured", or "" if the figure has no
// target.
func (f Figure) Verdict() string {
	switch median := Median(f.Values); {
	case f.Target == nil:
		return ""
	case len(f.Values) == 0 || math.IsNaN(median):
		return "not measured"
	case f.Target.AtLeast && median >= f.Target.Bound, !f.Target.AtLeast && median <= f.Target.Bound:
		return "met"
	default:
		return "not met"
	}
}

// Spread returns the minimum and the maximum of the values.
func (f Figure) Spread() string {
	values := withoutNaN(f.Values)
	if len(values) == 0 {
		return ""
	}
	return formatNumber(slices.Min(values)) + " … " + formatNumber(slices.Max(values))
}

// withoutNaN returns a copy of the values without NaN.
func withoutNaN(values []float64) []float64 {
	return slices.DeleteFunc(slices.Clone(values), math.IsNaN)
}

// Median returns the median of the values that are not NaN, or NaN if there are
// none.
func Median(values []float64) float64 {
	values = withoutNaN(values)
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Quantile returns the smallest of the values for which at least the given share
// (0 to 1) of all values are equal or lower. It returns NaN if there are no values.
func Quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// Point is a measurement: X is the number of nodes, Y the measured value.
type Point struct{ X, Y float64 }

// Line is a straight line with the value Intercept at X = 0.
type Line struct{ Intercept, Slope float64 }

// FitLine returns the least-squares line through the points.
func FitLine(points []Point) Line {
	var sumX, sumY, sumXX, sumXY float64
	for _, point := range points {
		sumX += point.X
		sumY += point.Y
		sumXX += point.X * point.X
		sumXY += point.X * point.Y
	}
	count := float64(len(points))
	spread := count*sumXX - sumX*sumX
	if spread == 0 {
		return Line{Intercept: sumY / max(count, 1)}
	}
	slope := (count*sumXY - sumX*sumY) / spread
	return Line{Intercept: (sumY - slope*sumX) / count, Slope: slope}
}

// ValueAt returns the value of the line at x.
func (l Line) ValueAt(x float64) float64 { return l.Intercept + l.Slope*x }

// formatNumber formats a value with three significant digits, or as an integer if
// it is 100 or more.
func formatNumber(value float64) string {
	switch magnitude := math.Abs(value); {
	case math.IsNaN(value):
		return "–"
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", value)
	case magnitude >= 10:
		return fmt.Sprintf("%.1f", value)
	case magnitude >= 1 || magnitude == 0:
		return fmt.Sprintf("%.2f", value)
	default:
		return fmt.Sprintf("%.3g", value)
	}
}

func compareFigures(a, b Figure) int {
	return cmp.Or(cmp.Compare(a.Experiment, b.Experiment), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Variant, b.Variant))
}
