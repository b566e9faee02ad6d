package cell

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
)

// reservation keeps capacity of a worker for tasks of a step until it is sufficient.
// Work that comes later in the order of sched.Compare may use the capacity only if it is
// expected to end before, or if enough remains.
type reservation struct {
	step   *step
	node   *node
	demand resource.Vector // of all tasks for which it is made
	tasks  int64
	spare  resource.Vector // expected to be free beyond demand at the time at
	at     time.Duration
	madeAt time.Duration
}

const (
	// wideFraction is the fraction of a worker that a task has to demand for a
	// reservation. Narrow tasks find capacity as soon as any task ends.
	wideFraction = 0.5
	// maxReservedFraction bounds the workers of a pool that are reserved at a time.
	maxReservedFraction = 0.5
	// maxReservable bounds the workers that are considered for the reservations of a step.
	// The expected end of each of their runs is estimated.
	maxReservable = 100
	// reservationInterval is the minimum interval between two choices of the workers for a
	// step. Passes are more frequent than runs end.
	reservationInterval = 50 * time.Millisecond
	// reservationValidity is how long a reservation lasts if its step is not checked again.
	reservationValidity = 500 * time.Millisecond
	// minRemaining is the remaining run time that is expected of a run that has
	// exceeded its estimate.
	minRemaining = 100 * time.Millisecond
)

// wide reports whether the step needs reservations to find capacity in a full pool.
func (g *group) wide(p *pool) bool {
	s := g.step
	if s.spec.BestEffort || s.spec.LongRunning || len(p.nodes) == 0 {
		return false
	}
	workers := int64(len(p.nodes))
	mean := resource.Vector{
		MilliCores: p.total.MilliCores / workers, MemoryMB: p.total.MemoryMB / workers, Accelerators: p.total.Accelerators / workers,
	}
	return s.spec.Gang && len(s.tasks) > 1 || s.tasks[0].demand().Dominant(mean) > wideFraction
}

// reserve keeps the capacity that is free first for the waiting tasks of a wide step. It
// replaces earlier reservations of the step. While the adviser does not answer, the step
// could not use the capacity, and others may.
func (o *Owner) reserve(g *group, p *pool, now time.Duration) {
	s := g.step
	if now < s.reservedAt+reservationInterval && !s.advice.failed {
		return
	}
	o.dropReservations(s)
	waiting := len(s.tasks) - s.tasksDone - s.tasksRunning
	if waiting <= 0 || s.advice.failed || !g.wide(p) {
		return
	}
	s.reservedAt = now
	nodes, workers := o.reservable(g, p, now)
	demand := s.tasks[0].demand()
	count := waiting
	if !s.spec.Gang {
		count = min(count, len(nodes))
	}
	slots := sched.EarliestSlots(workers, demand, count, now)
	if s.spec.Gang {
		s.alignSlots(slots, now)
	}
	for _, slot := range slots {
		o.addReservation(s, nodes[slot.Worker], slot, demand, now)
	}
	if s.reservationsDue(now+o.Bounds.StopTimeout) && o.hasTickets(s, now+o.Bounds.StopTimeout) {
		for _, r := range s.reservations {
			o.preempt(r, now)
		}
	}
}

// alignSlots sets the time of all slots of a gang to that of the last one: the capacity is not
// needed before. It counts how often the gang could not start at the predicted time.
func (s *step) alignSlots(slots []sched.Slot, now time.Duration) {
	var startAt time.Duration
	for _, slot := range slots {
		startAt = max(startAt, slot.At)
	}
	for i := range slots {
		slots[i].At = startAt
	}
	switch {
	case s.predictedStart == 0:
		s.predictedStart = startAt
	case now > s.predictedStart:
		s.predictedStart = startAt
		s.missedStarts = min(s.missedStarts+1, maxMissedStarts)
	}
}

// maxMissedStarts bounds the missed starts that are counted. It leaves room for tasks that are
// short in terms of the time until the capacity is needed.
const maxMissedStarts = 5

// reservationsDue reports whether all reserved capacity can be free by the given time.
func (s *step) reservationsDue(by time.Duration) bool {
	return !slices.ContainsFunc(s.reservations, func(r *reservation) bool { return r.at > by })
}

// hasTickets reports whether the step will have tickets for all reserved workers at the
// given time, or needs none.
func (o *Owner) hasTickets(s *step, at time.Duration) bool {
	return s.job.policy.Advice == nil || !slices.ContainsFunc(s.reservations, func(r *reservation) bool {
		return !s.advice.hasTicket(r.node, at)
	})
}

// reservable returns the workers that may run the step and are not reserved for work of
// a better rank, and when they become free.
func (o *Owner) reservable(g *group, p *pool, now time.Duration) (nodes []*node, workers []sched.BusyWorker) {
	s := g.step
	if o.reservedWorkers(p) >= int(maxReservedFraction*float64(len(p.nodes)))+1 {
		return nil, nil
	}
	list := p.nodes
	if s.job.policy.Advice != nil {
		list = o.allowedWorkers(s, now)
	}
	for _, n := range list {
		if len(nodes) >= maxReservable {
			break
		}
		if !o.mayRun(s, n) || n.maxTasks(s, now) <= 0 {
			continue
		}
		if slices.ContainsFunc(n.reservations, func(r *reservation) bool { return sched.Compare(r.step.rank, s.rank) < 0 }) {
			continue
		}
		o.Counters.CandidatesChecked++
		nodes = append(nodes, n)
		workers = append(workers, sched.BusyWorker{Free: n.free(), Releases: o.releases(s, n, now), MaxTasks: n.maxTasks(s, now)})
	}
	return nodes, workers
}

