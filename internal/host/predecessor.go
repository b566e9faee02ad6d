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
	sequence  int64
	storeLost bool // the store rejects the host's requests
}

// ownerRecord is what the last response of an owner shows about its records.
type ownerRecord struct {
	instance string
	epoch    int64 // 0: not known
	// until is the local time until which all that may run is recorded; 0: not recorded.
	until time.Duration
	// peersUntil is the local time until which the owner makes no starts without a record
	// because this host has told it that the store is available; 0: not recorded, or this
	// host has told it otherwise since.
	peersUntil time.Duration
	sole       bool // no former owner could act any more
}

// recordMargin is subtracted from the time until which an owner that does not respond
// any more is known to have recorded its starts, because clocks differ in rate.
const recordMargin = 50 * time.Millisecond

const (
	// peersSpan is how long an owner waits for the next heartbeat of a host with access to
	// the store before it takes the store for unavailable to all. A takeover from an owner
	// that does not respond takes less.
	peersSpan = 6 * time.Second
	// peersMargin is subtracted from it because clocks differ in rate.
	peersMargin = 200 * time.Millisecond
)

// newOwnerRecord returns what a heartbeat response to a request sent at the given time
// shows. The request told the owner whether this host had lost the store.
func newOwnerRecord(reply *heartbeatReply, sent time.Duration, storeLost bool) (r ownerRecord) {
	r.instance, r.epoch, r.sole = reply.Instance, reply.Epoch, reply.Sole
	if reply.Recorded {
		r.until = sent - time.Duration(reply.StoreAge)*time.Millisecond + storeUnavailableAfter - recordMargin
		if reply.AsksPeers && !storeLost {
			r.peersUntil = sent + peersSpan - peersMargin
		}
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
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		sleep(ctx, h.heartbeatInterval())
		v := h.view.Load()
		if !v.known || v.owner.Instance == h.instance {
			continue
		}
		storeLost := h.relay.DirectOutage() > 0
		current := false
		_ = h.loop.Call(ctx, func() {
			current = h.currentOwner.Instance == v.owner.Instance
			if storeLost {
				h.ownerRecord.peersUntil = 0
			}
		})
		if !current {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		sent := bootClock()
		reply, err := peer.Call[heartbeatRequest, heartbeatReply](callCtx, h.peers, v.owner.Address, callHeartbeat, &heartbeatRequest{
			Member: h.member(), StoreLost: storeLost, Tables: h.tablesVersion(), Sequence: sequence,
		})
		cancel()
		// Either no process listens at the owner's address, or another process
		// responds there.
		processTerminated := err != nil && isConnectionRefused(err) || err == nil && reply.Instance != v.owner.Instance
		if err == nil && !processTerminated && reply.Owner {
			h.recordLoads(reply.Loads, time.Duration(reply.LoadsAge)*time.Millisecond)
			if reply.Epoch > 0 { // it is not loading the cell
				h.window.Observe(reply.Backlog)
			}
			h.applyPeerTables("owner", &reply.Tables, sent)
			if !reply.Tables.Whole && reply.Tables.Version > h.tablesVersion() {
				h.refreshOnce() // too large for the heartbeat response
			}
			h.loop.Post(func() {
				h.ownerSuspicion = suspicion{}
				h.ownerRecord = newOwnerRecord(reply, sent, storeLost)
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

// freshProcessAge is the age up to which a process that has not heard from the owner counts
// as just started. An older one would have heard from an owner that was reachable.
const freshProcessAge = 10 * time.Second

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
		return predecessor{cell.PredecessorRecorded, !h.ownerRecord.sole}
	case owner.Instance != h.instance && !heard && time.Since(h.started) < freshProcessAge:
		return predecessor{cell.PredecessorUnknown, !terminated}
	}
	return predecessor{cell.PredecessorUnrecorded, !terminated || !heard || !h.ownerRecord.sole}
}

// recordedUntil returns the local time until which an owner that is alive starts nothing
// without a record, or 0 if that is not known.
func (h *Host) recordedUntil(owner ownerRow) time.Duration {
	if !h.ownerRecord.of(owner) {
		return 0
	}
	return h.ownerRecord.peersUntil
}

// recordHeartbeat records the sender of a heartbeat as alive. A heartbeat that was
// overtaken by a later one is ignored, because it may contradict it.
func (h *Host) recordHeartbeat(in *heartbeatRequest) {
	instance := in.Member.Instance
	if in.Sequence > 0 && in.Sequence <= h.heartbeats[instance].sequence {
		return
	}
	h.heartbeats[instance] = heartbeat{at: time.Now(), bootAt: bootClock(), sequence: in.Sequence, storeLost: in.StoreLost}
	if h.applyMember(in.Member) {
		h.publishView()
	}
}

// peersLostStore reports whether every host that was heard from within peersSpan has lost
// the store as well. Otherwise that host may have replaced this owner.
func (h *Host) peersLostStore() bool {
	for _, m := range h.members {
		last := h.heartbeats[m.Instance]
		if m.Instance != h.instance && time.Since(last.at) < peersSpan && !last.storeLost {
			return false
		}
	}
	return true
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
