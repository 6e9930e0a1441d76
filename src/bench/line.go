package bench

// line is a straight line through measured points.
type line struct {
	at0   float64
	slope float64
}

// fitLine returns the line of least squares through points of equal weight; one point gives a flat line.
func fitLine(xs, ys []float64) line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return line{at0: sy / max(n, 1)}
	}
	slope := (n*sxy - sx*sy) / spread
	return line{at0: (sy - slope*sx) / n, slope: slope}
}

// at returns the line's value at x.
func (l line) at(x float64) float64 { return l.at0 + l.slope*x }
