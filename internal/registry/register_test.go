package registry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// When all hosts of a deployment are killed and start again within a second, each finds its record still in
// the store. Writing the record again would cost two calls per host.
func TestRestartedHostTakesOverItsRecord(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	existing := Host{ID: "h1", Site: "a", Address: "10.0.0.1:7660", Lease: Lease{ID: 7}}
	s.hosts["h1"] = existing
	restart := func(h Host) *Registry {
		return New(Config{Self: h, Store: s.forHost(h.ID), Events: testEvents(), Compile: compileVersion})
	}
	r := restart(Host{ID: "h1", Site: "a", Address: "10.0.0.1:7660"})
	r.takeOverRecord(context.Background())
	is.Equal(r.currentLease(), Lease{ID: 7})
	is.NoErr(r.ensureRegistered(context.Background(), callTimeout))
	is.Equal(s.hosts["h1"], existing) // renewed, not written again

	moved := restart(Host{ID: "h1", Site: "a", Address: "10.0.0.9:7660"})
	moved.takeOverRecord(context.Background())
	is.Equal(moved.currentLease(), Lease{})
	is.NoErr(moved.ensureRegistered(context.Background(), callTimeout))
	is.Equal(s.hosts["h1"].Address, "10.0.0.9:7660")
}

// partialHostsStore is a store that fails after the first part of the list of hosts.
type partialHostsStore struct{ Store }

func (s partialHostsStore) Hosts(context.Context, bool, time.Duration) ([]Host, error) {
	return []Host{{ID: "h2", Address: "10.0.0.2:7660"}}, errRefused
}

// When all hosts start at the same time and the store is slow, reading the list of hosts may fail halfway. A host
// that discarded the partial list knew no other host to query for 20 s (soak, 200 hosts, seed 201).
func TestPartialHostListIsMerged(t *testing.T) {
	is := is.New(t)
	r := New(Config{Self: Host{ID: "h1"}, Store: partialHostsStore{}, Events: testEvents(), Compile: compileVersion})
	r.takeOverRecord(context.Background())
	_, known := r.Address("h2")
	is.True(known)
}
