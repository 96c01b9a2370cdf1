package config

import (
	"crypto/sha256"
	"net/netip"
)

// Identify returns the caller that owns the bearer token. If there is none, it returns the caller with
// the smallest network that contains addr, or nil. Tokens are compared by their SHA-256 hash. A
// snapshot of a declaration without callers identifies every client as AnonymousCaller.
func (s *Snapshot) Identify(bearerToken string, addr netip.Addr) *Caller {
	tables := s.lookupTables()
	if tables.anonymous != nil {
		return tables.anonymous
	}
	if bearerToken != "" {
		if c := tables.tokens[sha256.Sum256([]byte(bearerToken))]; c != nil {
			return c
		}
	}
	addr = addr.Unmap().WithZone("")
	for _, bits := range tables.prefixBits {
		prefix, err := addr.Prefix(bits)
		if err != nil {
			continue
		}
		if c := tables.networks[prefix]; c != nil {
			return c
		}
	}
	return nil
}
