package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestExtraAttemptsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BudgetConfig{Ratio: 0.2, MinPerSecond: 2, Burst: 5}
		b := NewBudget(cfg)
		now := start
		first, extra := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) { b.OnFirstAttempt(); first++ },
			"extra": func(*rapid.T) {
				if b.Spend(now) {
					extra++
				}
			},
			"advance time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				most := cfg.Ratio*float64(first) + cfg.MinPerSecond*now.Sub(start).Seconds()
				if float64(extra) > most+1e-6 {
					t.Fatalf("%d extra attempts, at most %v allowed", extra, most)
				}
			},
		})
	})
}

func drawAttempt(t *rapid.T) FailedAttempt {
	return FailedAttempt{
		Idempotent:      rapid.Bool().Draw(t, "idempotent"),
		Failure:         Failure(rapid.IntRange(int(ConnectFailed), int(TimedOut)).Draw(t, "failure")),
		Sent:            rapid.Bool().Draw(t, "sent"),
		DeclaredNotRun:  rapid.Bool().Draw(t, "declared"),
		ReceivedAsRetry: rapid.Bool().Draw(t, "received as retry"),
		ResponseRetried: rapid.Bool().Draw(t, "response retried"),
		Attempts:        rapid.IntRange(1, 3).Draw(t, "attempts"),
		OtherTargets:    rapid.IntRange(0, 2).Draw(t, "others"),
		Deadline:        start.Add(time.Duration(rapid.IntRange(-10, 100).Draw(t, "left")) * time.Millisecond),
		ExpectedLatency: 10 * time.Millisecond,
	}
}

func TestRetryIsSafeAndWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawAttempt(t)
		b := NewBudget(BudgetConfig{Ratio: 1})
		b.OnFirstAttempt()
		p := Policy{Budget: b}
		d := p.Decide(start, a)
		always := Always{MaxAttempts: DefaultMaxAttempts}.Decide(start, a)
		if d == Allowed && always != Allowed {
			t.Fatalf("allowed although Always returns %v", always)
		}
		if d != Allowed && b.Tokens(start) < 1 {
			t.Fatalf("decision %v took a token", d)
		}
		if d != Allowed {
			return
		}
		switch {
		case !a.Idempotent && a.Sent && !a.DeclaredNotRun:
			t.Fatalf("a non-idempotent request that may have run is sent again")
		case a.Failure == Overload && (a.ReceivedAsRetry || a.ResponseRetried):
			t.Fatalf("an overload response is retried at two levels")
		case a.OtherTargets == 0:
			t.Fatalf("a request is sent again without another target")
		case !start.Before(a.Deadline):
			t.Fatalf("a request is sent again after its deadline")
		}
	})
}

// attemptsAtLastLevel returns the number of attempts at the last level of a call of several levels, where
// the last level always sheds the request.
func attemptsAtLastLevel(levels int, decide func(level int, a FailedAttempt) Decision, isRetry bool) int {
	if levels == 0 {
		return 1
	}
	total := 0
	for n := 1; ; n++ {
		nextIsRetry := isRetry || n > 1
		total += attemptsAtLastLevel(levels-1, decide, nextIsRetry)
		a := FailedAttempt{
			Idempotent: true, Failure: Overload, Sent: true, Attempts: n, OtherTargets: 1,
			ReceivedAsRetry: isRetry, ResponseRetried: levels > 1,
		}
		if decide(levels, a) != Allowed {
			return total
		}
	}
}

func TestLevelsDoNotMultiplyRetries(t *testing.T) {
	is := is.New(t)
	const levels = 12
	always := attemptsAtLastLevel(levels, func(_ int, a FailedAttempt) Decision {
		return Always{MaxAttempts: 2}.Decide(start, a)
	}, false)
	is.Equal(always, 1<<levels)
	policies := make([]Policy, levels+1)
	for i := range policies {
		policies[i].Budget = NewBudget(BudgetConfig{Ratio: 1})
		for range 20 {
			policies[i].Budget.OnFirstAttempt()
		}
	}
	limited := attemptsAtLastLevel(levels,
		func(l int, a FailedAttempt) Decision { return policies[l].Decide(start, a) }, false)
	is.Equal(limited, 2)
}

func TestHedgeWaitsForP95AndBudget(t *testing.T) {
	is := is.New(t)
	h := HedgePolicy{Budget: NewBudget(BudgetConfig{Ratio: 0.05, MinPerSecond: -1})}
	p := Pending{
		Idempotent: true, SampleCount: 1000, P95: 40 * time.Millisecond, Median: 10 * time.Millisecond,
		SentAt: start, Deadline: start.Add(time.Second), OtherTargets: 1,
	}
	is.True(!h.Allow(start.Add(50*time.Millisecond), p)) // no tokens yet
	for range 20 {
		h.Budget.OnFirstAttempt()
	}
	is.True(!h.Allow(start.Add(39*time.Millisecond), p))
	is.True(h.Allow(start.Add(40*time.Millisecond), p))
	is.True(!h.Allow(start.Add(40*time.Millisecond), p)) // no tokens left
}
