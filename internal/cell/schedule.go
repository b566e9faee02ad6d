package cell

import (
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// group is a step with tasks that wait.
type group struct {
	step      *step
	tasks     []*task // collected only once there may be room
	rank      sched.Rank
	slack     time.Duration // left of the allowance, beyond the work to be done
	timeBudget time.Duration // from submission to deadline
}

// pool is the workers of a service that take work now.
type pool struct {
	nodes []*node
	free  resource.Vector
	total resource.Vector
	maxFree  resource.Vector // largest free room of any worker, each resource by itself
}

// mayFit reports whether some worker may have room for want. It answers a full
// cell with a long backlog: what fits nowhere is passed over without a look at
// each worker.
func (p *pool) mayFit(demand resource.Vector) bool { return p.maxFree.Fits(demand) }

// reserveFraction is the share of a pool that work with time to spare leaves free.
const reserveFraction = 0.12

// servicePriority ranks tasks that serve users all the time before all queues:
// while one is away its users are not served at all.
const servicePriority = -1

// schedule places what waits, best rank first.
func (o *Owner) schedule(now time.Duration) {
	if o.StoreUp() && now-o.workersListedAt > maxListAge {
		// A worker may have begun to drain. Without the store nobody can tell.
		o.passDue = true
		return
	}
	defer o.delayNextPass(now)
	o.unresolved = resource.Vector{}
	if now < o.resolveUntil {
		o.unresolved = o.unresolvedCapacity(now)
	}
	o.unresolvedByTeam = o.unresolvedUsage()
	o.Counters.Passes++
	groups := o.waitingGroups(now)
	if len(groups) == 0 {
		return
	}
	pools := o.usablePools(now)
	headSteps := passHeadSteps
	if o.Counters.Passes%2 == 0 {
		headSteps = 0 // what the pass before did not reach comes first
	}
	checked := 0
	for i := range groups {
		g := &groups[i]
		if i >= headSteps && g.step.sweep == o.sweep {
			continue
		}
		g.step.sweep = o.sweep
		o.setWaitReason(g.step, o.assign(g, pools[g.step.job.queue.Service], now), now)
		if checked++; checked%stepsPerClockRead == 0 && o.Now()-now > maxPassTime {
			o.passDue = true // the rest comes with the next passes
			return
		}
	}
	o.sweep++
}

const (
	// maxPassTime is the time from which a pass is broken off. On a host with one
	// processor nothing else runs meanwhile: no order goes out and no answer comes
	// in. A backlog of a thousand steps takes several passes then.
	maxPassTime = 5 * time.Millisecond
	// passHeadSteps is how many of the best steps every other pass begins with. The
	// passes between go on where the one before was broken off, or steps that find
	// no room would keep the rest from being looked at.
	passHeadSteps = 64
	// stepsPerClockRead is how many steps are looked at between two looks at the clock.
	stepsPerClockRead = 8
)

// maxPassFraction is the largest part of the time that is spent on passes: under a
// backlog they grow long, and orders and answers must not wait behind them.
const maxPassFraction = 0.25

// delayNextPass puts the next pass off according to how long this one took.
func (o *Owner) delayNextPass(start time.Duration) {
	took := o.Now() - start
	delay := time.Duration(float64(took) * (1/maxPassFraction - 1))
	o.nextPass = max(o.nextPass, start+took+min(delay, maxPassDelay))
}

// maxPassDelay bounds the pause between two passes.
const maxPassDelay = 100 * time.Millisecond

// maxListAge is the age of the list of workers up to which work is started by it:
// a worker that drains must get none two seconds after it has said so.
const maxListAge = 1600 * time.Millisecond

// unresolvedCapacity is what may be in use by runs that are not known: starts of
// the former owner without a record, on workers that have not answered yet.
func (o *Owner) unresolvedCapacity(now time.Duration) (sum resource.Vector) {
	for _, n := range o.sortedNodes {
		if o.mayRunUnknown(n, now) {
			sum = sum.Add(n.worker.Capacity).Add(resource.Vector{MemoryMB: 1}) // never zero
		}
	}
	return sum
}

// unresolvedUsage is what each team may be using by runs that are not known: no more
// than the tasks of its restored jobs that are not seen anywhere.
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

func (o *Owner) usablePools(now time.Duration) (pools map[string]*pool) {
	pools = map[string]*pool{}
	for _, n := range o.sortedNodes {
		if !n.usable(now) || !n.inDirectory && !o.StoreUp() {
			continue
		}
		p := pools[n.worker.Pool]
		if p == nil {
			p = &pool{}
			pools[n.worker.Pool] = p
		}
		p.nodes = append(p.nodes, n)
		free := n.free()
		p.free = p.free.Add(free)
		p.maxFree = p.maxFree.Max(free)
		p.total = p.total.Add(n.worker.Capacity)
	}
	return pools
}

// admits reports whether the group may take want of the room now.
func (p *pool) admits(g *group, demand resource.Vector) bool {
	if g.rank.Priority <= 0 {
		return true
	}
	return sched.Reserve{Share: reserveFraction}.Admits(p.free, p.total, demand, g.slack, g.timeBudget)
}

// allocate notes that a task has been given room.
func (p *pool) allocate(t *task) { p.free = p.free.Sub(t.demand()) }

// collect gathers the tasks that could be started now.
func (g *group) collect(now time.Duration) {
	for _, t := range g.step.tasks {
		if t.startable(now) {
			g.tasks = append(g.tasks, t)
		}
	}
}

// waitingGroups lists the steps that have tasks to start, best rank first.
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
	slices.SortStableFunc(groups, func(a, b group) int { return sched.Compare(a.rank, b.rank) })
	return groups
}

func (o *Owner) rank(s *step) sched.Rank {
	j := s.job
	rank := sched.Rank{
		Priority: j.queue.Priority,
		Started:    j.started && j.spec.Times == 0,
		OverRate:   j.overRate,
		Deadline: o.deadline(j, s.occurrence),
	}
	if s.spec.LongRunning {
		rank.Priority = servicePriority
	}
	return rank
}

// deadline returns the time of day by which an occurrence of a job should have ended.
func (o *Owner) deadline(j *job, occurrence int) time.Duration {
	start := max(j.spec.Accepted, j.spec.Due(occurrence))
	return start + j.queue.Target + time.Duration(float64(j.criticalPath)*max(j.queue.Stretch, 1))
}

// criticalPathFrom returns the longest chain of estimated work through the steps of a
// job that begins with the step first, or with any step if first is negative.
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
