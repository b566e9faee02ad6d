package host

import (
	"context"
	"time"

	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/peer"
)

// suspicion is the evidence that the current owner of the cell has failed.
type suspicion struct {
	instance   string    // instance of the suspected owner
	since      time.Time // time of the first missing response; zero: no suspicion
	terminated bool      // its process is confirmed terminated
	recorded   bool      // and had started nothing without a record before
}

// heartbeat is what an owner keeps of the last heartbeat of another host.
type heartbeat struct {
	at        time.Time
	bootAt    time.Duration // the same on the boot clock
	storeLost bool          // the store rejects the host's requests
}

// ownerRecord is what the last response of an owner shows about its records.
type ownerRecord struct {
	instance string
	epoch    int64 // 0: not known
	// until is the local time until which all that may run is recorded; 0: not recorded.
	until time.Duration
	sole  bool // no former owner could act any more
}

// recordMargin is subtracted from the time until which an owner that does not respond
// any more is known to have recorded its starts, because clocks differ in rate.
const recordMargin = 50 * time.Millisecond

// newOwnerRecord returns what a heartbeat response to a request sent at the given time
// shows.
func newOwnerRecord(reply *heartbeatReply, sent time.Duration) (r ownerRecord) {
	r.instance, r.epoch, r.sole = reply.Instance, reply.Epoch, reply.Sole
	if reply.Recorded {
		r.until = sent - time.Duration(reply.StoreAge)*time.Millisecond + storeUnavailableAfter - recordMargin
	}
	return r
}

// of reports whether the record is about the given owner.
func (r *ownerRecord) of(owner ownerRow) bool {
	return r.instance == owner.Instance && (r.epoch == 0 || r.epoch == owner.Epoch)
}

// monitorOwner sends heartbeats to the owner and records a suspicion if it does
// not respond.
func (h *Host) monitorOwner(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, h.heartbeatInterval())
		v := h.view.Load()
		if !v.known || v.owner.Instance == h.instance {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		sent := bootClock()
		reply, err := peer.Call[heartbeatRequest, heartbeatReply](callCtx, h.peers, v.owner.Address, callHeartbeat, &heartbeatRequest{
			Member: h.member(), StoreLost: h.relay.DirectOutage() > 0, Tables: h.tablesVersion(),
		})
		cancel()
		// Either no process listens at the owner's address, or another process
		// responds there.
		processTerminated := err != nil && isConnectionRefused(err) || err == nil && reply.Instance != v.owner.Instance
		if err == nil && !processTerminated && reply.Owner {
			h.applyPeerTables("owner", &reply.Tables, sent)
			if !reply.Tables.Whole && reply.Tables.Version > h.tablesVersion() {
				h.refreshOnce() // too large for the heartbeat response
			}
			h.loop.Post(func() {
				h.ownerSuspicion = suspicion{}
				h.ownerRecord = newOwnerRecord(reply, sent)
			})
			continue
		}
		_ = h.loop.Call(ctx, func() { h.suspectOwner(v.owner, processTerminated, err) })
		h.requestCellRead()
		if processTerminated {
			h.considerClaim(ctx)
		}
	}
}

// suspectOwner records that the owner did not respond as the owner of the cell.
func (h *Host) suspectOwner(owner ownerRow, processTerminated bool, err error) {
	if owner.Instance != h.currentOwner.Instance || h.cellOwner != nil {
		return
	}
	if h.ownerSuspicion.since.IsZero() {
		h.ownerSuspicion = suspicion{instance: owner.Instance, since: time.Now()}
		event.OwnerSuspected.Log(h.Log).Str("owner", owner.Name).Str("instance", owner.Instance).Bool("gone", processTerminated).
			Err(err).Send()
	}
	if processTerminated && !h.ownerSuspicion.terminated {
		h.ownerSuspicion.terminated = true
		h.ownerSuspicion.recorded = h.ownerRecord.of(owner) && bootClock() < h.ownerRecord.until
	}
}

// predecessor is what a host knows of the owner that it replaces.
type predecessor struct {
	starts cell.Predecessor
	alive  bool // it or an owner before it may still act
}

// predecessor returns what this host knows of an owner that it replaces.
func (h *Host) predecessor(owner ownerRow) predecessor {
	suspected := owner.Instance != "" && h.ownerSuspicion.instance == owner.Instance
	terminated := suspected && h.ownerSuspicion.terminated || owner.Name == h.Name && owner.Instance != h.instance
	heard := h.ownerRecord.of(owner)
	switch {
	case owner.Instance == "":
		return predecessor{starts: cell.PredecessorUnknown}
	case suspected && h.ownerSuspicion.recorded:
		return predecessor{starts: cell.PredecessorRecorded}
	case owner.Instance != h.instance && !heard && time.Since(h.started) < storeFailureMemory:
		return predecessor{cell.PredecessorUnknown, !terminated}
	}
	return predecessor{cell.PredecessorUnrecorded, !terminated || !heard || !h.ownerRecord.sole}
}

// recordHeartbeat records the sender of a heartbeat as alive.
func (h *Host) recordHeartbeat(in *heartbeatRequest) {
	instance := in.Member.Instance
	h.heartbeats[instance] = heartbeat{at: time.Now(), bootAt: bootClock(), storeLost: in.StoreLost}
	if h.applyMember(in.Member) {
		h.publishView()
	}
}

// isolated reports whether there are other hosts and none was heard from for long.
func (h *Host) isolated() (others bool) {
	for _, m := range h.members {
		if m.Name == h.Name {
			continue
		}
		if last, ok := h.heartbeats[m.Instance]; ok && bootClock()-last.bootAt < cell.MaxIsolation {
			return false
		}
		others = true
	}
	return others
}
