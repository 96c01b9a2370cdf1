package member

import (
	"math/bits"
	"slices"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

const (
	// gossipFactor times the logarithm of the members is the number of times a record is passed on.
	gossipFactor = 3
	// maxGossipRecords is the number of records passed on in one message.
	maxGossipRecords = 3
)

// gossipItem is a record that is still being passed on.
type gossipItem struct {
	record *memberpb.Record
	sent   int // messages that carried it
}

// gossip passes new records on in a bounded number of messages (Das, Gupta and Motivala, "SWIM",
// 2002), those with the fewest transmissions first.
type gossip struct {
	items []gossipItem // in the order in which they are sent
}

// add begins to pass r on in place of older records of its host.
func (g *gossip) add(r *memberpb.Record) {
	g.remove(r.Id)
	g.items = slices.Insert(g.items, 0, gossipItem{record: r})
}

// remove stops passing records of a host on.
func (g *gossip) remove(id string) {
	g.items = slices.DeleteFunc(g.items, func(o gossipItem) bool { return o.record.Id == id })
}

// take returns the records for one message among the given number of members.
func (g *gossip) take(members int) []*memberpb.Record {
	count := min(maxGossipRecords, len(g.items))
	if count == 0 {
		return nil
	}
	limit := gossipFactor * bits.Len(uint(members))
	records := make([]*memberpb.Record, count)
	for i, r := range g.items[:count] {
		records[i] = r.record
		r.sent++
		if r.sent < limit {
			g.items = append(g.items, r)
		}
	}
	g.items = slices.Delete(g.items, 0, count)
	return records
}
