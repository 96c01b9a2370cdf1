package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/member"
)

// staticPeers parses the values of --peers into a map from host id to peer address. It returns a
// *PeerFormatError for a malformed value.
func staticPeers(entries []string) (map[string]string, error) {
	peers := make(map[string]string, len(entries))
	for _, entry := range entries {
		id, address, ok := strings.Cut(entry, "=")
		if !ok || id == "" || !validAddress(address) {
			return nil, &PeerFormatError{Value: entry}
		}
		peers[id] = address
	}
	return peers, nil
}

// staticHosts returns a host list made of the local host and the peers from its settings. Every peer gets
// the local host's region and site as placeholders, because its real location is only known from the peer
// itself.
func staticHosts(self member.Member, peers map[string]string) *hostlist.List {
	l := &hostlist.List{ReadAt: time.Now()}
	add := func(id, address string) {
		l.Hosts = append(l.Hosts, hostlist.Host{
			Address: address,
			ID:      id,
			Role:    hostlist.RoleEntry,
			State:   hostlist.StateLive,
			Region:  self.Region,
			Site:    self.Site,
		})
	}
	add(self.ID, self.PeerAddress)
	for id, address := range peers {
		if id != self.ID {
			add(id, address)
		}
	}
	slices.SortFunc(l.Hosts, func(a, b hostlist.Host) int { return strings.Compare(a.ID, b.ID) })
	return l
}
