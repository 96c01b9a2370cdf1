package event

// Events of requests that pass through the platform's gateway, 1320 to 1349.
const (
	GatewayPlaced        ID = 1320
	GatewayAnswered      ID = 1321
	GatewayResent        ID = 1322
	GatewayRefused       ID = 1323
	GatewayUnknown       ID = 1324
	GatewayFault         ID = 1325
	GatewayHedged        ID = 1326
	GatewayLeaving       ID = 1327
	GatewayBackoff       ID = 1328
	GatewayOddDelay      ID = 1329
	GatewayUnauthorized  ID = 1330
	GatewaySilent        ID = 1331
	GatewayNotSilent     ID = 1332
	GatewayLost          ID = 1333
	GatewayEvacuated     ID = 1335
	GatewayReadmitted    ID = 1336
	GatewayUnknownSite   ID = 1337
	GatewayServerCold    ID = 1338
	GatewayServerWarm    ID = 1339
	GatewayShortageBegan ID = 1343
	GatewayShortageEnded ID = 1344
	GatewayWaited        ID = 1345
)

var _ = register(
	Kind{GatewayPlaced, "gateway-placed", Info, "a backend server was selected for a request", ""},
	Kind{GatewayAnswered, "gateway-answered", Info, "the complete response of a backend server was forwarded to the caller", ""},
	Kind{GatewayResent, "gateway-resent", Info, "a request is retried on another backend server", ""},
	Kind{GatewayRefused, "gateway-refused", Info, "a request was refused; it was not run", ""},
	Kind{GatewayUnknown, "gateway-unknown", Warning, "the outcome of a request is unknown", "Check the backend server's own records for the request."},
	Kind{GatewayFault, "gateway-fault", Info, "an exchange with a backend server ended without a complete response", "If this repeats, check the named server."},
	Kind{GatewayHedged, "gateway-hedged", Info, "a slow idempotent request is hedged: a second attempt is sent, and the first response is used", ""},
	Kind{GatewayLeaving, "gateway-leaving", Info, "a backend server says that it is leaving; it gets no new requests from this host", ""},
	Kind{GatewayBackoff, "gateway-backoff", Info, "a backend server asks for a pause; it gets no requests from this host until then", ""},
	Kind{GatewayOddDelay, "gateway-odd-delay", Warning, "a backend server asks for a pause of invalid or excessive length, which is ignored or shortened", "Check the Retry-After that the named server sends."},
	Kind{GatewayUnauthorized, "gateway-unauthorized", Info, "a request without a known key was refused; it was not run", "Check that the caller's key is listed in the configuration that is in force."},
	Kind{GatewaySilent, "gateway-silent", Warning, "the backend servers of a service don't answer requests that they can't queue; from now on requests are sent only where a slot is free", "Make full servers refuse requests, which costs callers less."},
	Kind{GatewayNotSilent, "gateway-not-silent", Info, "full backend servers of a service refuse requests, so that it is no longer treated as silent", ""},
	Kind{GatewayLost, "gateway-lost", Info, "a request got no response from a full backend server that doesn't answer what it can't queue", ""},
	Kind{GatewayEvacuated, "gateway-evacuated", Info, "the operators evacuate a data centre; its servers get no new requests from this host", ""},
	Kind{GatewayReadmitted, "gateway-readmitted", Info, "the evacuation of a data centre has ended; its servers get requests again", ""},
	Kind{GatewayUnknownSite, "gateway-unknown-site", Warning, "the operators evacuate a data centre without registered servers; nothing changes until a server registers there", "Check the spelling of the data centre."},
	Kind{GatewayServerCold, "gateway-server-cold", Info, "a backend server says that it is cold; only one host sends it requests", ""},
	Kind{GatewayServerWarm, "gateway-server-warm", Info, "a backend server that was cold says that it is warm", ""},
	Kind{GatewayShortageBegan, "gateway-shortage-began", Warning, "a service is short of capacity: most requests of the last second found no backend server that could respond in time; requests are refused", "Compare the demand with the backend servers of the service. docs/OPERATIONS.md tells what is refused."},
	Kind{GatewayShortageEnded, "gateway-shortage-ended", Info, "a service is no longer short of capacity", ""},
	Kind{GatewayWaited, "gateway-waited", Info, "a request that waited during a shortage is sent", ""},
)
