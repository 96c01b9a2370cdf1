package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestBudgetHoldsForEverySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BudgetConfig{Ratio: 0.2, MinPerSecond: 2, Burst: 5}
		b := NewBudget(cfg)
		now := start
		first, second := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"first": func(*rapid.T) { b.OnFirstAttempt(); first++ },
			"second": func(*rapid.T) {
				if b.Spend(now) {
					second++
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				most := cfg.Ratio*float64(first) + cfg.MinPerSecond*now.Sub(start).Seconds()
				if float64(second) > most+1e-6 {
					t.Fatalf("%d second sends, %v allowed", second, most)
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
		ReceivedAsRetry: rapid.Bool().Draw(t, "request marked"),
		ResponseRetried: rapid.Bool().Draw(t, "answer marked"),
		Attempts:        rapid.IntRange(1, 3).Draw(t, "sends"),
		OtherTargets:    rapid.IntRange(0, 2).Draw(t, "others"),
		Deadline:        start.Add(time.Duration(rapid.IntRange(-10, 100).Draw(t, "left")) * time.Millisecond),
		ExpectedLatency: 10 * time.Millisecond,
	}
}

func TestSecondSendIsHarmless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawAttempt(t)
		b := NewBudget(BudgetConfig{Ratio: 1})
		b.OnFirstAttempt()
		p := Policy{Budget: b}
		d := p.Decide(start, a)
		naive := Always{MaxAttempts: DefaultMaxAttempts}.Decide(start, a)
		if d == Allowed && naive != Allowed {
			t.Fatalf("allowed where even the naive twin says %v", naive)
		}
		if d != Allowed && b.Tokens(start) < 1 {
			t.Fatalf("%v has spent the budget", d)
		}
		if d != Allowed {
			return
		}
		switch {
		case !a.Idempotent && a.Sent && !a.DeclaredNotRun:
			t.Fatalf("a request that may have run is sent again")
		case a.Failure == Overload && (a.ReceivedAsRetry || a.ResponseRetried):
			t.Fatalf("an overload answer is retried at two levels")
		case a.OtherTargets == 0:
			t.Fatalf("no other target")
		case !start.Before(a.Deadline):
			t.Fatalf("the deadline has passed")
		}
	})
}

// sends counts the sends at the bottom of a call of several levels where the bottom always sheds.
func sends(levels int, decide func(level int, a FailedAttempt) Decision, marked bool) int {
	if levels == 0 {
		return 1
	}
	total := 0
	for n := 1; ; n++ {
		mark := marked || n > 1
		total += sends(levels-1, decide, mark)
		a := FailedAttempt{
			Idempotent: true, Failure: Overload, Sent: true, Attempts: n, OtherTargets: 1,
			ReceivedAsRetry: marked, ResponseRetried: levels > 1,
		}
		if decide(levels, a) != Allowed {
			return total
		}
	}
}

func TestLevelsDoNotMultiplySecondSends(t *testing.T) {
	is := is.New(t)
	const levels = 12
	naive := sends(levels, func(_ int, a FailedAttempt) Decision {
		return Always{MaxAttempts: 2}.Decide(start, a)
	}, false)
	is.Equal(naive, 1<<levels)
	budgets := make([]Policy, levels+1)
	for i := range budgets {
		budgets[i].Budget = NewBudget(BudgetConfig{Ratio: 1})
		for range 20 {
			budgets[i].Budget.OnFirstAttempt()
		}
	}
	ours := sends(levels, func(l int, a FailedAttempt) Decision { return budgets[l].Decide(start, a) }, false)
	is.Equal(ours, 2)
}

func TestHedgeWaitsForP95AndBudget(t *testing.T) {
	is := is.New(t)
	h := HedgePolicy{Budget: NewBudget(BudgetConfig{Ratio: 0.05, MinPerSecond: -1})}
	p := Pending{
		Idempotent: true, SampleCount: 1000, P95: 40 * time.Millisecond, Median: 10 * time.Millisecond,
		SentAt: start, Deadline: start.Add(time.Second), OtherTargets: 1,
	}
	is.True(!h.Allow(start.Add(50*time.Millisecond), p)) // nothing earned yet
	for range 20 {
		h.Budget.OnFirstAttempt()
	}
	is.True(!h.Allow(start.Add(39*time.Millisecond), p))
	is.True(h.Allow(start.Add(40*time.Millisecond), p))
	is.True(!h.Allow(start.Add(40*time.Millisecond), p)) // spent
}
