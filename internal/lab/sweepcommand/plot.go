package sweepcommand

import (
	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
	// least keeps a value off the logarithm of zero.
	least = 1e-4
)

// draw plots convergence time against control bytes, a line per group, on
// logarithmic axes, to each of the paths.
func draw(points []point, deployment string, paths ...string) error {
	picture := plot.New()
	picture.Title.Text = "Convergence time against control bytes, " + deployment
	picture.X.Label.Text = "control bytes a second and node"
	picture.Y.Label.Text = "convergence p99 (s)"
	picture.X.Scale, picture.Y.Scale = plot.LogScale{}, plot.LogScale{}
	picture.X.Tick.Marker, picture.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	picture.Add(plotter.NewGrid())
	picture.Legend.Top = true
	for number, group := range groups(points) {
		if err := addGroup(picture, number, group); err != nil {
			return trace.Wrap(err, "step=plot %s", group[0].variant.group)
		}
	}
	for _, path := range paths {
		if err := picture.Save(plotWidth, plotHeight, path); err != nil {
			return trace.Wrap(err, "step=write %s", path)
		}
	}
	return nil
}

// groups splits the points, which are sorted by group.
func groups(points []point) [][]point {
	var list [][]point
	for i, current := range points {
		if i == 0 || points[i-1].variant.group != current.variant.group {
			list = append(list, nil)
		}
		list[len(list)-1] = append(list[len(list)-1], current)
	}
	return list
}

func addGroup(picture *plot.Plot, number int, group []point) error {
	positions := make(plotter.XYs, len(group))
	names := make([]string, len(group))
	for i, point := range group {
		positions[i].X = max(point.result.NodeRate.Mean, least)
		positions[i].Y = max(point.result.Convergence.P99, least)
		names[i] = " " + point.variant.label
	}
	line, dots, err := plotter.NewLinePoints(positions)
	if err != nil {
		return err
	}
	line.Color, dots.Color = plotutil.Color(number), plotutil.Color(number)
	dots.Shape = plotutil.Shape(number)
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: positions, Labels: names})
	if err != nil {
		return err
	}
	picture.Add(line, dots, labels)
	picture.Legend.Add(group[0].variant.group, line, dots)
	return nil
}
