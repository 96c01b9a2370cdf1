package quarantine

// targetKey identifies a target by its service and name.
type targetKey struct {
	service string
	name    string
}
