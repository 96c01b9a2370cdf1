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
