package shard

import (
	"maps"
	"slices"
	"time"
)

// Timing holds the durations of the ownership protocol.
type Timing struct {
	// Lease is how long an owner may start work after it sent a call that the
	// store or its peers then answered.
	Lease time.Duration
	// ClockDrift is added to the takeover wait because the clocks of the former
	// owner and its successor may run at different rates.
	ClockDrift time.Duration
	// SuspectAfter is how long a peer may be unresponsive before its shards may
	// be claimed.
	SuspectAfter time.Duration
}

// Faults disables parts of the protocol. It is set only by tests that show that
// each part is needed.
type Faults struct {
	SkipTakeoverWait   bool
	IgnoreGrants       bool
	IgnorePending      bool
	ReviveExpiredLease bool
	ForgetClaims       bool
}

// Phase is the state of a shard as observed by this process.
type Phase string

// The phases of a shard.
const (
	PhaseNone      Phase = "none"      // not owned by this process
	PhaseWaiting   Phase = "waiting"   // owned, but a former owner may still start work
	PhaseOwned     Phase = "owned"     // owned, work may start while the lease is valid
	PhaseReleasing Phase = "releasing" // being released, still owned according to the table
)

// ownership is the state of a shard whose row names this process as owner.
type ownership struct {
	epoch           int64
	takeoverWaitEnd time.Time
	pending         bool // the row still lists former owners
	releasing       bool
	drained         bool // no work is in progress in the releasing shard
}

// tableState is the latest observed revision of a table and the write to it
// that is in flight, if any.
type tableState struct {
	revision        int64
	table           Table
	inFlight        *Write
	epochObservedAt map[ID]time.Time // when the current epoch of a row was first observed
}

// peerState holds what is known about a peer.
type peerState struct {
	lastReply         time.Time        // send time of the last call that the peer answered
	lastClear         time.Time        // send time of the last call that it answered without claims on our shards
	grantedToPeer     bool             // the peer may claim our shards
	grantedByPeer     bool             // we may claim the peer's shards
	gone              bool             // the process is confirmed terminated
	confirmedLive     time.Time        // when another peer last confirmed that it is live
	observedRevisions map[string]int64 // latest revision of each table that it has observed
}

// Write is a compare-and-swap of one table to attempt at the store. It stays in
// flight until the table is observed at a revision above Revision, because only
// then is it known whether it took effect.
type Write struct {
	Key string
	// Revision is the revision of the table that the write replaces.
	Revision int64
	Table    Table

	// Changes describes the changes in human-readable form.
	Changes []string

	claimedFrom []Instance // owners whose shards the write claims
}

// appliedClaim is a claim of this process that took effect. Replies to its
// former owner must mention it until the former owner has observed the table
// at the claim's revision.
type appliedClaim struct {
	formerOwner Instance
	key         string
	revision    int64
}

// Tracker holds what one process has observed about the ownership of shards, and
// its own lease.
//
// A process may claim the shards of an unresponsive owner only with a grant
// from that owner. That owner may extend its lease without the store
// only by replies of all peers with such a grant, each stating that it has not
// claimed a shard of the owner. A claim therefore stops the extension of the
// former owner's lease, and the new owner waits until that lease has expired.
type Tracker struct {
	// Faults must be set before the first call.
	Faults Faults

	self           Instance
	timing         Timing
	tables         map[string]*tableState
	peers          map[Instance]*peerState
	owned          map[ID]*ownership
	appliedClaims  []appliedClaim
	lastStoreReply time.Time // send time of the last call that the store answered
	leaseEnd       time.Time
	lastListed     time.Time // send time of the last call answered by a host list with this host
	releaseAll     bool
}

// NewTracker returns the tracker of a process that owns no shards.
func NewTracker(self Instance, timing Timing) *Tracker {
	return &Tracker{
		self:   self,
		timing: timing,
		tables: map[string]*tableState{},
		peers:  map[Instance]*peerState{},
		owned:  map[ID]*ownership{},
	}
}

// Self returns the instance of this process.
func (t *Tracker) Self() Instance { return t.self }

// LeaseEnd returns until when work may start in owned shards.
func (t *Tracker) LeaseEnd() time.Time { return t.leaseEnd }

// LastStoreReply returns the send time of the last call that the store answered.
func (t *Tracker) LastStoreReply() time.Time { return t.lastStoreReply }

// ReleaseAll makes this process release all its shards and claim no others.
func (t *Tracker) ReleaseAll() { t.releaseAll = true }

// AddPeer adds a peer unless it is known already.
func (t *Tracker) AddPeer(peer Instance) {
	if _, ok := t.peers[peer]; !ok && peer != t.self {
		t.peers[peer] = &peerState{}
	}
}

