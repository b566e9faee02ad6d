package cell

import (
	"maps"
	"math"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// moveInterval is the interval between two decisions about runs in evacuated data
	// centres. It is about that of the reads of the worker list.
	moveInterval = 500 * time.Millisecond
	// maxMoves bounds the runs that are stopped after one decision. Twenty restarts a second
	// are a few percent of the starts that a cell of 350 workers makes anyway, so they do not
	// delay urgent work, and lasting tasks do not all become cold at once.
	maxMoves = 10
	// maxMoveSteps bounds the steps of one decision, because free capacity is looked up for
	// each of them on all workers.
	maxMoveSteps = 40
	// coldPenalty is the assumed slowdown of a worker that is cold, as a fraction. The list
	// does not say how slow it is, so it counts as twice as slow.
	coldPenalty = 1
)

// SetEvacuated sets the data centres whose evacuation is requested: their workers get no work.
// Call it before SetWorkers, with data that is as old as the list.
func (o *Owner) SetEvacuated(places []string) {
	evacuated := make(map[string]bool, len(places))
	for _, place := range places {
		evacuated[place] = true
	}
	if maps.Equal(evacuated, o.evacuated) {
		return
	}
	o.evacuated = evacuated
	for _, n := range o.sortedNodes {
		n.evacuated = evacuated[n.worker.Place]
	}
	o.passDue = true
}

// reportEvacuations logs the evacuations that were requested or have ended since the last call.
// The workers are those of the list that was applied in between.
func (o *Owner) reportEvacuations() {
	report := func(e event.Event, place string) {
		workers, runs := o.countPlace(place)
		e.Log(o.Log).Str("place", place).Int("workers", workers).Int("runs", runs).Send()
	}
	for _, place := range slices.Sorted(maps.Keys(o.evacuated)) {
		if !o.reportedEvacuations[place] {
			report(event.EvacuationRequested, place)
		}
	}
	for _, place := range slices.Sorted(maps.Keys(o.reportedEvacuations)) {
		if !o.evacuated[place] {
			report(event.EvacuationEnded, place)
		}
	}
	o.reportedEvacuations = o.evacuated
}

// countPlace returns the numbers of listed workers and of runs in a data centre.
func (o *Owner) countPlace(place string) (workers, runs int) {
	for _, n := range o.sortedNodes {
		if n.worker.Place == place {
			runs += len(n.runs)
			if n.listed {
				workers++
			}
		}
	}
	return workers, runs
}

// Evacuated returns the number of data centres whose evacuation is requested, and of the runs
// that are still there.
func (o *Owner) Evacuated() (places, runs int) {
	for _, n := range o.sortedNodes {
		if n.evacuated {
			runs += len(n.runs)
		}
	}
	return len(o.evacuated), runs
}

// coldPenalty returns the slowdown of the worker while it is cold, as a fraction.
func (n *node) coldPenalty(now time.Duration) float64 {
	if now < n.coldUntil {
		return coldPenalty
	}
	return 0
}

// evacuate stops runs in evacuated data centres, and on machines that are next in a wave, that
// continue elsewhere. Nothing is moved
// while their tasks could not be started at once: without the store, by an old list, and while
// a former owner may act or its runs are not resolved.
func (o *Owner) evacuate(now time.Duration) {
	if len(o.evacuated) == 0 && len(o.waves) == 0 || now < o.nextMoves || !o.StoreUp() || !o.listIsFresh(now) || o.passive(now) || now < o.resolveUntil {
		return
	}
	o.nextMoves = now + moveInterval
	left := maxMoves
	steps := o.stepsToMove()
	for _, service := range slices.Sorted(maps.Keys(steps)) {
		left -= o.moveRuns(service, steps[service], left, now)
	}
}

// movable reports whether the run could be stopped so that its task continues elsewhere.
func (o *Owner) movable(r *run) bool {
	s, n := r.task.step, r.node
	return (s.spec.LongRunning || s.spec.Checkpointing) && r.state == runLive && !r.stopping && len(r.task.runs) == 1 &&
		!r.task.done && !s.job.finished() && n.listed && n.responded && n.missedRenewals == 0 && !n.worker.Draining
}

// stepsToMove returns steps with movable runs in evacuated data centres, by service. Steps whose
// team is above its maximum are left out, because nothing of them would start again. If there
// are many, each call returns others: those of the first jobs may have no place elsewhere.
func (o *Owner) stepsToMove() (steps map[string][]*step) {
	found := map[*step]bool{}
	for _, n := range o.sortedNodes {
		if !n.vacated() || n.upkeepOrdered {
			continue
		}
		for _, r := range n.runs {
			if o.movable(r) {
				found[r.task.step] = true
			}
		}
	}
	var list []*step
	for _, j := range o.active {
		for _, s := range j.steps {
			if found[s] && o.withinMaximum(s, 0) {
				list = append(list, s)
			}
		}
	}
	if len(list) > maxMoveSteps {
		first := o.moveTurn % len(list)
		list = slices.Concat(list[first:], list[:first])[:maxMoveSteps]
		o.moveTurn += maxMoveSteps
	}
	steps = map[string][]*step{}
	for _, s := range list {
		service := s.job.policy.Service
		steps[service] = append(steps[service], s)
	}
	return steps
}

// away returns how many tasks of a step do not serve, for any cause, and how many of these
// need free capacity elsewhere to be started again.
func (s *step) away() (away, waiting int) {
	for _, t := range s.tasks {
		switch {
		case t.done:
			continue
		case len(t.runs) == 0 || !slices.ContainsFunc(t.runs, func(r *run) bool { return !r.stopping }):
			waiting++
			away++
		case !slices.ContainsFunc(t.runs, (*run).serves):
			away++
		}
	}
	return away, waiting
}

