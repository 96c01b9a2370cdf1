package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var pickers = map[string]Picker{
	"random":      Random{},
	"round robin": &RoundRobin{},
	"two choices": PowerOfTwoChoices{},
	"least":       LeastLoaded{},
}

func drawCandidates(t *rapid.T) []Candidate {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
		return Candidate{
			Slots:    rapid.IntRange(0, 6).Draw(t, "slots"),
			InFlight: rapid.IntRange(0, 9).Draw(t, "inflight"),
			Draining: rapid.Bool().Draw(t, "draining"),
			Avoid:    rapid.Bool().Draw(t, "avoid"),
		}
	}), 0, 12).Draw(t, "candidates")
}

func TestPickersTakeOnlyWillingTargets(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	rapid.Check(t, func(t *rapid.T) {
		cs := drawCandidates(t)
		willing, preferred := 0, 0
		for _, c := range cs {
			if !c.Draining {
				willing++
				if !c.Avoid {
					preferred++
				}
			}
		}
		for name, p := range pickers {
			i := p.Pick(time.Time{}, cs, rng)
			switch {
			case i == None && willing > 0:
				t.Fatalf("%s found none of %d targets", name, willing)
			case i != None && cs[i].Draining:
				t.Fatalf("%s picked a draining target", name)
			case i != None && cs[i].Avoid && preferred > 0:
				t.Fatalf("%s picked an avoided target", name)
			}
		}
	})
}

func TestLeastIsNeverAboveTwoChoices(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	rapid.Check(t, func(t *rapid.T) {
		cs := drawCandidates(t)
		least := LeastLoaded{}.Pick(time.Time{}, cs, rng)
		two := PowerOfTwoChoices{}.Pick(time.Time{}, cs, rng)
		if least != None && cs[least].Avoid == cs[two].Avoid && cs[least].load() > cs[two].load() {
			t.Fatalf("least load %v is above %v", cs[least].load(), cs[two].load())
		}
	})
}

func BenchmarkTwoChoices1000(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	cs := make([]Candidate, 1000)
	for i := range cs {
		cs[i] = Candidate{Slots: 6, InFlight: i % 6}
	}
	b.ReportAllocs()
	for b.Loop() {
		PowerOfTwoChoices{}.Pick(time.Time{}, cs, rng)
	}
}
