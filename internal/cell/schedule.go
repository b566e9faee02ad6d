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
	allowance time.Duration // from submission to deadline
}

// pool is the workers of a service that take work now.
type pool struct {
	nodes []*node
	free  resource.Vector
	total resource.Vector
	most  resource.Vector // largest free room of any worker, each resource by itself
}

// mayFit reports whether some worker may have room for want. It answers a full
// cell with a long backlog: what fits nowhere is passed over without a look at
// each worker.
func (p *pool) mayFit(want resource.Vector) bool { return p.most.Fits(want) }

// reserved is the share of a pool that work with time to spare leaves free.
const reserved = 0.12

// servingPriority ranks tasks that serve users all the time before all queues:
// while one is away its users are not served at all.
const servingPriority = -1

// schedule places what waits, best rank first.
func (o *Owner) schedule(now time.Duration) {
	if o.StoreUp() && now-o.listedAt > listAge {
		// A worker may have begun to drain. Without the store nobody can tell.
		o.changed = true
		return
	}
	defer o.restAfterPass(now)
	o.unknown = resource.Vector{}
	if now < o.settling {
		o.unknown = o.unsettledCapacity(now)
	}
	o.unknownOf = o.unknownUse()
	o.Counters.Passes++
	groups := o.waiting(now)
	if len(groups) == 0 {
		return
	}
	pools := o.usableNodes(now)
	always := passFirst
	if o.Counters.Passes%2 == 0 {
		always = 0 // what the pass before did not reach comes first
	}
	placed := 0
	for i := range groups {
		g := &groups[i]
		if i >= always && g.step.round == o.round {
			continue
		}
		g.step.round = o.round
		o.waitFor(g.step, o.place(g, pools[g.step.job.queue.Service], now), now)
		if placed++; placed%passCheck == 0 && o.Now()-now > passMost {
			o.changed = true // the rest comes with the next passes
			return
		}
	}
	o.round++
}

const (
	// passMost is the time from which a pass is broken off. On a host with one
	// processor nothing else runs meanwhile: no order goes out and no answer comes
	// in. A backlog of a thousand steps takes several passes then.
	passMost = 5 * time.Millisecond
	// passFirst is how many of the best steps every other pass begins with. The
	// passes between go on where the one before was broken off, or steps that find
	// no room would keep the rest from being looked at.
	passFirst = 64
	// passCheck is how many steps are looked at between two looks at the clock.
	passCheck = 8
)

// passShare is the largest part of the time that is spent on passes: under a
// backlog they grow long, and orders and answers must not wait behind them.
const passShare = 0.25

// restAfterPass puts the next pass off according to how long this one took.
func (o *Owner) restAfterPass(begun time.Duration) {
	took := o.Now() - begun
	rest := time.Duration(float64(took) * (1/passShare - 1))
	o.nextPass = max(o.nextPass, begun+took+min(rest, longestRest))
}

// longestRest bounds the pause between two passes.
const longestRest = 100 * time.Millisecond

// listAge is the age of the list of workers up to which work is started by it:
// a worker that drains must get none two seconds after it has said so.
const listAge = 1600 * time.Millisecond

// unsettledCapacity is what may be in use by runs that are not known: starts of
// the former owner without a record, on workers that have not answered yet.
func (o *Owner) unsettledCapacity(now time.Duration) (sum resource.Vector) {
	for _, n := range o.order {
		if o.unsettled(n, now) {
			sum = sum.Add(n.w.Capacity).Add(resource.Vector{MemoryMB: 1}) // never zero
		}
	}
	return sum
}

