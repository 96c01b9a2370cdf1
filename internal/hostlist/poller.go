package hostlist

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	defaultInterval = 2 * time.Second
	defaultTimeout  = time.Second
	// maxListSize is the largest list in bytes.
	maxListSize = 8 << 20
)

// Config configures a Poller.
type Config struct {
	// URL is the list's address.
	URL string
	// Interval is the time between reads. Default 2 s.
	Interval time.Duration
	// Timeout bounds one read. Default 1 s.
	Timeout time.Duration
	// Clock drives the reads.
	Clock clock.Clock
	// Events records outages of the list.
	Events *event.Recorder
	// Client sends the requests. Default a client of its own.
	Client *http.Client
}

// List is the result of one successful read. It is immutable.
type List struct {
	// Hosts are ordered by id.
	Hosts []Host
	// ReadAt is the time at which the read began.
	ReadAt time.Time
}

// Poller reads the list at intervals and keeps the last good one.
type Poller struct {
	cfg  Config
	last atomic.Pointer[List]

	mu          sync.Mutex
	subscribers []func(*List)
	failing     bool
}

// New returns a poller that has not read anything yet.
func New(cfg Config) *Poller {
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Client == nil {
		cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	}
	return &Poller{cfg: cfg}
}

// Last returns the last good list, or nil before the first.
func (p *Poller) Last() *List { return p.last.Load() }

// Subscribe calls f with each good list, from the goroutine of Run. It must be called before Run.
func (p *Poller) Subscribe(f func(*List)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscribers = append(p.subscribers, f)
}

// Run reads the list until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	for {
		_ = p.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-p.cfg.Clock.After(p.cfg.Interval):
		}
	}
}

// Poll reads the list once and passes it to the subscribers. On failure it returns a FetchError and
// the last good list stays.
func (p *Poller) Poll(ctx context.Context) error {
	began := p.cfg.Clock.Now()
	hosts, err := p.fetch(ctx)
	if ctx.Err() == nil {
		p.recordOutage(err)
	}
	if err != nil {
		return &FetchError{URL: p.cfg.URL, Err: err}
	}
	list := &List{Hosts: hosts, ReadAt: began}
	p.last.Store(list)
	for _, f := range p.currentSubscribers() {
		f(list)
	}
	return nil
}

func (p *Poller) currentSubscribers() []func(*List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subscribers
}

// recordOutage records the begin and the end of an outage.
func (p *Poller) recordOutage(err error) {
	p.mu.Lock()
	changed := p.failing != (err != nil)
	p.failing = err != nil
	p.mu.Unlock()
	if !changed || p.cfg.Events == nil {
		return
	}
	if err != nil {
		p.cfg.Events.RecordError(event.HostListUnavailable, event.Fields{}, err)
		return
	}
	p.cfg.Events.Record(event.HostListRecovered, event.Fields{})
}

func (p *Poller) fetch(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.cfg.URL, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := p.cfg.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxListSize+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxListSize {
		return nil, &SizeError{Limit: maxListSize}
	}
	return Decode(b)
}
