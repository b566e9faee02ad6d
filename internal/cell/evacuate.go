package cell

import (
	"time"
)

// evacuate stops, on workers that are about to leave, what has to go on elsewhere.
func (o *Owner) evacuate(now time.Duration) {
	for _, n := range o.sortedNodes {
		if !n.listed || !n.worker.Draining || !n.responded {
			continue
		}
		for _, r := range sortedRuns(n) {
			if !r.stopping && r.state == runLive && o.mustEvacuate(r, now) {
				o.stopRun(r, "the worker is draining")
			}
		}
	}
}

// mustEvacuate reports whether a run on a draining worker has to be stopped. A
// serving task moves at once; one with checkpoints works until its last
// progress can still be saved; any other may finish in time.
func (o *Owner) mustEvacuate(r *run, now time.Duration) bool {
	spec := r.task.step.spec
	switch {
	case spec.LongRunning:
		return true
	case spec.Checkpointing:
		return now+o.Bounds.StopTimeout+evacuationMargin >= r.node.leaveAt
	}
	return false
}

// evacuationMargin covers the delay of an order and of the look that lists its end.
const evacuationMargin = 400 * time.Millisecond
