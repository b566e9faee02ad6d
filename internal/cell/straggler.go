package cell

import (
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
)

const (
	// speedInterval is the time between two measures of a run's speed. The
	// shortest tasks take about a second.
	speedInterval = 350 * time.Millisecond
	// restartDelay is the usual time from the stop of a run to its next start:
	// the end is listed, recorded and a worker chosen.
	restartDelay = 150 * time.Millisecond
	// maxRestarts is how often a task that does not stand still is moved: after
	// that the task itself is taken to be large.
	maxRestarts = 1
	// slowWorkerCooldown is how long a worker with a straggler is taken as slow if no run
	// there ends in time. Workers turn slow for some seconds.
	slowWorkerCooldown = 4 * time.Second
	// maxSlowPenalty bounds the slow-down that one straggler tells of.
	maxSlowPenalty = 8
)

// measurable reports whether the run's speed tells of its worker: tasks that fill
// or are paced work at the speed that others leave, a gang waits for its members.
func (r *run) measurable() bool {
	spec := r.task.step.spec
	return r.state == runLive && !r.stopping && !spec.LongRunning && !spec.Gang && !spec.BestEffort
}

// siblingRunTime returns how long tasks of the run's step take on other workers, as far as
// they have come; 0 if too few are known.
func (o *Owner) siblingRunTime(r *run) time.Duration {
	var times []time.Duration
	for _, t := range r.task.step.tasks {
		if t.done && t.runTime > 0 && t.doneOn != r.node.worker.ID {
			times = append(times, t.runTime)
			continue
		}
		for _, other := range t.runs {
			gained := other.percent - other.firstPercent
			if other.node == r.node || !other.measurable() || other.firstAt == 0 || gained < minSiblingPercent {
				continue
			}
			times = append(times, (other.resolvedAt-other.firstAt)*percentTotal/time.Duration(gained))
		}
	}
	typical := sched.Typical(times)
	if spec := r.task.step.spec; spec.Rack != "" && spec.Rack != r.node.worker.Rack {
		typical = time.Duration(float64(typical) * max(o.Bounds.RemoteDataSlowdown, 1))
	}
	return typical
}

const (
	// percentTotal is the percentage of all work.
	percentTotal = 100
	// minSiblingPercent is how far a run must have been seen to come to tell how long
	// it takes.
	minSiblingPercent = 5
)

// workerSlowness returns how many times as long runs on the worker take as like
// tasks elsewhere. One slow run among sound ones is only more work than others.
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
	// slowWorkerMedian is the slowness of half of a worker's runs from which it counts
	// as slow. Tasks of one step differ by less on the whole.
	slowWorkerMedian = 2
	// slowWorkerSingle replaces it for a worker with a single run that can be compared.
	slowWorkerSingle = 4
	// slownessValidity is how long a measure of a run, or its end in time, tells of
	// its worker.
	slownessValidity = 800 * time.Millisecond
)

// measureRuns compares the runs on a worker with what was seen of them before, and
// moves those that straggle.
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

func (o *Owner) measureRun(r *run, now time.Duration) {
	speed := sched.Speed{
		Window: now - r.baselineAt, Gained: float64(r.percent-r.baselinePercent) / percentTotal, Left: float64(percentTotal-r.percent) / percentTotal,
		Expected: o.siblingRunTime(r),
	}
	r.slowness = 0
	if speed.Expected > 0 && r.task.restarts == 0 {
		r.slowness = speed.Slowness()
	}
	speed.Worker = o.workerSlowness(r.node, now)
	if r.percent > r.baselinePercent {
		r.baselineAt, r.baselinePercent = now, r.percent
	}
	spec := r.task.step.spec
	restartAfter, restartFraction := o.Bounds.StopTimeout/2+restartDelay, 1.0
	switch {
	case spec.Speculative:
		restartAfter = restartDelay
	case spec.Checkpointing:
		restartFraction = speed.Left
	}
	hasCopy := len(r.task.runs) > 1
	switch {
	case !speed.Straggles(restartAfter, restartFraction) || r.task.step.job.finished() || hasCopy && !speed.Still():
		return
	case r.task.restarts >= maxRestarts && !speed.Still() || !o.capacityElsewhere(r, now):
		return
	}
	r.task.restarts++
	if speed.Still() {
		// As good as a failure, and no run will end there to tell of it.
		r.node.recordFailure(now)
	}
	event.CellStraggler.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", r.node.worker.ID).
		Int("percent", r.percent).Dur("window", speed.Window).Float64("slowness", speed.Slowness()).
		Dur("like-tasks", speed.Expected).Float64("worker", speed.Worker).Bool("copy", spec.Speculative && !hasCopy).Send()
	o.Counters.Stragglers++
	r.task.avoidWorker(r.node.worker.ID)
	if spec.Speculative && !hasCopy {
		r.task.requestCopy()
		o.passDue = true
		return
	}
	o.stopRun(r, "slower than like tasks")
}

// capacityElsewhere reports whether a sound worker has room for another run of the task.
func (o *Owner) capacityElsewhere(r *run, now time.Duration) bool {
	s := r.task.step
	demand := r.task.demand()
	return slices.ContainsFunc(o.sortedNodes, func(n *node) bool {
		good, known := s.advice.allowed[n.worker.ID]
		return n != r.node && n.usable(now) && n.worker.Pool == s.job.queue.Service && (good || !known) &&
			o.mayRun(s, n) && n.maxTasks(s) > 0 && o.slownessPenalty(n, now) == 0 && n.free().Fits(demand)
	})
}

// requestCopy asks for one more run beside the present one.
func (t *task) requestCopy() {
	if !t.copyWanted {
		t.copyWanted = true
		t.step.copiesWanted++
	}
}

// cancelCopy takes the wish for a copy back.
func (t *task) cancelCopy() {
	if t.copyWanted {
		t.copyWanted = false
		t.step.copiesWanted--
	}
}

// avoidWorker keeps the next runs of the task off a worker, if others have room.
func (t *task) avoidWorker(worker string) {
	const maxAvoided = 4
	t.avoidedWorkers = append(t.avoidedWorkers, worker)
	if len(t.avoidedWorkers) > maxAvoided {
		t.avoidedWorkers = t.avoidedWorkers[1:]
	}
}