// Apply processes one table from a reply of the store. RecordStoreReply must be
// called once all tables of the reply are applied.
func (t *Tracker) Apply(key string, revision int64, table Table, now time.Time) {
	state := t.state(key)
	if revision <= state.revision {
		return
	}
	for id, row := range table.Rows {
		if state.table.Rows[id].Epoch != row.Epoch {
			state.epochObservedAt[id] = now
		}
	}
	state.revision, state.table = revision, table
	if state.inFlight != nil && revision > state.inFlight.Revision {
		t.resolveWrite(state)
	}
	for id, row := range table.Rows {
		t.applyRow(id, row, now)
	}
	for id := range t.owned {
		if _, ok := table.Rows[id]; !ok && id.TableKey() == key {
			delete(t.owned, id)
		}
	}
}

// state returns the state of a table, empty if the table is new.
func (t *Tracker) state(key string) *tableState {
	state, ok := t.tables[key]
	if !ok {
		state = &tableState{table: Table{Rows: map[ID]Row{}}, epochObservedAt: map[ID]time.Time{}}
		t.tables[key] = state
	}
	return state
}

// resolveWrite removes a write after its table was observed at a later
// revision, and records those of its claims that took effect.
func (t *Tracker) resolveWrite(state *tableState) {
	write := state.inFlight
	state.inFlight = nil
	for id, row := range write.Table.Rows {
		if row.Owner == t.self && state.table.Rows[id].Owner == t.self && state.table.Rows[id].Epoch == row.Epoch {
			for _, formerOwner := range row.Pending {
				t.appliedClaims = append(t.appliedClaims, appliedClaim{formerOwner: formerOwner, key: write.Key, revision: state.revision})
			}
		}
	}
}

// applyRow updates the ownership of a shard from its row. A new owner waits
// until the lease of the former owners has expired, if they are not known to
// have stopped.
func (t *Tracker) applyRow(id ID, row Row, now time.Time) {
	if row.Owner != t.self {
		delete(t.owned, id)
		return
	}
	own, ok := t.owned[id]
	if !ok || own.epoch != row.Epoch {
		own = &ownership{epoch: row.Epoch}
		if len(row.Pending) > 0 && !t.Faults.SkipTakeoverWait {
			own.takeoverWaitEnd = now.Add(t.timing.Lease + t.timing.ClockDrift)
		}
		t.owned[id] = own
	}
	own.pending = len(row.Pending) > 0
}

// RecordStoreReply records that the applied tables came in the reply to a call
// sent at sentAt, and extends the lease.
func (t *Tracker) RecordStoreReply(sentAt time.Time) {
	if sentAt.After(t.lastStoreReply) {
		t.lastStoreReply = sentAt
	}
	t.extendLease(sentAt.Add(t.timing.Lease))
}

// extendLease moves the end of the lease to end, unless it is later already.
func (t *Tracker) extendLease(end time.Time) {
	if end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}

// RecordReply records a peer's reply to a call sent at sentAt. Clear means that
// the peer has no claim on shards of this process in flight and none that took
// effect and that this process has not observed yet.
func (t *Tracker) RecordReply(peer Instance, sentAt time.Time, clear bool, now time.Time) {
	t.AddPeer(peer)
	state := t.peers[peer]
	if sentAt.After(state.lastReply) {
		state.lastReply = sentAt
	}
	if clear && sentAt.After(state.lastClear) {
		state.lastClear = sentAt
	}
	t.extendLeaseFromPeers(now)
}

// RecordListed records that the host list contained this host in the reply to a
// call sent at sentAt.
func (t *Tracker) RecordListed(sentAt time.Time, now time.Time) {
	if sentAt.After(t.lastListed) {
		t.lastListed = sentAt
	}
	t.extendLeaseFromPeers(now)
}

// extendLeaseFromPeers extends a valid lease by the replies of all peers that
// may claim shards of this process, or by the host list if there are none. An
// expired lease can be restored by the store only: while it was expired, a peer
// may have claimed a shard and then terminated, so that the remaining peers have
// not observed the claim.
func (t *Tracker) extendLeaseFromPeers(now time.Time) {
	if now.After(t.leaseEnd) && !t.Faults.ReviveExpiredLease {
		return
	}
	earliest := t.lastListed
	claimants := 0
	for _, state := range t.peers {
		if !state.grantedToPeer || state.gone {
			continue
		}
		if claimants == 0 || state.lastClear.Before(earliest) {
			earliest = state.lastClear
		}
		claimants++
	}
	if !earliest.IsZero() {
		t.extendLease(earliest.Add(t.timing.Lease))
	}
}

// GrantClaims permits peer to claim shards of this process. It must be called
// before the peer is notified, because from then on the lease depends on the
// peer's replies.
func (t *Tracker) GrantClaims(peer Instance) {
	t.AddPeer(peer)
	t.peers[peer].grantedToPeer = true
}

// RecordGrant records that peer permits this process to claim its shards.
func (t *Tracker) RecordGrant(peer Instance) {
	t.AddPeer(peer)
	t.peers[peer].grantedByPeer = true
}

