package outcome

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// naiveAttempt models an attempt by the plain facts that an observer of the wire would note.
type naiveAttempt struct {
	begun, wrote, refused, answered, over bool
}

type naiveRequest struct {
	attempts []naiveAttempt
	decided  bool
	result   Result
	won      bool
}

func (n *naiveRequest) wroteUnrefused(except int) bool {
	for i, a := range n.attempts {
		if i != except && a.wrote && !a.refused {
			return true
		}
	}
	return false
}

func (n *naiveRequest) decide() Result {
	if n.decided {
		return n.result
	}
	n.decided = true
	switch {
	case n.won:
		n.result = Answered
	case n.wroteUnrefused(-1):
		n.result = Unknown
	default:
		n.result = NotRun
	}
	return n.result
}

func TestRequestAgreesWithNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once := rapid.Bool().Draw(t, "once")
		var opts []Option
		if once {
			opts = append(opts, AtMostOnce())
		}
		r, n := NewRequest(opts...), &naiveRequest{}
		var attempts []*Attempt
		pick := func(t *rapid.T) int {
			if len(attempts) == 0 {
				t.Skip("no attempt yet")
			}
			return rapid.IntRange(0, len(attempts)-1).Draw(t, "attempt")
		}
		same := func(t *rapid.T, step string, got error, want bool) {
			if (got == nil) != want {
				t.Fatalf("%s: got error %v, model allows it: %v", step, got, want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"attempt": func(t *rapid.T) {
				a, err := r.NewAttempt()
				same(t, "attempt", err, !n.decided)
				if err == nil {
					attempts = append(attempts, a)
					n.attempts = append(n.attempts, naiveAttempt{})
				}
			},
			"begin": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := !n.decided && !m.begun && !m.over
				same(t, "begin", attempts[i].MarkBegun(), ok)
				m.begun = m.begun || ok
			},
			"send": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := !n.decided && m.begun && !m.wrote && !m.over && (!once || !n.wroteUnrefused(i))
				same(t, "send", attempts[i].MarkSent(), ok)
				m.wrote = m.wrote || ok
			},
			"refuse": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := m.wrote && !m.over
				same(t, "refuse", attempts[i].MarkRefused(), ok)
				m.refused = m.refused || ok
				m.over = m.over || ok
			},
			"answer": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := m.wrote && !m.over
				first, err := attempts[i].MarkComplete()
				same(t, "answer", err, ok)
				if first != (ok && !n.decided && !n.won) {
					t.Fatalf("answer: first is %v", first)
				}
				m.answered = m.answered || ok
				m.over = m.over || ok
				n.won = n.won || first
			},
			"break": func(t *rapid.T) {
				i := pick(t)
				m := &n.attempts[i]
				ok := !m.over
				same(t, "break", attempts[i].MarkFailed(), ok)
				m.over = true
			},
			"decide": func(t *rapid.T) {
				if got, want := r.Decide(), n.decide(); got != want {
					t.Fatalf("decided %s, model %s", got, want)
				}
			},
			"": func(t *rapid.T) {
				if n.decided && n.result == NotRun && n.wroteUnrefused(-1) {
					t.Fatal("told not-run, but a byte was written and not refused")
				}
				runs := 0
				for _, a := range n.attempts {
					if a.wrote && !a.refused {
						runs++
					}
				}
				if once && runs > 1 {
					t.Fatalf("%d attempts may have run", runs)
				}
			},
		})
	})
}

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
			t.Fatal("an attempt sent after the request was decided as not run")
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
