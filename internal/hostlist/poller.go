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
	// maxListSize is the size limit of a list in bytes.
	maxListSize = 8 << 20
)

// Config configures a Poller.
type Config struct {
	// URL is the URL of the list.
	URL string
	// Interval is the time between reads. Default 2 s.
	Interval time.Duration
	// Timeout bounds one read. Default 1 s.
	Timeout time.Duration
	// Clock schedules the reads. Default the system clock.
	Clock clock.Clock
	// Events records outages of the list. It may be nil.
	Events *event.Recorder
	// Client sends the requests. Default a new client.
	Client *http.Client
}

// List is the result of one successful read. It is immutable.
type List struct {
	// Hosts holds the hosts, ordered by id.
	Hosts []Host
	// ReadAt is when the read started.
	ReadAt time.Time
}

// Poller reads the list at regular intervals and keeps the result of the last successful read.
type Poller struct {
	cfg  Config
	last atomic.Pointer[List]

	mu          sync.Mutex
	subscribers []func(*List)
	failing     bool
}

// New returns a poller. Run starts the reads.
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

// Last returns the result of the last successful read, or nil before the first one.
func (p *Poller) Last() *List { return p.last.Load() }

// Subscribe registers f to be called with the result of each successful read, in the goroutine that called Run
// or Poll. It must be called before Run.
func (p *Poller) Subscribe(f func(*List)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscribers = append(p.subscribers, f)
}

// Run reads the list at the configured interval until ctx ends.
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

// Poll reads the list once and passes it to the subscribers. When the read fails, it returns a FetchError, and
// Last still returns the previous list.
func (p *Poller) Poll(ctx context.Context) error {
	start := p.cfg.Clock.Now()
	hosts, err := p.fetch(ctx)
	if ctx.Err() == nil {
		p.recordOutage(err)
	}
	if err != nil {
		return &FetchError{URL: p.cfg.URL, Err: err}
	}
	list := &List{Hosts: hosts, ReadAt: start}
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

// recordOutage records the start and the end of an outage of the list.
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
