package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var pickers = map[string]Picker{
	"random":       Random{},
	"round robin":  &RoundRobin{},
	"two choices":  PowerOfTwoChoices{},
	"least loaded": LeastLoaded{},
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

func TestPickersSkipDrainingAndAvoidedTargets(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		available, preferred := 0, 0
		for _, c := range candidates {
			if !c.Draining {
				available++
				if !c.Avoid {
					preferred++
				}
			}
		}
		for name, p := range pickers {
			i := p.Pick(time.Time{}, candidates, rng)
			switch {
			case i == None && available > 0:
				t.Fatalf("%s picked none of %d available targets", name, available)
			case i != None && candidates[i].Draining:
				t.Fatalf("%s picked a draining target", name)
			case i != None && candidates[i].Avoid && preferred > 0:
				t.Fatalf("%s picked an avoided target although others were available", name)
			}
		}
	})
}

func TestLeastLoadedIsNeverAboveTwoChoices(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	rapid.Check(t, func(t *rapid.T) {
		cs := drawCandidates(t)
		least := LeastLoaded{}.Pick(time.Time{}, cs, rng)
		two := PowerOfTwoChoices{}.Pick(time.Time{}, cs, rng)
		if least != None && cs[least].Avoid == cs[two].Avoid && cs[least].load() > cs[two].load() {
			t.Fatalf("load %v of the least loaded target exceeds %v", cs[least].load(), cs[two].load())
		}
	})
}

func BenchmarkTwoChoices1000(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	candidates := make([]Candidate, 1000)
	for i := range candidates {
		candidates[i] = Candidate{Slots: 6, InFlight: i % 6}
	}
	b.ReportAllocs()
	for b.Loop() {
		PowerOfTwoChoices{}.Pick(time.Time{}, candidates, rng)
	}
}