// unknownUse is what each team may be using by runs that are not known: no more
// than the tasks of its restored jobs that are not seen anywhere.
func (o *Owner) unknownUse() (teams map[string]resource.Vector) {
	teams = map[string]resource.Vector{}
	if o.unknown == (resource.Vector{}) {
		return teams
	}
	for _, j := range o.active {
		if !j.restored {
			continue
		}
		sum := teams[j.spec.Team]
		for _, s := range j.steps {
			sum = sum.Add(s.spec.Demand.Scale(int64(max(len(s.tasks)-s.done-s.running, 0))))
		}
		teams[j.spec.Team] = sum
	}
	for team, sum := range teams {
		teams[team] = resource.Vector{
			MilliCores:   min(sum.MilliCores, o.unknown.MilliCores),
			MemoryMB:     min(sum.MemoryMB, o.unknown.MemoryMB),
			Accelerators: min(sum.Accelerators, o.unknown.Accelerators),
		}
	}
	return teams
}

func (o *Owner) usableNodes(now time.Duration) (pools map[string]*pool) {
	pools = map[string]*pool{}
	for _, n := range o.order {
		if !n.usable(now) || !n.inDirectory && !o.StoreUp() {
			continue
		}
		p := pools[n.w.Pool]
		if p == nil {
			p = &pool{}
			pools[n.w.Pool] = p
		}
		p.nodes = append(p.nodes, n)
		free := n.free()
		p.free = p.free.Add(free)
		p.most = p.most.Max(free)
		p.total = p.total.Add(n.w.Capacity)
	}
	return pools
}

// admits reports whether the group may take want of the room now.
func (p *pool) admits(g *group, want resource.Vector) bool {
	if g.rank.Priority <= 0 {
		return true
	}
	return sched.Reserve{Share: reserved}.Admits(p.free, p.total, want, g.slack, g.allowance)
}

// take notes that a task has been given room.
func (p *pool) take(t *task) { p.free = p.free.Sub(t.want()) }

// collect gathers the tasks that could be started now.
func (g *group) collect(now time.Duration) {
	for _, t := range g.step.tasks {
		if t.waiting(now) {
			g.tasks = append(g.tasks, t)
		}
	}
}

// waiting lists the steps that have tasks to start, best rank first.
func (o *Owner) waiting(now time.Duration) (groups []group) {
	wall := o.WallClock()
	for _, j := range o.active {
		if j.over() {
			o.changed = true
			continue
		}
		takeover := j.restored && o.unknown != (resource.Vector{})
		o.changed = o.changed || takeover
		for _, s := range j.steps {
			switch {
			case s.done+s.running-s.copies >= len(s.tasks):
				if s.waiting != ReasonNone {
					o.waitFor(s, s.recorded(), now)
				}
				continue
			case !s.open(wall):
				continue
			case takeover:
				o.waitFor(s, ReasonTakeover, now)
				continue
			}
			g := group{step: s, rank: o.rank(s)}
			submitted, remaining := max(j.spec.Accepted, j.spec.Due(s.occurrence)), s.remaining
			g.allowance = g.rank.Deadline - submitted
			g.slack = g.rank.Deadline - wall - remaining
			if !s.spec.LongRunning {
				g.rank = g.rank.Judge(submitted, wall, remaining)
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
		Begun:    j.begun && j.spec.Times == 0,
		Excess:   j.excess,
		Deadline: o.deadline(j, s.occurrence),
	}
	if s.spec.LongRunning {
		rank.Priority = servingPriority
	}
	return rank
}

// deadline returns the time of day by which an occurrence of a job should have ended.
func (o *Owner) deadline(j *job, occurrence int) time.Duration {
	begin := max(j.spec.Accepted, j.spec.Due(occurrence))
	return begin + j.queue.Target + time.Duration(float64(j.chain)*max(j.queue.Stretch, 1))
}

// chainOf returns the longest chain of estimated work through the steps of a
// job that begins with the step first, or with any step if first is negative.
func chainOf(spec *work.Job, first int) (longest time.Duration) {
	ends := make([]time.Duration, len(spec.Steps))
	for i := max(first, 0); i < len(spec.Steps); i++ {
		var begin time.Duration
		for _, before := range spec.Steps[i].After {
			begin = max(begin, ends[before])
		}
		if first >= 0 && i > first && begin == 0 {
			continue // does not depend on the step
		}
		ends[i] = begin + spec.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
