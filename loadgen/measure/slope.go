package measure

// point is one measured point of a line.
type point struct {
	x float64
	y float64
}

// slope returns the slope of the line with the least squares.
func slope(points []point) float64 {
	var sumX, sumY float64
	for _, one := range points {
		sumX += one.x
		sumY += one.y
	}
	meanX, meanY := sumX/float64(len(points)), sumY/float64(len(points))
	var over, under float64
	for _, one := range points {
		over += (one.x - meanX) * (one.y - meanY)
		under += (one.x - meanX) * (one.x - meanX)
	}
	return over / under
}
