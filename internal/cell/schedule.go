package cell

import (
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/speed"
	"turmericspread.org/turmericspread/internal/work"
)

// group is a runnable step with its waiting tasks.
type group struct {
	step       *step
	tasks      []*task // collected only if there may be free capacity
	rank       sched.Rank
	slack      time.Duration // part of the time budget that is left beyond the remaining work
	timeBudget time.Duration // time from submission to deadline
}

// pool holds the workers of a service that currently accept work.
type pool struct {
	nodes   []*node
	notFull []*node // with some processor time and memory free at the start of the pass
	// quarantined holds quarantined workers that may be given what no other one can run.
	quarantined []*node
	free        resource.Vector
	total       resource.Vector
	maxFree     resource.Vector // largest free capacity of any worker, per resource
	speeds      speed.Range     // of nodes
	urgent      bool            // a queue of the highest priority uses the pool
}

// mayFit reports whether some worker may have free capacity for demand. It keeps
// passes short in a full cell with a long backlog: tasks that fit nowhere are
// skipped without a check of each worker.
func (p *pool) mayFit(demand resource.Vector) bool { return p.maxFree.Fits(demand) }

// reserveFraction is the fraction of a pool that work with ample time leaves free.
const reserveFraction = 0.12

// servicePriority ranks long-running tasks that serve users ahead of all queues:
// while such a task is down, its users are not served at all.
const servicePriority = -1

// schedule assigns waiting tasks to workers, in the order of their rank.
func (o *Owner) schedule(now time.Duration) {
	if !o.listIsFresh(now) {
		o.passDue = true
		return
	}
	defer o.delayNextPass(now)
	if o.passive(now) {
		for _, g := range o.waitingGroups(now) {
			o.setWaitReason(g.step, ReasonTakeover, now)
		}
		o.passDue, o.nextPass = true, now+passivePassInterval
		return
	}
	o.unresolved = resource.Vector{}
	if now < o.resolveUntil {
		o.unresolved = o.unresolvedCapacity(now)
	}
	o.unresolvedByTeam = o.unresolvedUsage()
	o.Counters.Passes++
	o.expireReservations(now)
	groups := o.waitingGroups(now)
	if len(groups) == 0 {
		return
	}
	pools := o.usablePools(now)
	o.orderGroups(groups, pools, now)
	headSteps := passHeadSteps
	if o.Counters.Passes%2 == 0 {
		headSteps = 0 // steps that the previous pass did not reach come first
	}
	checked := 0
	for i := range groups {
		g := &groups[i]
		if i >= headSteps && g.step.sweep == o.sweep {
			continue
		}
		g.step.sweep = o.sweep
		o.setWaitReason(g.step, o.assign(g, pools[g.step.job.policy.Service], now), now)
		if checked++; checked%stepsPerClockRead == 0 && o.Now()-now > maxPassTime {
			o.passDue = true // the next passes continue with the rest
			return
		}
	}
	o.sweep++
}

const (
	// maxPassTime is the time after which a pass is interrupted. On a host with one
	// processor nothing else runs during a pass: no request is sent and no response is
	// received. A backlog of 1000 steps then takes several passes.
	maxPassTime = 5 * time.Millisecond
	// passHeadSteps is the number of top-ranked steps with which every other pass
	// starts. The passes in between continue where the previous one was interrupted,
	// because otherwise steps without free capacity would starve the rest.
	passHeadSteps = 64
	// stepsPerClockRead is the number of steps that are checked between two reads of
	// the clock.
	stepsPerClockRead = 8
)

// passivePassInterval is the interval between two passes that only record why work waits.
const passivePassInterval = 100 * time.Millisecond

// maxPassFraction is the maximum fraction of time spent on passes. They take long
// with a large backlog, and requests and responses must not wait behind them.
const maxPassFraction = 0.25

// delayNextPass delays the next pass according to the duration of this one.
func (o *Owner) delayNextPass(start time.Duration) {
	took := o.Now() - start
	delay := time.Duration(float64(took) * (1/maxPassFraction - 1))
	o.nextPass = max(o.nextPass, start+took+min(delay, maxPassDelay))
}

// maxPassDelay bounds the delay between two passes.
const maxPassDelay = 100 * time.Millisecond

// listIsFresh reports whether work may be started by the last worker list. A worker may
// have started to drain since. If the store is unavailable, that cannot be known, and work
// continues with the last list.
func (o *Owner) listIsFresh(now time.Duration) bool {
	return !o.StoreUp() || now-o.workersListedAt <= MaxListAge
}

// MaxListAge is the maximum age of the worker list with which work is started: a
// draining worker must get no work two seconds after it has announced the drain.
const MaxListAge = 1600 * time.Millisecond

// unresolvedCapacity returns the capacity that unknown runs may use: starts of the
// former owner without a record, on workers that have not responded yet.
func (o *Owner) unresolvedCapacity(now time.Duration) (sum resource.Vector) {
	for _, n := range o.sortedNodes {
		if o.mayRunUnknown(n, now) {
			sum = sum.Add(n.worker.Capacity).Add(resource.Vector{MemoryMB: 1}) // never zero
		}
	}
	return sum
}

// unresolvedUsage returns the resources that each team may use in unknown runs: at
// most those of the tasks of its restored jobs that are not observed anywhere.
func (o *Owner) unresolvedUsage() (teams map[string]resource.Vector) {
	teams = map[string]resource.Vector{}
	if o.unresolved == (resource.Vector{}) {
		return teams
	}
	for _, j := range o.active {
		if !j.restored {
			continue
		}
		sum := teams[j.spec.Team]
		for _, s := range j.steps {
			sum = sum.Add(s.spec.Demand.Scale(int64(max(len(s.tasks)-s.tasksDone-s.tasksRunning, 0))))
		}
		teams[j.spec.Team] = sum
	}
	for team, sum := range teams {
		teams[team] = resource.Vector{
			MilliCores:   min(sum.MilliCores, o.unresolved.MilliCores),
			MemoryMB:     min(sum.MemoryMB, o.unresolved.MemoryMB),
			Accelerators: min(sum.Accelerators, o.unresolved.Accelerators),
		}
	}
	return teams
}

