package plan

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/config"
)

func example(t *testing.T) *config.Tree {
	t.Helper()
	tree, err := config.ReadTree("../../examples/potcoava")
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func snapshots(t *testing.T, tree *config.Tree) map[string]*config.Snapshot {
	t.Helper()
	all, err := tree.CompileAll()
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func TestDiffReportsCutOffCallersAndEmptiedServices(t *testing.T) {
	is := is.New(t)
	before := snapshots(t, example(t))
	tree := example(t)
	tree.Base = []byte(strings.Replace(string(tree.Base), "        dispatch: true\n", "", 1))
	tree.Overlays["iasi"] = []byte("services: {deposits: {targets: null}, bookings: {targets: {bookings-1: null}}}")
	p := Diff(before, snapshots(t, tree))
	is.Equal(len(p.Sites), 2)
	is.Equal(len(p.Sites[0].Sites), 5)
	is.Equal(p.Sites[1].Sites, []string{"iasi"})
	is.Equal(p.HarmfulChanges(HarmCutOff), []string{
		"caller firm-cerbul-desk loses access to service bookings",
		"caller firm-nicovala-desk loses access to service bookings",
		"caller firm-potcoava-desk loses access to service bookings",
	})
	is.Equal(p.HarmfulChanges(HarmEmpty), []string{"service deposits is left with no backend server that takes work"})
}

// Nobody was told that a change takes the last caller away, or drops the callers and so admits all clients.
func TestDiffReportsThatNoCallersAreLeft(t *testing.T) {
	const services = "apiVersion: bilberryline/v1\nservices: {a: {routes: {all: {}}, targets: {a: {address: '127.0.0.1:1'}}, accept: {callers: {phone: true}}}}\n"
	compile := func(base string) map[string]*config.Snapshot {
		s, err := config.Compile([]byte(base), nil, "")
		is.New(t).NoErr(err)
		return map[string]*config.Snapshot{"s": s}
	}
	const open = "apiVersion: bilberryline/v1\nservices: {a: {routes: {all: {}}, targets: {a: {address: '127.0.0.1:1'}}}}\n"
	declared := compile(services + "callers: {phone: {networks: {10.0.0.0/8: true}}}\n")
	is := is.New(t)
	is.Equal(Diff(declared, compile(open)).HarmfulChanges(HarmOpen), []string{"no callers are declared any more: all clients are accepted by all services"})
	emptied := Diff(declared, compile(open+"callers: {}\n"))
	is.Equal(len(emptied.HarmfulChanges(HarmOpen)), 0)
	is.True(len(emptied.HarmfulChanges(HarmCutOff)) > 0)
	is.Equal(len(Diff(compile(open), compile(open)).Sites), 0)
}

func TestDiffOfEqualTreesIsEmpty(t *testing.T) {
	is := is.New(t)
	p := Diff(snapshots(t, example(t)), snapshots(t, example(t)))
	is.Equal(len(p.Sites), 0)
}

func TestMovedCallerChangesDepartment(t *testing.T) {
	is := is.New(t)
	tree := example(t)
	base, err := config.MoveCaller(tree.Base, "owners-app", "dispatch")
	is.NoErr(err)
	tree.Base = base
	p := Diff(snapshots(t, example(t)), snapshots(t, tree))
	is.Equal(len(p.Sites), 1)
	is.Equal(p.Sites[0].Changes, []Change{{
		Kind: CallerChanged, Name: "owners-app", Text: `caller owners-app moves from department "apps" to "dispatch"`,
	}})
}
