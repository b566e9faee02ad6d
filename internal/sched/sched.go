// Package sched holds the decisions about waiting work: which goes first, where
// it is placed and what must make room. It does no input or output and reads
// no clock.
//
// # Usage
//
//	slices.SortFunc(groups, func(a, b group) int { return sched.Compare(a.rank, b.rank) })
//	i := sched.Choose(rooms, step.Demand)
//	picks := sched.ChooseAll(rooms, step.Demand, step.Count, sched.Spread{SameRack: true})
package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
)

// Rank orders work that waits for room.
type Rank struct {
	Expired bool          // nobody waits for the result any more
	Late     bool          // not begun, and the deadline can no longer be met
	Priority int           // of the queue; 0 comes first
	Started    bool          // something of the job has run
	OverRate   bool          // beyond the rate that the team's weight entitles it to
	Deadline time.Duration // by which the work should have ended
}

// Compare orders work by priority. Within a priority, what is not begun and
// cannot meet its deadline any more goes last; before it goes what is begun, then
// entitled work before excess, then by deadline. What nobody waits for goes after
// everything. It answers four loads: a flood from one team, where the others' work
// goes first; a burst beyond the capacity, where plain deadline order would make
// all work late; jobs of several steps in a full cell, which would be begun and
// left half done behind later ones; and the time after an overload, where urgent
// work that is late would wait for all work of lower priorities.
func Compare(a, b Rank) int {
	if c := compareBool(a.Expired, b.Expired); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := compareBool(a.Late, b.Late); c != 0 {
		return c
	}
	if c := compareBool(b.Started, a.Started); c != 0 {
		return c
	}
	if c := compareBool(a.OverRate, b.OverRate); c != 0 {
		return c
	}
	return cmp.Compare(a.Deadline, b.Deadline)
}

// expiryFactor is how many times its allowance a job may take until its result
// is of no use to its caller.
const expiryFactor = 3

// WithLateness completes a rank at the time now: the work began to count at submitted,
// and is estimated to take remaining from now on. Work that lasts has no end
// and is never late.
func (r Rank) WithLateness(submitted, now, remaining time.Duration) Rank {
	r.Expired = now+remaining > submitted+expiryFactor*(r.Deadline-submitted)
	r.Late = !r.Started && now+remaining > r.Deadline
	return r
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Reserve keeps room for urgent work that has not come yet. It answers a burst
// of short urgent jobs while long jobs fill the cell: the long ones have time,
// and what they hold is free again only after seconds.
type Reserve struct {
	Share float64 // of the capacity that work with time to spare leaves free
}

// politeSlack is the part of its allowance that work may lose by waiting
// before it takes the reserve as well.
const politeSlack = 0.35

// Admits reports whether work may take want of the free room. Allowance is the
// time from submission to deadline, slack what is left of it beyond the work.
func (r Reserve) Admits(free, total, want resource.Vector, slack, allowance time.Duration) bool {
	if float64(slack) < politeSlack*float64(allowance) {
		return true
	}
	rest := free.Sub(want)
	return float64(rest.MilliCores) >= r.Share*float64(total.MilliCores) &&
		float64(rest.MemoryMB) >= r.Share*float64(total.MemoryMB)
}

// Room is what a worker offers to a task.
type Room struct {
	Free    resource.Vector
	Rack    string
	Penalty float64 // estimated slow-down beyond 1, as for data on another rack
	Most    int     // how many tasks of the step may still be placed here
}

// Choose returns the room that want fits into: the least penalty, then the
// least left over. It returns -1 if there is none.
func Choose(rooms []Room, want resource.Vector) (best int) {
	best = -1
	for i := range rooms {
		r := &rooms[i]
		if r.Most <= 0 || !r.Free.Fits(want) {
			continue
		}
		if best < 0 || better(r, &rooms[best]) {
			best = i
		}
	}
	return best
}

func better(a, b *Room) bool {
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	return a.Free.MilliCores < b.Free.MilliCores
}

// Spread restricts where the tasks of one gang may go.
type Spread struct {
	SameRack bool // prefer one rack: the tasks are slower when spread
}

// ChooseAll places count like tasks at once, or none. The result has a room
// for each task.
func ChooseAll(rooms []Room, want resource.Vector, count int, spread Spread) (picks []int) {
	if spread.SameRack {
		if picks = oneRack(rooms, want, count); picks != nil {
			return picks
		}
	}
	return fill(slices.Clone(rooms), want, count, func(*Room) bool { return true })
}

// oneRack uses the rack with the least room that holds all tasks.
func oneRack(rooms []Room, want resource.Vector, count int) (picks []int) {
	fits := map[string]int64{}
	for i := range rooms {
		fits[rooms[i].Rack] += min(rooms[i].Free.Count(want), int64(rooms[i].Most))
	}
	best := ""
	for _, rack := range slices.Sorted(maps.Keys(fits)) {
		if fits[rack] >= int64(count) && (best == "" || fits[rack] < fits[best]) {
			best = rack
		}
	}
	if best == "" {
		return nil
	}
	return fill(slices.Clone(rooms), want, count, func(r *Room) bool { return r.Rack == best })
}

func fill(rooms []Room, want resource.Vector, count int, allowed func(*Room) bool) (picks []int) {
	for i := range rooms {
		if !allowed(&rooms[i]) {
			rooms[i].Most = 0
		}
	}
	for range count {
		i := Choose(rooms, want)
		if i < 0 {
			return nil
		}
		rooms[i].Free = rooms[i].Free.Sub(want)
		rooms[i].Most--
		picks = append(picks, i)
	}
	return picks
}

// Allowance tells work that a team is entitled to from what exceeds its rate.
// It answers a team that submits many times its usual.
type Allowance struct {
	level  float64
	last   time.Duration
	primed bool
}

// burstSeconds is how many seconds of its rate a team may submit at once.
const burstSeconds = 2

// Take counts one job at now, on any steady clock, for a team with a rate of
// perSecond jobs, and reports whether it is within the rate.
func (a *Allowance) Take(now time.Duration, perSecond float64) (entitled bool) {
	burst := max(perSecond*burstSeconds, 1)
	if !a.primed {
		a.level, a.last, a.primed = burst, now, true
	}
	a.level = min(burst, a.level+perSecond*max(now-a.last, 0).Seconds())
	a.last = now
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}

// Pace returns the share in percent at which the filling tasks of a worker may
// work, given the worst tail of its serving tasks relative to their targets.
// It halves when a tail comes near its target and recovers in small steps, so
// that a load that changes within a second does not make it oscillate.
func Pace(percent int, worstRatio float64) int {
	const (
		nearTarget = 0.85 // lower the pace before the target is missed
		relaxed    = 0.6  // raise it again below this
		floor      = 10   // below this the tasks are halted
		step       = 15
	)
	switch {
	case worstRatio >= 1:
		return 0
	case worstRatio >= nearTarget:
		if percent /= 2; percent < floor {
			percent = 0
		}
		return percent
	case worstRatio < relaxed:
		return min(percent+step, 100)
	}
	return percent
}
