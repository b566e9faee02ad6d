// Package shard decides which entry process owns which shard of the cell, and
// until when an owner may start work.
//
// A shard is a rack of workers, a small set of minions, or the queue of a team.
// The assignment table in the store names one owner per shard and changes only
// by compare-and-swap. An owner may start work while its lease is valid. The
// lease is extended by replies of the store and, so that owners can continue
// while the store is unavailable, by replies of all peers that may claim the
// owner's shards. docs/design/ownership.md describes the protocol and its proof.
//
// # Usage
//
//	tracker := shard.NewTracker(self, shard.Timing{Lease: 4 * time.Second, ClockDrift: 200 * time.Millisecond})
//	tracker.Apply(key, revision, table, now)      // one table of a store reply
//	tracker.RecordStoreReply(sentAt)              // after the last table of the reply
//	tracker.RecordReply(peer, sentAt, clear, now) // a reply of a peer
//	if tracker.MayStart("rack/klaten/r1", now) { ... }
//	for _, write := range tracker.PlanWrites(view, now) { ... } // writes to attempt
//
// A Tracker reads no clock, does no I/O and is not safe for concurrent use.
package shard

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Instance identifies one incarnation of an entry process by host name, peer
// address and a random part. A restarted process has a new instance, so that it
// inherits neither shards nor leases.
type Instance string

// NewInstance returns the instance of a process with the given parts.
func NewInstance(name, address, random string) Instance {
	return Instance(name + "/" + address + "/" + random)
}

// Name returns the host name of the instance.
func (i Instance) Name() string {
	name, _, _ := strings.Cut(string(i), "/")
	return name
}

// Address returns the peer address of the instance.
func (i Instance) Address() string {
	_, rest, _ := strings.Cut(string(i), "/")
	address, _, _ := strings.Cut(rest, "/")
	return address
}

// Kind is the kind of a shard, the first part of its ID.
type Kind string

// The kinds of shards.
const (
	KindRack    Kind = "rack"
	KindMinions Kind = "minions"
	KindTeam    Kind = "team"
)

// ID identifies a shard as kind/place/name, where place is the data centre.
// The ID of a team's queue is kind/name.
type ID string

// Kind returns the kind of the shard.
func (id ID) Kind() Kind {
	kind, _, _ := strings.Cut(string(id), "/")
	return Kind(kind)
}

// Place returns the data centre of the shard's targets, empty for a team.
func (id ID) Place() string {
	parts := strings.Split(string(id), "/")
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}

// TeamID returns the ID of the shard of a team's queue.
func TeamID(team string) ID { return ID(string(KindTeam) + "/" + team) }

// Team returns the name of the team whose queue the shard is.
func (id ID) Team() string { return strings.TrimPrefix(string(id), string(KindTeam)+"/") }

// TableKey returns the store key of the table with the row of the shard. Each
// data centre has its own key, and so have the teams' queues. This keeps tables
// small and avoids write conflicts between data centres.
func (id ID) TableKey() string {
	place := id.Place()
	if place == "" {
		place = string(id.Kind())
	}
	return TablePrefix + place
}

// TablePrefix is the prefix of the keys of the assignment table.
const TablePrefix = "cell/owner/"

// Row is the table entry of one shard.
type Row struct {
	Owner Instance `json:"owner"`
	// Epoch increases with every change of owner.
	Epoch int64 `json:"epoch"`
	// Pending lists former owners that may still start work in the shard.
	Pending []Instance `json:"pending,omitempty"`
}

// Table is the value of one key of the assignment table.
type Table struct {
	Rows map[ID]Row `json:"rows"`
}

// Clone returns a copy whose rows can be replaced without changing t.
func (t Table) Clone() Table {
	rows := make(map[ID]Row, len(t.Rows))
	maps.Copy(rows, t.Rows)
	return Table{Rows: rows}
}

// Member is a live entry process that may own shards.
type Member struct {
	Instance Instance
	Place    string
}

