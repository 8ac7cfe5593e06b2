// Package slope draws lines through what was measured at several sizes.
package slope

import (
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// MinimumSizes is how many points a line needs to be worth drawing.
const MinimumSizes = 4

// Fit is a line through measured points.
type Fit struct {
	Name string `json:"name"`
	// Per names what one step of X is.
	Per string `json:"per"`
	// Slope is how much Y grows with each step of X, Base is Y at zero.
	Slope float64 `json:"slope"`
	Base  float64 `json:"base"`
	// RSquared is the part of the variance that the line explains.
	RSquared float64 `json:"r_squared"`
	// WorstResidual is the largest distance of a point from the line, as a
	// part of the largest Y.
	WorstResidual float64   `json:"worst_residual"`
	X             []float64 `json:"x"`
	Y             []float64 `json:"y"`
}

// Draw returns the line of least squares.
func Draw(name, per string, x, y []float64) Fit {
	line := Fit{Name: name, Per: per, X: x, Y: y}
	line.Base, line.Slope = stat.LinearRegression(x, y, nil, false)
	line.RSquared = 1
	// Points that do not vary leave no variance to explain.
	if slices.Min(y) != slices.Max(y) {
		line.RSquared = stat.RSquared(x, y, nil, line.Base, line.Slope)
	}
	var worst, largest float64
	for index := range x {
		worst = max(worst, math.Abs(y[index]-line.Base-line.Slope*x[index]))
		largest = max(largest, math.Abs(y[index]))
	}
	if largest > 0 {
		line.WorstResidual = worst / largest
	}
	return line
}

// shownPoints is up to how many points a printed line lists.
const shownPoints = 8

// Print writes lines as a table.
func Print(output io.Writer, fits []Fit) error {
	if _, err := fmt.Fprintf(output, "%-60s %14s %14s %6s %9s  points\n", "figure", "slope", "base", "R2", "residual"); err != nil {
		return err
	}
	for _, line := range fits {
		points := fmt.Sprintf("%.4g", line.Y)
		if len(line.Y) > shownPoints {
			points = fmt.Sprint(len(line.Y), " points")
		}
		if _, err := fmt.Fprintf(output, "%-60s %14.3f %14.1f %6.3f %8.1f%%  %s\n",
			line.Name, line.Slope, line.Base, line.RSquared, 100*line.WorstResidual, points); err != nil {
			return err
		}
	}
	return nil
}
