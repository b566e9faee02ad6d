package cell

import (
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
)

// place starts what of the group finds room and returns why the rest waits.
func (o *Owner) place(g *group, p *pool, now time.Duration) (reason WaitReason) {
	s := g.step
	want := s.tasks[0].want()
	switch {
	case p == nil || !p.mayFit(want):
		return ReasonCapacity
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

// rooms describes the workers that may run the step's tasks.
func (o *Owner) rooms(s *step, nodes []*node, now time.Duration) (rooms []sched.Room, usable []*node) {
	if s.job.queue.Advice != nil {
		// Only the few workers with a ticket are looked at.
		nodes = o.ticketHolders(s, now)
	}
	o.Counters.CandidatesChecked += int64(len(nodes))
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
		p += max(o.Bounds.RemoteDataSlowdown-1, 0)
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
func (o *Owner) placeEach(g *group, p *pool, now time.Duration) (reason WaitReason) {
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
	return ReasonCapacity
}

// want returns what the task takes of a worker's capacity.
func (t *task) want() resource.Vector {
	want := t.step.spec.Demand
	if t.step.spec.BestEffort {
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
	used := o.usage[team.Name].Add(o.unknownOf[team.Name]).Add(s.spec.Demand.Scale(int64(count)))
	over := func(used, most int64) bool { return most > 0 && used > most }
	return !over(used.MilliCores, team.Maximum.MilliCores) && !over(used.MemoryMB, team.Maximum.MemoryMB) &&
		!over(used.Accelerators, team.Maximum.Accelerators)
}

// placeGang starts all tasks of a gang with one run number, or none, and
// returns why they wait.
func (o *Owner) placeGang(g *group, p *pool, now time.Duration) (reason WaitReason) {
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
		return ReasonCapacity
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
