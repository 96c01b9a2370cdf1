package routing

// WorkspaceList is the list of workspaces of a configuration. Its zero value is that of a configuration without a list,
// which differs from an empty list: that one requires keys and has none.
type WorkspaceList struct {
	declared bool
	all      []*Workspace
}

// DeclaredWorkspaces returns a list of the given workspaces, of which there may be none.
func DeclaredWorkspaces(workspaces ...*Workspace) WorkspaceList {
	return WorkspaceList{declared: true, all: workspaces}
}