// Assign returns the preferred owner of every shard, given the current owners.
// It is deterministic, so that all processes with the same view agree. Shards
// of one kind and data centre are spread evenly. A shard keeps its owner unless
// the owner is no longer a member or owns more than its even fraction. The
// members in the data centre of the targets own the shards; if it has none, the
// shards are spread over all members.
func Assign(shards []ID, members []Member, owners map[ID]Instance) map[ID]Instance {
	groups := map[string][]ID{}
	for _, id := range shards {
		group := string(id.Kind()) + "/" + id.Place()
		groups[group] = append(groups[group], id)
	}
	preferred := make(map[ID]Instance, len(shards))
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		ids := groups[group]
		assignGroup(ids, eligibleMembers(members, ids[0].Place()), owners, preferred)
	}
	return preferred
}

// eligibleMembers returns the members in a data centre, or all members if the
// data centre is empty or has none.
func eligibleMembers(members []Member, place string) (list []Instance) {
	for _, m := range members {
		if place == "" || m.Place == place {
			list = append(list, m.Instance)
		}
	}
	if len(list) == 0 {
		for _, m := range members {
			list = append(list, m.Instance)
		}
	}
	return list
}

// assignGroup assigns the shards of one kind and data centre. Each member gets
// at least minPerMember and at most maxPerMember of them. Among equal choices
// the rendezvous score decides, so that few shards move when members change.
func assignGroup(ids []ID, members []Instance, owners map[ID]Instance, preferred map[ID]Instance) {
	if len(members) == 0 {
		return
	}
	maxPerMember := (len(ids) + len(members) - 1) / len(members)
	minPerMember := len(ids) / len(members)
	load := make(map[Instance]int, len(members))
	current := make(map[Instance][]ID, len(members))
	var unassigned []ID
	ids = slices.Clone(ids)
	slices.Sort(ids)
	for _, id := range ids {
		owner := owners[id]
		if slices.Contains(members, owner) {
			current[owner] = append(current[owner], id)
			continue
		}
		unassigned = append(unassigned, id)
	}
	for _, m := range members {
		owned := current[m]
		slices.SortFunc(owned, func(a, b ID) int { return compareByScore(b, a, m) })
		for i, id := range owned {
			if i < maxPerMember {
				preferred[id] = m
				load[m]++
				continue
			}
			unassigned = append(unassigned, id)
		}
	}
	slices.Sort(unassigned)
	for _, id := range unassigned {
		best := leastLoaded(id, members, load)
		preferred[id] = best
		load[best]++
	}
	fillUnderloaded(ids, members, minPerMember, load, preferred)
}

// fillUnderloaded moves single shards from the most loaded members to those
// that have fewer than minPerMember.
func fillUnderloaded(ids []ID, members []Instance, minPerMember int, load map[Instance]int, preferred map[ID]Instance) {
	for _, m := range members {
		for load[m] < minPerMember {
			donor := slices.MaxFunc(members, func(a, b Instance) int {
				if load[a] != load[b] {
					return load[a] - load[b]
				}
				return strings.Compare(string(a), string(b))
			})
			var moved ID
			for _, id := range ids {
				if preferred[id] == donor && (moved == "" || score(id, m) > score(moved, m)) {
					moved = id
				}
			}
			preferred[moved] = m
			load[donor]--
			load[m]++
		}
	}
}

// leastLoaded returns the member with the lowest load; of several, the one with
// the highest rendezvous score for the shard.
func leastLoaded(id ID, members []Instance, load map[Instance]int) (best Instance) {
	for _, m := range members {
		switch {
		case best == "", load[m] < load[best]:
			best = m
		case load[m] == load[best] && score(id, m) > score(id, best):
			best = m
		}
	}
	return best
}

// score returns the rendezvous hash of a shard and a member.
func score(id ID, m Instance) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(m))
}

// compareByScore orders two shards by their scores for one member.
func compareByScore(a, b ID, m Instance) int {
	sa, sb := score(a, m), score(b, m)
	switch {
	case sa < sb:
		return -1
	case sa > sb:
		return 1
	}
	return strings.Compare(string(a), string(b))
}
