package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// attempt is one attempt of a simulated load.
type attempt struct {
	at    time.Duration
	extra bool
}

// countIn returns the numbers of first and extra attempts in a half-open window.
func countIn(attempts []attempt, from, to time.Duration) (first, extra int) {
	for _, a := range attempts {
		switch {
		case a.at < from || a.at >= to:
		case a.extra:
			extra++
		default:
			first++
		}
	}
	return first, extra
}

// Pattern: demand that swings, and faults that want an extra attempt for most requests for a while. In no window do the
// hosts together make more extra attempts than the limit allows, by the requests of that window, the one before it or
// the one half a window before, whichever has most.
func TestWindowsOfAllHostsKeepTheLimit(t *testing.T) {
	const (
		hosts, ratio, slack, share = 16, 0.2, 60.0, 0.9
		length, end                = 10 * time.Second, 60 * time.Second
	)
	for seed := range uint64(8) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		start := time.Unix(1_700_000_000, rng.Int64N(int64(time.Second)))
		var attempts []attempt
		for range hosts {
			w := NewWindow(length)
			w.Ratio, w.Allowance = share*ratio, share*slack/hosts
			for at := time.Duration(0); at < end; {
				rate := 5 + 30*rng.Float64()*float64(int(at/(7*time.Second))%2)
				at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				attempts = append(attempts, attempt{at: at})
				w.OnFirstAttempt(start.Add(at))
				for faulty := int(at/(5*time.Second))%3 == 1; faulty && w.Spend(start.Add(at)); {
					attempts = append(attempts, attempt{at: at, extra: true})
				}
			}
		}
		slices.SortFunc(attempts, func(a, b attempt) int { return int(a.at - b.at) })
		for from := time.Duration(0); from < end; from += 250 * time.Millisecond {
			first, extra := countIn(attempts, from, from+length)
			for _, before := range []time.Duration{length / 2, length} {
				n, _ := countIn(attempts, from-before, from-before+length)
				first = max(first, n)
			}
			is.True(float64(extra) <= ratio*float64(first)+slack)
		}
	}
}

// Pattern: a server fails with all its requests in flight. What the requests of the last seconds allow is there at once.
func TestWindowAllowsABurstOfExtraAttempts(t *testing.T) {
	is := is.New(t)
	w := NewWindow(10 * time.Second)
	w.Ratio, w.Allowance = 0.2, 2
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		w.OnFirstAttempt(now)
	}
	burst := 0
	for w.Spend(now) {
		burst++
	}
	is.Equal(burst, 22)
	now = now.Add(5 * time.Second) // the requests still count, and so do the extra attempts
	is.True(!w.Spend(now))
	now = now.Add(20 * time.Second)
	is.Equal(w.Available(now), 2.0)
}
