package plan

import (
	"fmt"
	"slices"

	"github.com/bilberryline/bilberryline/internal/config"
)

func (c *siteDiff) diffCallers() {
	if len(c.before.Callers) > 0 && len(c.after.Callers) == 0 {
		c.add(Change{Kind: CallerRemoved, Harm: HarmCutOff, Text: "no caller is left: no client is accepted"})
	}
	for _, name := range unionKeys(c.before.Callers, c.after.Callers) {
		oldCaller, newCaller := c.before.Callers[name], c.after.Callers[name]
		switch {
		case oldCaller == nil && name == config.AnonymousCaller && len(c.before.Callers) > 0:
			c.add(Change{Kind: CallerAdded, Name: name, Harm: HarmOpen, Text: "no callers are declared any more: all clients are accepted by all services"})
		case oldCaller == nil:
			c.add(Change{Kind: CallerAdded, Name: name, Text: fmt.Sprintf("caller %s is added", name)})
		case newCaller == nil:
			c.add(Change{Kind: CallerRemoved, Name: name, Text: fmt.Sprintf("caller %s is removed", name)})
		default:
			c.diffCaller(oldCaller, newCaller)
		}
	}
}

func (c *siteDiff) diffCaller(oldCaller, newCaller *config.Caller) {
	if oldCaller.Department != newCaller.Department {
		c.add(Change{Kind: CallerChanged, Name: newCaller.Name, Text: fmt.Sprintf("caller %s moves from department %q to %q", newCaller.Name, oldCaller.Department, newCaller.Department)})
	}
	if oldCaller.Weight != newCaller.Weight {
		c.add(Change{Kind: CallerChanged, Name: newCaller.Name, Text: fmt.Sprintf("caller %s: weight %g to %g", newCaller.Name, oldCaller.Weight, newCaller.Weight)})
	}
	if oldCaller.HomeRegion != newCaller.HomeRegion {
		c.add(Change{
			Kind: CallerChanged, Name: newCaller.Name,
			Text: fmt.Sprintf("caller %s: home region %q to %q; keys recorded in the old one are not found in the new", newCaller.Name, oldCaller.HomeRegion, newCaller.HomeRegion),
		})
	}
	c.diffCredentials(oldCaller, newCaller)
}

func (c *siteDiff) diffCredentials(oldCaller, newCaller *config.Caller) {
	oldCredentials, newCredentials := describeCredentials(oldCaller), describeCredentials(newCaller)
	for _, credential := range newCredentials {
		if !slices.Contains(oldCredentials, credential) {
			c.add(Change{Kind: CredentialAdded, Name: newCaller.Name, Text: fmt.Sprintf("caller %s gains %s", newCaller.Name, credential)})
		}
	}
	for _, credential := range oldCredentials {
		if slices.Contains(newCredentials, credential) {
			continue
		}
		change := Change{Kind: CredentialRemoved, Name: newCaller.Name, Text: fmt.Sprintf("caller %s loses %s", newCaller.Name, credential)}
		if len(newCredentials) == 0 {
			change.Harm = HarmCutOff
		}
		c.add(change)
	}
}

// shownHashDigits is the number of leading hexadecimal digits of a token's hash that a plan shows.
const shownHashDigits = 12

// describeCredentials returns one text for each token and network of a caller.
func describeCredentials(c *config.Caller) []string {
	var list []string
	for _, hash := range c.TokenHashes {
		list = append(list, "token "+hash[:min(shownHashDigits, len(hash))])
	}
	for _, network := range c.Networks {
		list = append(list, "network "+network)
	}
	return list
}
