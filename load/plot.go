package load

import (
	"fmt"
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Size of one panel of the plot.
const (
	panelWidth  = 16 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
)

// Draw plots waiting and answer times over due times, one panel each and one
// colour per kind. Without a ledger there are no waiting times, and their panel
// is omitted. If until is after from, the flood between them is shaded. The
// path's extension selects the file format.
func (r *Report) Draw(path, title string, from, until time.Duration) error {
	var panels [][]*plot.Plot
	for _, series := range []struct {
		label  string
		points map[string][]Sample
	}{{"submit to start (s)", r.Waits}, {"submit to answer (s)", r.Answers}} {
		if len(series.points) == 0 {
			continue
		}
		p, err := panel(title, series.label, series.points, from, until)
		if err != nil {
			return err
		}
		panels = append(panels, []*plot.Plot{p})
	}
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	canvas, err := draw.NewFormattedCanvas(panelWidth, panelHeight*vg.Length(max(1, len(panels))), format)
	if err != nil {
		return fmt.Errorf("draw picture %s: %w", path, err)
	}
	if len(panels) > 0 {
		tiles := draw.Tiles{Rows: len(panels), Cols: 1}
		for i, row := range plot.Align(panels, tiles, draw.New(canvas)) {
			panels[i][0].Draw(row[0])
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create picture: %w", err)
	}
	defer file.Close()
	if _, err := canvas.WriteTo(file); err != nil {
		return fmt.Errorf("write picture: %w", err)
	}
	return file.Close()
}

// panel plots samples with one colour per kind.
func panel(title, label string, points map[string][]Sample, from, until time.Duration) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "due (s)", label
	p.Legend.Top = true
	const headroom = 1.5 // keeps the legend above the points
	highest := 0.0
	for i, name := range slices.Sorted(maps.Keys(points)) {
		xy := make(plotter.XYs, len(points[name]))
		for n, pt := range points[name] {
			xy[n] = plotter.XY{X: pt.Due.Seconds(), Y: pt.Duration.Seconds()}
			highest = max(highest, pt.Duration.Seconds())
		}
		dots, err := plotter.NewScatter(xy)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", name, err)
		}
		dots.Color, dots.Radius = plotutil.Color(i), vg.Points(1)
		p.Add(dots)
		p.Legend.Add(name, dots)
	}
	if until > from {
		shade, err := plotter.NewPolygon(plotter.XYs{
			{X: from.Seconds(), Y: 0}, {X: until.Seconds(), Y: 0},
			{X: until.Seconds(), Y: highest}, {X: from.Seconds(), Y: highest},
		})
		if err != nil {
			return nil, fmt.Errorf("plot flood: %w", err)
		}
		shade.Color = color.NRGBA{R: 255, A: 30}
		shade.Width = 0
		p.Add(shade)
		p.Legend.Add("flood", shade)
	}
	p.Y.Max = max(p.Y.Max, headroom*highest)
	return p, nil
}
