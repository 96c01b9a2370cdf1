package plan

import (
	"fmt"
	"slices"

	"github.com/bilberryline/bilberryline/internal/config"
)

func (c *siteDiff) diffCallers() {
	for _, name := range unionKeys(c.before.Callers, c.after.Callers) {
		was, is := c.before.Callers[name], c.after.Callers[name]
		switch {
		case was == nil:
			c.add(Change{Kind: CallerAdded, Name: name, Text: fmt.Sprintf("caller %s is added", name)})
		case is == nil:
			c.add(Change{Kind: CallerRemoved, Name: name, Text: fmt.Sprintf("caller %s is removed", name)})
		default:
			c.diffCaller(was, is)
		}
	}
}

func (c *siteDiff) diffCaller(was, is *config.Caller) {
	if was.Department != is.Department {
		c.add(Change{Kind: CallerChanged, Name: is.Name, Text: fmt.Sprintf("caller %s moves from department %q to %q", is.Name, was.Department, is.Department)})
	}
	if was.Weight != is.Weight {
		c.add(Change{Kind: CallerChanged, Name: is.Name, Text: fmt.Sprintf("caller %s: weight %g to %g", is.Name, was.Weight, is.Weight)})
	}
	if was.HomeRegion != is.HomeRegion {
		c.add(Change{
			Kind: CallerChanged, Name: is.Name,
			Text: fmt.Sprintf("caller %s: home region %q to %q; keys recorded in the old one are not found in the new", is.Name, was.HomeRegion, is.HomeRegion),
		})
	}
	c.diffCredentials(was, is)
}

func (c *siteDiff) diffCredentials(was, is *config.Caller) {
	old, fresh := describeCredentials(was), describeCredentials(is)
	for _, credential := range fresh {
		if !slices.Contains(old, credential) {
			c.add(Change{Kind: CredentialAdded, Name: is.Name, Text: fmt.Sprintf("caller %s gains %s", is.Name, credential)})
		}
	}
	for _, credential := range old {
		if slices.Contains(fresh, credential) {
			continue
		}
		change := Change{Kind: CredentialRemoved, Name: is.Name, Text: fmt.Sprintf("caller %s loses %s", is.Name, credential)}
		if len(fresh) == 0 {
			change.Harm = HarmCutOff
		}
		c.add(change)
	}
}

// shownHashDigits is the number of hexadecimal digits by which a token's hash is shown.
const shownHashDigits = 12

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
