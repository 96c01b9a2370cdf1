package region

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func newSelector(cfg Config) *Selector { return NewSelector(cfg, rand.New(rand.NewPCG(7, 8))) }

func drawGroups(t *rapid.T) []Candidate {
	regions := []string{"a", "b", "c"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
		region := rapid.IntRange(0, 2).Draw(t, "region")
		distance := OtherRegion
		if region == 0 {
			distance = rapid.IntRange(SameSite, SameRegion).Draw(t, "distance")
		}
		return Candidate{
			Region:    regions[region],
			Distance:  distance,
			Reachable: rapid.Bool().Draw(t, "reachable"),
			Fill: Fill{
				Slots:         rapid.IntRange(0, 10).Draw(t, "slots"),
				Busy:          rapid.IntRange(0, 10).Draw(t, "busy"),
				EstimatedWait: time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond,
				Age:           time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond,
			},
		}
	}), 0, 8).Draw(t, "groups")
}

func TestOrderContainsEachUsableGroupOfRegionOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSelector(Config{})
		now := start
		for range 5 {
			groups := drawGroups(t)
			now = now.Add(100 * time.Millisecond)
			seen := map[int]bool{}
			for _, i := range s.Choose(now, groups, 100) {
				if seen[i] || !groups[i].usable() {
					t.Fatalf("group %d is in the order twice or is not usable", i)
				}
				seen[i] = true
			}
			for _, i := range (Nearest{}).Choose(groups) {
				if groups[i].Distance != OtherRegion && !seen[i] {
					t.Fatalf("usable group %d of the region is not in the order", i)
				}
			}
		}
	})
}

func TestLinkTrafficStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1000
		s := newSelector(Config{})
		s.SetLink(start, "b", rate)
		groups := []Candidate{{Region: "b", Distance: OtherRegion, Reachable: true, Fill: Fill{Slots: 1}}}
		now, spent, overdrawn := start, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			bytes := rapid.IntRange(1, 500).Draw(t, "bytes")
			chosen := len(s.Choose(now, groups, bytes)) > 0
			if s.Spend(now, "b", bytes) != chosen {
				t.Fatalf("Choose and Spend disagree on whether the budget covers the request")
			}
			if !chosen {
				continue
			}
			response := rapid.IntRange(0, 500).Draw(t, "response")
			s.Debit(now, "b", response)
			spent += bytes + response
			overdrawn = max(overdrawn, response)
			if most := rate*now.Sub(start).Seconds() + float64(overdrawn); float64(spent) > most+1 {
				t.Fatalf("%d bytes spent, at most %v allowed", spent, most)
			}
		}
	})
}

func nearAndFar(wait time.Duration) []Candidate {
	return []Candidate{
		{Region: "a", Distance: SameSite, Reachable: true, Fill: Fill{Slots: 10, Busy: 10, EstimatedWait: wait}},
		{Region: "b", Distance: OtherRegion, Reachable: true, Fill: Fill{Slots: 10}},
	}
}

// spilled returns the number of requests, one per millisecond for a second, that try the far group first.
func spilled(s *Selector, from time.Time, wait time.Duration) int {
	n := 0
	for ms := range 1000 {
		order := s.Choose(from.Add(time.Duration(ms)*time.Millisecond), nearAndFar(wait), 1)
		if order[0] == 1 {
			n++
		}
	}
	return n
}

func TestSpilledShareFollowsWaitWithHysteresis(t *testing.T) {
	is := is.New(t)
	s := newSelector(Config{})
	is.Equal(spilled(s, start, 10*time.Millisecond), 0)
	is.True(spilled(s, start.Add(time.Second), 200*time.Millisecond) > 500)
	// Between the two thresholds the share stays the same.
	before := s.regionShare.value
	is.Equal(spilled(s, start.Add(2*time.Second), 70*time.Millisecond), 1000)
	is.Equal(s.regionShare.value, before)
	first := spilled(s, start.Add(3*time.Second), 10*time.Millisecond)
	is.True(first > 0 && first < 1000)
	spilled(s, start.Add(4*time.Second), 10*time.Millisecond)
	is.Equal(spilled(s, start.Add(5*time.Second), 10*time.Millisecond), 0)
}
