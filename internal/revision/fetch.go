package revision

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
)

// storeSource is the peer name that stands for the store in events. No host has an empty id.
const storeSource = ""

const (
	// callTimeout bounds one call to another host.
	callTimeout = time.Second
	// fetchTimeout bounds the read of one revision from the store.
	fetchTimeout = 10 * time.Second
	// maxRequestedChunks is the largest number of chunks requested in one call.
	maxRequestedChunks = 256
)

// addOffer records that another host has revision r. It drops a revision that is not newer than the
// held one, but reports a fork.
func (f *Follower) addOffer(host string, r *Record) {
	if r == nil || r.Revision <= f.heldRevision() {
		f.reportFork(host, r)
		return
	}
	f.mu.Lock()
	if known, have := f.offers[host]; !have || known.Revision < r.Revision {
		f.offers[host] = *r
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// reportFork records an event when r has the held revision's number but a different hash.
func (f *Follower) reportFork(source string, r *Record) {
	held := f.heldRecord()
	if r == nil || held == nil || r.Revision != held.Revision || r.Hash == held.Hash {
		return
	}
	f.reportOnce(event.ConfigFork, r, event.Fields{Peer: source, Detail: "held " + held.Hash + ", offered " + r.Hash})
}

// takeOffer removes and returns the newest offer. It drops offers that are not newer than the held
// revision and chooses at random among hosts that offer the same revision.
func (f *Follower) takeOffer() (host string, r Record, ok bool) {
	held := f.heldRevision()
	f.mu.Lock()
	defer f.mu.Unlock()
	var best []string
	for h, offered := range f.offers {
		if offered.Revision <= held {
			delete(f.offers, h)
			continue
		}
		if len(best) > 0 && offered.Revision > f.offers[best[0]].Revision {
			best = best[:0]
		}
		if len(best) == 0 || offered.Revision == f.offers[best[0]].Revision {
			best = append(best, h)
		}
	}
	if len(best) == 0 {
		return "", Record{}, false
	}
	slices.Sort(best)
	host = best[f.cfg.Rand.IntN(len(best))]
	r = f.offers[host]
	delete(f.offers, host)
	return host, r, true
}

// fetchLoop fetches the revisions that other hosts offer until ctx ends.
func (f *Follower) fetchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.fetchOffers(ctx)
		select {
		case <-ctx.Done():
		case <-f.wake:
		}
	}
}

// fetchOffers fetches offered revisions, newest first, until no offer is left.
func (f *Follower) fetchOffers(ctx context.Context) {
	for ctx.Err() == nil {
		host, r, ok := f.takeOffer()
		if !ok {
			return
		}
		c, err := f.fetchFromPeer(ctx, host, &r)
		if err != nil {
			f.reportPullFailed(host, &r, err)
			continue
		}
		f.adopt(ctx, &r, c)
	}
}

// reportPullFailed records an event. It ignores ErrUnavailable from a host, because that host may have
// replaced the revision by a newer one.
func (f *Follower) reportPullFailed(source string, r *Record, err error) {
	if errors.Is(err, ErrUnavailable) && source != storeSource {
		return
	}
	f.cfg.Events.Record(event.ConfigPullFailed, event.Fields{Peer: source, Revision: r.Revision, Detail: err.Error()})
}

// reusableContent returns the held content, whose chunks need not be fetched again, or nil.
func (f *Follower) reusableContent() *content {
	if h := f.held.Load(); h != nil {
		return h.content
	}
	return nil
}

// pullFromStore fetches revision r from the store and adopts it. It reports whether the fetch succeeded.
func (f *Follower) pullFromStore(ctx context.Context, r *Record) bool {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c, err := f.storage.readContent(fetchCtx, r, f.reusableContent())
	if err != nil {
		f.reportPullFailed(storeSource, r, err)
		return false
	}
	f.adopt(ctx, r, c)
	return true
}

// fetchFromPeer returns the complete content of r, fetched from host except for chunks held already.
func (f *Follower) fetchFromPeer(ctx context.Context, host string, r *Record) (*content, error) {
	resp, err := f.call(ctx, host, &revisionpb.Request{Manifest: r.toProto().GetHash()})
	if err != nil {
		return nil, err
	}
	f.addOffer(host, recordFromProto(resp.GetHeld()))
	if len(resp.GetManifest()) == 0 {
		return nil, ErrUnavailable
	}
	c, err := parseManifest(resp.GetManifest(), r.Hash, host)
	if err != nil {
		return nil, err
	}
	c.reuseChunks(f.reusableContent())
	for missing := c.missingChunks(); len(missing) > 0; missing = c.missingChunks() {
		if err := f.fetchChunks(ctx, host, c, missing); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// fetchChunks requests up to maxRequestedChunks of missing and adds the received chunks to c. It
// returns ErrUnavailable when host returns no chunk.
func (f *Follower) fetchChunks(ctx context.Context, host string, c *content, missing []Hash) error {
	req := &revisionpb.Request{}
	requested := map[Hash]bool{}
	for _, hash := range missing[:min(len(missing), maxRequestedChunks)] {
		requested[hash] = true
		req.Chunks = append(req.Chunks, hash[:])
	}
	resp, err := f.call(ctx, host, req)
	if err != nil {
		return err
	}
	if len(resp.GetChunks()) == 0 {
		return ErrUnavailable
	}
	for _, chunk := range resp.GetChunks() {
		hash := hashOf(chunk)
		if !requested[hash] {
			return &CorruptError{Part: "chunk", Source: host}
		}
		c.chunks[hash] = chunk
	}
	return nil
}

// call sends a request to host and records the time of the response.
func (f *Follower) call(ctx context.Context, host string, req *revisionpb.Request) (*revisionpb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp := &revisionpb.Response{}
	if err := f.cfg.Peers.Call(ctx, host, Method, req, resp); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.lastResponse = f.cfg.Clock.Now()
	f.mu.Unlock()
	return resp, nil
}

// shuffle permutes hosts at random.
func (f *Follower) shuffle(hosts []string) {
	f.withRand(func(r *rand.Rand) {
		r.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	})
}
