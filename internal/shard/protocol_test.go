package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTakeoverWaitIsNeeded switches the wait off: two processes own a shard.
func TestTakeoverWaitIsNeeded(t *testing.T) {
	const seed = 1
	assert.Equal(t, runSeed(seed, Faults{}).broken, "")
	s := runSeed(seed, Faults{SkipTakeoverWait: true})
	assert.Assert(t, s.broken != "", "seed %d did not catch the fault", seed)
}

// duel is an owner that is cut from the store, and a challenger that is not.
type duel struct {
	id         ID
	owner      *Tracker
	challenger *Tracker
	revision   int64
}

func at(ms int) time.Time { return time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }

// newDuel gives the shard to the owner, which lets the named peers claim it.
func newDuel(faults Faults, granted ...Instance) *duel {
	d := &duel{id: "rack/a/r1", owner: NewTracker("o.1", simTiming), challenger: NewTracker("p.1", simTiming), revision: 1}
	d.owner.Faults, d.challenger.Faults = faults, faults
	row := Table{Rows: map[ID]Row{d.id: {Owner: "o.1", Epoch: 1}}}
	for _, book := range []*Tracker{d.owner, d.challenger} {
		book.Apply(d.id.TableKey(), 1, row, at(0))
		book.RecordStoreReply(at(0))
	}
	for _, peer := range granted {
		d.owner.GrantClaims(peer)
	}
	return d
}

// challenge lets the challenger do what it plans, with every write taking effect.
func (d *duel) challenge(ms int) {
	d.challenger.RecordStoreReply(at(ms))
	view := View{Shards: []ID{d.id}, Members: []Member{{"p.1", "a"}}}
	for _, write := range d.challenger.PlanWrites(view, at(ms)) {
		d.revision++
		d.challenger.Apply(write.Key, d.revision, write.Table, at(ms))
	}
}

func (d *duel) both(ms int) bool {
	return d.owner.MayStart(d.id, at(ms)) && d.challenger.MayStart(d.id, at(ms))
}

// TestOwnershipFaultsAreCaught follows a counter-example to each part of the
// protocol: with the part switched off two processes own the shard.
func TestOwnershipFaultsAreCaught(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults Faults
		run    func(faults Faults) (both bool)
	}{
		{"claim by a process that the owner never let in", Faults{IgnoreGrants: true}, func(faults Faults) (both bool) {
			d := newDuel(faults, "q.1")
			for ms := 250; ms < 9000; ms += 250 {
				d.owner.RecordReply("q.1", at(ms), true, at(ms+5))
				d.challenge(ms)
				both = both || d.both(ms)
			}
			return both
		}},
		{"peer denies the claim that it made", Faults{ForgetClaims: true}, func(faults Faults) (both bool) {
			d := newDuel(faults, "p.1")
			d.challenger.RecordGrant("o.1")
			for ms := 250; ms < 9000; ms += 250 {
				clear := d.challenger.NoClaimsAgainst("o.1", d.owner.Revisions())
				d.owner.RecordReply("p.1", at(ms), clear, at(ms+5))
				d.challenge(ms)
				both = both || d.both(ms)
			}
			return both
		}},
		{"lapsed right revived by the remaining peers", Faults{ReviveExpiredLease: true}, func(faults Faults) (both bool) {
			d := newDuel(faults, "p.1", "q.1")
			d.challenger.RecordGrant("o.1")
			for ms := 250; ms < 12000; ms += 250 {
				d.owner.RecordReply("q.1", at(ms), true, at(ms+5))
				d.challenge(ms)
				if ms == 8000 {
					// The challenger has settled and handed on; it restarts, and
					// its successor holds what it held.
					d.owner.RecordGone("p.1")
				}
				both = both || d.both(ms)
			}
			return both
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.run(Faults{}), false, "the whole protocol")
			assert.Equal(t, tc.run(tc.faults), true, "the fault is not caught")
		})
	}
}

