package quota

import "time"

// bucket is a coordinator's part of the tokens of one workspace.
type bucket struct {
	quota   Quota
	own     float64 // tokens accrued here
	ownAt   time.Time
	gifts   []gift // tokens from other data centres, oldest first
	demand  demand
	backlog backlog
	usedAt  time.Time
	unmet   float64 // tokens that waiting requests lack
	unmetAt time.Time
	beliefs map[string]belief // by data centre
}

// gift is a number of tokens from another data centre that expire.
type gift struct {
	tokens float64
	end    time.Time
}

// belief is what another data centre said it had left.
type belief struct {
	left  float64
	at    time.Time
	empty bool // it gave nothing
}

// emptyPause is the time for which a data centre that had nothing to give is not asked again. During a flood all of them
// are empty.
const emptyPause = 200 * time.Millisecond

// tokens returns what the other data centre is believed to have if its tokens accrue at a rate.
func (b belief) tokens(rate float64, now time.Time) float64 {
	age := now.Sub(b.at)
	if b.empty && age < emptyPause {
		return 0
	}
	return b.left + rate*age.Seconds()
}

func (b *bucket) given() float64 {
	sum := 0.0
	for _, g := range b.gifts {
		sum += g.tokens
	}
	return sum
}

// available returns the tokens that can be granted. The bucket has been brought up to date.
func (b *bucket) available() float64 { return b.own + b.given() }

// expireGifts moves gifts that have expired to the own tokens.
func (b *bucket) expireGifts(now time.Time) {
	for len(b.gifts) > 0 && !now.Before(b.gifts[0].end) {
		b.own += b.gifts[0].tokens
		b.gifts = b.gifts[1:]
	}
}

// spend removes tokens, first those that expire.
func (b *bucket) spend(n float64) {
	for n > 0 && len(b.gifts) > 0 {
		used := min(n, b.gifts[0].tokens)
		b.gifts[0].tokens -= used
		n -= used
		if b.gifts[0].tokens <= 0 {
			b.gifts = b.gifts[1:]
		}
	}
	b.own -= n
}
