package dedupe

// Reason is why a keyed request was refused without being run.
type Reason string

// Reasons of a refusal.
const (
	// ReasonUnreachable means that a holder of the key did not reply.
	ReasonUnreachable Reason = "holders-unreachable"
	// ReasonHandover means that the key's holders changed and its records are still being handed
	// over.
	ReasonHandover Reason = "handover"
	// ReasonIsolated means that a holder can't reach the majority of its region.
	ReasonIsolated Reason = "isolated"
	// ReasonTooFewHolders means that the home region has too few live entry hosts.
	ReasonTooFewHolders Reason = "too-few-holders"
	// ReasonFull means that a holder has reached its limit of records or bytes, for the caller or in
	// total.
	ReasonFull Reason = "full"
	// ReasonRecordsLost means that all holders of the key were lost within its window, so an earlier
	// run of the key can't be excluded. The key is refused until the window ends.
	ReasonRecordsLost Reason = "records-lost"
	// ReasonLeaving means that a holder is about to stop.
	ReasonLeaving Reason = "leaving"
	// ReasonDeadlineExceeded means that the deadline passed before the holders had recorded the run.
	ReasonDeadlineExceeded Reason = "deadline"
)
