package revision

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/store"
)

// Delays between attempts of a call to the store.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Acceptor makes proposals to accepted revisions. It is safe for concurrent use, also by several
// processes on one store: the store's compare-and-swap orders them.
type Acceptor struct {
	storage
	clock clock.Clock
	rand  *rand.Rand
}

// NewAcceptor returns an acceptor on a store. rnd spreads retries; it must not be shared.
func NewAcceptor(kv store.KV, clk clock.Clock, rnd *rand.Rand) *Acceptor {
	return &Acceptor{storage: storage{kv: kv}, clock: clk, rand: rnd}
}

// Proposal is a change that is to be accepted.
type Proposal struct {
	// Tree is the whole new content.
	Tree *config.Tree
	// Parent is the revision that the change was made on; 0 for the first.
	Parent uint64
	// ChangeID identifies the change. Proposing it twice accepts it at most once.
	ChangeID string
	// Author and Message are for the history.
	Author  string
	Message string
	// RevisionFloor makes the new revision's number exceed this one as well. It serves a store that was set
	// back behind what is in force.
	RevisionFloor uint64
}

// Head returns the accepted revisions.
func (a *Acceptor) Head(ctx context.Context) (*Head, error) {
	head, _, err := a.headWithRetry(ctx)
	return head, err
}

// Read returns the content of an accepted revision.
func (a *Acceptor) Read(ctx context.Context, r *Record) (*config.Tree, error) {
	var c *content
	err := a.retry(ctx, func() (err error) {
		c, err = a.readContent(ctx, r, nil)
		return err
	})
	if err != nil {
		return nil, err
	}
	return c.tree()
}

func (a *Acceptor) headWithRetry(ctx context.Context) (head *Head, index uint64, err error) {
	err = a.retry(ctx, func() (err error) {
		head, index, err = a.readHead(ctx)
		return err
	})
	return head, index, err
}

// retry repeats f while it fails by the store, with growing jittered delays, until ctx ends. f must
// be idempotent.
func (a *Acceptor) retry(ctx context.Context, f func() error) error {
	delay := initialRetryDelay
	for {
		err := f()
		if err == nil || !isTransient(err) {
			return err
		}
		if !a.waitBackoff(ctx, &delay) {
			return err
		}
	}
}

// waitBackoff waits for a jittered delay and doubles it. It reports false when ctx ended.
func (a *Acceptor) waitBackoff(ctx context.Context, delay *time.Duration) bool {
	jittered := *delay/2 + time.Duration(a.rand.Int64N(int64(*delay)))
	*delay = min(2**delay, maxRetryDelay)
	select {
	case <-ctx.Done():
		return false
	case <-a.clock.After(jittered):
		return true
	}
}
