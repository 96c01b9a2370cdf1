// Package backend is a stand-in of backend servers. Each server has a fixed number of slots and a
// bounded queue, takes service times from requests or from its own mix, and can straggle, start
// cold, drain, shed, fail, crash, lie about its load or go silent. It records every run of every
// request. It serves tests only.
package backend

import (
	"net/http"
	"time"
)

// Headers that steer a server or describe its answers.
const (
	// HeaderRequestID identifies a request for the record of runs.
	HeaderRequestID = "X-Request-Id"
	// HeaderWork is the service time the request asks for, as a duration such as 20ms.
	HeaderWork = "X-Standin-Work"
	// HeaderBodySize is the size of the answer's body in bytes. Absent, the request's body is echoed.
	HeaderBodySize = "X-Standin-Body"
	// HeaderFraming selects the answer's framing: length (default), chunked or close.
	HeaderFraming = "X-Standin-Framing"
	// HeaderCut makes the server cut the connection after that many bytes of the body.
	HeaderCut = "X-Standin-Cut"
	// HeaderCrash makes the server crash while it runs the request.
	HeaderCrash = "X-Standin-Crash"
	// HeaderStatus is the status code of the answer.
	HeaderStatus = "X-Standin-Status"
	// HeaderEchoedID repeats the request's id in the answer.
	HeaderEchoedID = "X-Standin-Id"
	// HeaderSHA256 is the hexadecimal hash of the answer's body.
	HeaderSHA256 = "X-Standin-Sha256"
	// HeaderServer names the server that answered.
	HeaderServer = "X-Standin-Server"
	// HeaderDeadline is the remaining time of the request in milliseconds.
	HeaderDeadline = "Bilberryline-Deadline-Ms"
	// HeaderNotRun declares that the server did not run the request.
	HeaderNotRun = "Bilberryline-Not-Run"
	// HeaderDraining declares that the server is leaving.
	HeaderDraining = "Bilberryline-Draining"
	// HeaderLoad carries the ORCA load report.
	HeaderLoad = "Endpoint-Load-Metrics"
)

// Settings describe the behavior of a server. They can change at any time.
type Settings struct {
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// Queue is the number of requests that may wait for a slot.
	Queue int `json:"queue"`
	// WorkMS is the service time of requests that ask for none, in milliseconds.
	WorkMS float64 `json:"work_ms"`
	// Exponential draws the server's own service times from an exponential distribution.
	Exponential bool `json:"exponential"`
	// Slow multiplies each service time. 1 is ordinary speed.
	Slow float64 `json:"slow"`
	// StragglerShare of the runs take StragglerFactor times as long.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// ColdRequests is the number of first requests that run ColdFactor times as long.
	ColdRequests int     `json:"cold_requests"`
	ColdFactor   float64 `json:"cold_factor"`
	// Fail is the share of the requests that are answered 500 at once, 0 to 1.
	Fail float64 `json:"fail"`
	// Drain makes the health endpoint fail and answers carry the draining header.
	Drain bool `json:"drain"`
	// RefuseDraining makes a draining server shed new requests.
	RefuseDraining bool `json:"refuse_draining"`
	// ShedStatus is the status code of shed requests.
	ShedStatus int `json:"shed_status"`
	// ProbeMS is the slot time of one call of the health endpoint, in milliseconds.
	ProbeMS float64 `json:"probe_ms"`
	// ReportLagMS delays the load reports, in milliseconds.
	ReportLagMS float64 `json:"report_lag_ms"`
	// ReportInFlight replaces the reported number of requests in flight when it is not negative.
	ReportInFlight int `json:"report_in_flight"`
	// CrashDownMS is how long the server is down after a crash, in milliseconds.
	CrashDownMS float64 `json:"crash_down_ms"`
	// CrashLingerMS is how long a crashed server still takes connections after the open ones died, in
	// milliseconds.
	CrashLingerMS float64 `json:"crash_linger_ms"`
}

// DefaultSettings are those of a well server.
var DefaultSettings = Settings{
	Slots:           6,
	Queue:           64,
	WorkMS:          20,
	Slow:            1,
	StragglerFactor: 20,
	ColdFactor:      10,
	ShedStatus:      http.StatusServiceUnavailable,
	ProbeMS:         6,
	ReportInFlight:  -1,
	CrashDownMS:     1000,
}

// SettingsError reports a setting that is not allowed.
type SettingsError struct {
	Field   string
	Allowed string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return "backend setting " + e.Field + " is not allowed: want " + e.Allowed
}

// Validate reports settings that are not allowed.
func (s Settings) Validate() error {
	switch {
	case s.Slots < 1:
		return &SettingsError{Field: "slots", Allowed: "at least 1"}
	case s.Queue < 0:
		return &SettingsError{Field: "queue", Allowed: "at least 0"}
	case s.Slow <= 0:
		return &SettingsError{Field: "slow", Allowed: "above 0"}
	case s.Fail < 0 || s.Fail > 1:
		return &SettingsError{Field: "fail", Allowed: "0 to 1"}
	case s.ShedStatus < 400 || s.ShedStatus > 599:
		return &SettingsError{Field: "shed_status", Allowed: "400 to 599"}
	}
	return nil
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
