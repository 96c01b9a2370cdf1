package silence

const (
	// slowRatio is the ratio up to which a request may just be slow: in known services, 3 in 100 requests take seven
	// times as long as the others, and the time of each varies.
	slowRatio = 8.0
	// slowShare is the assumed minimum share of requests that take up to slowRatio. Slow requests that are hedged are
	// cancelled, so that their times are not observed.
	slowShare = 0.04
	// verySlowShare is the assumed minimum share of requests that take longer.
	verySlowShare = 0.004
	// expectedLossShare is the share of the requests to crowded servers that is assumed lost before there are enough
	// observations, and observedEnough the weight of observations that is enough.
	expectedLossShare = 0.3
	observedEnough    = 10.0
	// ProbablyLost is the probability from which a request is treated as lost by a hedge, which costs a request more.
	ProbablyLost = 0.5
	// AlmostCertainlyLost is the probability from which a request no longer counts as running on its server.
	AlmostCertainlyLost = 0.9
)

// ratioEdges are the ratios at which the share of longer requests is observed.
var ratioEdges = [...]float64{1, 1.25, 1.5, 2, 2.5, 3, 4, 6, 8, 12}

// LossProbability returns the probability that a request without a response is lost, after the given multiple of its
// expected response time. crowded is as in Observation.
func (d *Detector) LossProbability(ratio float64, crowded bool) float64 {
	return d.lossProbability(ratio, d.lossShare(crowded))
}

// MeanLossProbability is LossProbability if nothing is known of the server.
func (d *Detector) MeanLossProbability(ratio float64) float64 {
	unanswered := d.unanswered[0] + d.unanswered[1]
	share := unanswered / max(unanswered+d.answered[0]+d.answered[1], 1)
	return d.lossProbability(ratio, max(0, share-slowShare))
}

// PosteriorLoss is LossProbability if the server was full with the given probability when the request was sent.
func (d *Detector) PosteriorLoss(ratio, full float64) float64 { return d.lossProbability(ratio, full) }

// lossProbability is LossProbability for a share of the requests that is lost.
func (d *Detector) lossProbability(ratio, lost float64) float64 {
	if lost == 0 {
		return 0
	}
	return lost / (lost + (1-lost)*d.longerShare(ratio))
}

// LossRatio returns the smallest multiple of the expected response time at which the probability that a request is lost
// reaches the given one. It returns false if it never does.
func (d *Detector) LossRatio(probability float64, crowded bool) (float64, bool) {
	for _, edge := range ratioEdges {
		if d.LossProbability(edge, crowded) >= probability {
			return edge, true
		}
	}
	return 0, false
}

// lossShare returns the share of the requests to crowded or to other servers that is lost. At other servers, it is what
// remains of the unanswered requests besides slow ones.
func (d *Detector) lossShare(crowded bool) float64 {
	other := max(0, d.unansweredShare(false)-slowShare)
	if !crowded {
		return other
	}
	if n := d.answered[1] + d.unanswered[1]; n < observedEnough {
		return max(other, expectedLossShare)
	}
	return max(other, d.unansweredShare(true)-d.unansweredShare(false))
}

// longerShare returns the share of the requests that run that take longer than the ratio.
func (d *Detector) longerShare(ratio float64) float64 {
	if ratio < ratioEdges[0] {
		return 1
	}
	least := slowShare
	if ratio > slowRatio {
		least = verySlowShare
	}
	answered := d.answered[0] + d.answered[1]
	if answered < observedEnough {
		if ratio < UnansweredRatio {
			return 1
		}
		return least
	}
	i := 0
	for i+1 < len(ratioEdges) && ratioEdges[i+1] <= ratio {
		i++
	}
	return max(least, d.ratios[i]/answered)
}
