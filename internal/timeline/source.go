package timeline

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

// answerGrace is added to the wait that a host is asked for before the answer counts as missing.
const answerGrace = 3 * time.Second

// Source reads the events of one host, each once. It is not safe for concurrent use.
type Source struct {
	// Address is the host's admin address.
	Address string
	// Host is the host's id if it is known.
	Host string
	// Client sends the requests.
	Client *http.Client

	incarnation uint64
	last        uint64 // sequence number of the last event read
}

// Read returns the entries that are new since the last call. It waits for one for at most the given
// time. On failure it returns a FetchError.
func (s *Source) Read(ctx context.Context, wait time.Duration) ([]Entry, error) {
	header, events, err := s.fetch(ctx, wait)
	if err != nil {
		return nil, &FetchError{Address: s.Address, Err: err}
	}
	if s.incarnation != 0 && header.Incarnation != s.incarnation {
		return s.readRestarted(ctx, header)
	}
	s.incarnation, s.Host = header.Incarnation, header.Host
	return s.entries(header, events), nil
}

// readRestarted reads the events of a later incarnation from their beginning.
func (s *Source) readRestarted(ctx context.Context, seen event.Header) ([]Entry, error) {
	s.incarnation, s.Host, s.last = seen.Incarnation, seen.Host, 0
	header, events, err := s.fetch(ctx, 0)
	if err != nil {
		return nil, &FetchError{Address: s.Address, Err: err}
	}
	entries := s.entries(header, events)
	if len(entries) == 0 {
		return nil, nil
	}
	mark := Entry{Type: TypeRestart, Text: "a new incarnation of the host begins", Event: entries[0].Event}
	mark.Event = event.Event{Stamp: mark.Stamp, Host: header.Host, Incarnation: header.Incarnation}
	return append([]Entry{mark}, entries...), nil
}

// entries turns events into entries and marks gaps in their numbers.
func (s *Source) entries(header event.Header, events []event.Event) []Entry {
	entries := make([]Entry, 0, len(events))
	for _, e := range events {
		if missing := e.Seq - s.last - 1; missing > 0 {
			entries = append(entries, newGap(header, e, missing))
		}
		s.last = e.Seq
		entries = append(entries, newEntry(e))
	}
	return entries
}

func newGap(header event.Header, next event.Event, missing uint64) Entry {
	return Entry{
		Type:    TypeGap,
		Text:    fmt.Sprintf("%d events are no longer kept", missing),
		Missing: missing,
		Event:   event.Event{Stamp: next.Stamp, Host: header.Host, Incarnation: header.Incarnation},
	}
}

// UnreachableEntry returns the entry that stands for the host when Read failed at the given time.
func (s *Source) UnreachableEntry(at time.Time, err error) Entry {
	host := s.Host
	if host == "" {
		host = s.Address
	}
	return Entry{
		Type:  TypeUnreachable,
		Text:  "host can't be asked for its events",
		Event: event.Event{Stamp: event.Stamp{Wall: at.UnixNano()}, Host: host, Fields: event.Fields{Detail: err.Error()}},
	}
}

func (s *Source) fetch(ctx context.Context, wait time.Duration) (event.Header, []event.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerGrace)
	defer cancel()
	query := url.Values{"since": {strconv.FormatUint(s.last, 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	address := url.URL{Scheme: "http", Host: s.Address, Path: "/events", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		return event.Header{}, nil, err
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return event.Header{}, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return event.Header{}, nil, &StatusError{Status: resp.StatusCode}
	}
	return decode(resp.Body)
}

func decode(r io.Reader) (header event.Header, events []event.Event, err error) {
	decoder := json.NewDecoder(r)
	if err = decoder.Decode(&header); err != nil {
		return header, nil, err
	}
	for {
		var e event.Event
		err = decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return header, events, nil
		}
		if err != nil {
			return header, nil, err
		}
		events = append(events, e)
	}
}
