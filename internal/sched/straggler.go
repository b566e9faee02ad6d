package sched

import (
	"slices"
	"time"
)

// Speed is what two looks at a run tell of how fast it works. It answers three
// loads: workers that turn slow, tasks that stand still on a worker that seems
// healthy, and steps that wait for their last task.
type Speed struct {
	Window   time.Duration // between the looks
	Gained   float64       // part of the whole work that was done meanwhile
	Remaining     float64       // part of the whole work that is left
	Expected time.Duration // time that like tasks take elsewhere; 0: not known
	WorkerSlowness   float64       // how many times as long as elsewhere runs on the worker take
}

const (
	// minSlowness is the slowness from which a run is a straggler: below, what a
	// new run costs is not won back.
	minSlowness = 2
	// minGain is half of what a worker's percentage can tell: a run without
	// any gain stands still, or gains less.
	minGain = 0.005
	// stallWindow is how long a run without any gain is watched before it counts
	// as standing still: a percent each 0.7 s is more than a minute in all.
	stallWindow = 700 * time.Millisecond
	// minSpeedup is how much sooner a new run must end than the present one.
	minSpeedup = 1.25
)

// Slowness returns how many times as long as it should the run takes; 1 if
// nothing tells. Estimates of run times are not used: they can be wrong by more
// than a slow worker is slow.
func (s Speed) Slowness() float64 {
	switch {
	case s.Window <= 0:
		return 1
	case s.Expected > 0:
		return float64(s.Window) / float64(s.Expected) / max(s.Gained, minGain)
	case s.Stalled():
		return float64(s.Window) / float64(stallWindow) / minGain
	}
	return max(s.WorkerSlowness, 1)
}

// Stalled reports whether the run stands still.
func (s Speed) Stalled() bool { return s.Gained < minGain && s.Window >= stallWindow }

// IsStraggler reports whether a new run elsewhere would end clearly sooner: it
// needs the time before it can begin and does the part of the work given. Only
// a slow worker makes a straggler: on a sound one the task is just larger.
func (s Speed) IsStraggler(restartDelay time.Duration, restartFraction float64) bool {
	slowness := s.Slowness()
	if !s.Stalled() {
		slowness = min(slowness, s.WorkerSlowness)
	}
	if slowness < minSlowness {
		return false
	}
	total := float64(s.Window) / max(s.Gained, minGain)
	return s.Remaining*total > minSpeedup*(float64(restartDelay)+restartFraction*total/slowness)
}

// minSiblings is how many like tasks are needed to judge by them.
const minSiblings = 3

// MedianRunTime returns the median of the times that like tasks take, 0 if too few
// are known. It reorders times.
func MedianRunTime(times []time.Duration) time.Duration {
	if len(times) < minSiblings {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
