package shard

import (
	"maps"
	"slices"
	"time"
)

// Timing holds the durations of the ownership protocol.
type Timing struct {
	// Lease is how long one confirmation lets an owner start work.
	Lease time.Duration
	// ClockDrift is added to a successor's wait for clocks of different rates.
	ClockDrift time.Duration
	// SuspectAfter is the silence after which a peer's shards may be claimed.
	SuspectAfter time.Duration
}

// Faults switches parts of the protocol off. Only the proof sets them.
type Faults struct {
	SkipTakeoverWait   bool
	IgnoreGrants       bool
	IgnorePending      bool
	ReviveExpiredLease bool
	ForgetClaims       bool
}

// Phase is where this process stands with a shard.
type Phase string

// The phases of a shard.
const (
	PhaseNone      Phase = "none"      // owned by another process or by none
	PhaseWaiting   Phase = "waiting"   // owned, an earlier owner may still start work
	PhaseOwned     Phase = "owned"     // owned, work may start while the right lasts
	PhaseReleasing Phase = "releasing" // given up, the table may not show it yet
)

type holding struct {
	epoch     int64
	waitUntil time.Time
	pending   bool // the row still lists earlier owners
	releasing bool
	drained   bool
}

type tableState struct {
	revision int64
	table    Table
	write    *Write
	changed  map[ID]time.Time // when the present epoch of a row was first seen
}

type peerState struct {
	lastAnswer time.Time        // send time of the last call it answered
	clearAt    time.Time        // send time of the last call it answered without claims
	granted    bool             // it may claim our shards
	grantedUs  bool             // we may claim its shards
	gone       bool             // proved dead
	vouched    time.Time        // when another peer last told that it works
	saw        map[string]int64 // revisions of the tables it has seen
}

// Write is a compare-and-swap of one table to attempt at the store. It stays
// under way until the table is seen at a revision above Revision.
type Write struct {
	Key      string
	Revision int64
	Table    Table

	// Changes tells for people what the write changes.
	Changes []string

	claims []Instance // owners whose rows the write takes
}

// claimed remembers a claim that took effect, until its former owner has seen it.
type claimed struct {
	owner    Instance
	key      string
	revision int64
}

// Tracker is one process's knowledge of ownership.
type Tracker struct {
	// Faults is set by the proof before use.
	Faults Faults

	self        Instance
	timing      Timing
	tables      map[string]*tableState
	peers       map[Instance]*peerState
	holdings    map[ID]*holding
	claimed     []claimed
	confirmedAt time.Time // send time of the last store answer applied
	rightEnd    time.Time
	listedAt    time.Time // send time of the last host list that had this host
	leaving     bool
}

// NewTracker returns the book of a process that owns nothing.
func NewTracker(self Instance, timing Timing) *Tracker {
	return &Tracker{
		self:     self,
		timing:   timing,
		tables:   map[string]*tableState{},
		peers:    map[Instance]*peerState{},
		holdings: map[ID]*holding{},
	}
}

// Self returns the instance of this process.
func (b *Tracker) Self() Instance { return b.self }

// LeaseEnd returns until when owned shards may start work.
func (b *Tracker) LeaseEnd() time.Time { return b.rightEnd }

// ConfirmedAt returns the send time of the last answer of the store.
func (b *Tracker) ConfirmedAt() time.Time { return b.confirmedAt }

// ReleaseAll makes this process give up all shards.
func (b *Tracker) ReleaseAll() { b.leaving = true }

// AddPeer adds a peer, if it is new.
func (b *Tracker) AddPeer(peer Instance) {
	if _, ok := b.peers[peer]; !ok && peer != b.self {
		b.peers[peer] = &peerState{}
	}
}

// Apply takes one table from an answer of the store. RecordStoreReply must follow once
// all tables of the answer are applied.
func (b *Tracker) Apply(key string, revision int64, table Table, now time.Time) {
	state := b.state(key)
	if revision <= state.revision {
		return
	}
	for id, row := range table.Rows {
		if state.table.Rows[id].Epoch != row.Epoch {
			state.changed[id] = now
		}
	}
	state.revision, state.table = revision, table
	if state.write != nil && revision > state.write.Revision {
		b.resolve(state)
	}
	for id, row := range table.Rows {
		b.applyRow(id, row, now)
	}
	for id := range b.holdings {
		if _, ok := table.Rows[id]; !ok && id.TableKey() == key {
			delete(b.holdings, id)
		}
	}
}

