package outcome

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// modelAttempt models an attempt by the facts that are visible on the wire.
type modelAttempt struct {
	begun, wrote, refused, answered, over bool
}

// referenceModel models a request by the facts of its attempts.
type referenceModel struct {
	attempts []modelAttempt
	decided  bool
	result   Result
	won      bool
}

// mayHaveRun reports whether an attempt other than the given one wrote a byte and was not refused.
func (n *referenceModel) mayHaveRun(except int) bool {
	for i, a := range n.attempts {
		if i != except && a.wrote && !a.refused {
			return true
		}
	}
	return false
}

func (n *referenceModel) decide() Result {
	if n.decided {
		return n.result
	}
	n.decided = true
	switch {
	case n.won:
		n.result = Answered
	case n.mayHaveRun(-1):
		n.result = Unknown
	default:
		n.result = NotRun
	}
	return n.result
}

// TestRequestAgreesWithNaiveModel applies random transitions to a request and to the reference model,
// and compares their results. It also checks that no attempt may have run a request decided as NotRun,
// and that at most one attempt may have run a request that must run at most once.
func TestRequestAgreesWithNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once := rapid.Bool().Draw(t, "once")
		var opts []Option
		if once {
			opts = append(opts, AtMostOnce())
		}
		r, n := NewRequest(opts...), &referenceModel{}
		var attempts []*Attempt
		pick := func(t *rapid.T) int {
			if len(attempts) == 0 {
				t.Skip("no attempt yet")
			}
			return rapid.IntRange(0, len(attempts)-1).Draw(t, "attempt")
		}
		checkAllowed := func(t *rapid.T, step string, got error, want bool) {
			if (got == nil) != want {
				t.Fatalf("%s: got error %v, model allows it: %v", step, got, want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"attempt": func(t *rapid.T) {
				a, err := r.NewAttempt()
				checkAllowed(t, "attempt", err, !n.decided)
				if err == nil {
					attempts = append(attempts, a)
					n.attempts = append(n.attempts, modelAttempt{})
				}
			},
			"begin": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := !n.decided && !m.begun && !m.over
				checkAllowed(t, "begin", attempts[i].MarkBegun(), ok)
				m.begun = m.begun || ok
			},
			"send": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := !n.decided && m.begun && !m.wrote && !m.over && (!once || !n.mayHaveRun(i))
				checkAllowed(t, "send", attempts[i].MarkSent(), ok)
				m.wrote = m.wrote || ok
			},
			"refuse": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := m.wrote && !m.over
				checkAllowed(t, "refuse", attempts[i].MarkRefused(), ok)
				m.refused = m.refused || ok
				m.over = m.over || ok
			},
			"answer": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := m.wrote && !m.over
				first, err := attempts[i].MarkComplete()
				checkAllowed(t, "answer", err, ok)
				if first != (ok && !n.decided && !n.won) {
					t.Fatalf("answer: got first = %v, which the model contradicts", first)
				}
				m.answered = m.answered || ok
				m.over = m.over || ok
				n.won = n.won || first
			},
			"break": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := !m.over
				checkAllowed(t, "break", attempts[i].MarkFailed(), ok)
				m.over = true
			},
			"decide": func(t *rapid.T) {
				if got, want := r.Decide(), n.decide(); got != want {
					t.Fatalf("decided %s, the model decided %s", got, want)
				}
			},
			"": func(t *rapid.T) {
				if n.decided && n.result == NotRun && n.mayHaveRun(-1) {
					t.Fatal("decided not-run, but a byte was written and the attempt was not refused")
				}
				runs := 0
				for _, a := range n.attempts {
					if a.wrote && !a.refused {
						runs++
					}
				}
				if once && runs > 1 {
					t.Fatalf("request must run at most once, but %d attempts may have run it", runs)
				}
			},
		})
	})
}

// TestNoSendAfterNotRun guards against a race of Decide with attempts: an attempt that is marked as
// sent after the request was decided as NotRun would make that result false.
func TestNoSendAfterNotRun(t *testing.T) {
	for range 200 {
		r := NewRequest()
		var sent atomic.Int32
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				a, err := r.NewAttempt()
				if err == nil && a.MarkBegun() == nil && a.MarkSent() == nil {
					sent.Add(1)
				}
			})
		}
		result := r.Decide()
		wg.Wait()
		if result == NotRun && sent.Load() > 0 {
			t.Fatal("an attempt was sent although the request was decided as not run")
		}
	}
}

func TestErrorsAreTyped(t *testing.T) {
	is := is.New(t)
	r := NewRequest(AtMostOnce())
	a, err := r.NewAttempt()
	is.NoErr(err)
	b, err := r.NewAttempt()
	is.NoErr(err)
	var transition *TransitionError
	is.True(errors.As(a.MarkSent(), &transition))
	is.Equal(transition.From, Planned)
	is.NoErr(a.MarkBegun())
	is.NoErr(b.MarkBegun())
	is.NoErr(a.MarkSent())
	var second *SecondRunError
	is.True(errors.As(b.MarkSent(), &second))
	is.NoErr(a.MarkRefused())
	is.NoErr(b.MarkSent())
	is.Equal(r.Decide(), Unknown)
	_, err = r.NewAttempt()
	var sealed *SealedError
	is.True(errors.As(err, &sealed))
	is.Equal(sealed.Result, Unknown)
}
