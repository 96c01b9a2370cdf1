package quarantine

// Target identifies an incarnation of a backend server. A server that starts again under its name is another target: it
// was not running when the earlier incarnation crashed.
type Target struct {
	Name string
	// Incarnation is the start time of the incarnation as Unix time in milliseconds, or 0 if it is unknown.
	Incarnation int64
}

// targetKey identifies a target by its service, too.
type targetKey struct {
	service string
	Target
}
