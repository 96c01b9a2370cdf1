package config

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// Limits of declared values.
const (
	maxSlots               = 100_000
	maxConnections         = 1_000_000
	maxQueueLimit          = 10_000_000
	maxProbeBytesPerSecond = 1 << 30
	maxWeight              = 1e6
	maxDeadline            = 24 * time.Hour
	maxDedupeWindow        = 7 * 24 * time.Hour
	maxNameLength          = 128
)

// checker validates a merged declaration and collects the errors.
type checker struct {
	*merged
	errs DeclarationErrors
	// sites maps each declared data centre to its region.
	sites map[string]string
}

// checkDeclaration returns the errors in m, ordered by file, line and path.
func checkDeclaration(m *merged) DeclarationErrors {
	c := &checker{merged: m, sites: sitesOf(m.declaration)}
	if m.declaration.APIVersion != Version {
		c.report(Missing, "apiVersion", m.declaration.APIVersion, Version)
	}
	c.checkRegions()
	c.checkCallers()
	c.checkServices()
	c.checkRouteClashes()
	slices.SortStableFunc(c.errs, compareErrors)
	return c.errs
}

func compareErrors(a, b *DeclarationError) int {
	return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
}

// sitesOf returns the region of each declared data centre.
func sitesOf(d *Declaration) map[string]string {
	sites := map[string]string{}
	for region, r := range d.Regions {
		for site := range r.Sites {
			sites[site] = region
		}
	}
	return sites
}

func (c *checker) report(k ErrorKind, path, value, want string) {
	file, line := c.locate(path)
	c.errs = append(c.errs, &DeclarationError{Kind: k, File: file, Line: line, Path: path, Value: value, Want: want})
}

func (c *checker) checkName(path, name string) {
	if len(name) > maxNameLength || !isPlainName(name) {
		c.report(BadFormat, path, name, "a name of letters, digits, '-' and '_', at most 128 bytes")
	}
}

func isPlainName(name string) bool {
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}
	return name != ""
}

func (c *checker) checkRegions() {
	regionOf := map[string]string{}
	for _, name := range sortedKeys(c.declaration.Regions) {
		path := "regions." + name
		region := c.declaration.Regions[name]
		c.checkName(path, name)
		for _, site := range sortedKeys(region.Sites) {
			c.checkName(path+".sites."+site, site)
			if other, taken := regionOf[site]; taken {
				c.report(Clash, path+".sites."+site, site, "a data centre in one region; it is also in "+other)
			}
			regionOf[site] = name
		}
		c.checkLinks(path, name, region)
	}
}

func (c *checker) checkLinks(path, name string, region *DeclaredRegion) {
	for _, to := range sortedKeys(region.Links) {
		at := path + ".links." + to
		if _, known := c.declaration.Regions[to]; !known || to == name {
			c.report(UnknownName, at, to, "the name of another region")
		}
		if n := region.Links[to].BytesPerSecond; n <= 0 {
			c.report(OutOfRange, at+".bytesPerSecond", strconv.FormatInt(n, 10), "at least 1")
		}
	}
}

func (c *checker) checkShare(path string, v *float64) {
	if v != nil && (*v < 0 || *v > 1) {
		c.report(OutOfRange, path, strconv.FormatFloat(*v, 'g', -1, 64), "0 to 1")
	}
}

func (c *checker) checkInt(path string, v *int, low, high int) {
	if v != nil && (*v < low || *v > high) {
		c.report(OutOfRange, path, strconv.Itoa(*v), strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}

func (c *checker) checkDuration(path string, v *Duration, high time.Duration) {
	if v != nil && (*v <= 0 || time.Duration(*v) > high) {
		c.report(OutOfRange, path, time.Duration(*v).String(), "above 0, at most "+high.String())
	}
}

func (c *checker) checkAddress(path, value string) {
	if value == "" {
		c.report(Missing, path, "", "an IP number and port")
		return
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		c.report(BadFormat, path, value, "an IP number and port")
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
