package hostlist

import (
	"encoding/json"
	"slices"
	"strings"
)

// targetGroup is one element of the Prometheus HTTP service discovery format.
type targetGroup struct {
	Targets []string `json:"targets"`
	Labels  labels   `json:"labels"`
}

// labels holds the labels of a targetGroup that this package uses.
type labels struct {
	ID           string `json:"id"`
	Role         Role   `json:"role"`
	State        State  `json:"state"`
	Region       string `json:"region"`
	Site         string `json:"site"`
	AdminAddress string `json:"admin_address"`
	Name         string `json:"name"`
}

// Decode decodes a list. It orders the hosts by id and then by address.
func Decode(b []byte) ([]Host, error) {
	var groups []targetGroup
	if err := json.Unmarshal(b, &groups); err != nil {
		return nil, err
	}
	var hosts []Host
	for _, g := range groups {
		for _, address := range g.Targets {
			hosts = append(hosts, g.Labels.host(address))
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		if n := strings.Compare(a.ID, b.ID); n != 0 {
			return n
		}
		return strings.Compare(a.Address, b.Address)
	})
	return hosts, nil
}

func (l labels) host(address string) Host {
	return Host{
		Address:      address,
		ID:           l.ID,
		Role:         l.Role,
		State:        l.State,
		Region:       l.Region,
		Site:         l.Site,
		AdminAddress: l.AdminAddress,
		Name:         l.Name,
	}
}
