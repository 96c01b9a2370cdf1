package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// Format is an output format.
type Format string

// Output formats.
const (
	// FormatText is one line of text per entry, for people.
	FormatText Format = "text"
	// FormatJSON is one JSON object per line.
	FormatJSON Format = "json"
	// FormatChrome is the Trace Event Format that chrome://tracing and Perfetto read.
	FormatChrome Format = "chrome"
	// FormatHTML is a self-contained HTML page.
	FormatHTML Format = "html"
)

// Formats returns all output formats.
func Formats() []Format { return []Format{FormatText, FormatJSON, FormatChrome, FormatHTML} }

// Streamable reports whether entries can be written in batches as they arrive.
func (f Format) Streamable() bool { return f == FormatText || f == FormatJSON }

// Write writes entries, which must be in causal order, in the format f.
func Write(w io.Writer, f Format, entries []Entry) error {
	switch f {
	case FormatText:
		return writeText(w, entries)
	case FormatJSON:
		return writeJSON(w, entries)
	case FormatChrome:
		return writeChrome(w, entries)
	case FormatHTML:
		return writeHTML(w, entries)
	}
	return &UnknownFormatError{Value: string(f)}
}

func writeJSON(w io.Writer, entries []Entry) error {
	encoder := json.NewEncoder(w)
	for i := range entries {
		if err := encoder.Encode(&entries[i]); err != nil {
			return err
		}
	}
	return nil
}

func writeText(w io.Writer, entries []Entry) error {
	for i := range entries {
		if _, err := fmt.Fprintln(w, textLine(&entries[i])); err != nil {
			return err
		}
	}
	return nil
}

const stampFormat = "2006-01-02T15:04:05.000000Z"

func textLine(e *Entry) string {
	name := strings.ToUpper(string(e.Type))
	if e.Type == TypeEvent {
		name = e.ID.String() + " " + e.Name
	}
	stamp := e.Time().UTC().Format(stampFormat)
	return strings.TrimRight(fmt.Sprintf("%s+%d %-16s %-28s %s", stamp, e.Logical, e.Host, name, attributes(e)), " ")
}

// attributes lists the fields that are set. It omits the text of an event, which is in the catalogue.
func attributes(e *Entry) string {
	var parts []string
	add := func(key, value string) {
		if value != "" {
			parts = append(parts, key+"="+value)
		}
	}
	if e.Type != TypeEvent {
		parts = append(parts, e.Text)
	}
	add("request", e.Request)
	add("caller", e.Caller)
	add("service", e.Service)
	add("target", e.Target)
	add("peer", e.Peer)
	if e.Revision != 0 {
		parts = append(parts, fmt.Sprintf("revision=%d", e.Revision))
	}
	if e.Detail != "" {
		parts = append(parts, fmt.Sprintf("detail=%q", e.Detail))
	}
	return strings.Join(parts, " ")
}

// microseconds returns the physical time of an entry in microseconds since the Unix epoch.
func microseconds(e *Entry) float64 { return float64(e.Wall) / float64(time.Microsecond) }
