package member

import (
	"math/bits"
	"slices"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

const (
	// gossipFactor times the binary logarithm of the number of members is the number of messages that carry
	// a record.
	gossipFactor = 3
	// maxGossipRecords is the maximum number of gossiped records in one message.
	maxGossipRecords = 3
)

// gossipItem is a record that is being gossiped.
type gossipItem struct {
	record *memberpb.Record
	sent   int // messages that carried it
}

// gossip queues new records. Each is sent in a bounded number of messages (Das, Gupta and Motivala, "SWIM",
// 2002), those with the fewest transmissions first.
type gossip struct {
	items []gossipItem // in sending order
}

// add queues r and removes an older record of the same host.
func (g *gossip) add(r *memberpb.Record) {
	g.remove(r.Id)
	g.items = slices.Insert(g.items, 0, gossipItem{record: r})
}

// remove removes the record of a host from the queue.
func (g *gossip) remove(id string) {
	g.items = slices.DeleteFunc(g.items, func(o gossipItem) bool { return o.record.Id == id })
}

// take returns the records for the next message. The number of members determines how often each is sent.
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
