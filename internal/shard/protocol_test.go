package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTakeoverWaitIsNeeded shows that without the takeover wait two processes
// may start work in a shard, and that the simulation detects it.
func TestTakeoverWaitIsNeeded(t *testing.T) {
	const seed = 1
	assert.Equal(t, runSeed(seed, Faults{}).violation, "")
	s := runSeed(seed, Faults{SkipTakeoverWait: true})
	assert.Assert(t, s.violation != "", "seed %d did not detect the fault", seed)
}

// claimScenario is a shard with an owner that cannot reach the store, and a claimant
// that can.
type claimScenario struct {
	id       ID
	owner    *Tracker
	claimant *Tracker
	revision int64
}

// at returns the time that is ms milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }

// newClaimScenario assigns the shard to the owner, which grants claims to the named
// peers.
func newClaimScenario(faults Faults, granted ...Instance) *claimScenario {
	c := &claimScenario{id: "rack/a/r1", owner: NewTracker("o.1", simTiming), claimant: NewTracker("p.1", simTiming), revision: 1}
	c.owner.Faults, c.claimant.Faults = faults, faults
	row := Table{Rows: map[ID]Row{c.id: {Owner: "o.1", Epoch: 1}}}
	for _, tracker := range []*Tracker{c.owner, c.claimant} {
		tracker.Apply(c.id.TableKey(), 1, row, at(0))
		tracker.RecordStoreReply(at(0))
	}
	for _, peer := range granted {
		c.owner.GrantClaims(peer)
	}
	return c
}

// planAndWrite plans the claimant's writes and applies all of them.
func (c *claimScenario) planAndWrite(ms int) {
	c.claimant.RecordStoreReply(at(ms))
	view := View{Shards: []ID{c.id}, Members: []Member{{"p.1", "a"}}}
	for _, write := range c.claimant.PlanWrites(view, at(ms)) {
		c.revision++
		c.claimant.Apply(write.Key, c.revision, write.Table, at(ms))
	}
}

func (c *claimScenario) bothMayStart(ms int) bool {
	return c.owner.MayStart(c.id, at(ms)) && c.claimant.MayStart(c.id, at(ms))
}

// TestOwnershipFaultsAreCaught runs one counter-example for each part of the
// protocol: if the part is disabled, two processes may start work in the shard.
func TestOwnershipFaultsAreCaught(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults Faults
		run    func(faults Faults) (both bool)
	}{
		{"claim by a process without a grant of the owner", Faults{IgnoreGrants: true}, func(faults Faults) (both bool) {
			c := newClaimScenario(faults, "q.1")
			for ms := 250; ms < 9000; ms += 250 {
				c.owner.RecordReply("q.1", at(ms), true, at(ms+5))
				c.planAndWrite(ms)
				both = both || c.bothMayStart(ms)
			}
			return both
		}},
		{"peer does not report its claim", Faults{ForgetClaims: true}, func(faults Faults) (both bool) {
			c := newClaimScenario(faults, "p.1")
			c.claimant.RecordGrant("o.1")
			for ms := 250; ms < 9000; ms += 250 {
				clear := c.claimant.NoClaimsAgainst("o.1", c.owner.Revisions())
				c.owner.RecordReply("p.1", at(ms), clear, at(ms+5))
				c.planAndWrite(ms)
				both = both || c.bothMayStart(ms)
			}
			return both
		}},
		{"expired lease revived by the remaining peers", Faults{ReviveExpiredLease: true}, func(faults Faults) (both bool) {
			c := newClaimScenario(faults, "p.1", "q.1")
			c.claimant.RecordGrant("o.1")
			for ms := 250; ms < 12000; ms += 250 {
				c.owner.RecordReply("q.1", at(ms), true, at(ms+5))
				c.planAndWrite(ms)
				if ms == 8000 {
					// The claimant has removed the owner from the row, released
					// the shard and terminated. From here on c.claimant acts
					// as the successor, which owns the same shard.
					c.owner.RecordGone("p.1")
				}
				both = both || c.bothMayStart(ms)
			}
			return both
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.run(Faults{}), false, "two processes may start work with the complete protocol")
			assert.Equal(t, tc.run(tc.faults), true, "the fault is not detected")
		})
	}
}

// TestLateClaimOfDeadPeer guards against a takeover that waits only for the
// owner in the row. An owner cannot reach the store, a peer claims its shard and
// terminates, and a process without a grant of the owner finds the peer's row.
// It must not claim the shard, because the owner may still start work.
func TestLateClaimOfDeadPeer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults Faults
		both   bool
	}{
		{"former owners in the row", Faults{}, false},
		{"former owners ignored", Faults{IgnorePending: true}, true},
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
			owner, peer, successor := NewTracker("o.1", simTiming), NewTracker("p.1", simTiming), NewTracker("p.2", simTiming)
			successor.Faults = tc.faults
			row := Table{Rows: map[ID]Row{id: {Owner: "o.1", Epoch: 1}}}
			owner.Apply(key, 1, row, at(0))
			owner.RecordStoreReply(at(0))
			for _, granted := range []Instance{"p.1", "q.1"} {
				owner.GrantClaims(granted)
			}
			peer.RecordGrant("o.1")
			peer.Apply(key, 1, row, at(0))
			peer.RecordStoreReply(at(1500))

			// The owner does not respond to the peer, which claims the shard
			// and terminates.
			writes := peer.PlanWrites(view("p.1"), at(1600))
			assert.Equal(t, len(writes), 1)
			claimed := writes[0].Table
			assert.DeepEqual(t, claimed.Rows[id].Pending, []Instance{"o.1"})

			// The owner is informed that the peer has terminated and extends its
			// lease by the replies of the other peer.
			owner.RecordReply("p.1", at(500), true, at(510))
			owner.RecordGone("p.1")
			for ms := 600; ms < 9000; ms += 250 {
				owner.RecordReply("q.1", at(ms), true, at(ms+5))
			}

			// A new process finds the terminated peer's row in the store.
			successor.Apply(key, 2, claimed, at(2500))
			successor.RecordStoreReply(at(2500))
			successor.RecordGone("p.1")
			for _, write := range successor.PlanWrites(view("p.2"), at(2600)) {
				successor.Apply(key, 3, write.Table, at(2650))
			}
			successor.RecordStoreReply(at(7000))
			both := owner.MayStart(id, at(7100)) && successor.MayStart(id, at(7100))
			assert.Assert(t, owner.MayStart(id, at(7100)), "an owner whose peers respond must keep its lease without the store")
			assert.Equal(t, both, tc.both)
		})
	}
}

// TestAssignMovesLittle checks that shards are spread evenly and that few of
// them move when members join or leave.
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
		maxMoved      int
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
			assert.Assert(t, moved <= tc.maxMoved, "%d shards moved", moved)
			for m, n := range count(after) {
				assert.Assert(t, n <= (len(shards)+tc.after-1)/tc.after, "%s owns %d shards", m, n)
			}
		})
	}
}
