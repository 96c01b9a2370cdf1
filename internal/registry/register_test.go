package registry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: all hosts of a deployment are killed and start again within a second. Each found its record
// still in the store and wrote it anew, two calls a host.
func TestRestartedHostTakesItsRecordOver(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	left := Host{ID: "h1", Site: "a", Address: "10.0.0.1:7660", Lease: 7}
	s.hosts["h1"] = left
	restarted := func(h Host) *Registry {
		return New(Config{Self: h, Store: s.forHost(h.ID), Events: testEvents(), Compile: compileVersion})
	}
	r := restarted(Host{ID: "h1", Site: "a", Address: "10.0.0.1:7660"})
	r.takeOverRecord(context.Background())
	is.Equal(r.currentLease(), Lease(7))
	is.NoErr(r.ensureRegistered(context.Background()))
	is.Equal(s.hosts["h1"], left) // renewed, not written

	moved := restarted(Host{ID: "h1", Site: "a", Address: "10.0.0.9:7660"})
	moved.takeOverRecord(context.Background())
	is.Equal(moved.currentLease(), Lease(0))
	is.NoErr(moved.ensureRegistered(context.Background()))
	is.Equal(s.hosts["h1"].Address, "10.0.0.9:7660")
}

// partialHostsStore is a store whose list of hosts ends with an error.
type partialHostsStore struct{ Store }

func (s partialHostsStore) Hosts(context.Context, time.Duration) ([]Host, error) {
	return []Host{{ID: "h2", Address: "10.0.0.2:7660"}}, errRefused
}

// Pattern: all hosts start at once beside a slow store. One whose list of hosts broke off knew nobody that
// it could have asked, for 20 s (soak, 200 hosts, seed 201).
func TestPartOfTheListOfHostsFindsOthers(t *testing.T) {
	is := is.New(t)
	r := New(Config{Self: Host{ID: "h1"}, Store: partialHostsStore{}, Events: testEvents(), Compile: compileVersion})
	r.takeOverRecord(context.Background())
	_, known := r.Address("h2")
	is.True(known)
}
