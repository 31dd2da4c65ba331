package load

import (
	"fmt"
	"image/color"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a picture.
const (
	pictureWidth  = 16 * vg.Centimeter
	pictureHeight = 9 * vg.Centimeter
)

// Draw writes the times to completion by kind over the due time. The flood is
// shaded if until is after from. The form follows the path's extension.
func Draw(path, title string, points map[string][]Point, from, until time.Duration) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "due (s)", "submit to answer (s)"
	p.Legend.Top = true
	highest := 0.0
	for i, name := range slices.Sorted(maps.Keys(points)) {
		xy := make(plotter.XYs, len(points[name]))
		for n, pt := range points[name] {
			xy[n] = plotter.XY{X: pt.Due.Seconds(), Y: pt.Took.Seconds()}
			highest = max(highest, pt.Took.Seconds())
		}
		dots, err := plotter.NewScatter(xy)
		if err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
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
			return fmt.Errorf("plot flood: %w", err)
		}
		shade.Color = color.NRGBA{R: 255, A: 30}
		shade.Width = 0
		p.Add(shade)
		p.Legend.Add("flood", shade)
	}
	if err := p.Save(pictureWidth, pictureHeight, path); err != nil {
		return fmt.Errorf("write picture: %w", err)
	}
	return nil
}
