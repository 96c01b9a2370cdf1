package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
)

// lookupTables holds the lookup tables of one snapshot.
type lookupTables struct {
	// routes maps path prefixes to their routes in order of precedence.
	routes map[string][]*Route
	// tokens maps token hashes to callers.
	tokens map[[sha256.Size]byte]*Caller
	// networks maps address ranges to callers.
	networks map[netip.Prefix]*Caller
	// prefixBits are the prefix lengths in networks, longest first.
	prefixBits []int
	// anonymous is set when no callers are declared and all clients are accepted.
	anonymous *Caller
}

// lookupTables returns the lookup tables. For a snapshot that was not created by build, as in tests, it
// builds them on each call.
func (s *Snapshot) lookupTables() *lookupTables {
	if s.tables != nil {
		return s.tables
	}
	return newLookupTables(s)
}

func newLookupTables(s *Snapshot) *lookupTables {
	t := &lookupTables{
		routes:   make(map[string][]*Route, len(s.Routes)),
		tokens:   map[[sha256.Size]byte]*Caller{},
		networks: map[netip.Prefix]*Caller{},
	}
	for _, r := range s.Routes {
		prefix := cleanPrefix(r.PathPrefix)
		t.routes[prefix] = append(t.routes[prefix], r)
	}
	for prefix := range t.routes {
		slices.SortStableFunc(t.routes[prefix], compareRoutes)
	}
	for _, name := range sortedKeys(s.Callers) {
		t.addCaller(s.Callers[name])
	}
	slices.SortFunc(t.prefixBits, func(a, b int) int { return b - a })
	t.prefixBits = slices.Compact(t.prefixBits)
	return t
}

func (t *lookupTables) addCaller(c *Caller) {
	if c.Name == AnonymousCaller && len(c.TokenHashes) == 0 && len(c.Networks) == 0 {
		t.anonymous = c
	}
	for _, text := range c.TokenHashes {
		var hash [sha256.Size]byte
		if n, err := hex.Decode(hash[:], []byte(text)); err == nil && n == sha256.Size {
			t.tokens[hash] = c
		}
	}
	for _, text := range c.Networks {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			continue
		}
		t.networks[prefix] = c
		t.prefixBits = append(t.prefixBits, prefix.Bits())
	}
}
