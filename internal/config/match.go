package config

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
)

// compareRoutes orders routes by precedence: the longest prefix first, then routes with a host before
// those without, then routes with methods before those without, then by service and name.
func compareRoutes(a, b *Route) int {
	return cmp.Or(
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		cmp.Compare(a.PathPrefix, b.PathPrefix),
		preferSpecified(a.Host != "", b.Host != ""),
		preferSpecified(len(a.Methods) > 0, len(b.Methods) > 0),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Name, b.Name),
	)
}

func preferSpecified(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return -1
	}
	return 1
}

// cleanPrefix removes trailing slashes, except for the root.
func cleanPrefix(prefix string) string {
	trimmed := strings.TrimRight(prefix, "/")
	if trimmed == "" {
		return "/"
	}
	return trimmed
}

// Match returns the route with the longest path prefix that matches, or nil. Prefixes match whole
// path segments: /slots matches /slots and /slots/7, not /slotsize. host may carry a port. path has
// no query and must be free of dot segments.
func (s *Snapshot) Match(method, host, path string) *Route {
	tables := s.lookupTables()
	host = stripPort(host)
	for prefix := cleanPrefix(path); ; prefix = parentPrefix(prefix) {
		for _, r := range tables.routes[prefix] {
			if matches(r, method, host) {
				return r
			}
		}
		if prefix == "/" {
			return nil
		}
	}
}

// parentPrefix removes the last path segment.
func parentPrefix(prefix string) string {
	i := strings.LastIndexByte(prefix, '/')
	if i <= 0 {
		return "/"
	}
	return prefix[:i]
}

func matches(r *Route, method, host string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
	if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
		return true
	}
	return method == http.MethodHead && slices.Contains(r.Methods, http.MethodGet)
}

func stripPort(host string) string {
	if strings.HasSuffix(host, "]") {
		return host
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}
