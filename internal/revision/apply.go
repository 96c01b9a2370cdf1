package revision

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
	"github.com/bilberryline/bilberryline/internal/store"
)

// Apply accepts a proposal. Contents are written first and one compare-and-swap on the head accepts
// them; a lost answer is resolved by reading the head. Errors: config.DeclarationErrors for a
// content that fails the check, ErrNoChange, *ConflictError when another change came between, and
// *OutcomeUnknownError when ctx ended before the outcome could be found out. After any other error
// the proposal was not accepted.
func (a *Acceptor) Apply(ctx context.Context, p *Proposal) (*Record, error) {
	head, index, err := a.headWithRetry(ctx)
	if err != nil {
		return nil, err
	}
	if done := head.byChangeID(p.ChangeID); done != nil {
		return done, nil
	}
	if head.Revision() != p.Parent {
		return nil, &ConflictError{Parent: p.Parent, AcceptedSince: head.newerThan(p.Parent)}
	}
	if _, err := p.Tree.CompileAll(); err != nil {
		return nil, err
	}
	c, err := newContent(p.Tree)
	if err != nil {
		return nil, err
	}
	if newest := head.Newest(); newest != nil && newest.Hash == c.hexHash() && p.RevisionFloor <= newest.Revision {
		return nil, ErrNoChange
	}
	generation, err := a.writeContent(ctx, head, c)
	if err != nil {
		return nil, err
	}
	record := a.newRecord(head, p, c.hexHash(), generation)
	next := head.withRecord(record)
	next.CollectedBelow = a.collectGenerations(ctx, head)
	return a.swapHead(ctx, next, index, p)
}

func (a *Acceptor) newRecord(head *Head, p *Proposal, hash string, generation uint64) Record {
	r := Record{
		Revision:   max(head.Revision(), p.RevisionFloor) + 1,
		ChangeID:   p.ChangeID,
		Hash:       hash,
		Generation: generation,
		Author:     p.Author,
		Message:    p.Message,
		Time:       a.clock.Now().UTC(),
	}
	if newest := head.Newest(); newest != nil {
		r.Parent = newest.Hash
	}
	return r
}

// writeContent stores the chunks and the manifest of c and returns their generation. Keys are named
// by hash, so a repeated write is harmless.
func (a *Acceptor) writeContent(ctx context.Context, head *Head, c *content) (uint64, error) {
	generation := uint64(1)
	var parent *revisionpb.StoredManifest
	if newest := head.Newest(); newest != nil {
		generation = newest.Generation
		err := a.retry(ctx, func() (err error) {
			_, parent, err = a.readManifest(ctx, newest)
			return err
		})
		if isDamaged(err) {
			parent, err = nil, nil
			generation++
		}
		if err != nil {
			return 0, err
		}
	}
	l := newLayout(c, parent, generation, head.newestGenerationLength() >= maxGenerationRevisions)
	for _, pack := range l.newPacks {
		hash := hashOf(pack)
		if err := a.putIfAbsent(ctx, packKey(l.generation, hash[:]), pack); err != nil {
			return 0, err
		}
	}
	encoded, err := proto.Marshal(l.stored)
	if err != nil {
		return 0, err
	}
	return l.generation, a.putIfAbsent(ctx, manifestKey(l.generation, c.hexHash()), encoded)
}

// isDamaged reports content that is missing or fails its hash.
func isDamaged(err error) bool {
	var corrupt *CorruptError
	return errors.Is(err, ErrUnavailable) || errors.As(err, &corrupt)
}

func (a *Acceptor) putIfAbsent(ctx context.Context, key string, value []byte) error {
	return a.retry(ctx, func() error {
		_, err := store.PutIfAbsent(ctx, a.kv, key, value)
		return err
	})
}

// collectGenerations removes generations that no record refers to and returns the lowest that may still have
// keys. A failure leaves the rest to the next change.
func (a *Acceptor) collectGenerations(ctx context.Context, head *Head) uint64 {
	generation := head.CollectedBelow
	for generation < head.oldestGeneration() {
		if a.kv.DeleteTree(ctx, generationKey(generation)) != nil {
			break
		}
		generation++
	}
	return generation
}

// swapHead swaps the head. The swap can succeed once only at an index, so repeating it after a lost
// answer can't swapHead the change twice.
func (a *Acceptor) swapHead(ctx context.Context, next *Head, index uint64, p *Proposal) (*Record, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	sent := false
	delay := initialRetryDelay
	for {
		swapped, err := a.kv.CompareAndSwap(ctx, HeadKey, value, index)
		sent = sent || err == nil || store.IsOutcomeUnknown(err)
		if err == nil && swapped {
			return next.Newest(), nil
		}
		if err != nil && !isTransient(err) && !sent {
			return nil, err
		}
		record, settled, readErr := a.resolveOutcome(ctx, index, p)
		if settled {
			return record, readErr
		}
		if !a.waitBackoff(ctx, &delay) {
			return nil, timeoutError(sent, p, firstError(err, readErr, ctx.Err()))
		}
	}
}

// resolveOutcome reads whether the change was accepted. It is settled when the head shows the change, or
// has moved past the index at which it could have been accepted.
func (a *Acceptor) resolveOutcome(ctx context.Context, index uint64, p *Proposal) (r *Record, settled bool, err error) {
	head, now, err := a.readHead(ctx)
	if err != nil {
		return nil, false, err
	}
	if done := head.byChangeID(p.ChangeID); done != nil {
		return done, true, nil
	}
	if now == index {
		return nil, false, nil
	}
	if oldest := head.Records; len(oldest) == maxHistory && oldest[maxHistory-1].Revision > p.Parent+1 {
		return nil, true, &OutcomeUnknownError{ChangeID: p.ChangeID, Err: ErrNotInHistory}
	}
	return nil, true, &ConflictError{Parent: p.Parent, AcceptedSince: head.newerThan(p.Parent)}
}

// timeoutError is the error of a change whose time ran out.
func timeoutError(sent bool, p *Proposal, err error) error {
	if !sent {
		return err
	}
	return &OutcomeUnknownError{ChangeID: p.ChangeID, Err: err}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// isTransient reports a failure of the store that a later attempt may not meet.
func isTransient(err error) bool {
	if errors.Is(err, store.ErrTooLarge) || isPermanentStatus(err) {
		return false
	}
	var notDone *store.NotAppliedError
	return store.IsOutcomeUnknown(err) || errors.As(err, &notDone)
}

// isPermanentStatus reports an answer that the same call will get again.
func isPermanentStatus(err error) bool {
	var status *store.StatusError
	if !errors.As(err, &status) || status.Status >= http.StatusInternalServerError {
		return false
	}
	return status.Status != http.StatusTooManyRequests && status.Status != http.StatusRequestTimeout
}
