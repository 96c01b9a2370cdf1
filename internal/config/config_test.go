package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

const exampleBaseTemplate = `
apiVersion: bilberryline/v1
regions:
  north: {sites: {n1: {}, n2: {}}, links: {south: {bytesPerSecond: 1000}}}
  south: {sites: {s1: {}}}
departments:
  desk: {}
callers:
  phone:
    department: desk
    homeRegion: north
    tokens: {first: {sha256: %TOKEN%}}
  tablet:
    homeRegion: south
    networks: {10.0.0.0/8: true, 10.1.0.0/16: true}
  kiosk:
    homeRegion: south
    networks: {10.1.2.0/24: true}
services:
  slots:
    accept: {departments: {desk: true}, callers: {tablet: true}}
    targetDefaults: {slots: 6, maxConnections: 240}
    routes:
      look: {pathPrefix: /slots, methods: [GET], idempotent: true, deadline: 2s}
      book: {pathPrefix: /slots/book}
    targets:
      slots-1: {address: "10.9.0.1:80", site: n1}
      slots-2: {address: "10.9.0.2:80", site: s1, slots: 2}
`

func exampleBase() []byte {
	hash := sha256.Sum256([]byte("secret"))
	return replaceAll(exampleBaseTemplate, "%TOKEN%", hex.EncodeToString(hash[:]))
}

func TestCompileMergesOverlay(t *testing.T) {
	is := is.New(t)
	overlay := "site: {name: n1}\nservices: {slots: {targets: {slots-2: null, slots-1: {draining: true}, slots-3: {address: '10.9.0.3:80', site: n2}}}}"
	s, err := Compile(exampleBase(), []byte(overlay), "n1")
	is.NoErr(err)
	targets := s.Services["slots"].Targets
	is.Equal(len(targets), 2)
	is.Equal(targets[0].Name, "slots-1")
	is.True(targets[0].Draining)
	is.Equal(targets[0].Slots, 6)
	is.Equal(targets[1].Region, "north")
	is.Equal(s.Services["slots"].Accepts, map[string]bool{"phone": true, "tablet": true})
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	is := is.New(t)
	s, err := Compile(exampleBase(), nil, "")
	is.NoErr(err)
	is.Equal(s.Match("GET", "any:80", "/slots/7").Name, "look")
	is.Equal(s.Match("HEAD", "any", "/slots").Name, "look")
	is.Equal(s.Match("POST", "any", "/slots/book/7/").Name, "book")
	is.Equal(s.Match("POST", "any", "/slots"), nil)
	is.Equal(s.Match("GET", "any", "/slotsize"), nil)
}

func TestIdentify(t *testing.T) {
	is := is.New(t)
	s, err := Compile(exampleBase(), nil, "")
	is.NoErr(err)
	is.Equal(s.Identify("secret", netip.MustParseAddr("10.1.2.3")).Name, "phone")
	is.Equal(s.Identify("wrong", netip.MustParseAddr("::ffff:10.1.2.3")).Name, "kiosk")
	is.Equal(s.Identify("", netip.MustParseAddr("10.1.3.3")).Name, "tablet")
	is.Equal(s.Identify("wrong", netip.MustParseAddr("192.168.0.1")), nil)
	allocs := testing.AllocsPerRun(100, func() { s.Identify("secret", netip.Addr{}) })
	is.Equal(allocs, 0.0)
}

func TestWithoutDeclaredCallersEverybodyIsAccepted(t *testing.T) {
	is := is.New(t)
	s, err := Compile([]byte("apiVersion: bilberryline/v1\nservices: {a: {routes: {all: {}}, targets: {a: {address: '127.0.0.1:1'}}}}"), nil, "")
	is.NoErr(err)
	is.Equal(s.Identify("", netip.MustParseAddr("10.0.0.1")).Name, AnonymousCaller)
	is.True(s.Services["a"].Accepts[AnonymousCaller])
	is.Equal(s.Match("PUT", "", "/x").Service, "a")
}

