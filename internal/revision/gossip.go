package revision

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
)

const (
	// gossipInterval is the mean time between exchanges with a random host.
	gossipInterval = time.Second
	// localFanout and remoteFanout are the numbers of hosts of the local region and of each other
	// region to which an adopted revision is announced.
	localFanout  = 4
	remoteFanout = 1
	// bootstrapPeers is the number of hosts queried at start.
	bootstrapPeers = 5
	// bootstrapTimeout is the longest wait for other hosts to appear in the membership.
	bootstrapTimeout      = time.Second
	bootstrapPollInterval = 50 * time.Millisecond
)

// gossipLoop periodically exchanges held revisions with a random host. It reaches hosts that an
// announcement missed.
func (f *Follower) gossipLoop(ctx context.Context) {
	for f.sleep(ctx, f.jitter(gossipInterval)) {
		f.gossip(ctx)
	}
}

// gossip exchanges held revisions with one random host.
func (f *Follower) gossip(ctx context.Context) {
	hosts := f.otherHosts()
	if len(hosts) == 0 {
		return
	}
	f.shuffle(hosts)
	f.exchange(ctx, hosts[0])
}

// exchange sends the record of the held revision to host and adds the one that host holds to the
// offers. It ignores failures because a later exchange makes up for them.
func (f *Follower) exchange(ctx context.Context, host string) {
	resp, err := f.call(ctx, host, &revisionpb.Request{Held: f.heldRecord().toProto()})
	if err != nil {
		return
	}
	f.addOffer(host, recordFromProto(resp.GetHeld()))
}

// announce starts an exchange with a few hosts of each region and does not wait for their responses.
func (f *Follower) announce(ctx context.Context) {
	for _, host := range f.announcementPeers() {
		f.spawn(func() { f.exchange(ctx, host) })
	}
}

// announcementPeers chooses the hosts to which an adopted revision is announced.
func (f *Follower) announcementPeers() []string {
	if f.cfg.Peers == nil {
		return nil
	}
	regions := map[string][]string{}
	for _, m := range f.cfg.View().Members {
		if m.ID != f.cfg.Self && m.State != member.Dead {
			regions[m.Region] = append(regions[m.Region], m.ID)
		}
	}
	var chosen []string
	for region, hosts := range regions {
		fanout := remoteFanout
		if region == f.cfg.Region {
			fanout = localFanout
		}
		f.shuffle(hosts)
		chosen = append(chosen, hosts[:min(fanout, len(hosts))]...)
	}
	return chosen
}

// otherHosts returns the ids of all members but this host that are not dead.
func (f *Follower) otherHosts() []string {
	if f.cfg.Peers == nil {
		return nil
	}
	var hosts []string
	for _, m := range f.cfg.View().Members {
		if m.ID != f.cfg.Self && m.State != member.Dead {
			hosts = append(hosts, m.ID)
		}
	}
	return hosts
}

// bootstrap queries some hosts before the store is read. A store that returns old data then can't
// bring this host to an older revision than the others have.
func (f *Follower) bootstrap(ctx context.Context) {
	hosts := f.waitForHosts(ctx)
	f.shuffle(hosts)
	var group sync.WaitGroup
	for _, host := range hosts[:min(bootstrapPeers, len(hosts))] {
		group.Go(func() { f.exchange(ctx, host) })
	}
	group.Wait()
	f.fetchOffers(ctx)
}

// waitForHosts returns the other hosts as soon as there are any, or after bootstrapTimeout.
func (f *Follower) waitForHosts(ctx context.Context) []string {
	if f.cfg.Peers == nil {
		return nil
	}
	deadline := f.cfg.Clock.Now().Add(bootstrapTimeout)
	for {
		hosts := f.otherHosts()
		if len(hosts) > 0 || f.cfg.Clock.Now().After(deadline) {
			return hosts
		}
		if !f.sleep(ctx, bootstrapPollInterval) {
			return nil
		}
	}
}