// serves reports whether a run of a lasting task is known to serve its users.
func (r *run) serves() bool {
	return r.state == runLive && r.serving && !r.stopping && !r.node.upkeepOrdered && r.node.responded && r.node.missedRenewals == 0
}

// moveRuns stops runs of steps of one service and returns how many.
func (o *Owner) moveRuns(service string, steps []*step, limit int, now time.Duration) (count int) {
	e := sched.Evacuation{MaxMoves: limit}
	var nodes []*node
	var total resource.Vector
	for _, n := range o.sortedNodes {
		// What is reserved waits for a wide step.
		if n.worker.Pool == service && n.usable(now) && !n.health.onProbation(now) && len(n.reservations) == 0 {
			nodes, e.Free = append(nodes, n), append(e.Free, n.free().Sub(n.promised))
			total = total.Add(n.worker.Capacity)
		}
	}
	e.Keep = resource.Vector{MilliCores: int64(reserveFraction * float64(total.MilliCores)), MemoryMB: int64(reserveFraction * float64(total.MemoryMB))}
	steps = append(steps, o.otherWaiting(service, steps, &e.Crowded)...)
	runs := make([][]*run, len(steps))
	for i, s := range steps {
		var m sched.MoveStep
		m, runs[i] = o.moveStep(s, nodes, now)
		e.Steps = append(e.Steps, m)
	}
	for _, move := range e.Plan() {
		o.Counters.RunsMoved++
		r, reason := runs[move.Step][move.Run], "its data centre is evacuated"
		if r.node.upkeep {
			reason = "its machine is next for upkeep"
		}
		o.stopRun(r, reason)
		count++
	}
	return count
}

// otherWaiting returns the lasting steps of a service that wait for capacity, besides those
// given, and sets crowded if steps with an end do.
func (o *Owner) otherWaiting(service string, steps []*step, crowded *bool) (others []*step) {
	for _, j := range o.active {
		if j.policy.Service != service {
			continue
		}
		for _, s := range j.steps {
			switch {
			case s.waitReason != ReasonCapacity && s.waitReason != ReasonReserve && s.waitReason != ReasonAdviser && s.waitReason != ReasonAdvice:
			case !s.spec.LongRunning:
				*crowded = *crowded || s.waitReason == ReasonCapacity || s.waitReason == ReasonReserve
			case !slices.Contains(steps, s) && len(others) < maxMoveSteps:
				others = append(others, s)
			}
		}
	}
	return others
}

// moveStep describes a step and its movable runs, which it returns in the same order.
func (o *Owner) moveStep(s *step, nodes []*node, now time.Duration) (m sched.MoveStep, runs []*run) {
	m = sched.MoveStep{
		Lasting: s.spec.LongRunning, Gang: s.spec.Gang, Tasks: len(s.tasks) - s.tasksDone, Demand: s.tasks[0].demand(),
		MaxAway: s.spec.MaxUnavailable, MaxTasks: o.maxTasksElsewhere(s, nodes), MoveTime: o.Bounds.StopTimeout + restartDelay,
	}
	m.Away, m.Waiting = s.away()
	if advice := s.job.policy.Advice; advice != nil {
		m.MoveTime += advice.Decide + minQueryWorkers*advice.Each
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if !o.movable(r) || !s.spec.Gang && (!r.node.vacated() || r.node.upkeepOrdered) {
				continue
			}
			move := sched.MoveRun{Serving: r.serves(), SavedAge: math.MaxInt64 / 2}
			if t.checkpoint != "" && (t.savedAt > 0 || r.sentAt > 0) {
				// A run that was started from a checkpoint has done nothing before its start.
				move.Saved, move.SavedAge = true, now-max(t.savedAt, r.sentAt)
			}
			if end, ok := o.expectedEnd(r, now); ok {
				move.Remaining = end - now
			}
			m.Runs, runs = append(m.Runs, move), append(runs, r)
		}
	}
	return m, runs
}

// maxTasksElsewhere returns how many more tasks of the step each of the workers may take. Of
// the workers about which the adviser was not queried only a part counts, because it allows
// only a part of them.
func (o *Owner) maxTasksElsewhere(s *step, nodes []*node) (counts []int) {
	here := map[*node]int{}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			here[r.node]++
		}
	}
	expected := 0.0 // workers that are allowed, among the unknown ones so far
	fraction := o.expectedAllowed(s.job.policy.Advice, s.job.spec.Queue)
	for _, n := range nodes {
		count := 1 << 20 // unbounded
		if s.spec.MaxPerWorker > 0 {
			count = s.spec.MaxPerWorker - here[n]
		}
		good, known := s.advice.allowed[n.worker.ID]
		if !known {
			expected += fraction
			if good = expected >= 1; good {
				expected--
			}
		}
		if !good || !o.mayRun(s, n) {
			count = 0
		}
		counts = append(counts, count)
	}
	return counts
}

// expectedAllowed returns the fraction of the workers that are expected to be allowed for a
// step, with the surplus that a query has; 1 if it needs no advice.
func (o *Owner) expectedAllowed(advice *work.Advice, queue string) float64 {
	if advice == nil {
		return 1
	}
	fraction := defaultAllowedFraction
	if r := o.allowedFractions.of(queue); r.count >= minSamples {
		fraction = max(r.mean, minAllowedFraction)
	}
	return min(fraction/candidateSurplus, 1)
}
