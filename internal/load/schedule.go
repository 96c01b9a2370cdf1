package load

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Arrival is a scheduled request.
type Arrival struct {
	// At is the intended time of the request, from the start of the run.
	At time.Duration
	// Class and Caller are indices into the plan's slices. Caller is -1 if the plan has no callers.
	Class, Caller int
	// ServiceTime is the service time that the request asks the stand-in server for.
	ServiceTime time.Duration
}

// Plan describes the load of a run.
type Plan struct {
	Profile Profile
	Classes []Class
	// Callers may be empty. Requests then carry no token.
	Callers []Caller
	// Seed is the seed of the schedule. It is part of the request ids.
	Seed uint64
	// Prefix is the prefix of the request ids, which distinguishes runs.
	Prefix string
}

// ID returns the id of the i-th arrival.
func (p *Plan) ID(i int) string {
	return p.Prefix + strconv.FormatUint(p.Seed, 10) + "-" + strconv.Itoa(i)
}

// Schedule draws the arrivals from a Poisson process whose rate follows the profile. It returns the same
// arrivals on each call.
func (p *Plan) Schedule() []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	var arrivals []Arrival
	start := time.Duration(0)
	for _, step := range p.Profile {
		end := start + step.Duration
		for at := start + nextGap(rng, step.Rate); at < end; at += nextGap(rng, step.Rate) {
			arrivals = append(arrivals, p.drawArrival(rng, at))
		}
		start = end
	}
	return arrivals
}

// infiniteGap is the gap for a rate of 0. It is longer than any run.
const infiniteGap = 1000 * time.Hour

func nextGap(rng *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return infiniteGap
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func (p *Plan) drawArrival(rng *rand.Rand, at time.Duration) Arrival {
	class := pickWeighted(rng, len(p.Classes), func(i int) float64 { return p.Classes[i].Weight })
	caller := pickWeighted(rng, len(p.Callers), func(i int) float64 { return p.Callers[i].Weight })
	return Arrival{At: at, Class: class, Caller: caller, ServiceTime: p.Classes[class].drawServiceTime(rng)}
}

// pickWeighted returns a random index below n, weighted by weight, or -1 if n is 0.
func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	at := rng.Float64() * total
	for i := range n {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return n - 1
}

// drawServiceTime draws the service time of one request.
func (c *Class) drawServiceTime(rng *rand.Rand) time.Duration {
	work := float64(c.ServiceTime)
	if c.Exponential {
		work *= rng.ExpFloat64()
	}
	if c.StragglerShare > 0 && rng.Float64() < c.StragglerShare {
		work *= c.StragglerFactor
	}
	return time.Duration(work)
}
