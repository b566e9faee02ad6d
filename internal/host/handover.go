package host

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/peer"
)

const (
	// handOverCheckInterval is the interval between two checks for a host that
	// should own the cell instead.
	handOverCheckInterval = 200 * time.Millisecond
	// minOwnershipTime is the minimum time between a takeover and a handover to
	// a host with a larger CPU share. Within this time all hosts have sent a heartbeat,
	// and after a cold start the handover still happens well before requests
	// arrive.
	minOwnershipTime = 3 * time.Second
	// handOverCPURatio is the minimum ratio of the other host's CPU share to
	// that of the owner. A handover stops scheduling for some tenths of a
	// second, so small gains are not worth it.
	handOverCPURatio = 1.5
	// maxDirectOutage is the time without direct access to the store after
	// which the owner hands over to a host that has it. Relayed writes take
	// longer, and some of them are lost.
	maxDirectOutage = 400 * time.Millisecond
	// minRelayedService is the time for which the store must have served the
	// owner through other hosts before that handover. After an outage of the
	// whole store, hosts regain access one by one within the retry interval of
	// the direct connection; that is no reason for a handover.
	minRelayedService = 700 * time.Millisecond
)

// handOverToBetterHost hands the cell over to a host with a considerably larger
// CPU share, because after a cold start any host may have claimed the cell
// first. If this host has no direct access to the store, it also hands over to a
// host that has it, unless that host's CPU share is considerably smaller.
func (h *Host) handOverToBetterHost(ctx context.Context) {
	start := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, handOverCheckInterval)
		better := false
		err := h.loop.Call(ctx, func() {
			list := h.handOverCandidates()
			if len(list) == 0 || h.heartbeats[list[0].Instance].storeLost {
				return
			}
			withoutDirectAccess := relayed(h.relay.DirectOutage(), time.Since(h.store.LastFailure()), time.Since(h.store.LastSuccess()))
			stronger := list[0].CPUShare >= handOverCPURatio*h.CPUShare
			weaker := h.CPUShare >= handOverCPURatio*list[0].CPUShare
			better = withoutDirectAccess && !weaker || stronger && time.Since(start) >= minOwnershipTime
		})
		if err == nil && better {
			h.tryHandOver(ctx)
		}
	}
}

// relayed reports whether the store serves this host through other hosts only. A call
// without a response fails some time after the direct path, so the last success must be
// recent: an offer of the cell in an outage of the whole store would suspend starts without
// a record.
func relayed(directOutage, sinceFailure, sinceSuccess time.Duration) bool {
	return directOutage >= maxDirectOutage && sinceFailure >= minRelayedService && sinceSuccess < minRelayedService
}

// handOver hands the cell over to another host and retries until one has taken
// it.
func (h *Host) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		owner, handedOver := h.tryHandOver(ctx)
		if !owner || handedOver {
			return
		}
		// No candidate has sent a heartbeat yet, or none could claim the cell.
		sleep(ctx, handOverRetryInterval)
	}
}

// tryHandOver offers the cell to the current candidates one after the other.
// The result owner is false if this host does not own the cell.
func (h *Host) tryHandOver(ctx context.Context) (owner, handedOver bool) {
	var row ownerRow
	var revision int64
	var candidates []memberRow
	var recorded, sole bool
	err := h.loop.Call(ctx, func() {
		if h.cellOwner == nil {
			return
		}
		owner = true
		row, revision = h.currentOwner, h.ownerRowRevision
		candidates = h.handOverCandidates()
		h.handingOver = true
		h.cellOwner.SuspendUnrecorded(true)
		recorded, sole = h.cellOwner.Recorded(), h.cellOwner.Sole()
	})
	if err != nil {
		return false, false
	}
	// Unrecorded starts stay suspended until the next write of this owner succeeds: a
	// candidate that did not answer may have claimed the cell.
	defer func() { _ = h.loop.Call(ctx, func() { h.handingOver = false }) }()
	for _, m := range candidates {
		if ctx.Err() != nil {
			return owner, false
		}
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		reply, err := peer.Call[handOverRequest, handOverReply](callCtx, h.peers, m.Address, callHandOver, &handOverRequest{
			Owner: row, Revision: revision, Recorded: recorded, Sole: sole,
		})
		cancel()
		if err == nil && reply.Taken {
			event.CellReleased.Log(h.Log).Str("to", m.Name).Int64("epoch", row.Epoch).Send()
			_ = h.loop.Call(ctx, func() { h.endOwnership("handed over to " + m.Name) })
			return owner, true
		}
	}
	return owner, false
}

// handOverRetryInterval is the interval between two attempts to hand over to
// any of the candidates.
const handOverRetryInterval = 100 * time.Millisecond

// handOverTimeout bounds the time for one candidate to claim and load the cell.
const handOverTimeout = 1500 * time.Millisecond
