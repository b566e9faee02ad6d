package cell

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
)

// maxPreemptions is how often a task may be preempted. Each preemption costs the task a
// restart.
const maxPreemptions = 2

// preemptible reports whether a run may be stopped to free its capacity for the step. It
// has to be of a lower priority and to keep its progress, and its job must have so much
// time left that the delay does not make it late, or useless to its caller if it is
// late already.
func (o *Owner) preemptible(r *run, s *step) bool {
	t := r.task
	spec, victim := t.step.spec, t.step.job
	if s.rank.Expired || s.rank.Hopeless {
		return false // nothing is stopped for work that nobody can use any more
	}
	switch {
	case r.state != runLive || r.stopping || !spec.Checkpointing || spec.Gang || spec.LongRunning:
		return false
	case victim.policy.Priority <= s.rank.Priority || t.preemptions >= maxPreemptions || len(t.runs) > 1:
		return false
	}
	end, ok := o.expectedEnd(r, o.Now())
	if !ok {
		return false
	}
	remaining := end - o.Now() + t.step.remainingPath - spec.Estimate
	submitted := max(victim.spec.Accepted, victim.spec.Due(t.step.occurrence))
	rank := o.rank(t.step)
	rank.Started = false // work that is started would never count as late
	wall := o.WallClock()
	delay := o.Bounds.StopTimeout + o.expectedRunTime(s, r.node)
	return rank.WithLateness(submitted, wall, remaining) == rank.WithLateness(submitted, wall+delay, remaining)
}

// preempt stops runs of lower priority on a reserved worker, those whose delay costs least
// and as few as free the reserved capacity. Runs that end without a stop in the time that one takes are left running.
func (o *Owner) preempt(r *reservation, now time.Duration) {
	n := r.node
	free := n.free()
	var victims []*run
	for _, other := range sortedRuns(n) {
		end, ok := o.expectedEnd(other, now)
		switch {
		case ok && end <= now+o.Bounds.StopTimeout:
			free = free.Add(other.demand)
		case o.preemptible(other, r.step):
			victims = append(victims, other)
		}
	}
	if !free.Add(sumDemand(victims)).Fits(r.demand) {
		return
	}
	for _, victim := range o.leastCost(victims, free, r.demand) {
		victim.task.preemptions++
		o.Counters.Preempted++
		o.stopRun(victim, "preempted by work of a higher priority")
	}
}

// leastCost returns the runs to stop so that the demand fits. Those whose delay costs callers
// least come first: of no use any more, of the lowest priority, late. Of the same cost the
// largest come first, so that few are stopped. A run that is not needed in the end is spared.
func (o *Owner) leastCost(victims []*run, free, demand resource.Vector) (chosen []*run) {
	wall := o.WallClock()
	costs := make(map[*run]sched.Rank, len(victims))
	for _, v := range victims {
		s := v.task.step
		rank := o.rank(s)
		rank.Started = false // work that is started would never count as late
		submitted := max(s.job.spec.Accepted, s.job.spec.Due(s.occurrence))
		costs[v] = rank.WithLateness(submitted, wall, s.remainingPath)
	}
	slices.SortStableFunc(victims, func(a, b *run) int {
		x, y := costs[a], costs[b]
		x.Deadline, y.Deadline, x.OverRate, y.OverRate = 0, 0, false, false
		return cmp.Or(
			sched.Compare(y, x), cmp.Compare(b.demand.Accelerators, a.demand.Accelerators), cmp.Compare(b.demand.MilliCores, a.demand.MilliCores),
		)
	})
	for _, v := range victims {
		if free.Fits(demand) {
			break
		}
		free = free.Add(v.demand)
		chosen = append(chosen, v)
	}
	return slices.DeleteFunc(chosen, func(v *run) bool {
		without := free.Sub(v.demand)
		if without.Fits(demand) {
			free = without
			return true
		}
		return false
	})
}

// sumDemand returns the resources that runs take.
func sumDemand(runs []*run) (sum resource.Vector) {
	for _, r := range runs {
		sum = sum.Add(r.demand)
	}
	return sum
}
