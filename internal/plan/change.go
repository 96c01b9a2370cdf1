package plan

// Kind is the kind of a change.
type Kind string

// Kinds of changes.
const (
	ServiceAdded      Kind = "service-added"
	ServiceRemoved    Kind = "service-removed"
	ServiceEmptied    Kind = "service-emptied"
	ServiceChanged    Kind = "service-changed"
	TargetGained      Kind = "target-gained"
	TargetLost        Kind = "target-lost"
	TargetChanged     Kind = "target-changed"
	RouteAdded        Kind = "route-added"
	RouteRemoved      Kind = "route-removed"
	RouteChanged      Kind = "route-changed"
	CallerAdded       Kind = "caller-added"
	CallerRemoved     Kind = "caller-removed"
	CallerChanged     Kind = "caller-changed"
	CallerGains       Kind = "caller-gains"
	CallerLoses       Kind = "caller-loses"
	CredentialAdded   Kind = "credential-added"
	CredentialRemoved Kind = "credential-removed"
	RegionsChanged    Kind = "regions-changed"
	// AcceptedUnreadable stands for all changes when the accepted revision is invalid and can't be
	// compared.
	AcceptedUnreadable Kind = "accepted-unreadable"
)

// Change is one change at one site.
type Change struct {
	Kind    Kind   `json:"kind"`
	Service string `json:"service,omitempty"`
	// Name is the target's, route's or caller's name.
	Name string `json:"name,omitempty"`
	// Text describes the change.
	Text string `json:"text"`
	// Harm is the kind of harm that the change does, or empty.
	Harm Harm `json:"harm,omitempty"`
}

// Harm is the kind of harm that a change does.
type Harm string

// Kinds of harm.
const (
	// HarmCutOff means that a caller loses access to a service or its last token or network.
	HarmCutOff Harm = "cut-off"
	// HarmEmpty means that a service loses its last backend server that is not draining.
	HarmEmpty Harm = "empty"
	// HarmOpen means that all clients are accepted from now on, whoever they are.
	HarmOpen Harm = "open"
)

// SiteGroup lists the changes of a group of sites that have the same changes.
type SiteGroup struct {
	Sites   []string `json:"sites"`
	Changes []Change `json:"changes"`
}

// Plan lists the changes at all sites. Sites without changes are left out.
type Plan struct {
	Sites []SiteGroup `json:"sites"`
}

// HarmfulChanges returns the texts of the changes that do harm h. Each text occurs once.
func (p *Plan) HarmfulChanges(h Harm) []string {
	var texts []string
	seen := map[string]bool{}
	for _, site := range p.Sites {
		for _, c := range site.Changes {
			if c.Harm == h && !seen[c.Text] {
				seen[c.Text] = true
				texts = append(texts, c.Text)
			}
		}
	}
	return texts
}
