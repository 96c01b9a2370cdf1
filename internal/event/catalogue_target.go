package event

// Events of backend servers, 1600 to 1699.
const (
	TargetDraining ID = 1600
	TargetFault    ID = 1601
	TargetProbed   ID = 1602
	TargetReturned ID = 1603
	TargetUntold   ID = 1604
)

var _ = register(
	Kind{TargetDraining, "target-draining", Info, "a backend server is draining and gets no new requests", ""},
	Kind{TargetFault, "target-fault", Debug, "an exchange with a backend server ended without a complete response", ""},
	Kind{TargetProbed, "target-probed", Debug, "a backend server was probed", ""},
	Kind{TargetReturned, "target-returned", Info, "a backend server takes new requests again", ""},
	Kind{TargetUntold, "target-untold", Warning, "an announcement that a backend server is draining was not delivered; failed deliveries are retried", ""},
)
