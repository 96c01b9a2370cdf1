package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestLimitStaysBetweenOneAndCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 8).Draw(t, "slots")
		l := New(Config{}, slots)
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"response": func(t *rapid.T) {
				l.OnResponse(now, rapid.Float64Range(0, 100).Draw(t, "ratio"), rapid.IntRange(0, 9).Draw(t, "in flight"))
			},
			"overload": func(*rapid.T) { l.OnOverload(now) },
			"cap": func(t *rapid.T) {
				slots = rapid.IntRange(0, 8).Draw(t, "slots")
				l.SetCap(slots)
			},
			"advance time": func(*rapid.T) { now = now.Add(30 * time.Millisecond) },
			"": func(t *rapid.T) {
				if most := NewFixed(slots).Value(); l.Value() < 1 || l.Value() > most {
					t.Fatalf("limit is %d with %d slots", l.Value(), slots)
				}
			},
		})
	})
}

func TestLimitDecreasesOnOverloadAndSlownessAndRecovers(t *testing.T) {
	is := is.New(t)
	l := New(Config{}, 6)
	l.OnOverload(start)
	is.Equal(l.Value(), 4)
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		l.OnResponse(now, 10, 4)
	}
	is.Equal(l.Value(), 1)
	for range 60 {
		l.OnResponse(now, 1, l.Value())
	}
	is.Equal(l.Value(), 6)
}
