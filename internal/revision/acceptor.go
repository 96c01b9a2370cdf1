package revision

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/store"
)

// Backoff between attempts of a call to the store.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Acceptor turns proposals into accepted revisions. It is safe for concurrent use, also by several
// processes that share a store, because the store's compare-and-swap orders their changes.
type Acceptor struct {
	storage
	clock clock.Clock
	rand  *rand.Rand
}

// NewAcceptor returns an acceptor that writes to kv. rnd jitters the backoff and must not be shared.
func NewAcceptor(kv store.KV, clk clock.Clock, rnd *rand.Rand) *Acceptor {
	return &Acceptor{storage: storage{kv: kv}, clock: clk, rand: rnd}
}

// Proposal is a change to be accepted.
type Proposal struct {
	// Tree is the complete new content.
	Tree *config.Tree
	// Parent is the revision that the change is based on. It is 0 for the first change.
	Parent uint64
	// ChangeID identifies the change. A change that is proposed twice is accepted at most once.
	ChangeID string
	// Author and Message are recorded in the history.
	Author  string
	Message string
	// RevisionFloor is a number that the new revision's number must exceed. It is set when the store
	// was rolled back to a revision older than the one in force.
	RevisionFloor uint64
}

// Head returns the head, which lists the accepted revisions.
func (a *Acceptor) Head(ctx context.Context) (*Head, error) {
	head, _, err := a.readHeadWithRetry(ctx)
	return head, err
}

// Read returns the content of the accepted revision r.
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

func (a *Acceptor) readHeadWithRetry(ctx context.Context) (head *Head, index uint64, err error) {
	err = a.retry(ctx, func() (err error) {
		head, index, err = a.readHead(ctx)
		return err
	})
	return head, index, err
}

// retry repeats f with jittered exponential backoff while it fails with a transient error of the
// store. It stops when ctx ends. f must be idempotent.
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

// waitBackoff waits for a jittered delay and doubles *delay, up to maxRetryDelay. It reports false
// when ctx ended.
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
