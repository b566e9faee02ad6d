package cell

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
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

// preempt stops runs of lower priority on a reserved worker, as few as free the reserved
// capacity. Runs that end without a stop in the time that one takes are left running.
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
	// The largest runs first, so that few are stopped.
	slices.SortStableFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.demand.Accelerators, a.demand.Accelerators), cmp.Compare(b.demand.MilliCores, a.demand.MilliCores))
	})
	for _, victim := range victims {
		if free.Fits(r.demand) {
			return
		}
		free = free.Add(victim.demand)
		victim.task.preemptions++
		o.Counters.Preempted++
		o.stopRun(victim, "preempted by work of a higher priority")
	}
}

// sumDemand returns the resources that runs take.
func sumDemand(runs []*run) (sum resource.Vector) {
	for _, r := range runs {
		sum = sum.Add(r.demand)
	}
	return sum
}
