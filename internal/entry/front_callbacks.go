package entry

import (
	"net/netip"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
)

// onRefuse records a message that the listener refused for its framing or size.
func (h *Host) onRefuse(remote netip.AddrPort, refusal *front.RefusedError) {
	h.metrics.malformed.Inc()
	h.events.Record(event.RequestMalformed, event.Fields{Detail: remote.String() + ": " + refusal.Error()})
}

// onPanic records a panic of the request handler.
func (h *Host) onPanic(_ *front.Request, err error) {
	h.events.RecordError(event.RequestPanicked, event.Fields{}, err)
}
