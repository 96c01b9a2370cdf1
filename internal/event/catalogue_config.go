package event

// Events of the configuration, 1100 to 1199.
const (
	ConfigInForce      ID = 1100
	ConfigRefused      ID = 1101
	ConfigStoreBehind  ID = 1102
	ConfigFork         ID = 1103
	ConfigWatchStarted ID = 1104
	ConfigWatchStopped ID = 1105
	ConfigPullFailed   ID = 1106
	ConfigHeadCorrupt  ID = 1107
)

// Events of the store (the key-value service), 1700 to 1799.
const (
	StoreUnreachable ID = 1700
	StoreReachable   ID = 1701
)

var _ = register(
	Kind{ConfigInForce, "config-in-force", Info, "a configuration revision was put in force", ""},
	Kind{ConfigRefused, "config-refused", Error, "a configuration revision failed validation; the previous one stays in force", "Run bilberryctl validate in the version of the host that refused the revision, then apply a corrected configuration."},
	Kind{ConfigStoreBehind, "config-store-behind", Warning, "the store holds an older configuration revision than the one in force", "The store was restored to an earlier state. Apply the intended configuration with bilberryctl apply --above REVISION."},
	Kind{ConfigFork, "config-fork", Error, "two configurations have the same revision number", "The store was restored to an earlier state and changed since. Apply the intended configuration with bilberryctl apply --above REVISION."},
	Kind{ConfigWatchStarted, "config-watch-started", Info, "this host started watching the store on behalf of its region", ""},
	Kind{ConfigWatchStopped, "config-watch-stopped", Info, "this host stopped watching the store; other hosts watch it", ""},
	Kind{ConfigPullFailed, "config-pull-failed", Warning, "a configuration revision could not be fetched; another source is tried", ""},
	Kind{ConfigHeadCorrupt, "config-head-corrupt", Error, "the store's head key can't be decoded", "Restore the key bilberryline/head from a backup of the store."},
	Kind{StoreUnreachable, "store-unreachable", Warning, "the key-value service does not answer", "Requests are still served under the configuration in force. Check the service before the next configuration change."},
	Kind{StoreReachable, "store-reachable", Info, "the key-value service answers again", ""},
)
