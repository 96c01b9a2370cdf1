// Package backend simulates backend servers for tests. Each server has a fixed number of slots and a bounded
// queue. Service times come from the request or from the server's own distribution. A server can straggle,
// start cold, drain, shed requests, fail, crash, report a false load or blackhole connections. Every run of
// every request is recorded.
package backend

import (
	"net/http"
	"time"
)

// Request headers that control a server, and response headers.
const (
	// HeaderRequestID identifies a request in the RunLog.
	HeaderRequestID = "X-Request-Id"
	// HeaderWork is the requested service time, as a Go duration such as 20ms.
	HeaderWork = "X-Standin-Work"
	// HeaderBodySize is the requested size of the response body in bytes. Without it, the server echoes the
	// request body.
	HeaderBodySize = "X-Standin-Body"
	// HeaderFraming selects the framing of the response body: length (default), chunked or close.
	HeaderFraming = "X-Standin-Framing"
	// HeaderCut makes the server close the connection after that many bytes of the body.
	HeaderCut = "X-Standin-Cut"
	// HeaderCrash, if not empty, makes the server crash while it runs the request.
	HeaderCrash = "X-Standin-Crash"
	// HeaderStatus is the requested status code of the response.
	HeaderStatus = "X-Standin-Status"
	// HeaderEchoedID is the request id in the response.
	HeaderEchoedID = "X-Standin-Id"
	// HeaderSHA256 is the SHA-256 hash of the response body, in hexadecimal.
	HeaderSHA256 = "X-Standin-Sha256"
	// HeaderServer is the name of the server that responded.
	HeaderServer = "X-Standin-Server"
	// HeaderDeadline is the time until the deadline of the request, in milliseconds.
	HeaderDeadline = "Bilberryline-Deadline-Ms"
	// HeaderNotRun in a response declares that the server did not run the request.
	HeaderNotRun = "Bilberryline-Not-Run"
	// HeaderDraining in a response declares that the server is draining.
	HeaderDraining = "Bilberryline-Draining"
	// HeaderLoad is the ORCA load report.
	HeaderLoad = "Endpoint-Load-Metrics"
)

// Settings control the behavior of a server. They can change at any time.
type Settings struct {
	// Slots is the maximum number of requests that run concurrently.
	Slots int `json:"slots"`
	// Queue is the maximum number of requests that wait for a slot.
	Queue int `json:"queue"`
	// WorkMS is the service time of requests without HeaderWork, in milliseconds.
	WorkMS float64 `json:"work_ms"`
	// Exponential draws the service time of requests without HeaderWork from an exponential distribution with
	// mean WorkMS.
	Exponential bool `json:"exponential"`
	// Slow is a factor of all service times. 1 is normal speed.
	Slow float64 `json:"slow"`
	// StragglerShare is the fraction of runs that take StragglerFactor times as long, 0 to 1.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// ColdRequests is the number of requests that take ColdFactor times as long. The count begins anew after a
	// crash and when this setting changes.
	ColdRequests int     `json:"cold_requests"`
	ColdFactor   float64 `json:"cold_factor"`
	// Fail is the fraction of requests that get a 500 response at once, 0 to 1.
	Fail float64 `json:"fail"`
	// Drain makes health checks fail and adds HeaderDraining to responses.
	Drain bool `json:"drain"`
	// RefuseDraining makes the server shed new requests while it drains.
	RefuseDraining bool `json:"refuse_draining"`
	// ShedStatus is the status code of responses to shed requests.
	ShedStatus int `json:"shed_status"`
	// ProbeMS is the slot time of one probe (a request to the health endpoint), in milliseconds.
	ProbeMS float64 `json:"probe_ms"`
	// ReportLagMS is the age of load reports, in milliseconds.
	ReportLagMS float64 `json:"report_lag_ms"`
	// ReportInFlight replaces the reported number of in-flight requests unless it is negative.
	ReportInFlight int `json:"report_in_flight"`
	// CrashDownMS is the time from a crash to the restart, in milliseconds.
	CrashDownMS float64 `json:"crash_down_ms"`
	// CrashLingerMS is how long a crashed server still accepts connections after the running requests failed,
	// in milliseconds.
	CrashLingerMS float64 `json:"crash_linger_ms"`
}

// DefaultSettings are the settings of a healthy server.
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

// SettingsError reports an invalid setting.
type SettingsError struct {
	Field   string
	Allowed string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return "backend setting " + e.Field + " is not allowed: want " + e.Allowed
}

// Validate returns a *SettingsError for the first invalid setting.
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
