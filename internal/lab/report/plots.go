package report

import (
	"bytes"
	"html/template"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of a plot and of its bars.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = vg.Length(9)
)

// plots draws what a document holds.
func (d *Document) plots() ([]template.HTML, error) {
	var drawn []template.HTML
	add := func(subject *plot.Plot, err error) error {
		if err != nil {
			return err
		}
		image, err := render(subject)
		drawn = append(drawn, image)
		return err
	}
	if len(d.Spreads) > 0 {
		if err := add(spreadPlot(d.Spreads)); err != nil {
			return nil, trace.Wrap(err, "plot spreads")
		}
	}
	for _, fit := range d.Fits {
		if err := add(fitPlot(fit)); err != nil {
			return nil, trace.Wrap(err, "plot fit %s", fit.Name)
		}
	}
	if len(d.Points) > 0 {
		if err := add(pointPlot(d.Points)); err != nil {
			return nil, trace.Wrap(err, "plot points")
		}
	}
	return drawn, nil
}

// spreadPlot shows median, 99th percentile and maximum side by side.
func spreadPlot(spreads []Spread) (*plot.Plot, error) {
	subject := plot.New()
	subject.Title.Text = "durations"
	subject.Y.Label.Text = "ms"
	subject.Legend.Top = true
	var names []string
	median, high, highest := plotter.Values{}, plotter.Values{}, plotter.Values{}
	for _, spread := range spreads {
		names = append(names, spread.Path)
		median, high, highest = append(median, spread.P50), append(high, spread.P99), append(highest, spread.Max)
	}
	for index, series := range []struct {
		name   string
		values plotter.Values
	}{{"p50", median}, {"p99", high}, {"max", highest}} {
		bars, err := plotter.NewBarChart(series.values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(index)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Length(index-1) * barWidth
		subject.Add(bars)
		subject.Legend.Add(series.name, bars)
	}
	subject.NominalX(names...)
	return subject, nil
}

// fitPlot shows measurements and the line fitted to them.
func fitPlot(fit Fit) (*plot.Plot, error) {
	subject := plot.New()
	subject.Title.Text = fit.Name
	subject.X.Label.Text = fit.Per
	points := make(plotter.XYs, len(fit.X))
	for index := range fit.X {
		points[index] = plotter.XY{X: fit.X[index], Y: fit.Y[index]}
	}
	measured, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	line := plotter.NewFunction(func(x float64) float64 { return fit.Base + fit.Slope*x })
	line.Color = plotutil.Color(1)
	subject.Add(measured, line)
	return subject, nil
}

// pointPlot shows convergence time against control traffic.
func pointPlot(values []Point) (*plot.Plot, error) {
	subject := plot.New()
	subject.Title.Text = "convergence time against control traffic"
	subject.X.Label.Text = "control bytes per node and second"
	subject.Y.Label.Text = "convergence p99, ms"
	subject.Add(plotter.NewGrid())
	groups := map[string]plotter.XYs{}
	for _, value := range values {
		groups[value.Group] = append(groups[value.Group], plotter.XY{X: value.Bytes, Y: value.ConvergenceMS})
	}
	for index, name := range slices.Sorted(maps.Keys(groups)) {
		scatter, err := plotter.NewScatter(groups[name])
		if err != nil {
			return nil, err
		}
		scatter.Color = plotutil.Color(index)
		scatter.Shape = plotutil.Shape(index)
		subject.Add(scatter)
		if name != "" {
			subject.Legend.Add(name, scatter)
		}
	}
	return subject, nil
}

// render returns the plot as an SVG element.
func render(subject *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	subject.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", err
	}
	image := buffer.Bytes()
	start := bytes.Index(image, []byte("<svg"))
	if start < 0 {
		return "", trace.NotFound("the drawing holds no SVG element")
	}
	// The library escapes texts, so the element is safe to embed.
	return template.HTML(image[start:]), nil
}
