package event

// Events of quotas of workspaces, 1900 to 1909.
const (
	QuotaCoordinator ID = 1900
	QuotaUnreachable ID = 1901
	QuotaExceeded    ID = 1902
	QuotaElected     ID = 1903
	QuotaSuspended   ID = 1904
)

var _ = register(
	Kind{QuotaCoordinator, "quota-coordinator", Info, "this host gets its tokens for requests of workspaces from another coordinator than before", ""},
	Kind{QuotaUnreachable, "quota-unreachable", Warning, "another host doesn't answer a question for tokens; requests don't wait for it until it answers again", "If this repeats, check the named host and the link to it."},
	Kind{QuotaExceeded, "quota-exceeded", Info, "requests of a workspace are refused because it has used its quota; recorded once a second at most", "Compare the workspace's demand with its rate and burst in the configuration."},
	Kind{QuotaElected, "quota-elected", Info, "this host has become the quota coordinator of its data centre", ""},
	Kind{QuotaSuspended, "quota-suspended", Warning, "the host was suspended, or its clock was set; its tokens and votes are dropped", "If this repeats, check the machine of the host and its time service."},
)