// A declaration whose last caller was removed accepted everybody, as if it never had callers. Rendered, it must stay what it
// is.
func TestEmptyCallersAcceptNobody(t *testing.T) {
	const services = "apiVersion: bilberryline/v1\nservices: {a: {routes: {all: {}}, targets: {a: {address: '127.0.0.1:1'}}}}\n"
	const phone = "callers: {phone: {networks: {10.0.0.0/8: true}}}\n"
	for name, files := range map[string]struct{ base, overlay string }{
		"empty":               {services + "callers: {}\n", ""},
		"removed by overlay":  {services + phone, "callers: {phone: null}"},
		"rendered empty ones": {"", ""},
	} {
		is := is.New(t)
		base, overlay := []byte(files.base), []byte(files.overlay)
		if files.base == "" {
			tree := &Tree{Base: []byte(services + "callers: {}\n"), Overlays: map[string][]byte{"s": nil}}
			rendered, err := tree.Render("s", false)
			is.NoErr(err)
			base = rendered
		}
		s, err := Compile(base, overlay, "")
		is.NoErr(err)
		t.Log(name)
		is.Equal(s.Identify("", netip.MustParseAddr("10.0.0.1")), nil)
		is.Equal(len(s.Callers)+len(s.Services["a"].Accepts), 0)
	}
}

func TestCompileRejectsInvalidDeclarations(t *testing.T) {
	cases := []struct {
		name, base, overlay string
		want                DeclarationError
	}{
		{"unknown field", "apiVersion: bilberryline/v1\nservices:\n  a:\n    target: {}", "",
			DeclarationError{Kind: UnknownField, File: "base.yaml", Line: 4, Path: "services.a.target"}},
		{"duplicate key", "apiVersion: bilberryline/v1\nservices:\n  a: {}\n  a: {}", "",
			DeclarationError{Kind: DuplicateKey, File: "base.yaml", Line: 4, Path: "services.a"}},
		{"wrong type", "apiVersion: bilberryline/v1\nservices:\n  a: {queueLimit: many}", "",
			DeclarationError{Kind: WrongType, File: "base.yaml", Line: 3, Path: "services.a.queueLimit"}},
		{"syntax", "services: {}\n\tcallers: {}\n", "", DeclarationError{Kind: Syntax, File: "base.yaml", Line: 2}},
		{"null in base", "apiVersion: bilberryline/v1\nservices: {a: null}", "",
			DeclarationError{Kind: NullInBase, File: "base.yaml", Line: 2, Path: "services.a"}},
		{"base only", string(exampleBase()), "services:\n  slots: {dedupeWindow: 1m}",
			DeclarationError{Kind: BaseOnly, File: "sites/n1.yaml", Line: 2, Path: "services.slots.dedupeWindow"}},
		{"site only", "apiVersion: bilberryline/v1\nsite: {name: n1}", "",
			DeclarationError{Kind: SiteOnly, File: "base.yaml", Line: 2, Path: "site"}},
		{"overlay value", string(exampleBase()), "services:\n  slots:\n    targets:\n      slots-1: {address: localhost}",
			DeclarationError{Kind: BadFormat, File: "sites/n1.yaml", Line: 4, Path: "services.slots.targets.slots-1.address"}},
		{"dangling name", string(exampleBase()), "callers: {tablet: null}",
			DeclarationError{Kind: UnknownName, File: "base.yaml", Line: 21, Path: "services.slots.accept.callers.tablet"}},
		{"anchor", "apiVersion: &x bilberryline/v1", "",
			DeclarationError{Kind: WrongType, File: "base.yaml", Line: 1, Path: "apiVersion"}},
		{"no version", "services: {}", "", DeclarationError{Kind: Missing, File: "base.yaml", Path: "apiVersion"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var overlay []byte
			if c.overlay != "" {
				overlay = []byte(c.overlay)
			}
			_, err := Compile([]byte(c.base), overlay, "n1")
			var got *DeclarationError
			is.True(errors.As(err, &got))
			got.Value, got.Want = "", ""
			is.Equal(*got, c.want)
		})
	}
}

// TestCompileCanonicalRejectsInvalidTrees guards against a canonical tree that another version wrote
// and that this version doesn't accept.
func TestCompileCanonicalRejectsInvalidTrees(t *testing.T) {
	for _, text := range []string{
		`{"apiVersion": "bilberryline/v1", "services": {"a": {"targets": {"b": null}}}}`,
		`{"apiVersion": "bilberryline/v1", "novel": 1}`,
		`{"apiVersion": "bilberryline/v1", "services": {"a": {"queueLimit": -1}}}`,
		`{"apiVersion"`,
	} {
		is := is.New(t)
		_, err := (&Tree{Base: []byte(text)}).CompileCanonical("n1")
		var errs DeclarationErrors
		is.True(errors.As(err, &errs))
	}
}
