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

// storeSource names the store in events. No host has an empty id.
const storeSource = ""

const (
	// callTimeout bounds one exchange with another host.
	callTimeout = time.Second
	// fetchTimeout bounds reading one revision from the store.
	fetchTimeout = 10 * time.Second
	// maxRequestedChunks is the number of chunks asked for in one request.
	maxRequestedChunks = 256
)

// addOffer notes that another host has a revision. It is ignored unless newer than what is held.
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

// reportFork reports two contents under one revision number.
func (f *Follower) reportFork(source string, r *Record) {
	held := f.heldRecord()
	if r == nil || held == nil || r.Revision != held.Revision || r.Hash == held.Hash {
		return
	}
	f.reportOnce(event.ConfigFork, r, event.Fields{Peer: source, Detail: "held " + held.Hash + ", offered " + r.Hash})
}

// takeOffer removes and returns the newest offer that is still of use; equal ones at random.
func (f *Follower) takeOffer() (host string, r Record, ok bool) {
	held := f.heldRevision()
	f.mu.Lock()
	defer f.mu.Unlock()
	var best []string
	for s, offered := range f.offers {
		if offered.Revision <= held {
			delete(f.offers, s)
			continue
		}
		if len(best) > 0 && offered.Revision > f.offers[best[0]].Revision {
			best = best[:0]
		}
		if len(best) == 0 || offered.Revision == f.offers[best[0]].Revision {
			best = append(best, s)
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

// fetchLoop fetches what other hosts offer.
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

// reportPullFailed raises an event, unless the other host has merely moved on.
func (f *Follower) reportPullFailed(source string, r *Record, err error) {
	if errors.Is(err, ErrUnavailable) && source != storeSource {
		return
	}
	f.cfg.Events.Record(event.ConfigPullFailed, event.Fields{Peer: source, Revision: r.Revision, Detail: err.Error()})
}

// reusableContent returns the content that is held, or nil.
func (f *Follower) reusableContent() *content {
	if h := f.held.Load(); h != nil {
		return h.content
	}
	return nil
}

// pullFromStore fetches and adopts a revision that the store offers. It reports whether it is held.
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
	for wanted := c.missingChunks(); len(wanted) > 0; wanted = c.missingChunks() {
		if err := f.fetchChunks(ctx, host, c, wanted); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// fetchChunks asks for some of wanted and adds what arrives to c. It fails when nothing arrives.
func (f *Follower) fetchChunks(ctx context.Context, host string, c *content, wanted []Hash) error {
	req := &revisionpb.Request{}
	asked := map[Hash]bool{}
	for _, hash := range wanted[:min(len(wanted), maxRequestedChunks)] {
		asked[hash] = true
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
		if !asked[hash] {
			return &CorruptError{Part: "chunk", Source: host}
		}
		c.chunks[hash] = chunk
	}
	return nil
}

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

// shuffle orders hosts at random.
func (f *Follower) shuffle(hosts []string) {
	f.withRand(func(r *rand.Rand) {
		r.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	})
}
