package revision

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/config"
)

// markedTree returns a tree with mark in the base file and in an overlay. A snapshot that mixes two
// revisions has different numbers in the two places.
func markedTree(mark int) *config.Tree {
	base := fmt.Sprintf("apiVersion: bilberryline/v1\nregions: {r: {sites: {s1: {}, s2: {}}}}\nservices:\n  a:\n    queueLimit: %d\n", mark)
	overlay := fmt.Sprintf("services: {a: {probe: {bytesPerSecond: %d}}}\n", mark)
	otherOverlay := "services: {a: {hedgeBudget: 0}}\n" + strings.Repeat("# unchanged\n", mark/4)
	return &config.Tree{Base: []byte(base), Overlays: map[string][]byte{"s1": []byte(overlay), "s2": []byte(otherOverlay)}}
}

func newTestAcceptor(kv *fakeKV, seed uint64) *Acceptor {
	return NewAcceptor(kv, &instantClock{}, rand.New(rand.NewPCG(seed, 2)))
}

func TestApplyAndReadBack(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	kv := newFakeKV()
	a := newTestAcceptor(kv, 1)
	for n := range 200 {
		r, err := a.Apply(ctx, &Proposal{Tree: markedTree(n), Parent: uint64(n), ChangeID: fmt.Sprint(n), Author: "op"})
		is.NoErr(err)
		is.Equal(r.Revision, uint64(n+1))
	}
	head, err := a.Head(ctx)
	is.NoErr(err)
	is.Equal(len(head.Records), maxHistory)
	for i := range head.Records {
		tree, err := a.Read(ctx, &head.Records[i])
		is.NoErr(err)
		want, err := markedTree(199 - i).Canonical()
		is.NoErr(err)
		is.Equal(tree, want)
	}
	is.True(head.Records[0].Generation > 1)
	is.Equal(head.CollectedBelow, head.Records[maxHistory-1].Generation)
	for key := range kv.entries {
		is.True(!strings.HasPrefix(key, generationKey(1)))
	}
}

func TestApplyRejectsInvalidConflictingAndUnchangedProposals(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	a := newTestAcceptor(newFakeKV(), 1)
	_, err := a.Apply(ctx, &Proposal{Tree: &config.Tree{Base: []byte("services: 1")}, ChangeID: "bad"})
	var problems config.DeclarationErrors
	is.True(errors.As(err, &problems))
	first, err := a.Apply(ctx, &Proposal{Tree: markedTree(1), ChangeID: "a", Author: "ana"})
	is.NoErr(err)
	again, err := a.Apply(ctx, &Proposal{Tree: markedTree(1), ChangeID: "a"})
	is.NoErr(err)
	is.Equal(again.Revision, first.Revision)
	_, err = a.Apply(ctx, &Proposal{Tree: markedTree(2), ChangeID: "b"})
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.AcceptedSince[0].Author, "ana")
	_, err = a.Apply(ctx, &Proposal{Tree: markedTree(1), Parent: 1, ChangeID: "c"})
	is.True(errors.Is(err, ErrNoChange))
	above, err := a.Apply(ctx, &Proposal{Tree: markedTree(1), Parent: 1, ChangeID: "d", RevisionFloor: 9})
	is.NoErr(err)
	is.Equal(above.Revision, uint64(10))
}

func TestLostResponseIsResolved(t *testing.T) {
	for _, f := range []fault{notApplied, responseLost} {
		is := is.New(t)
		kv := newFakeKV()
		n := 0
		kv.nextFault = func() fault {
			n++
			if n%2 == 1 {
				return f
			}
			return noFault
		}
		r, err := newTestAcceptor(kv, 1).Apply(context.Background(), &Proposal{Tree: markedTree(1), ChangeID: "a"})
		is.NoErr(err)
		is.Equal(r.Revision, uint64(1))
	}
}

func TestDelayedWriteHasUnknownOutcomeUntilApplied(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	ctx, cancel := context.WithCancel(context.Background())
	kv.nextFault = func() fault {
		if len(kv.entries) < 2 { // the pack and the manifest are written before the head
			return noFault
		}
		kv.down, kv.onDown = true, cancel
		return delayed
	}
	a := newTestAcceptor(kv, 1)
	_, err := a.Apply(ctx, &Proposal{Tree: markedTree(1), ChangeID: "a"})
	var unknown *OutcomeUnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.ChangeID, "a")
	kv.down = false
	kv.applyDelayed()
	r, err := a.Apply(context.Background(), &Proposal{Tree: markedTree(1), ChangeID: "a"})
	is.NoErr(err)
	is.Equal(r.Revision, uint64(1))
	is.Equal(r.ChangeID, "a")
}
