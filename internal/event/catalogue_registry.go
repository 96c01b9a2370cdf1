package event

// Events of the store's replica that entry hosts send to one another, 1800 to 1899.
const (
	RegistryTarget       ID = 1800
	RegistryFollowing    ID = 1801
	RegistrySourceLost   ID = 1802
	RegistryFollowerLost ID = 1803
	RegistryHistoryGone  ID = 1804
	RegistryListed       ID = 1805
	RegistryUnlisted     ID = 1806
	RegistryOddEntry     ID = 1807
	RegistryEvacuation   ID = 1808
	RegistryEraBegan     ID = 1809
)

var _ = register(
	Kind{RegistryTarget, "registry-target", Info, "the registration of a backend server changed", ""},
	Kind{RegistryFollowing, "registry-following", Info, "this host follows another host, which sends it the state of the store", ""},
	Kind{RegistrySourceLost, "registry-source-lost", Warning, "the followed host no longer sends updates; another source is used", "If this repeats, check the named host."},
	Kind{RegistryFollowerLost, "registry-follower-lost", Info, "a host that followed this one has disconnected", ""},
	Kind{RegistryHistoryGone, "registry-history-gone", Warning, "the store no longer keeps the changes since the last call; the whole state is read again", ""},
	Kind{RegistryListed, "registry-listed", Info, "this host is registered in the store", ""},
	Kind{RegistryOddEntry, "registry-odd-entry", Warning, "an entry in the store can't be used; it is left out and all others are in force", "Find out what wrote the entry."},
	Kind{RegistryEvacuation, "registry-evacuation", Info, "the operators' evacuation of a data centre began or ended in the store", ""},
	Kind{RegistryEraBegan, "registry-era-began", Warning, "the store came back from an older copy; the whole state was read again", "Expect the operators' and the servers' latest entries to be written again. OPERATIONS.md tells what is lost."},
	Kind{RegistryUnlisted, "registry-unlisted", Warning, "this host could not be registered in the store, or its registration could not be removed", "Check the store. The host keeps serving requests."},
)
