package plan

// Kind tells kinds of change apart.
type Kind string

// Kinds of change.
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
	// AcceptedUnreadable stands for all changes when the accepted revision fails the check.
	AcceptedUnreadable Kind = "accepted-unreadable"
)

// Change is one change at one site.
type Change struct {
	Kind    Kind   `json:"kind"`
	Service string `json:"service,omitempty"`
	// Name is the target's, route's or caller's name.
	Name string `json:"name,omitempty"`
	// Text says the change in words.
	Text string `json:"text"`
	// Harm is set when the change cuts off a caller or empties a service.
	Harm Harm `json:"harm,omitempty"`
}

// Harm tells how a change can hurt.
type Harm string

// Kinds of harm.
const (
	// HarmCutOff takes from a caller the access to a service.
	HarmCutOff Harm = "cut-off"
	// HarmEmpty leaves a service that had backend servers with none.
	HarmEmpty Harm = "empty"
)

// SiteGroup lists the changes at sites where they are the same.
type SiteGroup struct {
	Sites   []string `json:"sites"`
	Changes []Change `json:"changes"`
}

// Plan lists the changes at all sites. Sites without change are left out.
type Plan struct {
	Sites []SiteGroup `json:"sites"`
}

// HarmfulChanges returns the texts of the changes that do the given harm, each once.
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
