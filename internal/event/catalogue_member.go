package event

// Events of the entry hosts' membership and of the host list, 1220 to 1259.
const (
	MemberJoined        ID = 1220
	MemberSuspect       ID = 1221
	MemberDead          ID = 1222
	MemberLeaving       ID = 1223
	MemberLeft          ID = 1224
	MemberRecovered     ID = 1225
	MemberRefuted       ID = 1226
	HostIsolated        ID = 1227
	HostRejoined        ID = 1228
	HostPaused          ID = 1229
	HostSuperseded      ID = 1230
	HostListUnavailable ID = 1240
	HostListRecovered   ID = 1241
)

var _ = register(
	Kind{MemberJoined, "member-joined", Info, "an entry host joined", ""},
	Kind{MemberSuspect, "member-suspect", Warning, "an entry host does not answer probes", "Check the host if it does not recover."},
	Kind{MemberDead, "member-dead", Warning, "an entry host is considered dead", "Replace the host unless the platform does so on its own."},
	Kind{MemberLeaving, "member-leaving", Info, "an entry host is leaving", ""},
	Kind{MemberLeft, "member-left", Info, "an entry host has left", ""},
	Kind{MemberRecovered, "member-recovered", Info, "an entry host answers again", ""},
	Kind{MemberRefuted, "member-refuted", Warning, "other hosts considered this host dead; it has announced that it is alive", "Look for a pause of this host or a network partition at that time."},
	Kind{HostIsolated, "host-isolated", Error, "this host reaches less than a majority of its region; requests with an idempotency key are refused", "Check the network of the region. Check that removed hosts disappear from the host list."},
	Kind{HostRejoined, "host-rejoined", Info, "this host reaches a majority of its region again", ""},
	Kind{HostPaused, "host-paused", Warning, "this process did not run for a while", "Check whether the machine is short of CPU time."},
	Kind{HostSuperseded, "host-superseded", Error, "a newer process uses this host's id", "Stop this process or give it an id of its own."},
	Kind{HostListUnavailable, "host-list-unavailable", Warning, "the host list can't be read; the last valid one stays in use", "Check the platform's host list."},
	Kind{HostListRecovered, "host-list-recovered", Info, "the host list can be read again", ""},
)
