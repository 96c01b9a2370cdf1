package routing

import (
	"testing"

	"github.com/matryer/is"
)

func TestMatchPrefersLongestPrefix(t *testing.T) {
	is := is.New(t)
	short := &Route{Name: "short", Host: "a.example", Prefix: "/x/"}
	long := &Route{Name: "long", Host: "a.example", Prefix: "/x/y/"}
	other := &Route{Name: "other", Host: "b.example", Prefix: "/"}
	table := NewTable(3, []*Route{short, long, other}, nil, WorkspaceList{}, Limits{})
	is.Equal(table.Match("a.example", "/x/y/z"), long)
	is.Equal(table.Match("a.example:80", "/x/z"), short)
	is.Equal(table.Match("a.example", "/x"), nil)
	is.Equal(table.Match("b.example", "/x/"), other)
	is.Equal(table.Match("c.example", "/x/"), nil)
}

func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{Split: []WeightedService{{"a", 90}, {"none", 0}, {"b", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"a": 900, "b": 100})
}
