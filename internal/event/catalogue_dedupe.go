package event

// Events of idempotency keys, 1400 to 1499.
const (
	DedupeReady       ID = 1400
	DedupeInterrupted ID = 1401
	DedupeLoss        ID = 1402
	DedupeHandover    ID = 1403
	DedupeFull        ID = 1404
	DedupeUnreported  ID = 1405
	DedupeMismatch    ID = 1406
	DedupeHandedOver  ID = 1407
	DedupeNotHandedOver   ID = 1408
)

var _ = register(
	Kind{DedupeReady, "dedupe-ready", Info, "records of idempotency keys are complete for the present hosts of the region", ""},
	Kind{DedupeInterrupted, "dedupe-interrupted", Warning, "host was cut off or paused; it pulls its records of idempotency keys again", "Look for pauses of the host or faults of its network when this repeats."},
	Kind{DedupeLoss, "dedupe-loss", Error, "all holders of some idempotency keys were lost at once; these keys are refused for their window", "Tell the callers concerned to use new keys for new work and to check the outcome of old work."},
	Kind{DedupeHandover, "dedupe-handover", Debug, "records of idempotency keys are pulled from a member", ""},
	Kind{DedupeFull, "dedupe-full", Warning, "a limit of the table of idempotency keys is reached; new keys are refused", "Raise the limits, shorten the window, or find the caller that uses too many keys."},
	Kind{DedupeUnreported, "dedupe-unreported", Warning, "the result of a run did not reach a holder of its key", ""},
	Kind{DedupeMismatch, "dedupe-mismatch", Debug, "an idempotency key was used again for another request; refused", ""},
	Kind{DedupeHandedOver, "dedupe-handed-over", Info, "leaving host handed over its records of idempotency keys", ""},
	Kind{DedupeNotHandedOver, "dedupe-not-handed-over", Error, "leaving host stopped before its records of idempotency keys were handed over", "Raise the shutdown limit."},
)
