package integration

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/revision"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
	"github.com/bilberryline/bilberryline/internal/store"
)

const (
	spreadHosts   = 16
	spreadChanges = 18
	// faultDuration is how long a fault of the store lasts around one change.
	faultDuration = time.Second
	// spreadChangesEnv is an environment variable that overrides spreadChanges, for measurements.
	spreadChangesEnv = "BILBERRY_TEST_CHANGES"
)

// spreadStatus contains the fields of /status on the configuration and the peer traffic.
type spreadStatus struct {
	Revision     uint64    `json:"revision"`
	Hash         string    `json:"hash"`
	InForceSince time.Time `json:"in_force_since"`
	Sent         uint64    `json:"peer_bytes_sent"`
	Received     uint64    `json:"peer_bytes_received"`
}

// spreadTest applies changes to a cluster and observes which revisions are in force on the hosts.
type spreadTest struct {
	t        *testing.T
	cluster  *harness.Cluster
	acceptor *revision.Acceptor
	tree     *config.Tree
	newest   *revision.Record
	lastSeen map[string]uint64
}

// TestChangesReachAllHostsThroughStoreFailures applies changes while the store is slow, frozen, down, stale or loses
// responses. It logs the time until each change is in force on all hosts.
func TestChangesReachAllHostsThroughStoreFailures(t *testing.T) {
	is := is.New(t)
	c := startFromStore(t, spreadHosts)
	is.NoErr(c.Apply(t.Context(), "first"))
	is.NoErr(c.StartEntries(t.Context()))
	tree, err := config.ReadTree(c.ConfigDir())
	is.NoErr(err)
	s := &spreadTest{
		t: t, cluster: c, tree: tree, lastSeen: map[string]uint64{}, newest: &revision.Record{Revision: 1},
		acceptor: revision.NewAcceptor(store.NewConsul(store.Config{Address: c.Platform.StoreURL, CallTimeout: faultDuration}),
			clock.System{}, rand.New(rand.NewPCG(1, 1))),
	}
	s.waitInForce()
	s.logIdleTraffic()
	modes := []kv.FaultMode{kv.NoFault, kv.Slow, kv.LoseResponses, kv.Freeze, kv.Outage, kv.Stale}
	took := map[kv.FaultMode][]time.Duration{}
	began, before := time.Now(), s.peerBytes()
	calls := s.storeCalls()
	changes := changeCount()
	for n := range changes {
		mode := modes[n%len(modes)]
		took[mode] = append(took[mode], s.applyChange(n, mode))
	}
	seconds := time.Since(began).Seconds()
	for _, mode := range modes {
		slices.Sort(took[mode])
		m := took[mode]
		t.Logf("fault=%s changes=%d median=%v max=%v", mode, len(m), m[len(m)/2], m[len(m)-1])
	}
	t.Logf("changes=%d span=%.0fs store-calls/change=%.1f bytes/s/host=%.0f (all peer traffic)", changes, seconds,
		float64(s.storeCalls()-calls)/float64(changes), float64(s.peerBytes()-before)/spreadHosts/seconds)
}

func changeCount() int {
	n, err := strconv.Atoi(os.Getenv(spreadChangesEnv))
	if err != nil || n <= 0 {
		return spreadChanges
	}
	return n
}

func (s *spreadTest) setFault(f kv.Fault) {
	s.t.Helper()
	if err := s.cluster.Platform.SetStoreFault(s.t.Context(), f); err != nil {
		s.t.Fatal(err)
	}
}

// applyChange applies one change during a fault of the store. It returns the time from its acceptance until it is
// in force on all hosts. Faults that prevent the acceptance of changes begin after it.
func (s *spreadTest) applyChange(n int, mode kv.FaultMode) time.Duration {
	half := 0.5
	begin := func() { s.setFault(kv.Fault{Mode: mode, DelayMS: 200}) }
	switch mode {
	case kv.LoseResponses:
		s.setFault(kv.Fault{Mode: mode, Share: &half})
	case kv.Slow, kv.Stale:
		begin()
	}
	s.propose(n)
	accepted := time.Now()
	if mode == kv.Freeze || mode == kv.Outage {
		begin()
	}
	if mode != kv.NoFault {
		time.Sleep(faultDuration)
		s.setFault(kv.Fault{Mode: kv.NoFault})
	}
	return max(0, s.waitInForce().Sub(accepted))
}

func (s *spreadTest) propose(n int) {
	s.t.Helper()
	site := fmt.Sprintf("services: {bookings: {queueLimit: %d}}\n", n+1)
	for name := range s.tree.Overlays {
		s.tree.Overlays[name] = []byte(site)
	}
	r, err := s.acceptor.Apply(s.t.Context(), &revision.Proposal{
		Tree: s.tree, Parent: s.newest.Revision, ChangeID: fmt.Sprintf("change-%d", n), Author: "test",
	})
	if err != nil {
		s.t.Fatal(err)
	}
	if r.Revision != s.newest.Revision+1 {
		s.t.Fatalf("change %d accepted as revision %d after %d", n, r.Revision, s.newest.Revision)
	}
	s.newest = r
}

// waitInForce waits until the newest revision is in force on all hosts. It returns the time at which it came into
// force on the last one.
func (s *spreadTest) waitInForce() time.Time {
	s.t.Helper()
	var last time.Time
	for _, e := range s.cluster.Entries {
		eventually(s.t, fmt.Sprintf("revision %d on %s", s.newest.Revision, e.ID), func() bool {
			status := s.status(e)
			if status.Revision == s.newest.Revision && status.InForceSince.After(last) {
				last = status.InForceSince
			}
			return status.Revision == s.newest.Revision
		})
	}
	return last
}

// status returns the status of a host, or the zero value if the host does not respond. It fails the test if the
// host has reverted to an older revision or has a revision with a wrong hash in force.
func (s *spreadTest) status(e *harness.Entry) spreadStatus {
	s.t.Helper()
	var status spreadStatus
	if e.Status(s.t.Context(), &status) != nil {
		return spreadStatus{}
	}
	if status.Revision < s.lastSeen[e.ID] {
		s.t.Fatalf("%s reverted from revision %d to %d", e.ID, s.lastSeen[e.ID], status.Revision)
	}
	s.lastSeen[e.ID] = status.Revision
	if status.Revision == s.newest.Revision && s.newest.Hash != "" && status.Hash != s.newest.Hash {
		s.t.Fatalf("%s has a revision with hash %s in force, want %s", e.ID, status.Hash, s.newest.Hash)
	}
	return status
}

// peerBytes returns the number of bytes that all hosts have sent and received on peer connections.
func (s *spreadTest) peerBytes() (sum uint64) {
	for _, e := range s.cluster.Entries {
		status := s.status(e)
		sum += status.Sent + status.Received
	}
	return sum
}

func (s *spreadTest) storeCalls() uint64 {
	s.t.Helper()
	counts, err := s.cluster.Platform.StoreCalls(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	return counts.Reads + counts.Writes
}

func (s *spreadTest) logIdleTraffic() {
	const span = 5 * time.Second
	calls, before := s.storeCalls(), s.peerBytes()
	time.Sleep(span)
	s.t.Logf("idle: store-calls/minute=%.0f bytes/s/host=%.0f (all peer traffic)",
		float64(s.storeCalls()-calls)*time.Minute.Seconds()/span.Seconds(),
		float64(s.peerBytes()-before)/spreadHosts/span.Seconds())
}
