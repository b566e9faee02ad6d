package sched

import "time"

// Tail describes the tasks of a step that are not done, all of which run. Some of them may get a
// second run on a faster worker: a copy beside the first, or the first is moved.
type Tail struct {
	Tasks   int           // of the step
	Second  int           // tasks that have two runs
	Runs    []TailRun     // one for each task that is not done
	InTime  time.Duration // within which the step has to end for its job to be in time
	OfValue time.Duration // within which it has to end for the result to be of use
}

// TailRun is the run of a task that is predicted to end first.
type TailRun struct {
	Left  time.Duration // predicted time until it ends
	Again time.Duration // predicted time until a run on a faster worker would end; 0: there is none
	Cost  time.Duration // time that is lost if the first run is stopped; 0 for a copy
}

const (
	// maxSecondFraction is the fraction of a step's tasks that have a second run at a time, so
	// that the runs of a step cost no more than that much more.
	maxSecondFraction = 0.2
	// minMoveGain is the multiple of its cost that a move has to gain. A copy that was
	// predicted wrongly costs capacity, a move delays the task.
	minMoveGain = 2
)

// Plan returns the indexes of the runs whose tasks get a second run. It is for steps whose last
// tasks run on slow workers, because the fast ones were full when they started. The step has to
// end in time by that, or at least while its result is of use: if any task would still end
// later, or the job is in time anyway, second runs only use capacity.
func (t *Tail) Plan() (indexes []int) {
	for _, limit := range []time.Duration{t.InTime, t.OfValue} {
		late, possible := t.lateRuns(limit)
		switch {
		case len(late) == 0:
			return nil
		case possible && t.Second+len(late) <= max(int(maxSecondFraction*float64(t.Tasks)), 1):
			return late
		}
	}
	return nil
}

// lateRuns returns the runs that end after the limit, and whether second runs of all of them
// would end before, and clearly earlier than the first.
func (t *Tail) lateRuns(limit time.Duration) (late []int, possible bool) {
	possible = true
	for i := range t.Runs {
		r := &t.Runs[i]
		if r.Left <= limit {
			continue
		}
		late = append(late, i)
		possible = possible && r.Again > 0 && r.Again <= limit && float64(r.Again)*minSpeedup <= float64(r.Left) && r.Left-r.Again >= minMoveGain*r.Cost
	}
	return late, possible
}
