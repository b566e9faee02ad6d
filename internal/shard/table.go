// Package shard decides which entry process owns which shard of the cell, and
// until when an owner may start work.
//
// A shard is a rack of workers, a small set of minions, or the queue of a team.
// The assignment table in the store names one owner a shard; it changes only by
// compare-and-swap. docs/design/ownership.md gives the protocol and its proof.
//
// # Usage
//
//	book := shard.NewTracker(self, shard.Timing{Lease: 4 * time.Second, ClockDrift: 200 * time.Millisecond})
//	book.Apply(key, revision, table, sentAt, now)   // an answer of the store
//	book.RecordReply(peer, sentAt, clear, now)      // an answer of a peer
//	if book.MayStart("rack/klaten/r1", now) { ... }
//	for _, write := range book.PlanWrites(view, now) { ... } // writes to attempt
//
// A Tracker has no clock and does no I/O; one goroutine owns it.
package shard

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Instance identifies one run of an entry process: host name, peer address and
// a random part. A restarted process has another instance, so that it inherits
// no rights.
type Instance string

// NewInstance returns the instance of a run.
func NewInstance(name, address, random string) Instance {
	return Instance(name + "/" + address + "/" + random)
}

// Name returns the name of the instance's host.
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

// Kind is the kind of a shard, the first part of its id.
type Kind string

// The kinds of shards.
const (
	KindRack    Kind = "rack"
	KindMinions Kind = "minions"
	KindTeam    Kind = "team"
)

// ID names a shard: kind/place/name. Teams have no place.
type ID string

// Kind returns the kind of the shard.
func (id ID) Kind() Kind {
	kind, _, _ := strings.Cut(string(id), "/")
	return Kind(kind)
}

// Place returns the place of the shard's targets, empty for a team.
func (id ID) Place() string {
	parts := strings.Split(string(id), "/")
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}

// TeamID returns the shard of a team's queue.
func TeamID(team string) ID { return ID(string(KindTeam) + "/" + team) }

// Team returns the team of a shard of kind team.
func (id ID) Team() string { return strings.TrimPrefix(string(id), string(KindTeam)+"/") }

// TableKey returns the store key that holds the row of the shard: one key a
// place, so that a table stays small and places do not contend for it.
func (id ID) TableKey() string {
	place := id.Place()
	if place == "" {
		place = string(id.Kind())
	}
	return TablePrefix + place
}

// TablePrefix is the prefix of the keys of the assignment table.
const TablePrefix = "cell/owner/"

// Row is the assignment of one shard.
type Row struct {
	Owner Instance `json:"owner"`
	// Epoch grows with every change of owner.
	Epoch int64 `json:"epoch"`
	// Pending lists earlier owners that are not known to have stopped.
	Pending []Instance `json:"pending,omitempty"`
}

// Table is the value of one key of the assignment table.
type Table struct {
	Rows map[ID]Row `json:"rows"`
}

// Clone returns a copy that can be edited.
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

// Assign returns the preferred owner of every shard. It is deterministic:
// every process with the same view computes the same. A shard stays where it
// is unless its owner is not a member or holds more than its even part.
// Members in the place of the targets go first; a place without members is
// served by all.
func Assign(shards []ID, members []Member, owners map[ID]Instance) map[ID]Instance {
	groups := map[string][]ID{}
	for _, id := range shards {
		group := string(id.Kind()) + "/" + id.Place()
		groups[group] = append(groups[group], id)
	}
	preferred := make(map[ID]Instance, len(shards))
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		ids := groups[group]
		assignGroup(ids, candidates(members, ids[0].Place()), owners, preferred)
	}
	return preferred
}

func candidates(members []Member, place string) (list []Instance) {
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

func assignGroup(ids []ID, members []Instance, owners map[ID]Instance, preferred map[ID]Instance) {
	if len(members) == 0 {
		return
	}
	ceiling := (len(ids) + len(members) - 1) / len(members)
	floor := len(ids) / len(members)
	load := make(map[Instance]int, len(members))
	held := make(map[Instance][]ID, len(members))
	var orphans []ID
	ids = slices.Clone(ids)
	slices.Sort(ids)
	for _, id := range ids {
		owner := owners[id]
		if slices.Contains(members, owner) {
			held[owner] = append(held[owner], id)
			continue
		}
		orphans = append(orphans, id)
	}
	for _, m := range members {
		kept := held[m]
		slices.SortFunc(kept, func(a, b ID) int { return compareScore(b, a, m) })
		for i, id := range kept {
			if i < ceiling {
				preferred[id] = m
				load[m]++
				continue
			}
			orphans = append(orphans, id)
		}
	}
	slices.Sort(orphans)
	for _, id := range orphans {
		best := leastLoaded(id, members, load)
		preferred[id] = best
		load[best]++
	}
	fillUp(ids, members, floor, load, preferred)
}

// fillUp moves single shards from the fullest members to those below the even part.
func fillUp(ids []ID, members []Instance, floor int, load map[Instance]int, preferred map[ID]Instance) {
	for _, m := range members {
		for load[m] < floor {
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

// leastLoaded picks among the members with the least load the one with the
// highest rendezvous score.
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

func score(id ID, m Instance) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(m))
}

func compareScore(a, b ID, m Instance) int {
	sa, sb := score(a, m), score(b, m)
	switch {
	case sa < sb:
		return -1
	case sa > sb:
		return 1
	}
	return strings.Compare(string(a), string(b))
}
