package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
)

// After a restart of a large deployment all hosts request a full update from the same host.
func TestFullUpdateIsPackedOnceAndComplete(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1000, 0))
	source, follower := newTestRegistry(c), newTestRegistry(c)
	b := Batch{Position: at(300), Configuration: versionConfiguration(7, 3)}
	for i := range 250 {
		target := readyTarget(fmt.Sprintf("i-%08x", i*7919), uint64(4+i))
		target.Address = fmt.Sprintf("10.%d.64.%d:8509", i%6, i%250)
		b.Targets = append(b.Targets, target)
		b.Hosts = append(b.Hosts, Host{ID: fmt.Sprintf("edge-%d", i), Revision: at(uint64(4 + i)), Site: "a", Address: target.Address})
	}
	source.Merge(b)
	first := source.nextUpdate(source.subscribe(at(0)))
	is.True(first.Whole)
	is.True(&first.Packed[0] == &source.nextUpdate(source.subscribe(at(0))).Packed[0]) // the cached bytes are reused
	plain, err := inflate(first.Packed)
	is.NoErr(err)
	is.True(3*len(first.Packed) < len(plain))

	got, err := batchFromProto(first, c.Now())
	is.NoErr(err)
	follower.Merge(got)
	is.Equal(len(follower.View().Targets["shop"]), 250)
	is.Equal(len(follower.View().Hosts), 250)
	is.Equal(follower.View().Routes.Version, uint64(7))

	source.Merge(Batch{Position: at(301), Targets: []Target{{ID: "i-00000000", Revision: at(301), Removed: true}}})
	is.True(&first.Packed[0] != &source.nextUpdate(source.subscribe(at(0))).Packed[0]) // packed again after a change
	is.True(proto.Size(first) < 10<<10)
}

// 3,000 servers that register within some seconds went out to each follower as they were. The changes of an update are
// compressed together, once for all followers in lockstep.
func TestManyChangesArePackedOnceAndComplete(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1000, 0))
	source, follower := newTestRegistry(c), newTestRegistry(c)
	source.Merge(Batch{Position: at(1), Targets: []Target{readyTarget("first", 1)}})
	subs := []*subscriber{source.subscribe(at(0)), source.subscribe(at(0))}
	for _, sub := range subs {
		feed(t, follower, source, sub, c)
	}
	var plain registrypb.Update
	b := Batch{Position: at(300)}
	for i := range 250 {
		target := readyTarget(fmt.Sprintf("i-%08x", i*7919), uint64(2+i))
		target.Address = fmt.Sprintf("10.%d.64.%d:8509", i%6, i%250)
		b.Targets = append(b.Targets, target)
		plain.Targets = append(plain.Targets, targetToProto(&target, c.Now()))
	}
	source.Merge(b)
	first, second := source.nextUpdate(subs[0]), source.nextUpdate(subs[1])
	is.True(!first.Whole && &first.Packed[0] == &second.Packed[0])
	t.Logf("a change takes %d bytes, packed %d", proto.Size(&plain)/250, proto.Size(first)/250)
	is.True(3*proto.Size(first) < proto.Size(&plain))
	got, err := batchFromProto(first, c.Now())
	is.NoErr(err)
	follower.Merge(got)
	is.Equal(len(follower.View().Targets["shop"]), 251)
	source.Merge(Batch{Position: at(301), Targets: []Target{{ID: "first", Revision: at(301), Removed: true}}})
	is.Equal(len(source.nextUpdate(subs[0]).Packed), 0) // a few changes stay as they are
}
