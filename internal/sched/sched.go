// Package sched holds the scheduling policy: the order of waiting work, the choice
// of workers, the reserve for urgent work and the throttling of best-effort tasks.
// It does no input or output and reads no clock.
//
// # Usage
//
//	slices.SortFunc(groups, func(a, b group) int { return sched.Compare(a.rank, b.rank) })
//	i := sched.Choose(candidates, step.Demand, need)
//	picks := sched.ChooseAll(candidates, step.Demand, step.Count, need, sched.GangPreference{SameRack: true})
package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
)

// Rank determines the position of work that waits for free capacity.
type Rank struct {
	Expired  bool          // the result is useless to its caller
	Late     bool          // not started, and the deadline can no longer be met
	Delayed  bool          // put last so that more of the other work is in time; see Plan
	Turn     bool          // next of a team that uses less than its weight entitles it to; see Plan
	Hopeless bool          // would be useless before the capacity suffices for it; see Plan
	Priority int           // of the queue; 0 comes first
	Started  bool          // a task of the job has been started
	OverRate bool          // over the rate that follows from the team's weight
	Deadline time.Duration // by which the work should have ended
}

// Compare orders work by priority. Within a priority, work that is not started and
// can no longer meet its deadline, or that Plan has delayed, comes last: first the delayed
// work, then the late work, then the hopeless. The rest is sorted with the turns of teams
// that use little first, then started work, then work within the team's rate, then by
// deadline. Expired work is sorted last.
//
// This order handles four kinds of load:
//   - a flood from one team: the work of other teams comes first;
//   - a burst beyond the capacity: plain deadline order would make all work late;
//   - jobs of several steps in a full cell: they would be started and then left half
//     done behind later ones;
//   - the time after an overload: late urgent work would otherwise wait for all work
//     of lower priorities.
func Compare(a, b Rank) int {
	if c := compareBool(a.Expired, b.Expired); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := compareBool(a.Late || a.Delayed, b.Late || b.Delayed); c != 0 {
		return c
	}
	if c := compareBool(a.Hopeless, b.Hopeless); c != 0 {
		return c
	}
	if c := compareBool(a.Late, b.Late); c != 0 {
		return c
	}
	if c := compareBool(b.Turn, a.Turn); c != 0 {
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

// ExpiryFactor is the multiple of its time budget after which the result of a job is
// useless to its caller.
const ExpiryFactor = 3

// WithLateness returns the rank with Expired and Late set for the time now. The time
// budget of the work starts at submitted, and the work is estimated to take remaining
// from now on. Long-running work has no end and is never late, so callers skip it.
func (r Rank) WithLateness(submitted, now, remaining time.Duration) Rank {
	r.Expired = now+remaining > submitted+ExpiryFactor*(r.Deadline-submitted)
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

// Reserve keeps capacity free for urgent work that has not been submitted yet. It is
// for a burst of short urgent jobs while long jobs fill the cell: the long jobs have
// ample time, but the capacity that they use becomes free only after seconds.
type Reserve struct {
	Fraction float64 // of the total capacity that work with ample time leaves free
}

// reserveSlackFraction is the fraction of its time budget to which the slack of work
// has to shrink before it may use the reserve as well.
const reserveSlackFraction = 0.35

// Admits reports whether work may take demand of the free capacity. The time budget is
// the time from submission to deadline, slack the part of it that is left beyond the
// remaining work.
func (r Reserve) Admits(free, total, demand resource.Vector, slack, timeBudget time.Duration) bool {
	if float64(slack) < reserveSlackFraction*float64(timeBudget) {
		return true
	}
	left := free.Sub(demand)
	return float64(left.MilliCores) >= r.Fraction*float64(total.MilliCores) &&
		float64(left.MemoryMB) >= r.Fraction*float64(total.MemoryMB)
}

// Candidate is a worker to which a task may be assigned.
type Candidate struct {
	Free     resource.Vector
	Rack     string
	Slowness float64 // lasting factor on run times, rounded so that similar workers are equal; 0 means 1
	Penalty  float64 // estimated passing slowdown beyond 1, for example for data on another rack
	MaxTasks int     // how many more tasks of the step may be assigned
}

// Choose returns the index of the best candidate for demand: the one that need prefers, then
// the lowest penalty, then the fewest free accelerators, then the least free processor time.
// It returns -1 if no candidate fits. This order leaves whole workers free for tasks that need
// all of one, while narrow tasks fill the others.
func Choose(candidates []Candidate, demand resource.Vector, need Need) (best int) {
	best = -1
	for i := range candidates {
		c := &candidates[i]
		if c.MaxTasks <= 0 || !c.Free.Fits(demand) {
			continue
		}
		if best < 0 || better(c, &candidates[best], need) {
			best = i
		}
	}
	return best
}

// better reports whether a is a better choice than b. Both fit.
func better(a, b *Candidate, need Need) bool {
	if c := need.Compare(a, b); c != 0 {
		return c < 0
	}
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	if a.Free.Accelerators != b.Free.Accelerators {
		return a.Free.Accelerators < b.Free.Accelerators
	}
	return a.Free.MilliCores < b.Free.MilliCores
}

// GangPreference describes where the tasks of a gang should run.
type GangPreference struct {
	SameRack bool // prefer a single rack, because the tasks are slower across racks
}

// ChooseAll chooses candidates for count sibling tasks, or for none of them. The
// result has the index of a candidate for each task. The slowest worker decides when the tasks
// end, so those of similar speed are used together if possible.
func ChooseAll(candidates []Candidate, demand resource.Vector, count int, need Need, preference GangPreference) (picks []int) {
	speeds := need.uniformSpeeds(candidates)
	if preference.SameRack {
		for _, allowed := range speeds {
			if picks = chooseSingleRack(candidates, demand, count, need, allowed); picks != nil {
				return picks
			}
		}
	}
	for _, allowed := range speeds {
		if picks = chooseEach(slices.Clone(candidates), demand, count, need, allowed); picks != nil {
			return picks
		}
	}
	return nil
}

// chooseSingleRack uses the rack with the least free capacity that fits all tasks.
func chooseSingleRack(candidates []Candidate, demand resource.Vector, count int, need Need, allowed func(*Candidate) bool) (picks []int) {
	fits := map[string]int64{}
	for i := range candidates {
		if !allowed(&candidates[i]) {
			continue
		}
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
	return chooseEach(slices.Clone(candidates), demand, count, need, func(c *Candidate) bool { return c.Rack == chosen && allowed(c) })
}

// chooseEach chooses a candidate for each of count tasks among the allowed ones, or
// returns nil. It modifies candidates.
func chooseEach(candidates []Candidate, demand resource.Vector, count int, need Need, allowed func(*Candidate) bool) (picks []int) {
	for i := range candidates {
		if !allowed(&candidates[i]) {
			candidates[i].MaxTasks = 0
		}
	}
	for range count {
		i := Choose(candidates, demand, need)
		if i < 0 {
			return nil
		}
		candidates[i].Free = candidates[i].Free.Sub(demand)
		candidates[i].MaxTasks--
		picks = append(picks, i)
	}
	return picks
}

// TokenBucket limits the rate of a team. A team that submits far more than usual is
// entitled only to its rate; the rest is over the rate.
type TokenBucket struct {
	tokens      float64
	refilledAt  time.Duration
	initialized bool
}

// burstSeconds is the number of seconds of its rate that a team may submit in one burst.
const burstSeconds = 2

// Take counts one job at now, on any monotonic clock, for a team with a rate of
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

// Throttle returns the percentage of processor time that the best-effort tasks of a
// worker may use, given the worst ratio of tail latency to target among its
// latency-sensitive service tasks. It halves when a tail latency approaches its target
// and recovers in small steps, so that a load that changes within a second does not
// cause oscillation.
func Throttle(percent int, worstRatio float64) int {
	const (
		nearTarget = 0.85 // lower the percentage before the target is missed
		relaxed    = 0.6  // raise it again below this ratio
		minPercent = 10   // below this percentage the tasks are halted
		increment  = 15
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
