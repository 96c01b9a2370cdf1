package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A host that pauses with tokens and comes back would add them to what the others were granted meanwhile.
func TestExpiredTokensAreNotUsedButReturnedToTheirIssuer(t *testing.T) {
	is := is.New(t)
	l, now, issuer := NewLimiter(testBounds), testStart, Issuer{"h1", 7}
	l.Arrive("w", now)
	l.Receive("w", 3, issuer, now, now.Add(time.Millisecond))
	is.True(l.Take("w", now.Add(2*time.Millisecond)))
	late := now.Add(testBounds.tokenLifetime())
	is.True(!l.Take("w", late))
	is.Equal(l.Pending(late), []string{"w"})
	n, from := l.Returns("w", late)
	is.Equal(n, 2)
	is.Equal(from, issuer)
	n, _ = l.Returns("w", late)
	is.Equal(n, 0) // only once
	l.Receive("w", 1, issuer, now, late)
	is.True(!l.Take("w", late)) // the answer came after the tokens had expired
}

// Tokens that are granted before a suspension look valid after it, because the monotonic clock has not advanced.
func TestSuspensionIsDetectedByTheWallClock(t *testing.T) {
	is := is.New(t)
	s := suspension{start: testStart}
	is.True(!s.compare(time.Second, time.Second))
	is.True(!s.compare(3*time.Second, 3*time.Second)) // a stopped process: both clocks advance
	is.True(s.compare(10*time.Second, 3*time.Second+time.Millisecond))
	is.True(!s.compare(11*time.Second, 4*time.Second+time.Millisecond)) // reported once
	is.True(!s.compare(5*time.Second, 5*time.Second))                   // set back
}

// The vote of a new process must not count unconditionally: its predecessor may have voted for another candidate just
// before.
func TestAVoteHoldsForOneCandidate(t *testing.T) {
	is := is.New(t)
	b, now := NewBallot(testStart), testStart
	vote := func(candidate string, now time.Time) [2]bool {
		supported, conditional := b.Vote(candidate, now)
		return [2]bool{supported, conditional}
	}
	is.Equal(vote("a", now), [2]bool{true, true})
	is.Equal(vote("b", now), [2]bool{false, false})
	now = now.Add(VoteLifetime)
	is.Equal(vote("a", now), [2]bool{true, false})
	is.Equal(vote("b", now.Add(VoteLifetime-1)), [2]bool{false, false})
	b.Release("b")
	is.Equal(vote("b", now), [2]bool{false, false})
	b.Release("a")
	is.Equal(vote("b", now), [2]bool{true, false})
}

// State for each configured workspace would be megabytes in a deployment with 10,000 of them.
func TestIdleWorkspacesAreForgotten(t *testing.T) {
	is := is.New(t)
	l, c, now, q := NewLimiter(testBounds), NewCoordinator(testBounds), testStart, Quota{2, 2}
	c.SetShare(0.5, now)
	now = now.Add(2 * fillTime)
	for i := range 10000 {
		name := fmt.Sprintf("w%d", i)
		l.Arrive(name, now)
		is.Equal(c.Acquire(name, q, 1, 1, 1, now), 1)
		now = now.Add(10 * time.Millisecond)
		if max(len(l.workspaces), len(c.buckets)) > 1100 {
			t.Fatalf("%d workspaces at a host, %d at a coordinator after %d", len(l.workspaces), len(c.buckets), i)
		}
	}
	now = now.Add(fillTime)
	l.Arrive("w0", now)
	c.Acquire("w0", q, 1, 1, 1, now)
	is.Equal(len(l.workspaces), 1)
	is.Equal(len(c.buckets), 1)
}

// A lower limit must hold at once for the tokens that have been accrued, and a higher one must not wait.
func TestNewLimitTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	c, now := NewCoordinator(Bounds{Window: 5 * time.Second}), testStart
	c.SetShare(1, now)
	now = now.Add(fillTime)
	is.Equal(c.Acquire("w", Quota{100, 100}, 10, 10, 10, now), 10)
	is.Equal(c.Acquire("w", Quota{10, 5}, 50, 50, 50, now), 5)
	is.Equal(c.Acquire("w", Quota{100, 100}, 50, 50, 50, now), 0)
	is.Equal(c.Acquire("w", Quota{100, 100}, 50, 50, 50, now.Add(100*time.Millisecond)), 10)
}

