// Package stall detects that a process did not get to run its control loops in time.
package stall

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// checkInterval is the time between two checks.
	checkInterval = 500 * time.Millisecond
	// minDelay is the shortest delay of a check that counts as a stall.
	minDelay = time.Second
	// busyShare is the share of the elapsed time above which the process itself kept the processor. It lies below the
	// share of a core that small hosts have.
	busyShare = 0.05
)

// cause says why the checks of a process were late.
type cause string

const (
	// causeBusy means that the process itself used the processor, in a loop or for more work than it can do.
	causeBusy cause = "busy"
	// causePaused means that the process did not run, because it was suspended or the machine was short of processor time.
	causePaused cause = "paused"
)

// Config configures a Monitor.
type Config struct {
	Clock  clock.Clock
	Events *event.Recorder
	// ProcessorTime returns the processor time that the process has used. Default ProcessorTime.
	ProcessorTime func() time.Duration
}

// Monitor runs a periodic check as the control loops of a process do, and reports when it is late. It implements
// prometheus.Collector.
type Monitor struct {
	cfg     Config
	stalls  *prometheus.CounterVec
	seconds *prometheus.CounterVec
}

// NewMonitor returns a monitor. Run starts it.
func NewMonitor(cfg Config) *Monitor {
	if cfg.ProcessorTime == nil {
		cfg.ProcessorTime = ProcessorTime
	}
	return &Monitor{
		cfg: cfg,
		stalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_process_stalls_total", Help: "Times that the control loops did not run for over a second, by cause.",
		}, []string{"cause"}),
		seconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_process_stall_seconds_total", Help: "Time for which the control loops did not run, by cause.",
		}, []string{"cause"}),
	}
}

// Describe implements prometheus.Collector.
func (m *Monitor) Describe(ch chan<- *prometheus.Desc) {
	m.stalls.Describe(ch)
	m.seconds.Describe(ch)
}

// Collect implements prometheus.Collector.
func (m *Monitor) Collect(ch chan<- prometheus.Metric) {
	m.stalls.Collect(ch)
	m.seconds.Collect(ch)
}

// Run checks until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	last, lastUsed := m.cfg.Clock.Now(), m.cfg.ProcessorTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.cfg.Clock.After(checkInterval):
		}
		now, used := m.cfg.Clock.Now(), m.cfg.ProcessorTime()
		if now.Sub(last) >= checkInterval+minDelay {
			m.record(now.Sub(last), used-lastUsed)
		}
		last, lastUsed = now, used
	}
}

// record reports a check that came after elapsed instead of checkInterval, while the process used the processor for
// the given time.
func (m *Monitor) record(elapsed, used time.Duration) {
	reason, kind := causePaused, event.HostPaused
	if used.Seconds() >= busyShare*elapsed.Seconds() {
		reason, kind = causeBusy, event.ProcessStalled
	}
	m.stalls.WithLabelValues(string(reason)).Inc()
	m.seconds.WithLabelValues(string(reason)).Add((elapsed - checkInterval).Seconds())
	detail := fmt.Sprintf("control loops ran after %v instead of %v, %v of processor time used", elapsed.Round(time.Millisecond), checkInterval, used.Round(time.Millisecond))
	m.cfg.Events.Record(kind, event.Fields{Detail: detail})
}

// ProcessorTime returns the processor time that this process has used in user and kernel mode, or zero if the operating
// system doesn't tell.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
