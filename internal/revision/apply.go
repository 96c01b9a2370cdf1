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

// Apply accepts a proposal. It writes the content first and then accepts it by a compare-and-swap on
// the head. If the response to that is lost, it reads the head to find the outcome.
//
// Apply returns config.DeclarationErrors for invalid content, ErrNoChange for content that equals the
// newest revision, a *ConflictError when other changes were accepted since the proposal's parent, and
// an *OutcomeUnknownError when the outcome could not be determined, in most cases because ctx ended.
// After any other error the proposal was not accepted.
func (a *Acceptor) Apply(ctx context.Context, p *Proposal) (*Record, error) {
	head, index, err := a.readHeadWithRetry(ctx)
	if err != nil {
		return nil, err
	}
	if accepted := head.byChangeID(p.ChangeID); accepted != nil {
		return accepted, nil
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

// writeContent stores the chunks and the manifest of c and returns their generation. Keys contain the
// hash of their value, so a repeated write is harmless.
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
			generation++ // store all chunks again
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

// isDamaged reports whether err means that stored content is missing or doesn't match its hash.
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

// collectGenerations deletes the generations that no record refers to and returns the lowest one that
// may still have keys. On a failure the next change deletes the rest.
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

// swapHead accepts the proposal by replacing the head. A compare-and-swap succeeds at most once for an
// index, so repeating it after a lost response can't accept the change twice.
func (a *Acceptor) swapHead(ctx context.Context, next *Head, index uint64, p *Proposal) (*Record, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	mayBeAccepted := false
	delay := initialRetryDelay
	for {
		swapped, err := a.kv.CompareAndSwap(ctx, HeadKey, value, index)
		mayBeAccepted = mayBeAccepted || err == nil || store.IsOutcomeUnknown(err)
		if err == nil && swapped {
			return next.Newest(), nil
		}
		if err != nil && !isTransient(err) && !mayBeAccepted {
			return nil, err
		}
		record, resolved, readErr := a.resolveOutcome(ctx, index, p)
		if resolved {
			return record, readErr
		}
		if !a.waitBackoff(ctx, &delay) {
			return nil, timeoutError(mayBeAccepted, p, firstError(err, readErr, ctx.Err()))
		}
	}
}

// resolveOutcome reads the head to find whether the change was accepted. The outcome is resolved when
// the head contains the change or is no longer at the index at which it could have been accepted.
func (a *Acceptor) resolveOutcome(ctx context.Context, index uint64, p *Proposal) (r *Record, resolved bool, err error) {
	head, currentIndex, err := a.readHead(ctx)
	if err != nil {
		return nil, false, err
	}
	if accepted := head.byChangeID(p.ChangeID); accepted != nil {
		return accepted, true, nil
	}
	if currentIndex == index {
		return nil, false, nil
	}
	if records := head.Records; len(records) == maxHistory && records[maxHistory-1].Revision > p.Parent+1 {
		return nil, true, &OutcomeUnknownError{ChangeID: p.ChangeID, Err: ErrNotInHistory}
	}
	return nil, true, &ConflictError{Parent: p.Parent, AcceptedSince: head.newerThan(p.Parent)}
}

// timeoutError returns the error for a change whose context ended before its outcome was resolved.
func timeoutError(mayBeAccepted bool, p *Proposal, err error) error {
	if !mayBeAccepted {
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

// isTransient reports whether err is a failure of the store after which a retry may succeed.
func isTransient(err error) bool {
	if errors.Is(err, store.ErrTooLarge) || isPermanentStatus(err) {
		return false
	}
	var notApplied *store.NotAppliedError
	return store.IsOutcomeUnknown(err) || errors.As(err, &notApplied)
}

// isPermanentStatus reports whether err is an HTTP status that a retry of the same call would get again.
func isPermanentStatus(err error) bool {
	var status *store.StatusError
	if !errors.As(err, &status) || status.Status >= http.StatusInternalServerError {
		return false
	}
	return status.Status != http.StatusTooManyRequests && status.Status != http.StatusRequestTimeout
}
