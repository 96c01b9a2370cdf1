// Package explain holds the answer of a gateway to the question where a request would go now, and writes it as text.
package explain

// Path is the path at which a gateway explains decisions, on its listener for metrics. The parameters have the names of
// the constants below.
const Path = "/explain"

// Names of the query parameters of Path.
const (
	// ParamHost is the HTTP host of the request and ParamPath its path. Both are required.
	ParamHost = "host"
	ParamPath = "path"
	// ParamWorkspace is the name of the caller's workspace.
	ParamWorkspace = "workspace"
	// ParamTimeLeft is the time for which the caller waits, such as 800ms. The route's timeout holds if it is missing.
	ParamTimeLeft = "time-left"
)

// Explanation tells where a request would go now, and why. All times are in milliseconds.
type Explanation struct {
	// Host is the entry host that answers, Site its data centre and Region its region.
	Host   string `json:"host"`
	Site   string `json:"site"`
	Region string `json:"region"`
	// Configuration is the version of the configuration in force, and ConfigurationAgeMS the time since the store
	// confirmed it. ConfigurationStale tells that it may be outdated.
	Configuration      uint64 `json:"configuration"`
	ConfigurationAgeMS int64  `json:"configuration_age_ms"`
	ConfigurationStale bool   `json:"configuration_stale"`
	// Route is the name of the matching route, and Workspace that of the caller's workspace.
	Route     string `json:"route,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Priority is the priority of the request, 0 is the most urgent.
	Priority int `json:"priority"`
	// Refused is set if the request would be refused before a backend server is sought.
	Refused *Refusal `json:"refused,omitempty"`
	// Services holds the services among which the route's requests are divided.
	Services []Service `json:"services,omitempty"`
}

// Refusal is a response that declares the request as not run.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterMS is an example of the pause that callers are told, since it has jitter. It is zero if there is none.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Service tells what happens to a request that is assigned to one service.
type Service struct {
	Name string `json:"name"`
	// Share is the share of the route's requests that the service gets, 0 to 1.
	Share float64 `json:"share"`
	// UnloadedMS is the estimated time that the route's requests take on a server without other load, ObjectiveMS the
	// route's objective and TimeLeftMS the time until the request's deadline.
	UnloadedMS  int64 `json:"unloaded_ms"`
	ObjectiveMS int64 `json:"objective_ms"`
	TimeLeftMS  int64 `json:"time_left_ms"`
	// Waiting is the number of requests in the wait queue, Ahead the number of those that come before this one.
	Waiting int `json:"waiting"`
	Ahead   int `json:"ahead"`
	// Candidates holds all registered servers of the service, nearest first and within a ring by cost.
	Candidates []Candidate `json:"candidates"`
	Decision   Decision    `json:"decision"`
}

// Candidate is a registered backend server as the host sees it.
type Candidate struct {
	Server string `json:"server"`
	Site   string `json:"site"`
	// Ring is the distance: "data centre", "region" or "other region".
	Ring string `json:"ring"`
	// Excluded is the reason why the server may not get the request, or empty.
	Excluded string `json:"excluded,omitempty"`
	// Unusable is the reason why it gets no requests now although it may, or empty.
	Unusable string `json:"unusable,omitempty"`
	// Running, Waiting, Slots and Slowness are its last load report, and ReportAgeMS the age of it, -1 if there is none.
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Slots       int     `json:"slots"`
	Slowness    float64 `json:"slowness"`
	ReportAgeMS int64   `json:"report_age_ms"`
	// SentSinceReport is the number of requests that the host has sent since the report.
	SentSinceReport int `json:"sent_since_report"`
	// ExpectedMS is the expected response time, CostMS that and the costs of distance, faults and interference, and
	// RankingCostMS that and the cost of a likely refusal; the least one is chosen. They are zero for servers that are not
	// usable.
	ExpectedMS    int64 `json:"expected_ms"`
	CostMS        int64 `json:"cost_ms"`
	RankingCostMS int64 `json:"ranking_cost_ms"`
	// StartsAtOnce tells that the server has a free slot.
	StartsAtOnce bool `json:"starts_at_once"`
}

// Kinds of decisions.
const (
	// ActionSend means that the request is sent now.
	ActionSend = "send"
	// ActionWait means that the request waits for a better server.
	ActionWait = "wait"
	// ActionRefuse means that the request is refused at once.
	ActionRefuse = "refuse"
)

// Decision is what would happen to the request.
type Decision struct {
	// Action is one of the actions above.
	Action string `json:"action"`
	// Server is the best server by what the host knows without new probes, or empty.
	Server string `json:"server,omitempty"`
	Reason string `json:"reason"`
	// HoldMS is how long the request may wait.
	HoldMS int64 `json:"hold_ms,omitempty"`
	// Refused is the refusal, for ActionWait the one at the end of the wait if nothing changes until then.
	Refused *Refusal `json:"refused,omitempty"`
}
