package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/share"
)

// fleet aggregates the capacity, usage and demand of the whole cell from
// heartbeats and from the shards of this process.
type fleet struct {
	computedAt   time.Time
	total        resource.Vector
	free         resource.Vector
	demand       resource.Vector
	urgent       resource.Vector
	teams        map[string]job.Summary
	entitlements map[string]float64 // dominant fraction of the total that a team is entitled to
}

const (
	// maxFleetAge is the time for which one computation of the fleet is reused.
	maxFleetAge = 50 * time.Millisecond
	// shareTolerance is the fraction of the cell by which a team may miss its
	// fair share before tasks are stopped for it.
	shareTolerance = 0.005
)

// currentFleet returns the aggregate state of the cell, at most maxFleetAge old.
func (e *Entry) currentFleet(now time.Time) *fleet {
	if e.fleet != nil && now.Sub(e.fleet.computedAt) < maxFleetAge {
		return e.fleet
	}
	f := &fleet{computedAt: now, teams: map[string]job.Summary{}}
	for _, host := range e.hostList {
		if host.Kind == hostlist.KindWorker {
			f.total = f.total.Add(host.Capacity)
		}
	}
	for _, summary := range e.rackSummaries() {
		for _, free := range summary.Free {
			f.free = f.free.Add(free)
		}
	}
	for instance, m := range e.members {
		for _, summary := range m.teams {
			if owner, _ := e.tracker.Owner(shard.TeamID(summary.Team)); owner == instance {
				f.teams[summary.Team] = summary
			}
		}
	}
	for team, q := range e.queues {
		f.teams[team] = q.Summary()
	}
	tables := e.tables.Load()
	demands := map[string]share.Demand{}
	for team, summary := range f.teams {
		demands[team] = share.Demand{Weight: max(tables.Teams[team].Share, minWeight), Used: summary.Used, Pending: summary.Pending}
		f.demand = f.demand.Add(summary.Used).Add(summary.Pending)
		f.urgent = f.urgent.Add(summary.Urgent)
	}
	f.entitlements = share.Entitlements(f.total, demands)
	e.fleet = f
	return f
}

// minWeight is the weight of a team that is no longer in the tables.
const minWeight = 0.001

// withinShare reports whether a team's fair share allows it to use more
// resources: while the cell has capacity for the demand of all teams, or while
// the team is below its entitlement. Urgent work is always allowed; other work
// must leave the free capacity that pending urgent work needs.
func (e *Entry) withinShare(team string, used, more resource.Vector, urgent bool) bool {
	f := e.currentFleet(time.Now())
	if urgent || f.total.Fits(f.demand) {
		return true
	}
	if !f.urgent.IsZero() && !f.free.Sub(f.urgent).Fits(more) {
		return false
	}
	return used.Add(more).Dominant(f.total) <= f.entitlements[team]+shareTolerance
}

// shareToRelease returns the fraction of the cell that a team must release: its
// usage above its fair share, limited to what other teams lack of theirs, or its
// part of the capacity that urgent work lacks if that is larger.
func (e *Entry) shareToRelease(team string, used resource.Vector) (fraction float64) {
	f := e.currentFleet(time.Now())
	if f.total.Fits(f.demand) {
		return 0
	}
	aboveShare := used.Dominant(f.total) - f.entitlements[team]
	var shortfall float64
	for name, summary := range f.teams {
		gap := f.entitlements[name] - summary.Used.Dominant(f.total)
		if name != team && gap > shareTolerance && !summary.Pending.IsZero() {
			shortfall += gap
		}
	}
	if aboveShare > shareTolerance {
		fraction = min(aboveShare, shortfall)
	}
	return max(fraction, f.urgentShare(team))
}

// urgentShare returns a team's part of the capacity that urgent work lacks. The
// capacity is taken from teams with preemptible tasks, starting with the team
// furthest above its fair share.
func (f *fleet) urgentShare(team string) float64 {
	need := f.urgent.Dominant(f.total)
	if need == 0 || f.free.Fits(f.urgent) {
		return 0
	}
	names := slices.Sorted(maps.Keys(f.teams))
	aboveShare := func(name string) float64 { return f.teams[name].Used.Dominant(f.total) - f.entitlements[name] }
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(aboveShare(b), aboveShare(a)) })
	for _, name := range names {
		part := min(need, f.teams[name].Preemptible.Dominant(f.total))
		if name == team {
			return part
		}
		need -= part
	}
	return 0
}
