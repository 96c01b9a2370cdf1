//go:build review

package main

import "encoding/json"

// virtualHost is the host of all routes.
const virtualHost = "shop.example"

// route is a route of the operator's configuration.
type route struct {
	prefix, service string
	idempotent      bool
	timeout, slo    string
}

// writeConfiguration writes the operator's configuration to the store.
func writeConfiguration(s *store, routes ...route) error {
	var paths, services []map[string]any
	known := map[string]bool{}
	for i, r := range routes {
		kind := "non_idempotent"
		if r.idempotent {
			kind = "idempotent"
		}
		paths = append(paths, map[string]any{
			"name": "r-" + r.prefix, "prefix": r.prefix, "kind": kind, "timeout": r.timeout, "slo": r.slo, "priority": i,
			"service": r.service, "maxAttempts": 2,
		})
		if !known[r.service] {
			known[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/healthz", "maxConns": 240, "protocol": "h1", "tls": false})
		}
	}
	document, err := json.Marshal(map[string]any{
		"version": "r3", "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"vhosts": []map[string]any{{"host": virtualHost, "paths": paths}},
	})
	if err != nil {
		return err
	}
	s.write([]put{{Key: "op/config", Value: document}})
	return nil
}
