package capacity

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X, Y float64
}

// Fit is the straight line Y = Intercept + Slope·X.
type Fit struct {
	Intercept, Slope float64
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// LeastSquares returns the least squares line through the points. If all X are equal, it returns the
// constant mean of Y.
func LeastSquares(points []Point) Fit {
	if len(points) == 0 {
		return Fit{}
	}
	n := float64(len(points))
	meanX, meanY := 0.0, 0.0
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	xx, xy := 0.0, 0.0
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	if xx == 0 {
		return Fit{Intercept: meanY}
	}
	slope := xy / xx
	return Fit{Intercept: meanY - slope*meanX, Slope: slope}
}
