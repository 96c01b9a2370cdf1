package event

// Events of requests that crash backend servers, 1500 to 1599.
const (
	QuarantineSuspected ID = 1500
	QuarantineBegan     ID = 1501
	QuarantineCleared   ID = 1502
	QuarantineGuarded   ID = 1503
	QuarantineRefused   ID = 1504
	QuarantineUntold    ID = 1505
	QuarantineUnsettled ID = 1506
	QuarantineWave      ID = 1507
	QuarantineDropped   ID = 1508
	QuarantineQuiet     ID = 1509
	QuarantineCaughtUp  ID = 1510
)

var _ = register(
	Kind{QuarantineSuspected, "quarantine-suspected", Info, "a backend server went down with a request in flight; from now on this request runs on one server at a time", ""},
	Kind{QuarantineBegan, "quarantine-began", Error, "a request is refused because backend servers went down while running it", "Find out why this request crashes backend servers. The refusal expires."},
	Kind{QuarantineCleared, "quarantine-cleared", Info, "a suspected request completed and is no longer suspected", ""},
	Kind{QuarantineGuarded, "quarantine-guarded", Warning, "too many backend servers went down for single requests to be the cause; no request is refused because of them", "Look for a cause that the servers have in common."},
	Kind{QuarantineRefused, "quarantine-refused", Debug, "a quarantined request was refused; it was not run", ""},
	Kind{QuarantineUntold, "quarantine-untold", Warning, "evidence about crashing requests did not reach another host", ""},
	Kind{QuarantineUnsettled, "quarantine-unsettled", Debug, "a request whose connection was lost continued before it was known whether it crashed a backend server", ""},
	Kind{QuarantineWave, "quarantine-wave", Warning, "so many backend servers went down within seconds that no single request is the cause; only crashes of requests that were in flight at several go to all hosts", "Look for a cause that the servers have in common."},
	Kind{QuarantineDropped, "quarantine-dropped", Warning, "evidence about crashing requests was not sent, because the budget of messages was used up; hosts exchange it later", ""},
	Kind{QuarantineQuiet, "quarantine-quiet", Info, "events about suspected requests were left out, because there were too many", ""},
	Kind{QuarantineCaughtUp, "quarantine-caught-up", Info, "the host has the evidence about crashing requests that other hosts had when it started", ""},
)
