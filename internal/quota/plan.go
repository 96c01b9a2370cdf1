package quota

import "time"

// Neighbour is another data centre whose coordinator can be asked for tokens.
type Neighbour struct {
	// Site is the data centre.
	Site string
	// Distance orders the data centres: the nearest, whose bytes cost the least, is asked first.
	Distance int
}

const (
	// horizonShare is the part of the gifts' lifetime for whose expected requests tokens are asked for.
	horizonShare = 0.8
	// lowShare is the part of the stock below which more tokens are asked for.
	lowShare = 0.5
	// unmetMemory is the time for which requests that got no token count as waiting.
	unmetMemory = 100 * time.Millisecond
	// minAsk is the smallest part of a token that is asked for. Smaller parts aren't worth their bytes.
	minAsk = 0.05
)

// Missing returns the number of tokens to ask other data centres for: those that waiting requests lack and, if the stock
// is low, those that are expected to be used while they are valid.
func (c *Coordinator) Missing(workspace string, q Quota, now time.Time) float64 {
	b := c.bucket(workspace, q, now)
	stock := b.available()
	need := 0.0
	if now.Sub(b.unmetAt) < unmetMemory {
		need = b.unmet
	}
	horizon := time.Duration(horizonShare * float64(c.bounds.giftLifetime()))
	target := b.demand.expected(horizon, now)
	if stock < need+lowShare*target {
		need += target
	}
	if need <= stock {
		return 0
	}
	return max(need-stock, minAsk)
}

// keptShare is the part of its capacity below which a near data centre is only asked once the far ones are down to theirs.
// Buckets that are full waste what accrues, so that a workspace close to its limit would be refused.
const keptShare = 0.5

// Plan distributes missing tokens over the neighbours, which are sorted by distance, by what they are believed to have.
// others is the share of each of them. The result has an entry for each neighbour that is worth asking.
func (c *Coordinator) Plan(workspace string, q Quota, missing, others float64, neighbours []Neighbour, now time.Time) map[string]float64 {
	b := c.bucket(workspace, q, now)
	full := others * c.bounds.capacity(q)
	plan := make(map[string]float64)
	for _, kept := range []float64{keptShare * full, 0} {
		for _, n := range neighbours {
			if missing < minAsk/2 {
				return plan
			}
			believed := full
			if known, ok := b.beliefs[n.Site]; ok {
				believed = min(full, known.tokens(q.Rate*others, now))
			}
			ask := min(missing, believed-kept-plan[n.Site])
			if ask < minAsk/2 {
				continue
			}
			plan[n.Site] += ask
			missing -= ask
		}
	}
	return plan
}