// releases returns when the runs of a worker are expected to end, or can end if they are
// stopped for the step.
func (o *Owner) releases(s *step, n *node, now time.Duration) (list []sched.Release) {
	for _, r := range sortedRuns(n) {
		end, ok := o.expectedEnd(r, now)
		if stopped := now + o.Bounds.StopTimeout; (!ok || end > stopped) && o.preemptible(r, s) {
			end, ok = stopped, true
		}
		if ok {
			list = append(list, sched.Release{At: end, Amount: r.demand})
		}
	}
	return list
}

// expectedEnd estimates when a run ends, by its progress or else by the estimate and the
// usual error of the estimates of its queue; ok is false for a run that has no end.
func (o *Owner) expectedEnd(r *run, now time.Duration) (end time.Duration, ok bool) {
	spec := r.task.step.spec
	switch {
	case r.stopping:
		return max(r.stopSentAt+o.Bounds.StopTimeout, now), true
	case spec.LongRunning:
		return 0, false
	}
	since := cmp.Or(r.liveSince, now)
	if gained := r.percent - r.firstPercent; r.firstAt > 0 && gained >= minSiblingPercent {
		total := (r.resolvedAt - r.firstAt) * percentTotal / time.Duration(gained)
		return max(r.resolvedAt+total*time.Duration(percentTotal-r.percent)/percentTotal, now), true
	}
	end = since + o.expectedRunTime(r.task.step, r.node)
	switch {
	case end >= now:
	case r.fromStart:
		// The estimate was too low. Less than percent+1 of the work is done.
		end = since + (r.resolvedAt-since)*percentTotal/time.Duration(r.percent+1)
	default:
		end = now + (now - since)
	}
	return max(end, now+minRemaining), true
}

// expectedRunTime returns the estimated run time of a task on a worker, corrected by the usual
// error of the estimates of its queue and the lasting speed of the worker.
func (o *Owner) expectedRunTime(s *step, n *node) time.Duration {
	return time.Duration(float64(o.meanRunTime(s)) * n.slowness())
}

// meanRunTime is the same for a worker of mean speed.
func (o *Owner) meanRunTime(s *step) time.Duration {
	return time.Duration(float64(s.spec.Estimate) * o.runTimeRatio(s.job.spec.Queue))
}

// addReservation reserves one slot.
func (o *Owner) addReservation(s *step, n *node, slot sched.Slot, demand resource.Vector, now time.Duration) {
	for _, r := range n.reservations {
		if r.step == s {
			r.demand, r.tasks, r.at = r.demand.Add(demand), r.tasks+1, max(r.at, slot.At)
			r.spare = n.free().Add(slot.Freed).Sub(r.demand)
			return
		}
	}
	r := &reservation{step: s, node: n, demand: demand, tasks: 1, spare: n.free().Add(slot.Freed).Sub(demand), at: slot.At, madeAt: now}
	n.reservations = append(n.reservations, r)
	s.reservations = append(s.reservations, r)
}

// dropReservations ends the reservations of a step.
func (o *Owner) dropReservations(s *step) {
	for _, r := range s.reservations {
		r.node.reservations = slices.DeleteFunc(r.node.reservations, func(other *reservation) bool { return other == r })
	}
	s.reservations = nil
}

// reservedWorkers returns how many workers of a pool are reserved.
func (o *Owner) reservedWorkers(p *pool) (count int) {
	for _, n := range p.nodes {
		if len(n.reservations) > 0 {
			count++
		}
	}
	return count
}

// expireReservations ends the reservations of steps that have not been checked again: they
// no longer wait, or passes do not reach them.
func (o *Owner) expireReservations(now time.Duration) {
	for _, n := range o.sortedNodes {
		n.reservations = slices.DeleteFunc(n.reservations, func(r *reservation) bool {
			if !r.step.job.finished() && now-r.madeAt < reservationValidity {
				return false
			}
			r.step.reservations = slices.DeleteFunc(r.step.reservations, func(other *reservation) bool { return other == r })
			return true
		})
	}
}

// freeFor returns the free capacity of a worker that the step may use, which excludes
// capacity reserved for work of a better rank.
func (o *Owner) freeFor(s *step, n *node, now time.Duration) (free resource.Vector) {
	free = n.free()
	for _, r := range n.reservations {
		if r.step != s && sched.Compare(r.step.rank, s.rank) < 0 && !o.endsBefore(s, r, now) {
			free = free.Min(r.spare)
		}
	}
	return free
}

// endsBefore reports whether a task of the step that starts now is expected to end before
// the reserved capacity is needed. Expectations may be wrong, so each predicted start that was
// missed doubles the time that the task is assumed to take.
func (o *Owner) endsBefore(s *step, r *reservation, now time.Duration) bool {
	return !s.spec.LongRunning && now+o.expectedRunTime(s, r.node)<<r.step.missedStarts <= r.at
}

// takeSpare counts a run that was assigned to a worker against what its reservations
// leave to others.
func (o *Owner) takeSpare(r *run) {
	s := r.task.step
	for _, reserved := range r.node.reservations {
		if reserved.step != s && !o.endsBefore(s, reserved, o.Now()) {
			reserved.spare = reserved.spare.Sub(r.demand)
		}
	}
}

// reservedTasks returns for how many tasks of the step a worker is reserved that has
// their capacity within the given time.
func (s *step) reservedTasks(n *node, until time.Duration) (tasks int64) {
	for _, r := range s.reservations {
		if r.node == n && r.at <= until {
			tasks += r.tasks
		}
	}
	return tasks
}
