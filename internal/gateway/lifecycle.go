package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/setting"
	"github.com/bilberryline/bilberryline/internal/stall"
)

type remoteAddress = netip.AddrPort

// Start opens the listener for callers and starts following the registry.
func (g *Gateway) Start(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(context.WithoutCancel(ctx))
	g.cfg.Node.Start()
	g.client.Start()
	g.quotas.start(ctx)
	g.loops.Go(func() { g.cfg.Registry.Run(ctx) })
	stalls := stall.NewMonitor(stall.Config{Clock: clock.System{}, Events: g.cfg.Events})
	g.loops.Go(func() { stalls.Run(ctx) })
	g.metrics.registerParts(stalls, g.cfg.Registry, g.cfg.Node)
	g.loops.Go(func() {
		if err := g.crashDetector.Tracker().Run(ctx); err != nil && ctx.Err() == nil {
			g.cfg.Events.RecordError(event.QuarantineUntold, event.Fields{}, err)
		}
	})
	if err := g.front.Start(); err != nil {
		return err
	}
	g.cfg.Events.Record(event.ProcessStarted, event.Fields{Detail: "build " + setting.Build() + ", listening for callers on " + g.front.Addr().String()})
	return nil
}

// Stop shuts the gateway down gracefully: it fails the readiness check, keeps serving for the drain delay, waits for
// the requests in flight, and closes all connections. It returns the number of requests that were cut off when ctx
// was done; their callers have been told the outcome, as far as they read it within a moment.
func (g *Gateway) Stop(ctx context.Context) (cut int) {
	g.stop.begin(ctx, g.cfg.DrainDelay)
	g.front.Drain()
	g.cfg.Events.Record(event.ProcessStopping, event.Fields{})
	select {
	case <-time.After(g.cfg.DrainDelay):
	case <-ctx.Done():
	}
	cut = g.front.Shutdown(ctx)
	cut = max(cut, int(g.stop.cutOff.Load())) // they may have ended before Shutdown counted them
	g.cancel()
	if cut > 0 {
		g.cfg.Events.RecordError(event.ProcessCutOff, event.Fields{}, &CutOffError{Requests: cut})
		return cut
	}
	if !g.waitGoroutines(ctx) {
		g.cfg.Events.RecordError(event.ProcessCutOff, event.Fields{}, ErrGoroutinesLeft)
		return 0
	}
	g.cfg.Events.Record(event.ProcessStopped, event.Fields{})
	return 0
}

// waitGoroutines waits until all goroutines of the gateway have ended and closes the connections to backend servers. It
// returns false if ctx ends before. No caller is affected then.
func (g *Gateway) waitGoroutines(ctx context.Context) bool {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.background.Wait()
		g.loops.Wait()
		g.quotas.wait()
		g.client.Close()
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}
