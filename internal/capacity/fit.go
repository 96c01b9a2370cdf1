package capacity

// Point is one measurement.
type Point struct {
	X, Y float64
}

// Fit is the straight line Y = Base + Slope·X.
type Fit struct {
	Intercept, Slope float64
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// LeastSquares returns the line with the least sum of squared vertical distances. Without two different
// X it is the constant mean.
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
