package host

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/peer"
)

const (
	// yieldPeriod is the time between two looks for a host that should own the
	// cell instead.
	yieldPeriod = 200 * time.Millisecond
	// yieldAfter is how long a host owns the cell before it yields to a stronger
	// one: by then all hosts have been heard, and after a cold start it is well
	// before traffic comes.
	yieldAfter = 3 * time.Second
	// yieldRatio is how much more processor another host must have: a hand-over
	// stands still for some tenths of a second.
	yieldRatio = 1.5
	// cutOffAfter is how long the store must have turned the owner away before it
	// yields to a host that the store serves: relayed writes take longer, and some
	// are lost.
	cutOffAfter = 400 * time.Millisecond
	// servedFor is how long the store must have served the owner through others
	// by then. Right after an outage of the whole store hosts find it again one
	// after the other, within the time between two tries of the direct way.
	servedFor = 700 * time.Millisecond
)

// yield hands the cell over to a host that serves it better: one with clearly
// more processor, as after a cold start any host may have claimed it first, or
// one that reaches the store if this one does not.
func (h *Host) yield(ctx context.Context) {
	begun := time.Now()
	for ctx.Err() == nil {
		pause(ctx, yieldPeriod)
		better := false
		err := h.loop.Call(ctx, func() {
			list := h.successors()
			if len(list) == 0 || h.cutOff[list[0].Instance] {
				return
			}
			turnedAway := h.relay.DirectOutage() >= cutOffAfter && time.Since(h.store.LastFailure()) >= servedFor
			stronger := list[0].Power >= yieldRatio*h.CPUShare
			weaker := h.CPUShare >= yieldRatio*list[0].Power
			better = turnedAway && !weaker || stronger && time.Since(begun) >= yieldAfter
		})
		if err == nil && better {
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
