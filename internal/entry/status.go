package entry

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/setting"
)

// statusMember is a member in the response of /status.
type statusMember struct {
	ID           string `json:"id"`
	Site         string `json:"site"`
	Region       string `json:"region"`
	State        string `json:"state"`
	AdminAddress string `json:"admin_address"`
}

// statusTarget is the state of a target as seen by the owner of its slot group.
type statusTarget struct {
	Name        string  `json:"name"`
	State       string  `json:"state"`
	Slots       int     `json:"slots"`
	Usable      int     `json:"usable"`
	InFlight    int     `json:"in_flight"`
	Slowness    float64 `json:"slowness"`
	FailureRate float64 `json:"failure_rate"`
}

// statusService lists the targets of the slot groups that this host owns, by data centre.
type statusService struct {
	Owned map[string][]statusTarget `json:"owned"`
}

// Status is the response of /status.
type Status struct {
	Host          string                   `json:"host"`
	Incarnation   uint64                   `json:"incarnation"`
	Version       string                   `json:"version"`
	Revision      uint64                   `json:"revision"`
	Hash          string                   `json:"hash"`
	InForceSince  string                   `json:"in_force_since"`
	Ready         bool                     `json:"ready"`
	InFlight      int                      `json:"in_flight"`
	Members       []statusMember           `json:"members"`
	Services      map[string]statusService `json:"services"`
	PeerBytesSent uint64                   `json:"peer_bytes_sent"`
	PeerBytesRead uint64                   `json:"peer_bytes_received"`
}

var stateNames = map[member.State]string{
	member.Alive:   "alive",
	member.Suspect: "suspect",
	member.Leaving: "leaving",
	member.Dead:    "dead",
}

func (h *Host) status() Status {
	st := Status{
		Host:         h.self.ID,
		Incarnation:  h.self.Incarnation,
		Version:      setting.Version,
		Ready:        h.ready(),
		InFlight:     h.front.Active(),
		InForceSince: h.inForceSince().UTC().Format(time.RFC3339Nano),
		Services:     make(map[string]statusService),
	}
	if snap := h.source.Current(); snap != nil {
		st.Revision, st.Hash = snap.Revision, snap.Hash
		for name := range snap.Services {
			st.Services[name] = statusService{Owned: make(map[string][]statusTarget)}
		}
	}
	for _, m := range h.view.Load().Members {
		st.Members = append(st.Members, statusMember{m.ID, m.Site, m.Region, stateNames[m.State], m.AdminAddress})
	}
	for key, targets := range h.slots.Status() {
		if svc, ok := st.Services[key.Service]; ok && h.slots.Owner(key) == h.self.ID {
			svc.Owned[key.Site] = statusTargets(targets)
		}
	}
	st.PeerBytesSent, st.PeerBytesRead = h.peerNode.ConnectionBytes()
	return st
}

func statusTargets(targets []slot.TargetStatus) []statusTarget {
	out := make([]statusTarget, 0, len(targets))
	for _, t := range targets {
		out = append(out, statusTarget{t.Name, t.State, t.Slots, t.Usable, t.InFlight, t.Slowness, t.FailureRate})
	}
	return out
}

// inForceSince returns when the current configuration came into force.
func (h *Host) inForceSince() time.Time {
	if h.follower != nil {
		return h.follower.Status().InForceSince
	}
	if s, ok := h.source.(*staticSource); ok {
		return s.since
	}
	return time.Time{}
}
