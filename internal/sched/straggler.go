package sched

import (
	"slices"
	"time"
)

// Speed describes the progress of a run between two observations. It is used to detect
// three conditions: workers that become slow, tasks that stall on a worker that seems
// healthy, and steps that wait for their last task.
type Speed struct {
	Window         time.Duration // time between the observations
	Gained         float64       // fraction of the whole work that was done in the window
	Remaining      float64       // fraction of the whole work that remains
	Expected       time.Duration // run time of sibling tasks elsewhere; 0 if unknown
	WorkerSlowness float64       // factor by which runs on the worker take longer than elsewhere
	StallAfter     time.Duration // time without progress after which the run counts as stalled; see StallTime
}

const (
	// minSlowness is the slowness from which a run is a straggler. Below it, a restart
	// costs more than it saves.
	minSlowness = 2
	// resolution is that of the percentage that a worker reports. A run without an observed
	// gain may have done almost as much.
	resolution = 0.01
	// minStallTime is how long a run without any gain is observed at least before it counts
	// as stalled.
	minStallTime = 700 * time.Millisecond
	// stallSteps is the number of steps of the reported percentage for whose expected time
	// a run may stand still.
	stallSteps = 4
	// minSpeedup is the factor by which the time left of the present run must exceed the
	// time that a new run takes, including the delay of its start.
	minSpeedup = 1.25
)

// Slowness returns the factor by which the run takes longer than it should; 1 if there
// is no indication. Estimates of run times are not used, because their error can
// exceed the slowdown of a slow worker.
func (s Speed) Slowness() float64 {
	switch {
	case s.Window <= 0:
		return 1
	case s.Stalled():
		return float64(s.Window) / float64(max(s.StallAfter, minStallTime)) / resolution
	case s.Expected > 0:
		return float64(s.Window) / float64(s.Expected) / max(s.Gained, resolution)
	}
	return max(s.WorkerSlowness, 1)
}

// Stalled reports whether the run makes no progress.
func (s Speed) Stalled() bool {
	return s.Gained < resolution && s.Window >= max(s.StallAfter, minStallTime)
}

// StallTime returns how long a run that needs the given time for one step of the reported
// percentage may stand still. It doubles with each repeated stall of the task, because the
// expectation may be wrong: a task that has stalled on several workers is rather a long one.
func StallTime(perStep time.Duration, stalls int) time.Duration {
	d := max(stallSteps*perStep, minStallTime)
	for i := 1; i < stalls && d < longStallTime; i++ {
		d *= 2
	}
	return d
}

// longStallTime is the time from which on StallTime is not doubled any more.
const longStallTime = 24 * time.Hour

// IsStraggler reports whether a new run elsewhere would end significantly sooner. The
// new run can start after restartDelay and has to do restartFraction of the work. A
// run that progresses is a straggler only on a slow worker: on other workers the task
// is just larger.
func (s Speed) IsStraggler(restartDelay time.Duration, restartFraction float64) bool {
	slowness := s.Slowness()
	if !s.Stalled() {
		slowness = min(slowness, s.WorkerSlowness)
	}
	if slowness < minSlowness {
		return false
	}
	total := float64(s.Window) / max(s.Gained, resolution)
	return s.Remaining*total > minSpeedup*(float64(restartDelay)+restartFraction*total/slowness)
}

// minSiblings is the number of sibling tasks that are needed for a comparison.
const minSiblings = 3

// MedianRunTime returns the median of the run times of sibling tasks, 0 if too few are
// known. It reorders times.
func MedianRunTime(times []time.Duration) time.Duration {
	if len(times) < minSiblings {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