// TestLateClaimOfDeadPeer follows one counter-example: an owner is cut from
// the store, a peer claims its shard and dies, and a process that the owner
// never let in finds the row of the dead peer.
func TestLateClaimOfDeadPeer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults Faults
		both   bool
	}{
		{"earlier owners in the row", Faults{}, false},
		{"earlier owners forgotten", Faults{IgnorePending: true}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const id = ID("rack/a/r1")
			key := id.TableKey()
			view := func(members ...Instance) View {
				v := View{Shards: []ID{id}}
				for _, m := range members {
					v.Members = append(v.Members, Member{m, "a"})
				}
				return v
			}
			owner, peer, late := NewTracker("o.1", simTiming), NewTracker("p.1", simTiming), NewTracker("p.2", simTiming)
			late.Faults = tc.faults
			row := Table{Rows: map[ID]Row{id: {Owner: "o.1", Epoch: 1}}}
			owner.Apply(key, 1, row, at(0))
			owner.RecordStoreReply(at(0))
			for _, granted := range []Instance{"p.1", "q.1"} {
				owner.GrantClaims(granted)
			}
			peer.RecordGrant("o.1")
			peer.Apply(key, 1, row, at(0))
			peer.RecordStoreReply(at(1500))

			// The peer hears nothing of the owner, claims, and dies.
			writes := peer.PlanWrites(view("p.1"), at(1600))
			assert.Equal(t, len(writes), 1)
			claimed := writes[0].Table
			assert.DeepEqual(t, claimed.Rows[id].Pending, []Instance{"o.1"})

			// The owner hears that the peer is gone, and prolongs with the other one.
			owner.RecordReply("p.1", at(500), true, at(510))
			owner.RecordGone("p.1")
			for ms := 600; ms < 9000; ms += 250 {
				owner.RecordReply("q.1", at(ms), true, at(ms+5))
			}

			// A new process finds the dead peer's row in the store.
			late.Apply(key, 2, claimed, at(2500))
			late.RecordStoreReply(at(2500))
			late.RecordGone("p.1")
			for _, write := range late.PlanWrites(view("p.2"), at(2600)) {
				late.Apply(key, 3, write.Table, at(2650))
			}
			late.RecordStoreReply(at(7000))
			both := owner.MayStart(id, at(7100)) && late.MayStart(id, at(7100))
			assert.Assert(t, owner.MayStart(id, at(7100)), "an owner whose peers answer goes on without the store")
			assert.Equal(t, both, tc.both)
		})
	}
}

// TestAssignMovesLittle checks balance and how much moves when members change.
func TestAssignMovesLittle(t *testing.T) {
	var shards []ID
	for i := range 60 {
		shards = append(shards, ID(fmt.Sprintf("rack/a/r%02d", i)))
	}
	members := func(n int) (list []Member) {
		for i := range n {
			list = append(list, Member{Instance(fmt.Sprintf("m%d.1", i)), "a"})
		}
		return list
	}
	count := func(owners map[ID]Instance) map[Instance]int {
		load := map[Instance]int{}
		for _, owner := range owners {
			load[owner]++
		}
		return load
	}
	for _, tc := range []struct {
		name          string
		before, after int
		mostMoved     int
	}{
		{"a member joins", 5, 6, 10},
		{"a member leaves", 6, 5, 10},
		{"nothing changes", 6, 6, 0},
		{"first member", 0, 1, 60},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := Assign(shards, members(tc.before), map[ID]Instance{})
			after := Assign(shards, members(tc.after), before)
			moved := 0
			for _, id := range shards {
				if before[id] != after[id] {
					moved++
				}
			}
			assert.Assert(t, moved <= tc.mostMoved, "%d moved", moved)
			for m, n := range count(after) {
				assert.Assert(t, n <= (len(shards)+tc.after-1)/tc.after, "%s owns %d", m, n)
			}
		})
	}
}