// markUrgent marks the pools that queues of the highest priority use.
func (o *Owner) markUrgent(pools map[string]*pool) {
	for i := range o.Tables().Queues {
		q := &o.Tables().Queues[i]
		if p := pools[q.Service]; p != nil && q.Priority <= 0 {
			p.urgent = true
		}
	}
}

// usablePools returns the pools of workers that may be given work, by name. While
// the store is unavailable, work starts without a record, so workers that are not in
// the stored directory are left out: a successor would not query them.
func (o *Owner) usablePools(now time.Duration) (pools map[string]*pool) {
	pools = map[string]*pool{}
	for _, n := range o.sortedNodes {
		if !n.startable(now) || !n.inDirectory && !o.StoreUp() {
			continue
		}
		p := pools[n.worker.Pool]
		if p == nil {
			p = &pool{}
			pools[n.worker.Pool] = p
		}
		free := n.free()
		p.maxFree = p.maxFree.Max(free)
		if n.health.quarantined(now) {
			p.quarantined = append(p.quarantined, n)
			continue
		}
		p.nodes = append(p.nodes, n)
		p.speeds.Add(n.speed)
		p.free = p.free.Add(free)
		if free.MilliCores > 0 && free.MemoryMB > 0 {
			p.notFull = append(p.notFull, n)
		}
		p.total = p.total.Add(n.worker.Capacity)
	}
	o.markUrgent(pools)
	return pools
}

// admits reports whether the group may take demand of the free capacity now.
func (p *pool) admits(g *group, demand resource.Vector) bool {
	if g.rank.Priority <= 0 || !p.urgent || len(p.nodes) == 0 {
		return true
	}
	return sched.Reserve{Fraction: reserveFraction}.Admits(p.free, p.total, demand, g.slack, g.timeBudget)
}

// allocate records that a task has been assigned.
func (p *pool) allocate(t *task) { p.free = p.free.Sub(t.demand()) }

// collect gathers the tasks that can be started now.
func (g *group) collect(now time.Duration) {
	for _, t := range g.step.tasks {
		if t.startable(now) {
			g.tasks = append(g.tasks, t)
		}
	}
}

// waitingGroups returns the steps that have tasks to start, those of a job together.
func (o *Owner) waitingGroups(now time.Duration) (groups []group) {
	wall := o.WallClock()
	for _, j := range o.active {
		if j.finished() {
			o.passDue = true
			continue
		}
		takeover := j.restored && o.unresolved != (resource.Vector{})
		o.passDue = o.passDue || takeover
		for _, s := range j.steps {
			switch {
			case s.tasksDone+s.tasksRunning-s.copiesWanted >= len(s.tasks):
				if s.waitReason != ReasonNone {
					o.setWaitReason(s, s.reasonOnceAssigned(), now)
				}
				continue
			case !s.runnable(wall):
				continue
			case takeover:
				o.setWaitReason(s, ReasonTakeover, now)
				continue
			}
			g := group{step: s, rank: o.rank(s)}
			submitted, remainingPath := max(j.spec.Accepted, j.spec.Due(s.occurrence)), s.remainingPath
			g.timeBudget = g.rank.Deadline - submitted
			g.slack = g.rank.Deadline - wall - remainingPath
			if !s.spec.LongRunning {
				g.rank = g.rank.WithLateness(submitted, wall, remainingPath)
			}
			groups = append(groups, g)
		}
	}
	return groups
}

// rank returns the rank of a step without its lateness. A job whose starts were all withdrawn is
// ranked like one that was never started. A job with scheduled
// occurrences never counts as started, because its first occurrence would count for
// all later ones.
func (o *Owner) rank(s *step) sched.Rank {
	j := s.job
	rank := sched.Rank{
		Priority: j.policy.Priority,
		Started:  j.started() && j.spec.Times == 0,
		OverRate: j.overRate,
		Deadline: o.deadline(j, s.occurrence),
	}
	if s.spec.LongRunning {
		rank.Priority = servicePriority
	}
	return rank
}

// deadline returns the time of day by which an occurrence of a job should end.
func (o *Owner) deadline(j *job, occurrence int) time.Duration {
	return max(j.spec.Accepted, j.spec.Due(occurrence)) + timeBudget(j.policy, j.criticalPath)
}

// timeBudget returns the time that a job with a critical path may take.
func timeBudget(p *work.Policy, criticalPath time.Duration) time.Duration {
	stretched := min(float64(criticalPath)*max(p.Stretch, 1), float64(maxTimeBudget))
	return p.Target + time.Duration(stretched)
}

// maxTimeBudget bounds the time budget of a job. Several times as much can be added to any
// due time without an overflow.
const maxTimeBudget = 10 * 365 * 24 * time.Hour

// criticalPathFrom returns the longest chain of estimated work through the steps of a
// job, starting at step first, or at any step if first is negative.
func criticalPathFrom(spec *work.Job, first int) (longest time.Duration) {
	ends := make([]time.Duration, len(spec.Steps))
	for i := max(first, 0); i < len(spec.Steps); i++ {
		var start time.Duration
		for _, before := range spec.Steps[i].After {
			start = max(start, ends[before])
		}
		if first >= 0 && i > first && start == 0 {
			continue // does not depend on the step
		}
		ends[i] = start + spec.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
