package dedupe

// Reason says why a keyed request was refused without being run.
type Reason string

// Reasons of a refusal.
const (
	// ReasonUnreachable means that a holder of the key did not answer.
	ReasonUnreachable Reason = "holders-unreachable"
	// ReasonHandover means that the key's holders changed and its records are still being moved.
	ReasonHandover Reason = "handover"
	// ReasonIsolated means that a holder can't reach the majority of its region.
	ReasonIsolated Reason = "isolated"
	// ReasonTooFewHolders means that the home region has too few live entry hosts.
	ReasonTooFewHolders Reason = "too-few-holders"
	// ReasonFull means that the caller or the host keeps as many keys as the limits allow.
	ReasonFull Reason = "full"
	// ReasonRecordsLost means that all holders of the key were lost within its window, so that an earlier
	// run of it can't be excluded. It does not pass before the window does.
	ReasonRecordsLost Reason = "records-lost"
	// ReasonLeaving means that a holder is about to stop.
	ReasonLeaving Reason = "leaving"
	// ReasonDeadlineExceeded means that the deadline passed first.
	ReasonDeadlineExceeded Reason = "deadline"
)
