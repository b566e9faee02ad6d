package host

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/event"
)

// stop takes this host out of service: no new connections, the cell handed
// over, requests answered for as long as callers may still use it.
func (h *Host) stop(ctx context.Context) {
	event.Stopping.Log(h.Log).Send()
	h.stopping.Store(true)
	deadline := time.Now().Add(h.ShutdownGrace - stopMargin)
	stopCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	h.handOver(stopCtx)
	pause(stopCtx, time.Until(minTime(deadline, time.Now().Add(lameDuck))))
}

const (
	// stopMargin is kept of the grace for the end of the process itself.
	stopMargin = 1500 * time.Millisecond
	// lameDuck is how long a host that is not ready still gets new
	// connections: two misses of the balancer's look each second, and one more.
	lameDuck = 3200 * time.Millisecond
)

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
