package timeline

import (
	"encoding/json"
	"io"
)

// traceEvent is one event of Chrome's Trace Event Format.
type traceEvent struct {
	Name  string     `json:"name"`
	Cat   string     `json:"cat,omitempty"`
	Phase string     `json:"ph"`
	Time  float64    `json:"ts"` // microseconds
	PID   int        `json:"pid"`
	TID   int        `json:"tid"`
	ID    string     `json:"id,omitempty"`
	Scope string     `json:"s,omitempty"`
	Args  *traceArgs `json:"args,omitempty"`
}

// traceArgs holds the arguments of a traceEvent: either a process name or an entry.
type traceArgs struct {
	Name  string `json:"name,omitempty"`
	Entry *Entry `json:"entry,omitempty"`
}

// traceFile is a trace in the JSON object format.
type traceFile struct {
	TraceEvents []traceEvent `json:"traceEvents"`
}

// Phases, scopes and categories of the Trace Event Format.
const (
	phaseMetadata   = "M"
	phaseInstant    = "i"
	phaseAsyncBegin = "b"
	phaseAsyncEnd   = "e"
	scopeProcess    = "p"
	requestCategory = "request"
)

// span holds the first and the last entry of a request on one host.
type span struct{ first, last *Entry }

// spanKey identifies a request on one host.
type spanKey struct{ host, request string }

// writeChrome writes a trace in which each host is a process. Each entry is an instant event. Each request is an
// asynchronous event from its first to its last entry on the host.
func writeChrome(w io.Writer, entries []Entry) error {
	pids := map[string]int{}
	spans := map[spanKey]*span{}
	var order []spanKey
	file := traceFile{TraceEvents: []traceEvent{}}
	for i := range entries {
		e := &entries[i]
		pid, known := pids[e.Host]
		if !known {
			pid = len(pids) + 1
			pids[e.Host] = pid
			file.TraceEvents = append(file.TraceEvents, processName(pid, e.Host))
		}
		file.TraceEvents = append(file.TraceEvents, instant(pid, e))
		if e.Request == "" {
			continue
		}
		key := spanKey{e.Host, e.Request}
		if spans[key] == nil {
			spans[key] = &span{first: e}
			order = append(order, key)
		}
		spans[key].last = e
	}
	for _, key := range order {
		file.TraceEvents = append(file.TraceEvents, spans[key].events(pids[key.host])...)
	}
	return json.NewEncoder(w).Encode(file)
}

func processName(pid int, host string) traceEvent {
	return traceEvent{Name: "process_name", Phase: phaseMetadata, PID: pid, Args: &traceArgs{Name: host}}
}

func instant(pid int, e *Entry) traceEvent {
	name := e.Name
	if name == "" {
		name = string(e.Type)
	}
	return traceEvent{
		Name: name, Phase: phaseInstant, Time: microseconds(e), PID: pid, TID: 1, Scope: scopeProcess,
		Args: &traceArgs{Entry: e},
	}
}

func (s *span) events(pid int) []traceEvent {
	begin := traceEvent{
		Name: s.first.Request, Cat: requestCategory, Phase: phaseAsyncBegin,
		Time: microseconds(s.first), PID: pid, TID: 1, ID: s.first.Request,
	}
	end := begin
	end.Phase = phaseAsyncEnd
	end.Time = microseconds(s.last)
	return []traceEvent{begin, end}
}
