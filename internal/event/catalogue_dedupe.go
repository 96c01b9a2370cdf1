package event

// Events of idempotency keys, 1400 to 1499.
const (
	DedupeReady         ID = 1400
	DedupeInterrupted   ID = 1401
	DedupeLoss          ID = 1402
	DedupeHandover      ID = 1403
	DedupeFull          ID = 1404
	DedupeUnreported    ID = 1405
	DedupeMismatch      ID = 1406
	DedupeHandedOver    ID = 1407
	DedupeNotHandedOver ID = 1408
)

var _ = register(
	Kind{DedupeReady, "dedupe-ready", Info, "the handover of records of idempotency keys is complete for the current hosts of the region", ""},
	Kind{DedupeInterrupted, "dedupe-interrupted", Warning, "this host was isolated or paused; it pulls its records of idempotency keys again", "If this repeats, look for pauses of the host or network faults."},
	Kind{DedupeLoss, "dedupe-loss", Error, "all holders of some idempotency keys were lost at the same time; requests with these keys are refused for the deduplication window", "Ask the affected callers to use new keys for new requests and to check the outcome of earlier ones."},
	Kind{DedupeHandover, "dedupe-handover", Debug, "records of idempotency keys are being pulled from another host", ""},
	Kind{DedupeFull, "dedupe-full", Warning, "the table of idempotency keys has reached a limit; requests with new keys are refused", "Raise the limits, shorten the deduplication window, or find the caller that uses too many keys."},
	Kind{DedupeUnreported, "dedupe-unreported", Warning, "the result of a request did not reach every holder of its idempotency key", ""},
	Kind{DedupeMismatch, "dedupe-mismatch", Debug, "a request was refused because its idempotency key belongs to a different request", ""},
	Kind{DedupeHandedOver, "dedupe-handed-over", Info, "this host handed over its records of idempotency keys before leaving", ""},
	Kind{DedupeNotHandedOver, "dedupe-not-handed-over", Error, "this host stopped before it had handed over its records of idempotency keys", "Raise the shutdown limit."},
)
