package routing

import (
	"testing"

	"github.com/matryer/is"
)

// A key must belong to one workspace only, and an empty key to none: a caller without a key would otherwise act for a
// workspace that lists an empty one by mistake.
func TestKeysBelongToTheFirstWorkspaceThatListsThem(t *testing.T) {
	is := is.New(t)
	first, second := &Workspace{Name: "first", Keys: []string{"k1", "k2", ""}}, &Workspace{Name: "second", Keys: []string{"k2", "k3"}}
	table := NewTable(1, nil, nil, DeclaredWorkspaces(first, second), Limits{})
	is.True(table.RequiresKeys)
	is.Equal(table.WorkspaceOf("k2"), first)
	is.Equal(table.WorkspaceOf("k3"), second)
	is.Equal(table.WorkspaceOf(""), nil)
	is.Equal(table.WorkspaceOf("k"), nil)
	is.Equal(NewTable(1, nil, nil, WorkspaceList{}, Limits{}).RequiresKeys, false)
}

// A configuration without a list of workspaces, one with an empty list and one whose workspaces have no keys admit
// different requests. Their log lines must tell them apart.
func TestDescriptionTellsAnEmptyListOfWorkspacesFromNone(t *testing.T) {
	is := is.New(t)
	describe := func(l WorkspaceList) string { return NewTable(1, nil, nil, l, Limits{}).DescribeKeys() }
	is.Equal(describe(WorkspaceList{}), "no list of workspaces")
	is.Equal(describe(DeclaredWorkspaces()), "keys required, 0 workspaces with 0 keys")
	is.Equal(describe(DeclaredWorkspaces(&Workspace{Name: "w"})), "keys required, 1 workspaces with 0 keys")
	is.Equal(describe(DeclaredWorkspaces(&Workspace{Name: "w", Keys: []string{"k1", "k2"}})), "keys required, 1 workspaces with 2 keys")
}

// A lookup is on the path of each request.
func TestKeyLookupDoesNotAllocate(t *testing.T) {
	table := NewTable(1, nil, nil, DeclaredWorkspaces(&Workspace{Name: "w", Keys: []string{"jqurtyiikdrbn4ryrbbk"}}), Limits{})
	is.New(t).Equal(testing.AllocsPerRun(100, func() { table.WorkspaceOf("jqurtyiikdrbn4ryrbbk") }), 0.0)
}

// If only one of two restrictions applied, requests would reach servers outside of a region that the other requires.
func TestRegionsOfRouteAndWorkspaceBothApply(t *testing.T) {
	is := is.New(t)
	s := RequestScope{Route: &Route{AllowedRegions: []string{"a", "b"}}, Workspace: &Workspace{AllowedRegions: []string{"b", "c"}}}
	is.True(s.Restricted())
	is.Equal([]bool{s.AllowsRegion("a"), s.AllowsRegion("b"), s.AllowsRegion("c")}, []bool{false, true, false})
	free := RequestScope{Route: &Route{}, Workspace: &Workspace{}}
	is.True(!free.Restricted() && free.AllowsRegion("a"))
}

// The region of a server is unknown if the settings don't list its data centre. An empty name in a list must not allow it.
func TestUnknownRegionIsNotAllowedByAnEmptyName(t *testing.T) {
	is := is.New(t)
	s := RequestScope{Route: &Route{AllowedRegions: []string{"a", ""}}}
	is.True(s.Restricted() && s.AllowsRegion("a"))
	is.True(!s.AllowsRegion(""))
}

func TestPriorityOfWorkspaceReplacesThatOfRoute(t *testing.T) {
	is := is.New(t)
	urgent := 0
	route := &Route{Priority: 2}
	is.Equal(RequestScope{Route: route}.Priority(), 2)
	is.Equal(RequestScope{Route: route, Workspace: &Workspace{}}.Priority(), 2)
	is.Equal(RequestScope{Route: route, Workspace: &Workspace{Priority: &urgent}}.Priority(), 0)
}
