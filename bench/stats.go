package bench

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Figure is one measured quantity over several runs.
type Figure struct {
	Experiment string
	Layout     string
	// Variant names the settings of the nodes, the baseline among them.
	Variant string
	Name    string
	Unit    string
	Runs    []float64
	// Target is what the quantity is held against; nil if it is only stated.
	Target *Target
}

// Target is a bound on the median of a quantity.
type Target struct {
	Bound float64
	// AtLeast states that the bound is a minimum.
	AtLeast bool
}

// AtMost returns a target that the median does not exceed.
func AtMost(bound float64) *Target { return &Target{Bound: bound} }

// AtLeast returns a target that the median reaches.
func AtLeast(bound float64) *Target { return &Target{Bound: bound, AtLeast: true} }

// String returns the target with its direction.
func (t *Target) String() string {
	switch {
	case t == nil:
		return ""
	case t.AtLeast:
		return "≥ " + number(t.Bound)
	default:
		return "≤ " + number(t.Bound)
	}
}

// Verdict returns met, not met, or nothing without a target.
func (f Figure) Verdict() string {
	switch median := Median(f.Runs); {
	case f.Target == nil:
		return ""
	case len(f.Runs) == 0 || math.IsNaN(median):
		return "not measured"
	case f.Target.AtLeast && median >= f.Target.Bound, !f.Target.AtLeast && median <= f.Target.Bound:
		return "met"
	default:
		return "not met"
	}
}

// Spread returns the least and the greatest run.
func (f Figure) Spread() string {
	values := measured(f.Runs)
	if len(values) == 0 {
		return ""
	}
	return number(slices.Min(values)) + " … " + number(slices.Max(values))
}

// measured returns the values that are numbers.
func measured(values []float64) []float64 {
	return slices.DeleteFunc(slices.Clone(values), math.IsNaN)
}

// Median returns the middle of the values that are numbers, or not-a-number
// without any.
func Median(values []float64) float64 {
	values = measured(values)
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

// Quantile returns the value below which a share of the values lies.
func Quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// Point is one measurement at a size.
type Point struct{ X, Y float64 }

// Line is a fitted straight line.
type Line struct{ Base, Slope float64 }

// Fit returns the line of least squares through the points.
func Fit(points []Point) Line {
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
		return Line{Base: sumY / max(count, 1)}
	}
	slope := (count*sumXY - sumX*sumY) / spread
	return Line{Base: (sumY - slope*sumX) / count, Slope: slope}
}

// At returns the value of the line at a size.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// number formats a value with three significant digits.
func number(value float64) string {
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

func byName(a, b Figure) int {
	return cmp.Or(cmp.Compare(a.Experiment, b.Experiment), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Variant, b.Variant))
}
