package cell

import (
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
)

// assign starts the tasks of the group for which there is free capacity and returns
// why the rest waits.
func (o *Owner) assign(g *group, p *pool, now time.Duration) (reason WaitReason) {
	s := g.step
	demand := s.tasks[0].demand()
	if p == nil {
		return ReasonCapacity
	}
	switch {
	case !p.mayFit(demand):
		reason = ReasonCapacity
	case !o.withinMaximum(s, 1) || !o.teamAdmits(g, 1):
		reason = ReasonLimit
	case !p.admits(g, demand):
		reason = ReasonReserve
	}
	if reason == ReasonNone {
		g.collect(now)
		switch {
		case len(g.tasks) == 0:
			reason = ReasonRetry
		case s.spec.Gang:
			reason = o.assignGang(g, p, now)
		default:
			reason = o.assignEach(g, p, now)
		}
	}
	switch reason {
	case ReasonCapacity, ReasonAdviser, ReasonAdvice:
		o.reserve(g, p, now)
	default:
		o.dropReservations(s)
	}
	if reason != ReasonRecord && reason != ReasonAdvice && reason != ReasonAdviser {
		o.learnAllowed(s, p, now)
	}
	return reason
}

// candidates returns the workers that may run the step's tasks. Quarantined workers are among
// them only if there is no other one.
func (o *Owner) candidates(s *step, p *pool, now time.Duration) (candidates []sched.Candidate, usable []*node) {
	nodes := p.nodes
	if s.job.policy.Advice != nil {
		// Only the workers with a ticket, which are few, are checked.
		nodes = o.ticketHolders(s, p, now)
	}
	o.Counters.CandidatesChecked += int64(len(nodes))
	eligible := func(n *node) bool { return o.mayRun(s, n) }
	if len(p.quarantined) > 0 && s.job.policy.Advice == nil && !slices.ContainsFunc(nodes, eligible) {
		nodes = p.quarantined
	}
	for _, n := range nodes {
		if !eligible(n) {
			continue
		}
		candidate := sched.Candidate{
			Free: o.freeFor(s, n, now), Rack: n.worker.Rack, MaxTasks: n.maxTasks(s, now), Penalty: o.penalty(s, n, now), Slowness: n.slownessFor(s),
		}
		candidates = append(candidates, candidate)
		usable = append(usable, n)
	}
	return candidates, usable
}

// ticketHolders returns the usable workers that have a ticket for the step. In a full
// pool it leaves out the full ones.
func (o *Owner) ticketHolders(s *step, p *pool, now time.Duration) (nodes []*node) {
	if now >= s.advice.ticketsUntil {
		return nil // all tickets have expired
	}
	if len(p.notFull) < len(s.advice.ticketedWorkers) && !s.spec.BestEffort {
		for _, n := range p.notFull {
			if s.advice.hasTicket(n, now) {
				nodes = append(nodes, n)
			}
		}
		return nodes
	}
	return slices.DeleteFunc(o.allowedWorkers(s, now), func(n *node) bool { return !s.advice.hasTicket(n, now) })
}

