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

// responseGrace is the time beyond the requested wait after which a request to a host times out.
const responseGrace = 3 * time.Second

// Source reads the events of one host. It returns each event once. It is not safe for concurrent use.
type Source struct {
	// Address is the admin address of the host.
	Address string
	// Host is the ID of the host. It is empty while unknown.
	Host string
	// Client sends the HTTP requests.
	Client *http.Client

	incarnation uint64
	last        uint64 // sequence number of the last event read
}

// Read returns the entries that are new since the last call. If there are none, it waits for one for at most wait.
// If the host can't be read, it returns a FetchError.
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

// readRestarted reads the events of a later incarnation from the first one on.
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
	restart := Entry{Type: TypeRestart, Text: "a new incarnation of the host begins", Event: entries[0].Event}
	restart.Event = event.Event{Stamp: restart.Stamp, Host: header.Host, Incarnation: header.Incarnation}
	return append([]Entry{restart}, entries...), nil
}

// entries converts events to entries and adds a gap entry wherever sequence numbers are missing.
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

// UnreachableEntry returns an entry that reports that Read failed with err at the given time.
func (s *Source) UnreachableEntry(at time.Time, err error) Entry {
	host := s.Host
	if host == "" {
		host = s.Address
	}
	return Entry{
		Type:  TypeUnreachable,
		Text:  "the events of the host can't be read",
		Event: event.Event{Stamp: event.Stamp{Wall: at.UnixNano()}, Host: host, Fields: event.Fields{Detail: err.Error()}},
	}
}

func (s *Source) fetch(ctx context.Context, wait time.Duration) (event.Header, []event.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseGrace)
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
	return decodeEvents(resp.Body)
}

func decodeEvents(r io.Reader) (header event.Header, events []event.Event, err error) {
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