// What two coordinators grant, net of what is given back, must fit into one bucket, whatever they exchange.
func TestCoordinatorsGrantNoMoreThanOneBucket(t *testing.T) {
	q := Quota{50, 30}
	rapid.Check(t, func(r *rapid.T) {
		now, end := testStart, testStart
		sites := []*Coordinator{NewCoordinator(testBounds), NewCoordinator(testBounds)}
		for _, c := range sites {
			c.SetShare(0.5, now)
		}
		granted := make([]int, 2) // by site, not given back
		total := 0
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			i := rapid.IntRange(0, 1).Draw(r, "site")
			c, n := sites[i], rapid.IntRange(1, 60).Draw(r, "n")
			switch rapid.IntRange(0, 5).Draw(r, "action") {
			case 0, 1:
				g := c.Acquire("w", q, n, 2*n, n, now)
				granted[i] += g
				total += g
			case 2:
				n = min(n, granted[i])
				c.Return("w", q, n, now)
				granted[i] -= n
				total -= n
			case 3: // the answer is lost or late now and then
				given, left := sites[1-i].Give("w", q, float64(n)/3, now)
				delay := time.Duration(rapid.IntRange(0, 300).Draw(r, "delay")) * time.Millisecond
				if delay < 200*time.Millisecond {
					c.Receive("w", "other", q, given, left, now, now.Add(delay))
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
				end = now
			case 5: // another coordinator takes over
				if rapid.IntRange(0, 9).Draw(r, "takes over") == 0 {
					sites[i] = NewCoordinator(testBounds)
					sites[i].SetShare(0.5, now)
					granted[i] = 0
				}
			}
			limit := testBounds.capacity(q) + q.Rate*(end.Sub(testStart)+300*time.Millisecond).Seconds()
			if float64(total) > limit+tokenEpsilon {
				r.Fatalf("%d granted after %s, limit %.1f", total, end.Sub(testStart), limit)
			}
		}
	})
}

// The few workspaces with the most refusals must be found, and the metric must stay small.
func TestMetricNamesTheWorkspacesWithTheMostRefusals(t *testing.T) {
	is := is.New(t)
	m := NewMetrics("test")
	for i := range 5000 {
		m.refuse(fmt.Sprintf("w%d", i))
		m.refuse("flood")
	}
	most := m.most()
	is.Equal(len(most), reportedWorkspaces)
	is.Equal(most[0].name, "flood")
	is.True(len(m.refusals) <= trackedWorkspaces)
}

// A request that waited for the first token of a bucket estimated the wait from the whole rate instead of the coordinator's
// share, so that it woke up again and again, each time for a shorter wait, instead of once.
func TestWaitForAFillingBucketEndsWithAToken(t *testing.T) {
	is := is.New(t)
	c, now, q := NewCoordinator(testBounds), testStart, Quota{10, 2}
	c.SetShare(1.0/6, now)
	waits := 0
	for c.Acquire("w", q, 1, 1, 1, now) == 0 {
		is.True(c.Filling(now))
		now = now.Add(c.FilledIn("w", q, now))
		waits++
	}
	is.Equal(waits, 1)
}

// Two requests within 30 ms of a workspace of two a second counted as more than it may send in a second, so that it was
// refused although nobody knew what other data centres had left.
func TestRequestsWithinTheLimitDoNotExceedIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{Rate: rapid.Float64Range(0.5, 300).Draw(t, "rate"), Burst: rapid.Float64Range(1, 300).Draw(t, "burst")}
		c, now := NewCoordinator(testBounds), testStart
		var exact staticBucket
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Float64Range(0, 2).Draw(t, "pause") / q.Rate * float64(time.Second)))
			if !exact.take(q.Rate, q.Burst, now) {
				continue
			}
			c.Acquire("w", q, 1, 1, 1, now)
			if c.Exceeds("w", q, now) {
				t.Fatal("the requests are within the limit")
			}
		}
	})
}

// A flood at one data centre is refused as such although other data centres can't be asked, and for as long as it lasts.
func TestFloodAtOneDataCentreExceedsTheLimit(t *testing.T) {
	is := is.New(t)
	c, q, now := NewCoordinator(testBounds), Quota{250, 250}, testStart
	flood := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Millisecond) {
			c.Acquire("w", q, 1, 1, 1, now) // a thousand a second
		}
	}
	flood(time.Second)
	is.True(c.Exceeds("w", q, now))
	flood(time.Minute)
	is.True(c.Exceeds("w", q, now))
	is.True(!c.Exceeds("w", q, now.Add(time.Second+time.Millisecond))) // after its end
}
