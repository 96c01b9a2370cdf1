package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of log lines that are buffered for a slow reader.
	maxQueuedLines = 4096
	// linesPerSecond limits the log under load. All lines of a second may come in one burst.
	linesPerSecond = 1500
	// dropReportInterval is the interval at which dropped lines are reported.
	dropReportInterval = time.Second
)

// LineWriter writes log lines without ever blocking the caller. It drops and counts the lines that exceed
// a rate limit or that do not fit into the buffer for a slow reader. It is safe for concurrent use.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	stopped chan struct{}

	mu       sync.Mutex
	second   int64 // Unix time of the current second
	received int   // lines received in this second, including those over the limit
}

// NewLineWriter returns a writer to out. The caller must close it, so that the last lines are written.
func NewLineWriter(out io.Writer) *LineWriter {
	w := &LineWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It expects a whole line and always returns a nil error.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.allow(time.Now().Unix()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allow reports whether the rate limit permits another line in the given second, and counts the line.
func (w *LineWriter) allow(second int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		w.second, w.received = second, 0
	}
	w.received++
	return w.received <= linesPerSecond
}

// Dropped returns the number of lines dropped so far.
func (w *LineWriter) Dropped() uint64 { return w.dropped.Load() }

// Sync implements zapcore.WriteSyncer. It does nothing.
func (w *LineWriter) Sync() error { return nil }

// Close writes the buffered lines and stops the writer.
func (w *LineWriter) Close() {
	close(w.done)
	<-w.stopped
}

func (w *LineWriter) run() {
	defer close(w.stopped)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-ticker.C:
			reported = w.reportDropped(reported)
		case <-w.done:
			w.flush()
			w.reportDropped(reported)
			return
		}
	}
}

func (w *LineWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}

// reportDropped writes a log line if lines were dropped since the last report. reported is the total of that
// report. It returns the new total.
func (w *LineWriter) reportDropped(reported uint64) uint64 {
	total := w.Dropped()
	if total > reported {
		fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d,\"total\":%d}\n", total-reported, total)
	}
	return total
}
