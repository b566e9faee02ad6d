package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
)

// rescueInterval is the interval between two searches for runs on slow workers that get a second
// run on a faster one. The shortest tasks take about a second.
const rescueInterval = 200 * time.Millisecond

// rescue requests second runs for the last tasks of steps on slow workers, see sched.Tail. Like
// moves out of a data centre they are not requested while they could not be started at once.
func (o *Owner) rescue(now time.Duration) {
	if now < o.nextRescue || !o.StoreUp() || !o.listIsFresh(now) || o.passive(now) || now < o.resolveUntil {
		return
	}
	o.nextRescue = now + rescueInterval
	steps := o.stepsOnSlowWorkers(now)
	if len(steps) == 0 {
		return
	}
	pools := o.usablePools(now)
	for _, j := range o.active {
		for _, s := range j.steps {
			if p := pools[j.policy.Service]; steps[s] && p != nil {
				o.rescueStep(s, p, now)
			}
		}
	}
}

// stepsOnSlowWorkers returns the steps that may get second runs and have a run on a worker that
// is slower than the fastest one of its pool. With equal workers there are none.
func (o *Owner) stepsOnSlowWorkers(now time.Duration) (steps map[*step]bool) {
	fastest := map[string]float64{}
	for _, n := range o.sortedNodes {
		if n.speed != nil && n.usable(now) {
			fastest[n.speedPool] = min(cmp.Or(fastest[n.speedPool], n.speed.ClassSlowness()), n.speed.ClassSlowness())
		}
	}
	steps = map[*step]bool{}
	for _, n := range o.sortedNodes {
		if n.speed == nil || n.speed.ClassSlowness() <= cmp.Or(fastest[n.speedPool], 1) {
			continue
		}
		for _, r := range n.runs {
			if s := r.task.step; r.measurable() && (s.spec.Speculative || s.spec.Checkpointing) && s.spec.Estimate > 0 && !s.job.finished() {
				steps[s] = true
			}
		}
	}
	return steps
}

// rescueStep requests second runs for tasks of a step, and withdraws requests that are no longer
// worth it.
func (o *Owner) rescueStep(s *step, p *pool, now time.Duration) {
	wanted := map[*task]bool{}
	if tail, runs, late := o.tail(s, p, now); late && o.withinMaximum(s, 1) {
		limits := make([]float64, len(runs))
		fast := o.fasterWorkers(s, p, now)
		for i := range runs {
			limits[i] = fast.plan(&tail.Runs[i], &runs[i], tail.InTime, now)
		}
		for _, i := range tail.Plan() {
			wanted[runs[i].task] = true
			o.requestSecondRun(runs[i].run, limits[i], &tail.Runs[i])
		}
	}
	for _, t := range s.tasks {
		if t.copyWanted && t.copySlowness > 0 && !wanted[t] {
			t.cancelCopy()
		}
	}
}

// tail returns the runs of the tasks that are not done; late is false if all are predicted to end
// in time, or if some of the tasks do not run.
func (o *Owner) tail(s *step, p *pool, now time.Duration) (tail sched.Tail, runs []prediction, late bool) {
	if s.tasksDone+s.tasksRunning < len(s.tasks) {
		return sched.Tail{}, nil, false
	}
	tail.Tasks = len(s.tasks)
	tail.InTime, tail.OfValue = o.allowance(s, p, true).EndOfStep()
	for _, t := range s.tasks {
		if t.done || len(t.runs) == 0 {
			continue
		}
		if len(t.runs) > 1 {
			tail.Second++
		}
		first := slices.MinFunc(o.predictAll(t, now), func(a, b prediction) int { return cmp.Compare(a.left, b.left) })
		tail.Runs, runs = append(tail.Runs, sched.TailRun{Left: first.left}), append(runs, first)
		late = late || first.left > tail.InTime
	}
	return tail, runs, late
}

// prediction is the predicted run time of a run.
type prediction struct {
	*run
	total, left time.Duration
	vague       bool // by the estimate alone, and the estimates of the queue are bad
}

// maxEstimateError is the standard deviation of the estimates of a queue, as a logarithm, up to
// which a second run is planned by the estimate alone.
const maxEstimateError = 0.3

func (o *Owner) predictAll(t *task, now time.Duration) (list []prediction) {
	for _, r := range t.runs {
		list = append(list, o.predict(r, now))
	}
	return list
}

// predict predicts when the run ends: by its own progress, or else by its siblings, or else by
// the estimate.
func (o *Owner) predict(r *run, now time.Duration) (p prediction) {
	end, _ := o.expectedEnd(r, now)
	p = prediction{run: r, left: end - now}
	since := cmp.Or(r.liveSince, now)
	gained := r.percent - r.firstPercent
	if r.firstAt > 0 && gained >= minSiblingPercent {
		p.total = (r.resolvedAt - r.firstAt) * percentTotal / time.Duration(gained)
		return p
	}
	if sibling := o.siblingRunTime(r); sibling > 0 && r.fromStart && since+sibling > now {
		return prediction{run: r, total: sibling, left: since + sibling - now}
	}
	j := r.task.step.job
	p.vague = o.speedOf(j.policy.Service).EstimateError(j.spec.Queue) > maxEstimateError
	p.total = end - since
	if !r.fromStart {
		p.total = max(p.total, o.expectedRunTime(r.task.step, r.node))
	}
	return p
}

