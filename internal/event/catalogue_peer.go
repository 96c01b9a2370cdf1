package event

// Events of sessions between entry hosts, 1200 to 1219.
const (
	PeerUnreachable   ID = 1200
	PeerSessionSilent ID = 1201
	PeerRefused       ID = 1202
	// PeerHandlerPanicked reports a fault of the program that cost one exchange.
	PeerHandlerPanicked ID = 1203
)

var _ = register(
	Kind{PeerUnreachable, "peer-unreachable", Warning, "no session to another entry host can be established", "If this persists, check the host and the network between the hosts."},
	Kind{PeerSessionSilent, "peer-session-silent", Warning, "a session to another entry host was closed because the host did not answer a ping", "If this repeats, check firewalls and NAT between the hosts."},
	Kind{PeerHandlerPanicked, "peer-handler-panicked", Error, "the handler of a message from another entry host panicked; only this exchange is lost", "Report the stack trace as a bug."},
	Kind{PeerRefused, "peer-refused", Warning, "a connection to the peer listener was refused", "Check the peer address and id in the settings of both hosts."},
)
