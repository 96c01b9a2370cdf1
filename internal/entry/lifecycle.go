package entry

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/setting"
)

const (
	// closeTimeout limits how long Stop takes to close all components after the last request has ended.
	closeTimeout = 5 * time.Second
	// handoverTimeout limits the handover of idempotency keys to other hosts.
	handoverTimeout = 5 * time.Second
)

// Start opens the administration listener, starts the background loops and finally opens the listener for
// callers.
func (h *Host) Start(ctx context.Context) error {
	ctx, h.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := h.admin.start(); err != nil {
		return err
	}
	h.peerNode.Start()
	h.client.Start()
	h.members.Subscribe(h.onView)
	h.onView(h.members.View())
	h.startLoops(ctx)
	if err := h.front.Start(); err != nil {
		return err
	}
	h.serving.Store(true)
	h.events.Record(event.ProcessStarted, event.Fields{Detail: "build " + setting.Build() + ", listening for callers on " + h.front.Addr().String()})
	return nil
}

// startLoops applies the configuration and starts the goroutines that run until the host stops.
func (h *Host) startLoops(ctx context.Context) {
	h.loops.Go(func() { h.members.Run(ctx) })
	if h.hostList != nil {
		h.loops.Go(func() { h.hostList.Run(ctx) })
	}
	h.loops.Go(func() { _ = h.deduplicator.Run(ctx) })
	h.loops.Go(func() { _ = h.quarantine.Run(ctx) })
	h.loops.Go(func() { h.drains.Run(ctx) })
	h.loops.Go(func() { h.slots.Run(ctx) })
	h.loops.Go(func() { h.prober.run(ctx) })
	h.applyConfiguration()
	if h.follower == nil {
		return
	}
	snapshots, cancel := h.follower.Subscribe()
	h.loops.Go(func() { _ = h.follower.Run(ctx) })
	h.loops.Go(func() {
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				return
			case <-snapshots:
				h.applyConfiguration()
			}
		}
	})
}

// Stop shuts the host down gracefully. It fails the readiness check, announces to the members that the host
// is leaving, keeps serving for the drain delay, waits for requests in flight, hands over the idempotency
// keys and closes all components. It returns a *CutOffError if ctx ended with requests in flight.
func (h *Host) Stop(ctx context.Context) error {
	h.events.Record(event.ProcessStopping, event.Fields{})
	h.serving.Store(false)
	h.members.AnnounceLeaving()
	h.front.Drain()
	select {
	case <-time.After(h.settings.DrainDelay):
	case <-ctx.Done():
	}
	cut := h.front.Shutdown(ctx)
	h.background.Wait()
	h.handOverKeys(ctx)
	h.close(ctx)
	if cut > 0 {
		err := &CutOffError{Requests: cut}
		h.events.RecordError(event.ProcessCutOff, event.Fields{}, err)
		return err
	}
	h.events.Record(event.ProcessStopped, event.Fields{})
	return nil
}

// handOverKeys transfers the idempotency keys to their next holders. It does nothing if a single holder
// suffices.
func (h *Host) handOverKeys(ctx context.Context) {
	if h.minHolders() < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_ = h.deduplicator.Leave(ctx)
}

func (h *Host) close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	h.cancel()
	h.loops.Wait()
	h.members.AnnounceLeft(ctx)
	_ = h.peerNode.Close(ctx)
	h.client.Close()
	h.admin.stop(ctx)
}
