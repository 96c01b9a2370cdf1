package retry

// Decision is whether a request is sent again, with the reason if it is not.
type Decision uint8

// Decisions.
const (
	// Allowed means that the request may be sent to a target that it has not been sent to. It must be
	// marked as a retry.
	Allowed Decision = iota
	// MayHaveRun means that the request is not idempotent and may have been run.
	MayHaveRun
	// TooManyAttempts means that the limit of attempts has been reached.
	TooManyAttempts
	// NoOtherTarget means that there is no target that the request has not been sent to.
	NoOtherTarget
	// NoTime means that the deadline leaves no time for another attempt.
	NoTime
	// RetriedAtOtherLevel means that another level of the call retries the request.
	RetriedAtOtherLevel
	// OverBudget means that the budget is exhausted.
	OverBudget
)

var decisionNames = [...]string{
	"allowed", "may-have-run", "too-many-sends", "no-other-target", "no-time", "other-level", "over-budget",
}

// String returns the decision's name in kebab case.
func (d Decision) String() string { return decisionNames[d] }
