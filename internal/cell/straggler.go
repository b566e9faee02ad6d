package cell

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
)

const (
	// speedInterval is the interval between two measurements of a run's speed. The
	// shortest tasks take about a second.
	speedInterval = 350 * time.Millisecond
	// restartDelay is the usual time from the stop of a run to the next start of the
	// task: the end is listed and recorded, and a worker is chosen.
	restartDelay = 150 * time.Millisecond
	// maxRestarts is how often a task that is not stalled is restarted elsewhere.
	// After that the task itself is assumed to be large.
	maxRestarts = 1
	// slowWorkerCooldown is how long a worker with a straggler counts as slow if no run
	// on it ends within the usual time. Workers become slow for some seconds.
	slowWorkerCooldown = 4 * time.Second
	// maxSlowPenalty bounds the slowdown that one straggler indicates.
	maxSlowPenalty = 8
)

// measurable reports whether the speed of the run indicates that of its worker.
// Best-effort and throttled tasks use only the processor time that others leave, and
// the members of a gang wait for each other.
func (r *run) measurable() bool {
	spec := r.task.step.spec
	return r.state == runLive && !r.stopping && !spec.LongRunning && !spec.Gang && !spec.BestEffort
}

// siblingRunTime returns the typical run time of sibling tasks on other workers,
// extrapolated from their progress; 0 if too few are known. It is corrected by the lasting speeds
// of the workers: a run on a slow kind of worker is no straggler for that alone.
func (o *Owner) siblingRunTime(r *run) time.Duration {
	var times []time.Duration
	for _, t := range r.task.step.tasks {
		if t.done && t.runTime > 0 && t.doneOn != r.node {
			times = append(times, time.Duration(float64(t.runTime)/t.doneOn.slowness()))
			continue
		}
		for _, other := range t.runs {
			gained := other.percent - other.firstPercent
			if other.node == r.node || !other.measurable() || other.firstAt == 0 || gained < minSiblingPercent {
				continue
			}
			total := (other.resolvedAt - other.firstAt) * percentTotal / time.Duration(gained)
			times = append(times, time.Duration(float64(total)/other.node.slowness()))
		}
	}
	typical := time.Duration(float64(sched.MedianRunTime(times)) * r.node.slowness())
	if spec := r.task.step.spec; spec.Rack != "" && spec.Rack != r.node.worker.Rack {
		typical = time.Duration(float64(typical) * max(o.Bounds.RemoteDataSlowdown, 1))
	}
	return typical
}

const (
	// percentTotal is the percentage of a complete task.
	percentTotal = 100
	// minSiblingPercent is the observed progress that a run needs to be extrapolated.
	minSiblingPercent = 5
)

// workerSlowness returns the factor by which runs on the worker take longer than
// sibling tasks elsewhere. A single slow run among normal ones is only a larger task.
func (o *Owner) workerSlowness(n *node, now time.Duration) float64 {
	var list []float64
	for _, r := range n.runs {
		if r.slowness > 0 && now-r.measuredAt < slownessValidity {
			list = append(list, r.slowness)
		}
	}
	slices.Sort(list)
	switch {
	case now-n.lastOnTimeEnd < slownessValidity:
		return 1
	case len(list) > 1 && list[(len(list)-1)/2] >= slowWorkerMedian, len(list) == 1 && list[0] >= slowWorkerSingle:
		n.slowBy = min(list[(len(list)-1)/2]-1, maxSlowPenalty)
		n.slowUntil = now + slowWorkerCooldown
	}
	if now < n.slowUntil {
		return 1 + n.slowBy
	}
	return 1
}

const (
	// slowWorkerMedian is the median slowness of a worker's runs from which it counts
	// as slow. Tasks of one step usually differ by less.
	slowWorkerMedian = 2
	// slowWorkerSingle replaces it for a worker with only one comparable run.
	slowWorkerSingle = 4
	// slownessValidity is how long the measurement of a run, or its end within the
	// usual time, counts in the assessment of its worker.
	slownessValidity = 800 * time.Millisecond
)

// measureRuns measures the speed of the runs on a worker and restarts stragglers
// elsewhere.
func (o *Owner) measureRuns(n *node, now time.Duration) {
	for _, r := range sortedRuns(n) {
		if !r.measurable() {
			continue
		}
		if r.firstAt == 0 {
			r.firstAt, r.firstPercent = now, r.percent
			if r.fromStart {
				r.firstAt, r.firstPercent = r.liveSince, 0
			}
			r.baselineAt, r.baselinePercent, r.measuredAt = r.firstAt, r.firstPercent, r.firstAt
		}
		if now-r.measuredAt >= speedInterval {
			r.measuredAt = now
			o.measureRun(r, now)
		}
	}
}

