package capacity

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes the points and the fitted line to an SVG file.
func (s *Series) Plot(path string) error {
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text = s.X
	p.Y.Label.Text = s.Y
	p.Y.Min = 0
	points := make(plotter.XYs, len(s.Points))
	for i, at := range s.Points {
		points[i] = plotter.XY{X: at.X, Y: at.Y}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	fit := s.Fit()
	line := plotter.NewFunction(fit.At)
	line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(plotter.NewGrid(), scatter, line)
	return p.Save(plotWidth, plotHeight, path)
}