// allowedWorkers returns the usable workers that are known to be allowed to run the step.
func (o *Owner) allowedWorkers(s *step, now time.Duration) (nodes []*node) {
	for _, id := range s.advice.ticketedWorkers {
		n := o.nodes[id]
		if n != nil && n.usable(now) && n.worker.Pool == s.job.policy.Service {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// mayRun reports whether the step's constraints allow the worker.
func (o *Owner) mayRun(s *step, n *node) bool {
	return s.spec.Label == "" || n.worker.HasLabel(s.spec.Label)
}

// penalty estimates the slowdown of the step's tasks on a worker.
func (o *Owner) penalty(s *step, n *node, now time.Duration) (p float64) {
	if s.spec.Rack != "" && s.spec.Rack != n.worker.Rack {
		p += max(o.Bounds.RemoteDataSlowdown-1, 0)
	}
	return p + n.coldPenalty(now) + o.slownessPenalty(n, now)
}

func (n *node) free() resource.Vector { return n.worker.Capacity.Sub(n.used) }

// maxTasks returns how many more tasks of the step the worker may take. A worker in
// quarantine or on probation gets one run at a time.
func (n *node) maxTasks(s *step, now time.Duration) int {
	allowed := 1 << 20 // unbounded
	if n.health.onProbation(now) {
		allowed = n.trialsAllowed(now)
	}
	if s.spec.MaxPerWorker == 0 {
		return allowed
	}
	here := 0
	for _, r := range n.runs {
		if r.task.step == s {
			here++
		}
	}
	return min(s.spec.MaxPerWorker-here, allowed)
}

// assignEach starts as many tasks of the group as fit, and returns why the others
// wait.
func (o *Owner) assignEach(g *group, p *pool, now time.Duration) (reason WaitReason) {
	s := g.step
	candidates, usable := o.candidates(s, p, now)
	need := o.need(s, p, true)
	assigned := 0
	for _, t := range g.tasks {
		switch {
		case !o.withinMaximum(s, 1) || !o.teamAdmits(g, 1):
			return ReasonLimit
		case !p.admits(g, t.demand()):
			return ReasonReserve
		}
		i := o.choose(candidates, usable, t, need, now)
		if i < 0 && len(t.runs) > 0 {
			continue // the next task has no run yet, and may run on other workers than a copy
		}
		if i < 0 {
			break
		}
		o.countPlacement(&candidates[i], need)
		candidates[i].Free = candidates[i].Free.Sub(t.demand())
		candidates[i].MaxTasks--
		o.planRun(t, usable[i], o.nextRunNumber(t), s.advice.ticket(usable[i]))
		p.allocate(t)
		assigned++
	}
	switch {
	case assigned == len(g.tasks):
		return ReasonRecord
	case s.job.policy.Advice != nil:
		return o.queryAdvice(s, p, len(g.tasks)-assigned, now)
	}
	return ReasonCapacity
}

// demand returns the resources that the task takes on a worker. A best-effort task uses
// only the processor time that others leave, so it takes no cores.
func (t *task) demand() resource.Vector {
	demand := t.step.spec.Demand
	if t.step.spec.BestEffort {
		demand.MilliCores = 0
	}
	return demand
}

// choose selects a worker for t and, if possible, avoids workers on which it failed.
func (o *Owner) choose(candidates []sched.Candidate, usable []*node, t *task, need sched.Need, now time.Duration) int {
	if len(t.runs) > 0 {
		need = sched.AnyGain // a copy is worth only what it gains
		candidates = t.fastEnough(candidates)
	}
	if at := slices.Index(usable, t.failedOn); at >= 0 && t.failedOn.health.onProbation(now) && !t.failedOn.health.retrialDue(now) {
		candidates = slices.Clone(candidates)
		candidates[at].MaxTasks = 0
	}
	if len(t.avoidedWorkers) > 0 {
		preferred := slices.Clone(candidates)
		for i, n := range usable {
			if slices.Contains(t.avoidedWorkers, n.worker.ID) {
				preferred[i].MaxTasks = 0
			}
		}
		if i := sched.Choose(preferred, t.demand(), need); i >= 0 {
			return i
		}
	}
	return sched.Choose(candidates, t.demand(), need)
}

// fastEnough returns the candidates that are fast enough for a copy of the task.
func (t *task) fastEnough(candidates []sched.Candidate) []sched.Candidate {
	if t.copySlowness == 0 {
		return candidates
	}
	candidates = slices.Clone(candidates)
	for i := range candidates {
		if candidates[i].Slowness > t.copySlowness {
			candidates[i].MaxTasks = 0
		}
	}
	return candidates
}

// withinMaximum reports whether the team may run count more tasks of the step.
func (o *Owner) withinMaximum(s *step, count int) bool {
	team, maximum := s.job.spec.Team, o.teamMaximum(s.job)
	used := o.usage[team].Add(o.unresolvedByTeam[team]).Add(s.spec.Demand.Scale(int64(count)))
	exceeds := func(used, maximum int64) bool { return maximum > 0 && used > maximum }
	return !exceeds(used.MilliCores, maximum.MilliCores) && !exceeds(used.MemoryMB, maximum.MemoryMB) &&
		!exceeds(used.Accelerators, maximum.Accelerators)
}

// teamReserveFraction is the fraction of its maximum that a team's work with ample time
// leaves free for the team's urgent work.
const teamReserveFraction = 0.2

// teamAdmits reports whether count more tasks of the group leave enough of the team's
// maximum for its urgent work. It is for jobs with ample time that would fill the maximum
// while short urgent jobs of the same team wait for seconds.
func (o *Owner) teamAdmits(g *group, count int) bool {
	s := g.step
	if g.rank.Priority <= 0 {
		return true
	}
	const unlimited = 1 << 40
	team, total := s.job.spec.Team, o.teamMaximum(s.job)
	for _, amount := range []*int64{&total.MilliCores, &total.MemoryMB, &total.Accelerators} {
		if *amount == 0 {
			*amount = unlimited
		}
	}
	used := o.usage[team].Add(o.unresolvedByTeam[team])
	if total.Fits(used.Scale(2)) {
		return true // a gang may need most of the maximum, and must not wait for an idle team
	}
	free := total.Sub(used)
	return sched.Reserve{Fraction: teamReserveFraction}.Admits(free, total, s.spec.Demand.Scale(int64(count)), g.slack, g.timeBudget)
}

// assignGang starts either all tasks of a gang, with one run number, or none. It
// returns why they wait.
func (o *Owner) assignGang(g *group, p *pool, now time.Duration) (reason WaitReason) {
	s := g.step
	switch {
	case len(g.tasks) < len(s.tasks)-s.tasksDone:
		return ReasonRetry
	case !o.withinMaximum(s, len(g.tasks)) || !o.teamAdmits(g, len(g.tasks)):
		return ReasonLimit
	case !p.admits(g, g.tasks[0].demand().Scale(int64(len(g.tasks)))):
		return ReasonReserve
	}
	candidates, usable := o.candidates(s, p, now)
	need := o.need(s, p, true)
	picks := sched.ChooseAll(candidates, g.tasks[0].demand(), len(g.tasks), need, sched.GangPreference{SameRack: s.spec.RackSensitive})
	if picks == nil {
		if s.job.policy.Advice != nil {
			return o.queryAdvice(s, p, len(g.tasks), now)
		}
		return ReasonCapacity
	}
	s.predictedStart, s.missedStarts = 0, 0
	var number int64
	for _, t := range g.tasks {
		number = max(number, o.nextRunNumber(t))
	}
	for i, t := range g.tasks {
		o.countPlacement(&candidates[picks[i]], need)
		o.planRun(t, usable[picks[i]], number, s.advice.ticket(usable[picks[i]]))
		p.allocate(t)
	}
	return ReasonRecord
}
