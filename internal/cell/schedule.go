package cell

import (
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
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
	for i := range groups {
		g := &groups[i]
		if i >= passFirst && g.step.round == o.round {
			continue
		}
		g.step.round = o.round
		o.waitFor(g.step, o.place(g, pools[g.step.job.queue.Service], now), now)
		if i%passCheck == 0 && o.Now()-now > passMost {
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
	// passFirst is how many of the best steps each pass looks at.
	passFirst = 64
	// passCheck is how many steps are placed between two looks at the clock.
	passCheck = 8
)

// place starts what of the group finds room and returns why the rest waits.
func (o *Owner) place(g *group, p *pool, now time.Duration) (reason Reason) {
	s := g.step
	want := s.tasks[0].want()
	switch {
	case p == nil || !p.mayFit(want):
		return ReasonRoom
	case !o.withinMaximum(s, 1):
		return ReasonLimit
	case !p.admits(g, want):
		return ReasonReserve
	}
	g.collect(now)
	switch {
	case len(g.tasks) == 0:
		return ReasonRetry
	case s.spec.Gang:
		return o.placeGang(g, p, now)
	}
	return o.placeEach(g, p, now)
}

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
			sum = sum.Add(s.spec.Want.Scale(int64(max(len(s.tasks)-s.done-s.running, 0))))
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
	wall := o.Wall()
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

// rooms describes the workers that may run the step's tasks.
func (o *Owner) rooms(s *step, nodes []*node, now time.Duration) (rooms []sched.Room, usable []*node) {
	if s.job.queue.Advice != nil {
		// Only the few workers with a ticket are looked at.
		nodes = o.ticketHolders(s, now)
	}
	o.Counters.RoomsLooked += int64(len(nodes))
	for _, n := range nodes {
		if !o.mayRun(s, n) {
			continue
		}
		room := sched.Room{Free: n.free(), Rack: n.w.Rack, Most: n.most(s), Penalty: o.penalty(s, n, now)}
		rooms = append(rooms, room)
		usable = append(usable, n)
	}
	return rooms, usable
}

// ticketHolders returns the usable workers that have a ticket for the step.
func (o *Owner) ticketHolders(s *step, now time.Duration) (nodes []*node) {
	if now >= s.advice.until {
		return nil // all tickets have run out
	}
	for _, id := range s.advice.holders {
		n := o.nodes[id]
		if n != nil && n.usable(now) && n.w.Pool == s.job.queue.Service && s.advice.permits(n, now) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// mayRun reports whether the step's constraints allow the worker.
func (o *Owner) mayRun(s *step, n *node) bool {
	return s.spec.Label == "" || n.w.HasLabel(s.spec.Label)
}

// penalty estimates the slow-down of the step's tasks on a worker.
func (o *Owner) penalty(s *step, n *node, now time.Duration) (p float64) {
	if s.spec.Rack != "" && s.spec.Rack != n.w.Rack {
		p += max(o.Bounds.FarFactor-1, 0)
	}
	return p + o.slowness(n, now)
}

func (n *node) free() resource.Vector { return n.w.Capacity.Sub(n.used) }

// most returns how many tasks of the step the worker may still take.
func (n *node) most(s *step) int {
	const unbounded = 1 << 20
	if n.probation && len(n.runs) > 0 {
		return 0
	}
	if n.probation {
		return 1
	}
	if s.spec.MaxPerWorker == 0 {
		return unbounded
	}
	here := 0
	for _, r := range n.runs {
		if r.task.step == s {
			here++
		}
	}
	return s.spec.MaxPerWorker - here
}

// placeEach starts as many tasks of the group as find room, and returns why the
// others wait.
func (o *Owner) placeEach(g *group, p *pool, now time.Duration) (reason Reason) {
	s := g.step
	rooms, usable := o.rooms(s, p.nodes, now)
	placed := 0
	for _, t := range g.tasks {
		switch {
		case !o.withinMaximum(s, 1):
			return ReasonLimit
		case !p.admits(g, t.want()):
			return ReasonReserve
		}
		i := o.choose(rooms, usable, t)
		if i < 0 {
			break
		}
		rooms[i].Free = rooms[i].Free.Sub(t.want())
		rooms[i].Most--
		o.plan(t, usable[i], o.nextRun(t), s.advice.ticket(usable[i]))
		p.take(t)
		placed++
	}
	switch {
	case placed == len(g.tasks):
		return ReasonRecord
	case s.job.queue.Advice != nil:
		return o.askAdvice(s, p.nodes, len(g.tasks)-placed, now)
	}
	return ReasonRoom
}

// want returns what the task takes of a worker's capacity.
func (t *task) want() resource.Vector {
	want := t.step.spec.Want
	if t.step.spec.Fills {
		want.MilliCores = 0
	}
	return want
}

// choose picks a worker for t and avoids, if it can, those on which it failed.
func (o *Owner) choose(rooms []sched.Room, usable []*node, t *task) int {
	if len(t.avoid) > 0 {
		kept := slices.Clone(rooms)
		for i, n := range usable {
			if slices.Contains(t.avoid, n.w.ID) {
				kept[i].Most = 0
			}
		}
		if i := sched.Choose(kept, t.want()); i >= 0 {
			return i
		}
	}
	return sched.Choose(rooms, t.want())
}

// withinMaximum reports whether the team may run count more tasks of the step.
func (o *Owner) withinMaximum(s *step, count int) bool {
	team, ok := o.Tables().Teams[s.job.spec.Team]
	if !ok {
		return true
	}
	used := o.usage[team.Name].Add(o.unknownOf[team.Name]).Add(s.spec.Want.Scale(int64(count)))
	over := func(used, most int64) bool { return most > 0 && used > most }
	return !over(used.MilliCores, team.Maximum.MilliCores) && !over(used.MemoryMB, team.Maximum.MemoryMB) &&
		!over(used.Accelerators, team.Maximum.Accelerators)
}

// placeGang starts all tasks of a gang with one run number, or none, and
// returns why they wait.
func (o *Owner) placeGang(g *group, p *pool, now time.Duration) (reason Reason) {
	s := g.step
	switch {
	case len(g.tasks) < len(s.tasks)-s.done:
		return ReasonRetry
	case !o.withinMaximum(s, len(g.tasks)):
		return ReasonLimit
	case !p.admits(g, g.tasks[0].want().Scale(int64(len(g.tasks)))):
		return ReasonReserve
	}
	rooms, usable := o.rooms(s, p.nodes, now)
	picks := sched.ChooseAll(rooms, g.tasks[0].want(), len(g.tasks), sched.Spread{SameRack: s.spec.RackSensitive})
	if picks == nil {
		if s.job.queue.Advice != nil {
			return o.askAdvice(s, p.nodes, len(g.tasks), now)
		}
		return ReasonRoom
	}
	var number int64
	for _, t := range g.tasks {
		number = max(number, o.nextRun(t))
	}
	for i, t := range g.tasks {
		o.plan(t, usable[picks[i]], number, s.advice.ticket(usable[picks[i]]))
		p.take(t)
	}
	return ReasonRecord
}

// evacuate stops, on workers that are about to leave, what has to go on elsewhere.
func (o *Owner) evacuate(now time.Duration) {
	for _, n := range o.order {
		if !n.listed || !n.w.Draining || !n.heard {
			continue
		}
		for _, r := range runsOf(n) {
			if !r.stopping && r.state == runLive && o.shouldLeave(r, now) {
				o.stopRun(r, "the worker is draining")
			}
		}
	}
}

// shouldLeave reports whether a run on a draining worker has to be stopped. A
// serving task moves at once; one with checkpoints works until its last
// progress can still be saved; any other may finish in time.
func (o *Owner) shouldLeave(r *run, now time.Duration) bool {
	spec := r.task.step.spec
	switch {
	case spec.LongRunning:
		return true
	case spec.Checkpointing:
		return now+o.Bounds.Stop+evacuationMargin >= r.node.leaveAt
	}
	return false
}

// evacuationMargin covers the delay of an order and of the look that lists its end.
const evacuationMargin = 400 * time.Millisecond

// paceNode keeps the tasks that fill a worker from disturbing those that serve.
func (o *Owner) paceNode(n *node, now time.Duration) {
	worst := 0.0
	var fills []*run
	for _, r := range runsOf(n) {
		spec := r.task.step.spec
		switch {
		case r.state != runLive || r.stopping:
		case spec.Fills:
			fills = append(fills, r)
		case spec.LongRunning && spec.TailTarget > 0:
			worst = max(worst, float64(r.figure)/float64(spec.TailTarget.Milliseconds()))
		}
	}
	if len(fills) == 0 {
		return
	}
	for _, r := range fills {
		if r.paceBusy || now-r.pacedAt < pacePeriod && r.pace < 100 {
			continue
		}
		percent := sched.Pace(r.pace, worst)
		if percent == r.pace {
			continue
		}
		o.pace(r, percent, worst, now)
	}
}

// pacePeriod is the time between two changes of one task's pace: the figures
// that workers report are of the last half second.
const pacePeriod = 500 * time.Millisecond

func (o *Owner) pace(r *run, percent int, worst float64, now time.Duration) {
	r.paceBusy = true
	r.pacedAt = now
	event.CellPace.Log(o.Log).Str("task", r.task.ref().String()).Str("worker", r.node.w.ID).Int("percent", percent).
		Int("before", r.pace).Float64("tail-of-target", worst).Send()
	order := work.RunOrder{Task: r.task.ref(), Run: r.number, Fence: r.node.fence(o.Epoch)}
	o.Pace(r.node.w, order, percent, func(_ work.OrderReport, err error) {
		r.paceBusy = false
		if err == nil {
			r.pace = percent
			return
		}
		event.CellPaceFailed.Log(o.Log).Str("task", order.Task.String()).Err(err).Send()
	})
}
