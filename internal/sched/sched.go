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
	Fraction float64 // of the capacity that work with time to spare leaves free
}

// reserveSlackFraction is the part of its allowance that work may lose by waiting
// before it takes the reserve as well.
const reserveSlackFraction = 0.35

// Admits reports whether work may take want of the free room. Allowance is the
// time from submission to deadline, slack what is left of it beyond the work.
func (r Reserve) Admits(free, total, demand resource.Vector, slack, timeBudget time.Duration) bool {
	if float64(slack) < reserveSlackFraction*float64(timeBudget) {
		return true
	}
	left := free.Sub(demand)
	return float64(left.MilliCores) >= r.Fraction*float64(total.MilliCores) &&
		float64(left.MemoryMB) >= r.Fraction*float64(total.MemoryMB)
}

// Candidate is what a worker offers to a task.
type Candidate struct {
	Free    resource.Vector
	Rack    string
	Penalty float64 // estimated slow-down beyond 1, as for data on another rack
	MaxTasks    int     // how many tasks of the step may still be placed here
}

// Choose returns the room that want fits into: the least penalty, then the
// least left over. It returns -1 if there is none.
func Choose(candidates []Candidate, demand resource.Vector) (best int) {
	best = -1
	for i := range candidates {
		c := &candidates[i]
		if c.MaxTasks <= 0 || !c.Free.Fits(demand) {
			continue
		}
		if best < 0 || better(c, &candidates[best]) {
			best = i
		}
	}
	return best
}

func better(a, b *Candidate) bool {
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	return a.Free.MilliCores < b.Free.MilliCores
}

// GangPreference restricts where the tasks of one gang may go.
type GangPreference struct {
	SameRack bool // prefer one rack: the tasks are slower when spread
}

// ChooseAll places count like tasks at once, or none. The result has a room
// for each task.
func ChooseAll(candidates []Candidate, demand resource.Vector, count int, preference GangPreference) (picks []int) {
	if preference.SameRack {
		if picks = chooseSingleRack(candidates, demand, count); picks != nil {
			return picks
		}
	}
	return chooseEach(slices.Clone(candidates), demand, count, func(*Candidate) bool { return true })
}

// chooseSingleRack uses the rack with the least room that holds all tasks.
func chooseSingleRack(candidates []Candidate, demand resource.Vector, count int) (picks []int) {
	fits := map[string]int64{}
	for i := range candidates {
		fits[candidates[i].Rack] += min(candidates[i].Free.Count(demand), int64(candidates[i].MaxTasks))
	}
	chosen := ""
	for _, rack := range slices.Sorted(maps.Keys(fits)) {
		if fits[rack] >= int64(count) && (chosen == "" || fits[rack] < fits[chosen]) {
			chosen = rack
		}
	}
	if chosen == "" {
		return nil
	}
	return chooseEach(slices.Clone(candidates), demand, count, func(r *Candidate) bool { return r.Rack == chosen })
}

func chooseEach(candidates []Candidate, demand resource.Vector, count int, allowed func(*Candidate) bool) (picks []int) {
	for i := range candidates {
		if !allowed(&candidates[i]) {
			candidates[i].MaxTasks = 0
		}
	}
	for range count {
		i := Choose(candidates, demand)
		if i < 0 {
			return nil
		}
		candidates[i].Free = candidates[i].Free.Sub(demand)
		candidates[i].MaxTasks--
		picks = append(picks, i)
	}
	return picks
}

// TokenBucket tells work that a team is entitled to from what exceeds its rate.
// It answers a team that submits many times its usual.
type TokenBucket struct {
	tokens  float64
	refilledAt   time.Duration
	initialized bool
}

// burstSeconds is how many seconds of its rate a team may submit at once.
const burstSeconds = 2

// Take counts one job at now, on any steady clock, for a team with a rate of
// perSecond jobs, and reports whether it is within the rate.
func (b *TokenBucket) Take(now time.Duration, perSecond float64) (withinRate bool) {
	burst := max(perSecond*burstSeconds, 1)
	if !b.initialized {
		b.tokens, b.refilledAt, b.initialized = burst, now, true
	}
	b.tokens = min(burst, b.tokens+perSecond*max(now-b.refilledAt, 0).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Throttle returns the share in percent at which the filling tasks of a worker may
// work, given the worst tail of its serving tasks relative to their targets.
// It halves when a tail comes near its target and recovers in small steps, so
// that a load that changes within a second does not make it oscillate.
func Throttle(percent int, worstRatio float64) int {
	const (
		nearTarget = 0.85 // lower the pace before the target is missed
		relaxed    = 0.6  // raise it again below this
		minPercent      = 10   // below this the tasks are halted
		increment       = 15
	)
	switch {
	case worstRatio >= 1:
		return 0
	case worstRatio >= nearTarget:
		if percent /= 2; percent < minPercent {
			percent = 0
		}
		return percent
	case worstRatio < relaxed:
		return min(percent+increment, 100)
	}
	return percent
}
