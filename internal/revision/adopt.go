package revision

import (
	"context"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/event"
)

// adopt stores c, the complete content of r, as the held revision and announces it to other hosts.
// If c compiles, adopt also puts it in force. A revision that is not newer than the held one is ignored.
func (f *Follower) adopt(ctx context.Context, r *Record, c *content) {
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	if r.Revision <= f.heldRevision() {
		return
	}
	f.held.Store(&heldContent{record: *r, content: c})
	f.announce(ctx)
	snapshot, err := f.compile(c)
	if err != nil {
		f.reportOnce(event.ConfigRefused, r, event.Fields{Detail: err.Error()})
		return
	}
	snapshot.Revision, snapshot.Hash = r.Revision, r.Hash
	f.current.Store(snapshot)
	f.publish(snapshot)
	f.cfg.Events.Record(event.ConfigInForce, event.Fields{Revision: r.Revision, Detail: r.Hash})
}

func (f *Follower) compile(c *content) (*config.Snapshot, error) {
	tree, err := c.tree()
	if err != nil {
		return nil, err
	}
	return tree.CompileCanonical(f.cfg.Site)
}
