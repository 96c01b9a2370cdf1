package capacity

// Series is a cost measured at one or more sizes.
type Series struct {
	// ID identifies the series and is the base name of its plot.
	ID string
	// Title describes the measured cost.
	Title string
	// X and Y are the axis labels with units.
	X, Y string
	// Command is the command that repeats the measurement.
	Command string
	Points  []Point
}

// Fit returns the least squares line through the points.
func (s *Series) Fit() Fit { return LeastSquares(s.Points) }

// Largest returns the measurement at the largest size.
func (s *Series) Largest() Point {
	var last Point
	for _, p := range s.Points {
		if p.X >= last.X {
			last = p
		}
	}
	return last
}

// hasPlot reports whether there are enough points for a plot.
func (s *Series) hasPlot() bool { return len(s.Points) > 1 }