// copyState holds the requests of second runs of a task.
type copyState struct {
	copyWanted   bool    // a speculative copy is requested
	copySlowness float64 // slowness of the worker up to which the copy is worth it; 0: any
	secondRuns   int     // requests of a run on a faster worker
}

// requestSecondRun requests a copy of a run, or stops it so that its task continues elsewhere.
func (o *Owner) requestSecondRun(r *run, limit float64, planned *sched.TailRun) {
	t := r.task
	if t.copyWanted {
		return
	}
	t.secondRuns++
	isCopy := t.step.spec.Speculative
	event.CellSecondRun.Log(o.Log).Str("task", t.ref().String()).Int64("run", r.number).Str("worker", r.node.worker.ID).Int("percent", r.percent).
		Float64("slowness", r.node.slowness()).Dur("left", planned.Left).Dur("again", planned.Again).Bool("copy", isCopy).Send()
	o.passDue = true
	if isCopy {
		o.Counters.FasterCopies++
		t.copySlowness = limit
		t.requestCopy()
		return
	}
	o.Counters.FasterMoves++
	t.avoidWorker(r.node.worker.ID)
	o.stopRun(r, "a faster worker is free")
}

// fasterWorkers holds the workers that may take second runs of a step.
type fasterWorkers struct {
	step        *step
	slots       []fasterSlot
	query       time.Duration // what a placement query takes
	stopTimeout time.Duration
}

// fasterSlot is the free capacity of the workers of one speed.
type fasterSlot struct {
	slowness float64
	tasks    int64         // of the step that fit
	query    time.Duration // until a ticket is there
}

// fasterWorkers returns the workers with free capacity for the step beyond the reserve, by
// speed. Workers that may be slow for some time are left out.
func (o *Owner) fasterWorkers(s *step, p *pool, now time.Duration) (f fasterWorkers) {
	f = fasterWorkers{step: s, stopTimeout: o.Bounds.StopTimeout}
	advice := s.job.policy.Advice
	if advice != nil {
		f.query = advice.Decide + minQueryWorkers*advice.Each
	}
	demand := s.tasks[0].demand()
	type speedClass struct {
		free, total resource.Vector
		tasks       int64
		ticketed    bool
	}
	classes := map[float64]*speedClass{}
	for _, n := range p.nodes {
		c := classes[n.slownessFor(s)]
		if c == nil {
			c = &speedClass{}
			classes[n.slownessFor(s)] = c
		}
		free := o.freeFor(s, n, now).Sub(n.promised)
		c.free, c.total = c.free.Add(free), c.total.Add(n.worker.Capacity)
		good, known := s.advice.allowed[n.worker.ID]
		if known && !good || !o.mayRun(s, n) || n.health.onProbation(now) || o.penalty(s, n, now) > 0 || len(n.reservations) > 0 {
			continue
		}
		c.tasks += max(min(free.Count(demand), int64(n.maxTasks(s, now))), 0)
		c.ticketed = c.ticketed || s.advice.hasTicket(n, now) && free.Fits(demand)
	}
	for _, slowness := range slices.Sorted(maps.Keys(classes)) {
		c := classes[slowness]
		reserve := resource.Vector{MilliCores: int64(reserveFraction * float64(c.total.MilliCores)), MemoryMB: int64(reserveFraction * float64(c.total.MemoryMB))}
		slot := fasterSlot{slowness: slowness, tasks: min(c.tasks, c.free.Sub(reserve).Count(demand))}
		if advice != nil && !c.ticketed {
			slot.query = f.query
		}
		f.slots = append(f.slots, slot)
	}
	return f
}

// plan completes the description of a run that would end too late by the best second run of its
// task, and takes the capacity for that. The limit is the slowness of its worker.
func (f *fasterWorkers) plan(end *sched.TailRun, p *prediction, inTime, now time.Duration) (limit float64) {
	r, t, s := p.run, p.task, f.step
	maxRequests := maxMoveRequests
	if s.spec.Speculative {
		maxRequests = maxCopyRequests
	}
	switch {
	case p.left <= inTime || p.vague || !r.measurable() || len(t.runs) > 1:
		return 0
	case t.copyWanted && t.copySlowness == 0, !t.copyWanted && t.secondRuns >= maxRequests:
		return 0
	}
	again := p.total
	switch {
	case t.checkpoint != "" && (t.savedAt > 0 || r.sentAt > 0):
		again = min(p.left+now-max(t.savedAt, r.sentAt), p.total)
	case !s.spec.Speculative:
		return 0 // nothing is saved
	}
	if !s.spec.Speculative {
		end.Cost = f.stopTimeout + restartDelay
	}
	best := -1
	for i, slot := range f.slots {
		if slot.tasks <= 0 || slot.slowness >= r.node.slownessFor(s) {
			continue
		}
		if d := end.Cost + slot.query + startOverhead + time.Duration(float64(again)*slot.slowness/r.node.slowness()); best < 0 || d < end.Again {
			best, end.Again = i, d
		}
	}
	if best >= 0 {
		f.slots[best].tasks--
		limit = f.slots[best].slowness
	}
	return limit
}

const (
	// maxCopyRequests is how often a copy of a task is requested. A request is withdrawn if the
	// capacity for it is gone.
	maxCopyRequests = 3
	// maxMoveRequests is how often a task is moved to a faster worker.
	maxMoveRequests = 1
)
