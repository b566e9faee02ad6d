package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// storeFresh is how recent the last answer of the store must be for a claim: a
// claim that cannot complete would only keep the owner from prolonging.
const storeFresh = 2 * time.Second

// claimPause is how long a shard that was claimed is left to its claimant, so
// that two processes that do not hear each other do not claim it in turn.
const claimPause = 10 * time.Second

// View is what a process knows of the cell besides the tables.
type View struct {
	// Shards are all shards of the cell.
	Shards []ID
	// Members are the live processes that take shards, this one included
	// unless it leaves.
	Members []Member
}

// PlanWrites returns the table writes to attempt now, at most one a table. A write
// that was returned before and is not resolved is returned again.
func (b *Tracker) PlanWrites(view View, now time.Time) (writes []*Write) {
	preferred := Assign(view.Shards, view.Members, b.owners(view.Shards))
	edits := map[string]*Write{}
	wanted := make(map[ID]bool, len(view.Shards))
	for _, id := range view.Shards {
		wanted[id] = true
		b.planShard(id, preferred[id], edits, now)
	}
	for id := range b.holdings {
		if !wanted[id] && len(view.Shards) > 0 {
			b.release(id, "", edits, now)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(b.tables)) {
		state := b.tables[key]
		if state.write == nil {
			state.write = edits[key]
		}
		if state.write != nil {
			writes = append(writes, state.write)
		}
	}
	return writes
}

func (b *Tracker) owners(shards []ID) map[ID]Instance {
	owners := make(map[ID]Instance, len(shards))
	for _, id := range shards {
		owners[id], _ = b.Owner(id)
	}
	return owners
}

func (b *Tracker) planShard(id ID, preferred Instance, edits map[string]*Write, now time.Time) {
	owner, _ := b.Owner(id)
	switch {
	case owner == b.self && (preferred != b.self || b.leaving):
		if preferred == b.self {
			preferred = ""
		}
		b.release(id, preferred, edits, now)
	case owner == b.self:
		b.keep(id)
		b.settle(id, edits, now)
	case preferred == b.self && !b.leaving && now.Sub(b.confirmedAt) < storeFresh:
		b.claim(id, edits, now)
	}
}

// edit returns the write under preparation for the table of id, or nil while
// another one is under way.
func (b *Tracker) edit(id ID, edits map[string]*Write) *Write {
	key := id.TableKey()
	state := b.state(key)
	if state.write != nil {
		return nil
	}
	if edits[key] == nil {
		edits[key] = &Write{Key: key, Revision: state.revision, Table: state.table.Clone()}
	}
	return edits[key]
}

// claim takes a shard from an owner that is silent or gone, if every process
// that might still start work there has let this one in or is proved gone.
func (b *Tracker) claim(id ID, edits map[string]*Write, now time.Time) {
	row := b.state(id.TableKey()).table.Rows[id]
	var former []Instance
	if row.Owner != "" {
		former = append(slices.Clone(row.Pending), row.Owner)
	}
	if b.Faults.IgnorePending && row.Owner != "" {
		former = []Instance{row.Owner}
	}
	former = slices.DeleteFunc(former, func(i Instance) bool {
		return i == b.self || i != row.Owner && b.hasStopped(i, id.TableKey())
	})
	for _, instance := range former {
		if !b.mayClaimFrom(instance, now) {
			return
		}
	}
	if len(row.Pending) > 0 && !b.IsGone(row.Owner) && now.Sub(b.state(id.TableKey()).changed[id]) < claimPause {
		return
	}
	write := b.edit(id, edits)
	if write == nil {
		return
	}
	slices.Sort(former)
	former = slices.Compact(former)
	write.Table.Rows[id] = Row{Owner: b.self, Epoch: row.Epoch + 1, Pending: former}
	write.claims = append(write.claims, former...)
	write.Changes = append(write.Changes, fmt.Sprintf("claim %s from %q", id, row.Owner))
}

// hasStopped reports whether an earlier owner has seen that it owns the rows
// of a table no more.
func (b *Tracker) hasStopped(instance Instance, key string) bool {
	state, ok := b.peers[instance]
	return ok && state.saw[key] >= b.state(key).revision
}

func (b *Tracker) mayClaimFrom(instance Instance, now time.Time) bool {
	state, ok := b.peers[instance]
	if ok && state.gone {
		return true
	}
	if b.IsLive(instance, now) || ok && now.Sub(state.vouched) < b.timing.SuspectAfter {
		return false
	}
	return ok && state.grantedUs || b.Faults.IgnoreGrants
}

// release gives a shard to its successor once it is drained. From the first
// call on, the shard starts nothing any more.
func (b *Tracker) release(id ID, successor Instance, edits map[string]*Write, now time.Time) {
	held, ok := b.holdings[id]
	if !ok {
		return
	}
	held.releasing = true
	if !held.drained {
		return
	}
	write := b.edit(id, edits)
	if write == nil {
		return
	}
	row := Row{Owner: successor, Epoch: held.epoch + 1}
	if now.Before(held.waitUntil) {
		row.Pending = write.Table.Rows[id].Pending
	}
	write.Table.Rows[id] = row
	write.Changes = append(write.Changes, fmt.Sprintf("give %s to %q", id, successor))
}

// keep takes back a release that was not written yet.
func (b *Tracker) keep(id ID) {
	held, ok := b.holdings[id]
	if ok && held.releasing && b.state(id.TableKey()).write == nil {
		held.releasing, held.drained = false, false
	}
}

// settle strikes the earlier owners from a row after the takeover wait: they
// have stopped by then.
func (b *Tracker) settle(id ID, edits map[string]*Write, now time.Time) {
	held, ok := b.holdings[id]
	if !ok || !held.pending || held.releasing || now.Before(held.waitUntil) {
		return
	}
	write := b.edit(id, edits)
	if write == nil {
		return
	}
	row := write.Table.Rows[id]
	row.Pending = nil
	write.Table.Rows[id] = row
	write.Changes = append(write.Changes, fmt.Sprintf("settle %s", id))
}
