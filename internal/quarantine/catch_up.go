package quarantine

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
)

const (
	// catchUpFanout is the number of members that a host that has started asks for their evidence at a time.
	catchUpFanout = 3
	// maxCatchUpRounds is the number of times that it asks further members, if none of the earlier ones had caught up.
	maxCatchUpRounds = 4
	// catchUpHold is the time for which requests wait for the first answers. It is a few round trips between regions; when
	// all hosts have restarted, nobody has anything to tell.
	catchUpHold = 50 * time.Millisecond
	// catchUpPause is the pause between two rounds. After a restart of many hosts, most are not up yet at the first.
	catchUpPause = 100 * time.Millisecond
)

// catchUp is the state of a host that gets the evidence of the others after its start. A host that restarts keeps its
// record in the store, so that the others don't notice that it has lost its evidence.
type catchUp struct {
	due  chan struct{} // triggers the questions
	done chan struct{} // closed when they have ended
	// holding is set until the first members asked have answered or failed; it lets Acquire skip the lock. held is closed
	// then.
	holding atomic.Bool
	held    chan struct{}

	// The following fields are guarded by Tracker.mu.
	running  bool
	begun    bool
	holdTill time.Time // requests are held until then at most
}

func newCatchUp() *catchUp {
	return &catchUp{due: make(chan struct{}, 1), done: make(chan struct{}), held: make(chan struct{})}
}

// startCatchUp lets the host catch up as soon as it knows another member.
func (t *Tracker) startCatchUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.catchUp.running = true
	t.beginCatchUpLocked(t.cfg.Clock.Now())
}

func (t *Tracker) beginCatchUpLocked(now time.Time) {
	c := t.catchUp
	if !c.running || c.begun || len(t.members) == 0 {
		return
	}
	c.begun, c.holdTill = true, now.Add(catchUpHold)
	c.holding.Store(true)
	c.due <- struct{}{}
}

// awaitCatchUp waits until the first members asked have answered, for catchUpHold at most.
func (t *Tracker) awaitCatchUp(ctx context.Context) {
	if !t.catchUp.holding.Load() {
		return
	}
	t.mu.Lock()
	left := t.catchUp.holdTill.Sub(t.cfg.Clock.Now())
	t.mu.Unlock()
	if left <= 0 {
		return
	}
	select {
	case <-t.catchUp.held:
	case <-ctx.Done():
	case <-t.cfg.Clock.After(left):
	}
}

// runCatchUp asks other members for their evidence until one that has caught up itself has answered. If none does, the
// host has what there is.
func (t *Tracker) runCatchUp(ctx context.Context) {
	defer close(t.catchUp.done)
	var asked []string
	for round := range maxCatchUpRounds {
		members := t.unaskedMembers(asked)
		asked = append(asked, members...)
		caughtUp := len(members) == 0 || t.askForEvidence(ctx, members)
		if round == 0 {
			t.catchUp.holding.Store(false)
			close(t.catchUp.held)
		}
		if caughtUp {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-t.cfg.Clock.After(catchUpPause):
		}
	}
	t.cfg.Events.Record(event.QuarantineCaughtUp, event.Fields{Detail: strconv.Itoa(t.Stats().Crashes) + " crashes"})
}

// unaskedMembers returns up to catchUpFanout random members that were not asked before.
func (t *Tracker) unaskedMembers(asked []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := slices.DeleteFunc(slices.Clone(t.members), func(id string) bool { return slices.Contains(asked, id) })
	t.cfg.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(len(members), catchUpFanout)]
}

// askForEvidence merges the evidence of members and reports whether one of them had caught up itself. It returns at the
// first such reply.
func (t *Tracker) askForEvidence(ctx context.Context, members []string) bool {
	replies := make(chan *quarantinepb.SnapshotReply, len(members))
	for _, id := range members {
		go func() {
			q := &quarantinepb.Question{Body: &quarantinepb.Question_Snapshot{Snapshot: &quarantinepb.SnapshotRequest{}}}
			reply, err := t.call(ctx, id, q)
			if err != nil {
				replies <- nil
				return
			}
			t.applyKnown(reply.GetSnapshot().GetReport())
			replies <- reply.GetSnapshot()
		}()
	}
	for range members {
		if (<-replies).GetCaughtUp() {
			return true
		}
	}
	return false
}

func (t *Tracker) handleSnapshotRequest() *quarantinepb.SnapshotReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := &quarantinepb.SnapshotReply{Report: t.snapshotLocked(t.cfg.Clock.Now())}
	select {
	case <-t.catchUp.done:
		reply.CaughtUp = true
	default:
	}
	return reply
}
