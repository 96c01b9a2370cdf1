package config

import (
	"crypto/sha256"
	"net/netip"
)

// Identify returns the caller that owns the bearer token or, failing that, the caller with the
// smallest network that holds addr, or nil when there is none. Tokens are compared by SHA-256. A
// snapshot without declared callers accepts everybody as AnonymousCaller.
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