// expectedStep returns the time that the run is expected to need for one percent of its work:
// by its own progress, or else by sibling tasks or the estimate, which may be wrong.
func (o *Owner) expectedStep(r *run, sibling time.Duration) time.Duration {
	gained := r.baselinePercent - r.firstPercent
	if gained > 1 || gained == 1 && r.fromStart {
		return (r.baselineAt - r.firstAt) / time.Duration(gained)
	}
	expected := cmp.Or(sibling, o.expectedRunTime(r.task.step, r.node)) / percentTotal
	if r.sentAt > 0 || r.percent == 0 {
		return expected
	}
	// A run of a former owner has taken at most the age of its step at the takeover. A restart
	// would cost as much.
	age := max(o.WallClock()-(o.Now()-r.firstAt)-r.task.step.runnableSince(), 0)
	return max(expected, age/time.Duration(max(r.percent, minSteps)))
}

// minSteps is the percentage below which the age of a run says little about its speed.
const minSteps = 4

// measureRun measures the speed of a run. A straggler is restarted elsewhere, or gets a
// speculative copy.
func (o *Owner) measureRun(r *run, now time.Duration) {
	if gained := r.percent - r.firstPercent; gained >= minObservedPercent {
		o.observe(r, (r.resolvedAt-r.firstAt)*percentTotal/time.Duration(gained))
	}
	speed := sched.Speed{
		Window: now - r.baselineAt, Gained: float64(r.percent-r.baselinePercent) / percentTotal, Remaining: float64(percentTotal-r.percent) / percentTotal,
		Expected: o.siblingRunTime(r),
	}
	speed.StallAfter = sched.StallTime(o.expectedStep(r, speed.Expected), r.task.stalls)
	r.slowness = 0
	if speed.Expected > 0 && r.task.restarts == 0 {
		r.slowness = speed.Slowness()
	}
	speed.WorkerSlowness = o.workerSlowness(r.node, now)
	if r.percent > r.baselinePercent {
		r.baselineAt, r.baselinePercent = now, r.percent
	}
	spec := r.task.step.spec
	restartAfter, restartFraction := o.Bounds.StopTimeout/2+restartDelay, 1.0
	switch {
	case spec.Speculative:
		restartAfter = restartDelay
	case spec.Checkpointing:
		restartFraction = speed.Remaining
	}
	hasCopy := len(r.task.runs) > 1
	switch {
	case !speed.IsStraggler(restartAfter, restartFraction) || r.task.step.job.finished() || hasCopy && !speed.Stalled():
		return
	case r.task.restarts >= maxRestarts && !speed.Stalled() || !o.capacityElsewhere(r, now):
		return
	}
	r.task.restarts++
	if speed.Stalled() {
		r.task.stalls++
		// Equivalent to a failure: no run will end there to indicate it.
		o.recordWorkerFailure(r.node, r.task)
	}
	event.CellStraggler.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", r.node.worker.ID).
		Int("percent", r.percent).Dur("window", speed.Window).Float64("slowness", speed.Slowness()).
		Dur("like-tasks", speed.Expected).Float64("worker", speed.WorkerSlowness).Bool("copy", spec.Speculative && !hasCopy).
		Bool("stalled", speed.Stalled()).Send()
	o.Counters.Stragglers++
	r.task.avoidWorker(r.node.worker.ID)
	if spec.Speculative && !hasCopy {
		r.task.requestCopy()
		o.passDue = true
		return
	}
	o.stopRun(r, "slower than like tasks")
}

// capacityElsewhere reports whether a worker that is not slow has free capacity for
// another run of the task.
func (o *Owner) capacityElsewhere(r *run, now time.Duration) bool {
	s := r.task.step
	demand := r.task.demand()
	return slices.ContainsFunc(o.sortedNodes, func(n *node) bool {
		good, known := s.advice.allowed[n.worker.ID]
		return n != r.node && n.usable(now) && n.worker.Pool == s.job.policy.Service && (good || !known) &&
			o.mayRun(s, n) && n.maxTasks(s, now) > 0 && o.slownessPenalty(n, now) == 0 && n.free().Fits(demand)
	})
}

// requestCopy requests a speculative copy of the task.
func (t *task) requestCopy() {
	if !t.copyWanted {
		t.copyWanted = true
		t.step.copiesWanted++
	}
}

// cancelCopy withdraws the request for a speculative copy.
func (t *task) cancelCopy() {
	if t.copyWanted {
		t.copyWanted, t.copySlowness = false, 0
		t.step.copiesWanted--
	}
}

// avoidWorker keeps the next runs of the task off a worker if others have free
// capacity.
func (t *task) avoidWorker(worker string) {
	const maxAvoided = 4
	t.avoidedWorkers = append(t.avoidedWorkers, worker)
	if len(t.avoidedWorkers) > maxAvoided {
		t.avoidedWorkers = t.avoidedWorkers[1:]
	}
}
