package capacity

// Series is a cost measured at several sizes.
type Series struct {
	// ID names the slope and its plot.
	ID string
	// Title says what was measured.
	Title string
	// X and Y are the axes with their units.
	X, Y string
	// Command repeats the measurement.
	Command string
	Points  []Point
}

// Fit returns the least squares line through the points.
func (s *Series) Fit() Fit { return LeastSquares(s.Points) }

// Largest returns the measurement at the greatest size.
func (s *Series) Largest() Point {
	var last Point
	for _, p := range s.Points {
		if p.X >= last.X {
			last = p
		}
	}
	return last
}

// hasPlot tells whether there are enough points for a plot.
func (s *Series) hasPlot() bool { return len(s.Points) > 1 }