func (b *Tracker) state(key string) *tableState {
	state, ok := b.tables[key]
	if !ok {
		state = &tableState{table: Table{Rows: map[ID]Row{}}, changed: map[ID]time.Time{}}
		b.tables[key] = state
	}
	return state
}

// resolve ends a write whose expected revision has passed, and keeps the claims
// that took effect.
func (b *Tracker) resolve(state *tableState) {
	write := state.write
	state.write = nil
	for id, row := range write.Table.Rows {
		if row.Owner == b.self && state.table.Rows[id].Owner == b.self && state.table.Rows[id].Epoch == row.Epoch {
			for _, former := range row.Pending {
				b.claimed = append(b.claimed, claimed{owner: former, key: write.Key, revision: state.revision})
			}
		}
	}
}

func (b *Tracker) applyRow(id ID, row Row, now time.Time) {
	if row.Owner != b.self {
		delete(b.holdings, id)
		return
	}
	held, ok := b.holdings[id]
	if !ok || held.epoch != row.Epoch {
		held = &holding{epoch: row.Epoch}
		if len(row.Pending) > 0 && !b.Faults.SkipTakeoverWait {
			held.waitUntil = now.Add(b.timing.Lease + b.timing.ClockDrift)
		}
		b.holdings[id] = held
	}
	held.pending = len(row.Pending) > 0
}

// RecordStoreReply records that the tables are those of an answer to a call sent at sentAt.
func (b *Tracker) RecordStoreReply(sentAt time.Time) {
	if sentAt.After(b.confirmedAt) {
		b.confirmedAt = sentAt
	}
	b.extend(sentAt.Add(b.timing.Lease))
}

func (b *Tracker) extend(end time.Time) {
	if end.After(b.rightEnd) {
		b.rightEnd = end
	}
}

// RecordReply records a peer's answer to a call sent at sentAt. Clear says that
// the peer has no claim on shards of this process under way, nor one that this
// process has not seen.
func (b *Tracker) RecordReply(peer Instance, sentAt time.Time, clear bool, now time.Time) {
	b.AddPeer(peer)
	state := b.peers[peer]
	if sentAt.After(state.lastAnswer) {
		state.lastAnswer = sentAt
	}
	if clear && sentAt.After(state.clearAt) {
		state.clearAt = sentAt
	}
	b.prolong(now)
}

// RecordListed records that the host list named this host in an answer to a call sent at sentAt.
func (b *Tracker) RecordListed(sentAt time.Time, now time.Time) {
	if sentAt.After(b.listedAt) {
		b.listedAt = sentAt
	}
	b.prolong(now)
}

// prolong extends a right that still lasts by the answers of all peers that
// may claim. A lapsed right is restored by the store alone: a claim may have
// taken effect, and its claimant died, while it was lapsed.
func (b *Tracker) prolong(now time.Time) {
	if now.After(b.rightEnd) && !b.Faults.ReviveExpiredLease {
		return
	}
	earliest := b.listedAt
	claimants := 0
	for _, state := range b.peers {
		if !state.granted || state.gone {
			continue
		}
		if claimants == 0 || state.clearAt.Before(earliest) {
			earliest = state.clearAt
		}
		claimants++
	}
	if !earliest.IsZero() {
		b.extend(earliest.Add(b.timing.Lease))
	}
}

// GrantClaims lets peer claim shards of this process from now on. It must be called
// before the peer is told.
func (b *Tracker) GrantClaims(peer Instance) {
	b.AddPeer(peer)
	b.peers[peer].granted = true
}

// RecordGrant records that peer lets this process claim its shards.
func (b *Tracker) RecordGrant(peer Instance) {
	b.AddPeer(peer)
	b.peers[peer].grantedUs = true
}

// RecordVouched records that another peer hears peer and that its right lasts.
func (b *Tracker) RecordVouched(peer Instance, now time.Time) {
	if peer == b.self {
		return
	}
	b.AddPeer(peer)
	b.peers[peer].vouched = now
}

