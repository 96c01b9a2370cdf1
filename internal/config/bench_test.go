package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
)

const (
	designTargets  = 6100
	designServices = 160
	designRegions  = 5
	designSites    = 17
)

// designBase returns a base file of the size that the balancer is designed for: 6,100 targets in 160
// services, 5 regions and 17 data centres.
func designBase() []byte {
	var b bytes.Buffer
	b.WriteString("apiVersion: bilberryline/v1\nregions:\n")
	for r := range designRegions {
		fmt.Fprintf(&b, "  r%d:\n    sites:\n", r)
		for s := r; s < designSites; s += designRegions {
			fmt.Fprintf(&b, "      s%d: {}\n", s)
		}
	}
	b.WriteString("callers:\n  all:\n    homeRegion: r0\n    networks:\n      10.0.0.0/8: true\nservices:\n")
	for s := range designServices {
		fmt.Fprintf(&b, "  service-%d:\n    accept:\n      callers:\n        all: true\n    routes:\n", s)
		for r := range 3 {
			fmt.Fprintf(&b, "      route-%d:\n        pathPrefix: /service-%d/%d\n        idempotent: true\n        deadline: 2s\n", r, s, r)
		}
		b.WriteString("    targets:\n")
		for t := s; t < designTargets; t += designServices {
			fmt.Fprintf(&b, "      target-%d:\n        address: 10.%d.%d.%d:8080\n        site: s%d\n        slots: 6\n",
				t, s, t/250, t%250, t%designSites)
		}
	}
	return b.Bytes()
}

func BenchmarkCompileDesignSize(b *testing.B) {
	base := designBase()
	overlay := []byte("site: {name: s3}\nservices: {service-7: {queueLimit: 5}}")
	b.SetBytes(int64(len(base)))
	for b.Loop() {
		s, err := Compile(base, overlay, "s3")
		if err != nil {
			b.Fatal(err)
		}
		if len(s.Services) != designServices {
			b.Fatal(len(s.Services))
		}
	}
}

func BenchmarkMatchAndIdentify(b *testing.B) {
	s, err := Compile(designBase(), nil, "s3")
	if err != nil {
		b.Fatal(err)
	}
	addr := netip.MustParseAddr("10.1.2.3")
	b.ReportAllocs()
	for b.Loop() {
		if s.Match("GET", "host:80", "/service-99/2/x/y") == nil || s.Identify("token", addr) == nil {
			b.Fatal("no route or no caller found")
		}
	}
}

func BenchmarkCompileCanonicalDesignSize(b *testing.B) {
	tree := &Tree{Base: designBase(), Overlays: map[string][]byte{"s3": []byte("site: {name: s3}")}}
	canonical, err := tree.Canonical()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := canonical.CompileCanonical("s3"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompileAllDesignSize(b *testing.B) {
	tree := &Tree{Base: designBase()}
	for b.Loop() {
		snapshots, err := tree.CompileAll()
		if err != nil {
			b.Fatal(err)
		}
		if len(snapshots) != designSites {
			b.Fatal(len(snapshots))
		}
	}
}
