package dedupe

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

// hostSet is an immutable set of hosts that can hold the keys of one region, sorted by id.
type hostSet struct {
	hosts []Host
	hash  setHash
}

// setHash identifies a hostSet.
type setHash [16]byte

func newHostSet(hosts []Host) hostSet {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return hostSet{hosts: hosts, hash: hashHosts(hosts)}
}

// regionSet returns the hosts of a view that can hold keys of the region, and the hosts that are
// leaving it.
func regionSet(v member.View, region string) (set hostSet, leaving []Host) {
	var hosts []Host
	for _, m := range v.Members {
		if m.Region != region {
			continue
		}
		h := Host{ID: m.ID, Incarnation: m.Incarnation, Site: m.Site}
		switch m.State {
		case member.Alive, member.Suspect:
			hosts = append(hosts, h)
		case member.Leaving:
			leaving = append(leaving, h)
		case member.Dead:
		}
	}
	return newHostSet(hosts), leaving
}

func hashHosts(hosts []Host) setHash {
	h := sha256.New()
	for _, host := range hosts {
		var number [8]byte
		binary.BigEndian.PutUint64(number[:], host.Incarnation)
		h.Write([]byte(host.ID))
		h.Write([]byte{0})
		h.Write(number[:])
		h.Write([]byte(host.Site))
		h.Write([]byte{0})
	}
	return setHash(h.Sum(nil)[:16])
}

// has reports whether the set contains exactly this incarnation of the host.
func (s hostSet) has(h Host) bool { return slices.Contains(s.hosts, h) }

// holders returns the holders of a key: the highest ranked host, and the highest ranked host of
// another data centre. With a single data centre, the second holder is the host ranked second. For
// two sets that differ by one host, the holders always have a host in common.
func (s hostSet) holders(id ID) holderList {
	if len(s.hosts) < 2 {
		return holderList(s.hosts)
	}
	key := id.rendezvousKey()
	first := s.highestRanked(key, func(Host) bool { return true })
	second := s.highestRanked(key, func(h Host) bool { return h.Site != first.Site })
	if second == (Host{}) {
		second = s.highestRanked(key, func(h Host) bool { return h.ID != first.ID })
	}
	return holderList{first, second}
}

// highestRanked returns the highest ranked host that is allowed, or the zero Host if there is none.
func (s hostSet) highestRanked(key string, allowed func(Host) bool) Host {
	var best Host
	var bestWeight uint64
	for _, h := range s.hosts {
		if !allowed(h) {
			continue
		}
		w := rendezvous.Weight(key, h.ID)
		if best == (Host{}) || w > bestWeight {
			best, bestWeight = h, w
		}
	}
	return best
}

// holderList is the list of a key's holders, highest ranked first. The first holder is the key's
// home. The list has two entries, or fewer if the region has fewer hosts.
type holderList []Host

func (l holderList) equal(other holderList) bool { return slices.Equal(l, other) }

func (l holderList) has(id string) bool {
	return slices.ContainsFunc(l, func(h Host) bool { return h.ID == id })
}
