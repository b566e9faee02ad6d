package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// maxStoreReplyAge bounds the age of the last store reply for a claim. A claim
// that cannot reach the store would only keep the owner from extending its lease.
const maxStoreReplyAge = 2 * time.Second

// reclaimDelay is how long a claimed shard may not be claimed again while its new
// owner still waits for former owners, so that two processes that cannot reach
// each other do not keep claiming it alternately.
const reclaimDelay = 10 * time.Second

// View describes the shards and live members of the cell that are known to
// this process.
type View struct {
	// Shards are all shards of the cell.
	Shards []ID
	// Members are the live processes that may own shards, including this one
	// unless it is releasing all its shards.
	Members []Member
}

// PlanWrites returns the table writes to attempt now, at most one per table. A
// write that was returned before and is still in flight is returned again.
func (t *Tracker) PlanWrites(view View, now time.Time) (writes []*Write) {
	preferred := Assign(view.Shards, view.Members, t.owners(view.Shards))
	newWrites := map[string]*Write{}
	inView := make(map[ID]bool, len(view.Shards))
	for _, id := range view.Shards {
		inView[id] = true
		t.planShard(id, preferred[id], newWrites, now)
	}
	for id := range t.owned {
		if !inView[id] && len(view.Shards) > 0 {
			t.release(id, "", newWrites, now)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(t.tables)) {
		state := t.tables[key]
		if state.inFlight == nil {
			state.inFlight = newWrites[key]
		}
		if state.inFlight != nil {
			writes = append(writes, state.inFlight)
		}
	}
	return writes
}

// owners returns the owners of shards in the latest observed tables.
func (t *Tracker) owners(shards []ID) map[ID]Instance {
	owners := make(map[ID]Instance, len(shards))
	for _, id := range shards {
		owners[id], _ = t.Owner(id)
	}
	return owners
}

// planShard adds the next change to the row of a shard to newWrites, if this
// process has one to make: a release, the removal of former owners, or a claim.
func (t *Tracker) planShard(id ID, preferred Instance, newWrites map[string]*Write, now time.Time) {
	owner, _ := t.Owner(id)
	switch {
	case owner == t.self && (preferred != t.self || t.releaseAll):
		if preferred == t.self {
			preferred = ""
		}
		t.release(id, preferred, newWrites, now)
	case owner == t.self:
		t.cancelRelease(id)
		t.clearPending(id, newWrites, now)
	case preferred == t.self && !t.releaseAll && now.Sub(t.lastStoreReply) < maxStoreReplyAge:
		t.claim(id, newWrites, now)
	}
}

// writeFor returns the new write for the table of id, creating it if needed. It
// returns nil while another write of that table is in flight.
func (t *Tracker) writeFor(id ID, newWrites map[string]*Write) *Write {
	key := id.TableKey()
	state := t.state(key)
	if state.inFlight != nil {
		return nil
	}
	if newWrites[key] == nil {
		newWrites[key] = &Write{Key: key, Revision: state.revision, Table: state.table.Clone()}
	}
	return newWrites[key]
}

// claim takes a shard without an owner, or one whose owner is unresponsive or
// terminated. Every process that may still start work in the shard must have
// granted claims to this process or be confirmed terminated.
func (t *Tracker) claim(id ID, newWrites map[string]*Write, now time.Time) {
	row := t.state(id.TableKey()).table.Rows[id]
	var formerOwners []Instance
	if row.Owner != "" {
		formerOwners = append(slices.Clone(row.Pending), row.Owner)
	}
	if t.Faults.IgnorePending && row.Owner != "" {
		formerOwners = []Instance{row.Owner}
	}
	formerOwners = slices.DeleteFunc(formerOwners, func(i Instance) bool {
		return i == t.self || i != row.Owner && t.hasStopped(i, id.TableKey())
	})
	for _, instance := range formerOwners {
		if !t.mayClaimFrom(instance, now) {
			return
		}
	}
	if len(row.Pending) > 0 && !t.IsGone(row.Owner) && now.Sub(t.state(id.TableKey()).epochObservedAt[id]) < reclaimDelay {
		return
	}
	write := t.writeFor(id, newWrites)
	if write == nil {
		return
	}
	slices.Sort(formerOwners)
	formerOwners = slices.Compact(formerOwners)
	write.Table.Rows[id] = Row{Owner: t.self, Epoch: row.Epoch + 1, Pending: formerOwners}
	write.claimedFrom = append(write.claimedFrom, formerOwners...)
	write.Changes = append(write.Changes, fmt.Sprintf("claim %s from %q", id, row.Owner))
}

// hasStopped reports whether a former owner has observed the latest revision of
// a table and so has stopped starting work in the shards that it lost there.
func (t *Tracker) hasStopped(instance Instance, key string) bool {
	state, ok := t.peers[instance]
	return ok && state.observedRevisions[key] >= t.state(key).revision
}

// mayClaimFrom reports whether this process may claim shards of another one. A
// process that responds to this process or to a peer is not claimed from.
func (t *Tracker) mayClaimFrom(instance Instance, now time.Time) bool {
	state, ok := t.peers[instance]
	if ok && state.gone {
		return true
	}
	if t.IsLive(instance, now) || ok && now.Sub(state.confirmedLive) < t.timing.SuspectAfter {
		return false
	}
	return ok && state.grantedByPeer || t.Faults.IgnoreGrants
}

// release assigns a shard to its successor once it is drained. From the first
// call on, no work is started in the shard. If the takeover wait has not ended,
// the successor must wait for the same former owners.
func (t *Tracker) release(id ID, successor Instance, newWrites map[string]*Write, now time.Time) {
	own, ok := t.owned[id]
	if !ok {
		return
	}
	own.releasing = true
	if !own.drained {
		return
	}
	write := t.writeFor(id, newWrites)
	if write == nil {
		return
	}
	row := Row{Owner: successor, Epoch: own.epoch + 1}
	if now.Before(own.takeoverWaitEnd) {
		row.Pending = write.Table.Rows[id].Pending
	}
	write.Table.Rows[id] = row
	write.Changes = append(write.Changes, fmt.Sprintf("give %s to %q", id, successor))
}

// cancelRelease undoes a release that is not in a write in flight.
func (t *Tracker) cancelRelease(id ID) {
	own, ok := t.owned[id]
	if ok && own.releasing && t.state(id.TableKey()).inFlight == nil {
		own.releasing, own.drained = false, false
	}
}

// clearPending removes the former owners from a row after the takeover wait,
// because their leases expire within that wait.
func (t *Tracker) clearPending(id ID, newWrites map[string]*Write, now time.Time) {
	own, ok := t.owned[id]
	if !ok || !own.pending || own.releasing || now.Before(own.takeoverWaitEnd) {
		return
	}
	write := t.writeFor(id, newWrites)
	if write == nil {
		return
	}
	row := write.Table.Rows[id]
	row.Pending = nil
	write.Table.Rows[id] = row
	write.Changes = append(write.Changes, fmt.Sprintf("settle %s", id))
}
