package cell

import (
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
)

const (
	// speedWindow is the time between two measures of a run's speed. The
	// shortest tasks take about a second.
	speedWindow = 350 * time.Millisecond
	// restartDelay is the usual time from the stop of a run to its next start:
	// the end is listed, recorded and a worker chosen.
	restartDelay = 150 * time.Millisecond
	// movedMost is how often a task that does not stand still is moved: after
	// that the task itself is taken to be large.
	movedMost = 1
	// slowRest is how long a worker with a straggler is taken as slow if no run
	// there ends in time. Workers turn slow for some seconds.
	slowRest = 4 * time.Second
	// slowPenaltyMost bounds the slow-down that one straggler tells of.
	slowPenaltyMost = 8
)

// measured reports whether the run's speed tells of its worker: tasks that fill
// or are paced work at the speed that others leave, a gang waits for its members.
func (r *run) measured() bool {
	spec := r.task.step.spec
	return r.state == runLive && !r.stopping && !spec.LongRunning && !spec.Gang && !spec.BestEffort
}

// like returns how long tasks of the run's step take on other workers, as far as
// they have come; 0 if too few are known.
func (o *Owner) like(r *run) time.Duration {
	var times []time.Duration
	for _, t := range r.task.step.tasks {
		if t.done && t.runTime > 0 && t.doneOn != r.node.worker.ID {
			times = append(times, t.runTime)
			continue
		}
		for _, other := range t.runs {
			gained := other.percent - other.firstPercent
			if other.node == r.node || !other.measured() || other.firstAt == 0 || gained < likePercent {
				continue
			}
			times = append(times, (other.resolvedAt-other.firstAt)*whole/time.Duration(gained))
		}
	}
	typical := sched.Typical(times)
	if spec := r.task.step.spec; spec.Rack != "" && spec.Rack != r.node.worker.Rack {
		typical = time.Duration(float64(typical) * max(o.Bounds.RemoteDataSlowdown, 1))
	}
	return typical
}

const (
	// whole is the percentage of all work.
	whole = 100
	// likePercent is how far a run must have been seen to come to tell how long
	// it takes.
	likePercent = 5
)

// workerSlowness returns how many times as long runs on the worker take as like
// tasks elsewhere. One slow run among sound ones is only more work than others.
func (o *Owner) workerSlowness(n *node, now time.Duration) float64 {
	var list []float64
	for _, r := range n.runs {
		if r.slowness > 0 && now-r.measuredAt < slownessAge {
			list = append(list, r.slowness)
		}
	}
	slices.Sort(list)
	switch {
	case now-n.lastOnTimeEnd < slownessAge:
		return 1
	case len(list) > 1 && list[(len(list)-1)/2] >= slowLeast, len(list) == 1 && list[0] >= slowAlone:
		n.slowBy = min(list[(len(list)-1)/2]-1, slowPenaltyMost)
		n.slowUntil = now + slowRest
	}
	if now < n.slowUntil {
		return 1 + n.slowBy
	}
	return 1
}

const (
	// slowLeast is the slowness of half of a worker's runs from which it counts
	// as slow. Tasks of one step differ by less on the whole.
	slowLeast = 2
	// slowAlone replaces it for a worker with a single run that can be compared.
	slowAlone = 4
	// slownessAge is how long a measure of a run, or its end in time, tells of
	// its worker.
	slownessAge = 800 * time.Millisecond
)

// measure compares the runs on a worker with what was seen of them before, and
// moves those that straggle.
func (o *Owner) measure(n *node, now time.Duration) {
	for _, r := range sortedRuns(n) {
		if !r.measured() {
			continue
		}
		if r.firstAt == 0 {
			r.firstAt, r.firstPercent = now, r.percent
			if r.fromStart {
				r.firstAt, r.firstPercent = r.liveSince, 0
			}
			r.baselineAt, r.baselinePercent, r.measuredAt = r.firstAt, r.firstPercent, r.firstAt
		}
		if now-r.measuredAt >= speedWindow {
			r.measuredAt = now
			o.measureRun(r, now)
		}
	}
}

func (o *Owner) measureRun(r *run, now time.Duration) {
	speed := sched.Speed{
		Window: now - r.baselineAt, Gained: float64(r.percent-r.baselinePercent) / whole, Left: float64(whole-r.percent) / whole,
		Expected: o.like(r),
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
	before, part := o.Bounds.StopTimeout/2+restartDelay, 1.0
	switch {
	case spec.Speculative:
		before = restartDelay
	case spec.Checkpointing:
		part = speed.Left
	}
	copied := len(r.task.runs) > 1
	switch {
	case !speed.Straggles(before, part) || r.task.step.job.finished() || copied && !speed.Still():
		return
	case r.task.restarts >= movedMost && !speed.Still() || !o.roomElsewhere(r, now):
		return
	}
	r.task.restarts++
	if speed.Still() {
		// As good as a failure, and no run will end there to tell of it.
		r.node.recordFailure(now)
	}
	event.CellStraggler.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", r.node.worker.ID).
		Int("percent", r.percent).Dur("window", speed.Window).Float64("slowness", speed.Slowness()).
		Dur("like-tasks", speed.Expected).Float64("worker", speed.Worker).Bool("copy", spec.Speculative && !copied).Send()
	o.Counters.Stragglers++
	r.task.avoidWorker(r.node.worker.ID)
	if spec.Speculative && !copied {
		r.task.wantCopy()
		o.passDue = true
		return
	}
	o.stopRun(r, "slower than like tasks")
}

// roomElsewhere reports whether a sound worker has room for another run of the task.
func (o *Owner) roomElsewhere(r *run, now time.Duration) bool {
	s := r.task.step
	want := r.task.demand()
	return slices.ContainsFunc(o.sortedNodes, func(n *node) bool {
		good, known := s.advice.allowed[n.worker.ID]
		return n != r.node && n.usable(now) && n.worker.Pool == s.job.queue.Service && (good || !known) &&
			o.mayRun(s, n) && n.maxTasks(s) > 0 && o.slowness(n, now) == 0 && n.free().Fits(want)
	})
}

// wantCopy asks for one more run beside the present one.
func (t *task) wantCopy() {
	if !t.copyWanted {
		t.copyWanted = true
		t.step.copiesWanted++
	}
}

// dropCopy takes the wish for a copy back.
func (t *task) dropCopy() {
	if t.copyWanted {
		t.copyWanted = false
		t.step.copiesWanted--
	}
}

// avoidWorker keeps the next runs of the task off a worker, if others have room.
func (t *task) avoidWorker(worker string) {
	const avoided = 4
	t.avoidedWorkers = append(t.avoidedWorkers, worker)
	if len(t.avoidedWorkers) > avoided {
		t.avoidedWorkers = t.avoidedWorkers[1:]
	}
}
