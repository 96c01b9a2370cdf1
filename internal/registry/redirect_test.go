package registry

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
)

// newServingRegistry returns a registry in region "r0" that knows the given number of hosts in each of two regions.
func newServingRegistry(hostsPerRegion int) *Registry {
	c := clock.NewManual(time.Unix(1000, 0))
	r := New(Config{Self: Host{ID: "self", Region: "r0", Site: "r0-0"}, Events: testEvents(), Compile: compileVersion, Clock: c})
	b := Batch{Position: at(1000), ConfirmedAt: c.Now()}
	for i := range hostsPerRegion {
		for region := range 2 {
			b.Hosts = append(b.Hosts, Host{ID: fmt.Sprintf("r%d-h%d", region, i), Region: fmt.Sprintf("r%d", region), Revision: at(uint64(1 + i))})
		}
	}
	r.Merge(b)
	return r
}

// serve makes the registry serve a host, if it doesn't pass it on.
func (r *Registry) serve(h Host) (passedOn Host, ok bool) {
	req := &registrypb.Follow{Self: HostToProto(&h)}
	if to, ok := r.redirect(req); ok {
		return to, true
	}
	sub := r.subscribe(at(0))
	r.nameSubscriber(sub, h)
	r.nextUpdate(sub)
	return Host{}, false
}

// All hosts of a region that don't know each other yet turned to the same host abroad, and each got the whole state.
func TestFollowersOfAnotherRegionArePassedOn(t *testing.T) {
	is := is.New(t)
	r := newServingRegistry(10)
	relays := r.regionRelaysWith(r.View().Hosts["r1-h0"])
	is.Equal(len(relays), relaysPerRegion)
	served := map[string]bool{}
	for i := range 10 {
		h := r.View().Hosts[fmt.Sprintf("r1-h%d", i)]
		to, passedOn := r.serve(h)
		if !passedOn {
			served[h.ID] = true
			continue
		}
		is.True(served[to.ID] && to.Region == "r1")
	}
	for _, id := range relays {
		is.True(served[id]) // also if others came first
	}
	is.True(len(served) <= 2*relaysPerRegion)
	stranger := Host{ID: "r1-stranger", Region: "r1"}
	_, passedOn := r.redirect(&registrypb.Follow{Self: HostToProto(&stranger)})
	is.True(passedOn)
	_, passedOn = r.redirect(&registrypb.Follow{Self: HostToProto(&stranger), NoRedirect: true})
	is.True(!passedOn) // it could not follow the other host
	_, passedOn = r.redirect(&registrypb.Follow{})
	is.True(!passedOn) // a build that follows no redirects
}

// A host to which all others of its region turn was the source of a hundred.
func TestHostWithManyFollowersPassesOthersOn(t *testing.T) {
	is := is.New(t)
	r := newServingRegistry(100)
	limit, served := maxFollowers(200), 0
	for i := range 100 {
		h := r.View().Hosts[fmt.Sprintf("r0-h%d", i)]
		isRelay := slices.Contains(r.regionRelaysWith(h), h.ID)
		to, passedOn := r.serve(h)
		is.Equal(passedOn, served >= limit && !isRelay)
		is.True(!passedOn || to.Region == "r0")
		if !passedOn {
			served++
		}
	}
	is.True(served <= 30)
}

// A query that is given up because another relay has answered says nothing of the relay. It was skipped as a source after
// the second such query.
func TestRelayThatWasNotWaitedForIsNotSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startSimulatedFleet(t, "h1", "h2", "h3", "h4", "h5", "h6", "h7")
		time.Sleep(10 * time.Second) // until it has settled who follows whom
		ranking := f.hosts["h1"].ranking()
		host := f.hosts[ranking[6]]
		quick, slow := host.relays()[0], host.relays()[1]
		f.net.Delay(host.cfg.Self.ID, slow, 20*time.Millisecond)
		for range 5 {
			is.Equal(host.findRelay(t.Context()), quick)
			time.Sleep(host.timing.queryTimeout)
		}
		is.True(slices.Contains(host.relays(), slow))
	})
}

// A host learns the address of the host to which it is passed on from the redirect: it may not be in its list.
func TestRedirectTellsTheAddress(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	to := Host{ID: "r1-h3", Region: "r1", Site: "r1-1", Address: "10.0.0.3:7400"}
	b, err := batchFromProto(&registrypb.Update{Redirect: HostToProto(&to)}, now)
	is.NoErr(err)
	is.Equal(*b.Redirect, to)
	r := newServingRegistry(1)
	r.learned[to.ID] = to.Address
	address, known := r.Address(to.ID)
	is.True(known && address == to.Address)
}

// Operators find by this what fills the links between regions.
func TestDistanceToOtherHosts(t *testing.T) {
	is := is.New(t)
	r := newServingRegistry(1)
	r.Merge(Batch{Hosts: []Host{{ID: "near", Region: "r0", Site: "r0-0", Revision: at(1)}}})
	for id, want := range map[string]string{"near": distanceSite, "r0-h0": distanceRegion, "r1-h0": distanceOther, "nobody": distanceUnknown} {
		is.Equal(r.DistanceTo(id), want)
	}
}
