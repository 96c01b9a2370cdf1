package revision

import (
	"context"
	"errors"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
	"github.com/bilberryline/bilberryline/internal/store"
)

// corruptPeer returns the same response to every call.
type corruptPeer struct{ resp *revisionpb.Response }

func (l *corruptPeer) Open(context.Context, string, peer.Method) (peer.Stream, error) {
	return nil, nil
}

func (l *corruptPeer) Call(_ context.Context, _ string, _ peer.Method, _, resp proto.Message) error {
	proto.Merge(resp, l.resp)
	return nil
}

func TestContentThatFailsVerificationIsNotAdopted(t *testing.T) {
	is := is.New(t)
	good, err := newContent(markedTree(1))
	is.NoErr(err)
	other, err := newContent(markedTree(2))
	is.NoErr(err)
	r := &Record{Revision: 1, Hash: good.hexHash()}
	for _, resp := range []*revisionpb.Response{
		{Manifest: other.encoded},
		{Manifest: other.encoded, Chunks: slices.Collect(maps.Values(other.chunks))},
		{Manifest: good.encoded, Chunks: [][]byte{[]byte("false")}},
		{Manifest: good.encoded},
		{},
	} {
		fl := newFleet(1, 1, &instantClock{}, 1)
		f := fl.host(0)
		f.cfg.Peers = &corruptPeer{resp}
		f.addOffer("liar", r)
		f.fetchOffers(context.Background())
		is.Equal(f.Current(), nil)
	}
}

func TestRejectedContentIsHeldButNotInForce(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, &instantClock{}, 1).host(0)
	good, err := newContent(markedTree(1))
	is.NoErr(err)
	f.adopt(context.Background(), &Record{Revision: 1, Hash: good.hexHash()}, good)
	tree := markedTree(2)
	tree.Base = []byte(`{"apiVersion": "bilberryline/v1", "nonsense": 1}`)
	bad, err := newContentVerbatim(tree)
	is.NoErr(err)
	f.adopt(context.Background(), &Record{Revision: 2, Hash: bad.hexHash()}, bad)
	is.Equal(f.Current().Revision, uint64(1))
	is.Equal(f.Status().Held, uint64(2))
	is.True(hasEvent(f, event.ConfigRefused))
}

func TestCorruptStoredContentIsReportedAndReplaced(t *testing.T) {
	is := is.New(t)
	fl := newFleet(1, 1, &instantClock{}, 1)
	f := fl.host(0)
	fl.kv.watchReturnsAtOnce = true
	a := newTestAcceptor(fl.kv, 1)
	r, err := a.Apply(context.Background(), &Proposal{Tree: markedTree(1), ChangeID: "a"})
	is.NoErr(err)
	key := manifestKey(r.Generation, r.Hash)
	fl.kv.entries[key] = store.Entry{Key: key, Value: []byte("x"), Index: 99}
	_, err = a.Read(context.Background(), r)
	var corrupt *CorruptError
	is.True(errors.As(err, &corrupt))
	f.watchOnce(context.Background())
	is.Equal(f.Current(), nil)
	is.True(hasEvent(f, event.ConfigPullFailed))
	_, err = a.Apply(context.Background(), &Proposal{Tree: markedTree(2), Parent: 1, ChangeID: "b"})
	is.NoErr(err)
	f.watchOnce(context.Background())
	is.Equal(f.Current().Revision, uint64(2))
}

// TestStoreRolledBackIsReportedAndIgnored restores an older head in the store and then accepts a
// change on it, which reuses a revision number. A host that holds the newer revision must keep it until
// a proposal with a RevisionFloor exceeds it.
func TestStoreRolledBackIsReportedAndIgnored(t *testing.T) {
	is := is.New(t)
	fl := newFleet(1, 1, &instantClock{}, 1)
	f := fl.host(0)
	fl.kv.watchReturnsAtOnce = true
	a := newTestAcceptor(fl.kv, 1)
	ctx := context.Background()
	_, err := a.Apply(ctx, &Proposal{Tree: markedTree(1), ChangeID: "a"})
	is.NoErr(err)
	old := fl.kv.lookup(HeadKey)
	_, err = a.Apply(ctx, &Proposal{Tree: markedTree(2), Parent: 1, ChangeID: "b"})
	is.NoErr(err)
	f.watchOnce(ctx)
	is.Equal(f.Current().Revision, uint64(2))
	fl.kv.entries[HeadKey] = store.Entry{Key: HeadKey, Value: old.Value, Index: 100}
	fl.kv.index = 100
	f.watchOnce(ctx)
	is.Equal(f.Current().Revision, uint64(2))
	is.True(hasEvent(f, event.ConfigStoreBehind))
	_, err = a.Apply(ctx, &Proposal{Tree: markedTree(3), Parent: 1, ChangeID: "c"})
	is.NoErr(err)
	f.watchOnce(ctx)
	is.True(hasEvent(f, event.ConfigFork))
	is.Equal(f.Current().Services["a"].QueueLimit, 2)
	_, err = a.Apply(ctx, &Proposal{Tree: markedTree(4), Parent: 2, ChangeID: "d", RevisionFloor: 2})
	is.NoErr(err)
	f.watchOnce(ctx)
	is.Equal(f.Current().Services["a"].QueueLimit, 4)
}

func hasEvent(f *Follower, id event.ID) bool {
	events, _ := f.cfg.Events.Since(0)
	for _, e := range events {
		if e.ID == id {
			return true
		}
	}
	return false
}
