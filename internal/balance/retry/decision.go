package retry

// Decision says whether the request is sent again, and why not.
type Decision uint8

// Decisions.
const (
	// Allowed means: send it to a target that it has not been sent to, marked as a second send.
	Allowed Decision = iota
	// MayHaveRun means that a non-idempotent request may have been run.
	MayHaveRun
	// TooManyAttempts means that the limit of sends is reached.
	TooManyAttempts
	// NoOtherTarget means that there is no target that the request has not been sent to.
	NoOtherTarget
	// NoTime means that the deadline leaves no time.
	NoTime
	// RetriedAtOtherLevel means that another level sends the request a second time.
	RetriedAtOtherLevel
	// OverBudget means that the budget is spent.
	OverBudget
)

var decisionNames = [...]string{
	"allowed", "may-have-run", "too-many-sends", "no-other-target", "no-time", "other-level", "over-budget",
}

// String returns the decision's name in kebab case.
func (d Decision) String() string { return decisionNames[d] }
