package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strconv"
)

func (c *checker) checkCallers() {
	for _, name := range sortedKeys(c.declaration.Departments) {
		c.checkName("departments."+name, name)
	}
	tokens := map[string]string{}
	networks := map[netip.Prefix]string{}
	for _, name := range sortedKeys(c.declaration.Callers) {
		path := "callers." + name
		c.checkName(path, name)
		caller := c.declaration.Callers[name]
		c.checkCallerFields(path, caller)
		c.checkTokens(path, name, caller, tokens)
		c.checkNetworks(path, name, caller, networks)
	}
}

func (c *checker) checkCallerFields(path string, caller *DeclaredCaller) {
	if d := caller.Department; d != "" {
		if _, known := c.declaration.Departments[d]; !known {
			c.report(UnknownName, path+".department", d, "a declared department")
		}
	}
	if w := caller.Weight; w != nil && (*w <= 0 || *w > maxWeight) {
		c.report(OutOfRange, path+".weight", strconv.FormatFloat(*w, 'g', -1, 64), "above 0, at most 1e6")
	}
	if len(c.declaration.Regions) == 0 && caller.HomeRegion == "" {
		return
	}
	if _, known := c.declaration.Regions[caller.HomeRegion]; !known {
		c.report(UnknownName, path+".homeRegion", caller.HomeRegion, "a declared region")
	}
}

func (c *checker) checkTokens(path, name string, caller *DeclaredCaller, owners map[string]string) {
	for _, label := range sortedKeys(caller.Tokens) {
		at := path + ".tokens." + label + ".sha256"
		hash := caller.Tokens[label].SHA256
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != sha256.Size {
			c.report(BadFormat, at, hash, "64 hexadecimal digits")
			continue
		}
		if owner, taken := owners[string(raw)]; taken && owner != name {
			c.report(Clash, at, hash, "a token of one caller; it is also of "+owner)
		}
		owners[string(raw)] = name
	}
}

func (c *checker) checkNetworks(path, name string, caller *DeclaredCaller, owners map[netip.Prefix]string) {
	for _, text := range sortedKeys(caller.Networks) {
		at := path + ".networks." + text
		prefix, err := netip.ParsePrefix(text)
		if err != nil || prefix.Masked() != prefix {
			c.report(BadFormat, at, text, "an address range as in 10.1.0.0/16, without bits beyond the prefix")
			continue
		}
		if !caller.Networks[text] {
			continue
		}
		if owner, taken := owners[prefix]; taken && owner != name {
			c.report(Clash, at, text, "a range of one caller; it is also of "+owner)
		}
		owners[prefix] = name
	}
}