// RecordSeenRevisions records which revisions of the tables peer has seen. A peer that has
// seen a row with another owner has stopped there.
func (b *Tracker) RecordSeenRevisions(peer Instance, revisions map[string]int64) {
	b.AddPeer(peer)
	b.peers[peer].saw = revisions
}

// RecordGone records a proof that peer runs no more.
func (b *Tracker) RecordGone(peer Instance) {
	b.AddPeer(peer)
	b.peers[peer].gone = true
}

// IsGone reports whether peer is proved to run no more.
func (b *Tracker) IsGone(peer Instance) bool {
	state, ok := b.peers[peer]
	return ok && state.gone
}

// IsLive reports whether peer answered within the suspicion time.
func (b *Tracker) IsLive(peer Instance, now time.Time) bool {
	if peer == b.self {
		return true
	}
	state, ok := b.peers[peer]
	return ok && !state.gone && now.Sub(state.lastAnswer) < b.timing.SuspectAfter
}

// NoClaimsAgainst reports whether no claim on shards of peer is under way and none
// took effect that peer has not seen. Revisions are what peer has seen.
func (b *Tracker) NoClaimsAgainst(peer Instance, revisions map[string]int64) bool {
	if b.Faults.ForgetClaims {
		return true
	}
	for _, state := range b.tables {
		if state.write != nil && slices.Contains(state.write.claims, peer) {
			return false
		}
	}
	for _, c := range b.claimed {
		if c.owner == peer && revisions[c.key] < c.revision {
			return false
		}
	}
	return true
}

// Revisions returns the revision seen of each table.
func (b *Tracker) Revisions() map[string]int64 {
	revisions := make(map[string]int64, len(b.tables))
	for key, state := range b.tables {
		revisions[key] = state.revision
	}
	return revisions
}

// Phase returns where this process stands with a shard, and the epoch.
func (b *Tracker) Phase(id ID, now time.Time) (phase Phase, epoch int64) {
	held, ok := b.holdings[id]
	switch {
	case !ok:
		return PhaseNone, 0
	case held.releasing:
		return PhaseReleasing, held.epoch
	case now.Before(held.waitUntil):
		return PhaseWaiting, held.epoch
	}
	return PhaseOwned, held.epoch
}

// MayStart reports whether work may start in the shard now.
func (b *Tracker) MayStart(id ID, now time.Time) bool {
	phase, _ := b.Phase(id, now)
	return phase == PhaseOwned && now.Before(b.rightEnd)
}

// MayStartAt is MayStart for state that was opened at an epoch. State of an
// earlier epoch starts nothing, though the shard may be owned again.
func (b *Tracker) MayStartAt(id ID, epoch int64, now time.Time) bool {
	held, ok := b.holdings[id]
	return ok && held.epoch == epoch && b.MayStart(id, now)
}

// MayFinishAt reports whether what is under way in a shard may be finished: it
// is owned since epoch, though perhaps about to be released.
func (b *Tracker) MayFinishAt(id ID, epoch int64, now time.Time) bool {
	held, ok := b.holdings[id]
	return ok && held.epoch == epoch && !now.Before(held.waitUntil) && now.Before(b.rightEnd)
}

// OwnedShards lists the shards whose row names this process.
func (b *Tracker) OwnedShards() []ID { return slices.Sorted(maps.Keys(b.holdings)) }

// Owner returns the owner of a shard by the newest table seen.
func (b *Tracker) Owner(id ID) (owner Instance, epoch int64) {
	state, ok := b.tables[id.TableKey()]
	if !ok {
		return "", 0
	}
	row := state.table.Rows[id]
	return row.Owner, row.Epoch
}

// KnownOwners lists the owners in the tables and the earlier owners that are not
// known to have stopped, but those that are proved gone.
func (b *Tracker) KnownOwners() (list []Instance) {
	seen := map[Instance]bool{"": true, b.self: true}
	for _, state := range b.tables {
		for _, row := range state.table.Rows {
			for _, instance := range append([]Instance{row.Owner}, row.Pending...) {
				if !seen[instance] && !b.IsGone(instance) {
					list = append(list, instance)
				}
				seen[instance] = true
			}
		}
	}
	return list
}

// MarkDrained tells that nothing of a releasing shard is under way any more.
func (b *Tracker) MarkDrained(id ID) {
	if held, ok := b.holdings[id]; ok && held.releasing {
		held.drained = true
	}
}
