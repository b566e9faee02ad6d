package host

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/peer"
)

const (
	// yieldPeriod is the time between two looks for a stronger host. The first
	// comes well before traffic does after a cold start.
	yieldPeriod = 3 * time.Second
	// yieldRatio is how much more processor another host must have: a hand-over
	// stands still for some tenths of a second.
	yieldRatio = 1.5
)

// yieldToStronger hands the cell over to a host with clearly more processor:
// after a cold start any host may have claimed it first.
func (h *Host) yieldToStronger(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, yieldPeriod)
		stronger := false
		err := h.loop.Call(ctx, func() {
			list := h.successors()
			stronger = len(list) > 0 && list[0].Power >= yieldRatio*h.Power
		})
		if err == nil && stronger {
			h.handOverOnce(ctx)
		}
	}
}

// handOver has another host claim the cell, and waits until it has.
func (h *Host) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		owner, handed := h.handOverOnce(ctx)
		if !owner || handed {
			return
		}
		// No successor was heard of yet, or none could claim.
		pause(ctx, handOverRetry)
	}
}

// handOverOnce asks the present candidates in turn. Owner is false if there is
// nothing to hand over.
func (h *Host) handOverOnce(ctx context.Context) (owner, handed bool) {
	var row ownerRow
	var revision int64
	var candidates []memberRow
	err := h.loop.Call(ctx, func() {
		if h.own == nil {
			return
		}
		owner = true
		row, revision = h.row, h.rowRev
		candidates = h.successors()
	})
	if err != nil {
		return false, false
	}
	for _, m := range candidates {
		if ctx.Err() != nil {
			return owner, false
		}
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		reply, err := peer.Call[handOverRequest, handOverReply](callCtx, h.peers, m.Address, callHandOver, &handOverRequest{
			Owner: row, Revision: revision,
		})
		cancel()
		if err == nil && reply.Taken {
			event.CellReleased.Log(h.Log).Str("to", m.Name).Int64("epoch", row.Epoch).Send()
			_ = h.loop.Call(ctx, func() { h.release("handed over to " + m.Name) })
			return owner, true
		}
	}
	return owner, false
}

// handOverRetry is the pause between two rounds of asking for a successor.
const handOverRetry = 100 * time.Millisecond

// handOverTimeout bounds the claim and the loading by one successor.
const handOverTimeout = 1500 * time.Millisecond