// RecordConfirmedLive records a confirmation by another process that peer
// responds to it and that peer's lease is valid.
func (t *Tracker) RecordConfirmedLive(peer Instance, now time.Time) {
	if peer == t.self {
		return
	}
	t.AddPeer(peer)
	t.peers[peer].confirmedLive = now
}

// RecordObservedRevisions records which revisions of the tables peer has observed.
// A peer that has observed another owner of a shard has stopped starting work
// in it.
func (t *Tracker) RecordObservedRevisions(peer Instance, revisions map[string]int64) {
	t.AddPeer(peer)
	t.peers[peer].observedRevisions = revisions
}

// RecordGone records that peer is confirmed terminated.
func (t *Tracker) RecordGone(peer Instance) {
	t.AddPeer(peer)
	t.peers[peer].gone = true
}

// IsGone reports whether peer is confirmed terminated.
func (t *Tracker) IsGone(peer Instance) bool {
	state, ok := t.peers[peer]
	return ok && state.gone
}

// IsLive reports whether peer answered a call sent within Timing.SuspectAfter.
func (t *Tracker) IsLive(peer Instance, now time.Time) bool {
	if peer == t.self {
		return true
	}
	state, ok := t.peers[peer]
	return ok && !state.gone && now.Sub(state.lastReply) < t.timing.SuspectAfter
}

// NoClaimsAgainst reports whether this process has no claim on shards of peer
// in flight, and none that took effect and that peer has not observed yet.
// Revisions are the table revisions that peer has observed.
func (t *Tracker) NoClaimsAgainst(peer Instance, revisions map[string]int64) bool {
	if t.Faults.ForgetClaims {
		return true
	}
	for _, state := range t.tables {
		if state.inFlight != nil && slices.Contains(state.inFlight.claimedFrom, peer) {
			return false
		}
	}
	for _, claim := range t.appliedClaims {
		if claim.formerOwner == peer && revisions[claim.key] < claim.revision {
			return false
		}
	}
	return true
}

// Revisions returns the latest observed revision of each table.
func (t *Tracker) Revisions() map[string]int64 {
	revisions := make(map[string]int64, len(t.tables))
	for key, state := range t.tables {
		revisions[key] = state.revision
	}
	return revisions
}

// Phase returns the phase of a shard at this process, and its epoch if the
// process owns it.
func (t *Tracker) Phase(id ID, now time.Time) (phase Phase, epoch int64) {
	own, ok := t.owned[id]
	switch {
	case !ok:
		return PhaseNone, 0
	case own.releasing:
		return PhaseReleasing, own.epoch
	case now.Before(own.takeoverWaitEnd):
		return PhaseWaiting, own.epoch
	}
	return PhaseOwned, own.epoch
}

// MayStart reports whether work may start in the shard now.
func (t *Tracker) MayStart(id ID, now time.Time) bool {
	phase, _ := t.Phase(id, now)
	return phase == PhaseOwned && now.Before(t.leaseEnd)
}

// MayStartAt is like MayStart for state that was created at the given epoch.
// State of an earlier epoch must not start work, even if this process owns the
// shard again: another process may have owned it in between.
func (t *Tracker) MayStartAt(id ID, epoch int64, now time.Time) bool {
	own, ok := t.owned[id]
	return ok && own.epoch == epoch && t.MayStart(id, now)
}

// MayFinishAt reports whether work in progress in a shard may be finished: this
// process has owned the shard since epoch. The shard may be releasing.
func (t *Tracker) MayFinishAt(id ID, epoch int64, now time.Time) bool {
	own, ok := t.owned[id]
	return ok && own.epoch == epoch && !now.Before(own.takeoverWaitEnd) && now.Before(t.leaseEnd)
}

// OwnedShards returns the shards whose rows name this process, sorted by ID.
func (t *Tracker) OwnedShards() []ID { return slices.Sorted(maps.Keys(t.owned)) }

// Owner returns the owner and the epoch of a shard in the latest observed table.
func (t *Tracker) Owner(id ID) (owner Instance, epoch int64) {
	state, ok := t.tables[id.TableKey()]
	if !ok {
		return "", 0
	}
	row := state.table.Rows[id]
	return row.Owner, row.Epoch
}

// KnownOwners returns the owners and the pending former owners of all shards
// except this process and those that are confirmed terminated.
func (t *Tracker) KnownOwners() (list []Instance) {
	seen := map[Instance]bool{"": true, t.self: true}
	for _, state := range t.tables {
		for _, row := range state.table.Rows {
			for _, instance := range append([]Instance{row.Owner}, row.Pending...) {
				if !seen[instance] && !t.IsGone(instance) {
					list = append(list, instance)
				}
				seen[instance] = true
			}
		}
	}
	return list
}

// MarkDrained records that no work is in progress in a releasing shard, so that
// the table may name another owner.
func (t *Tracker) MarkDrained(id ID) {
	if own, ok := t.owned[id]; ok && own.releasing {
		own.drained = true
	}
}
