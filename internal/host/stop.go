package host

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/event"
)

// stop takes this host out of service: it no longer reports as ready, hands the
// cell over and continues to serve requests until the load balancer has stopped
// sending new connections.
func (h *Host) stop(ctx context.Context) {
	event.Stopping.Log(h.Log).Send()
	h.stopping.Store(true)
	deadline := time.Now().Add(h.ShutdownGrace - stopMargin)
	stopCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	h.handOver(stopCtx)
	sleep(stopCtx, time.Until(minTime(deadline, time.Now().Add(lameDuck))))
}

const (
	// stopMargin is the part of ShutdownGrace reserved for the end of the
	// process.
	stopMargin = 1500 * time.Millisecond
	// lameDuck is the time during which a host that is not ready still receives
	// new connections: the load balancer checks once a second and needs two
	// failed checks, and one more second is added.
	lameDuck = 3200 * time.Millisecond
)

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
