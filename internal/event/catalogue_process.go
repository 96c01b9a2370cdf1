package event

// Events of a process's life cycle, 1000 to 1099.
const (
	ProcessStarted   ID = 1000
	ProcessStopping  ID = 1001
	ProcessStopped   ID = 1002
	ProcessCutOff    ID = 1003
	SettingsRejected ID = 1004
	ProcessReloaded  ID = 1005
	ProcessStalled   ID = 1006
)

var _ = register(
	Kind{ProcessStarted, "process-started", Info, "the process started", ""},
	Kind{ProcessStopping, "process-stopping", Info, "graceful shutdown began", ""},
	Kind{ProcessStopped, "process-stopped", Info, "the process stopped with no requests in flight", ""},
	Kind{ProcessCutOff, "process-cut-off", Error, "the shutdown limit was reached with requests still in flight", "Raise the shutdown limit above the longest route deadline."},
	Kind{ProcessReloaded, "process-reloaded", Info, "a reload of the settings was requested", ""},
	Kind{ProcessStalled, "process-stalled", Error, "the control loops of this process did not run, although it used the processor", "If this repeats without high load, report it as a bug with a goroutine dump (SIGQUIT)."},
	Kind{SettingsRejected, "settings-rejected", Error, "a setting has an invalid value", "Correct the named flag or environment variable."},
)
