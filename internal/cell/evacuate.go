package cell

import (
	"time"
)

// evacuate stops runs on draining workers that have to continue elsewhere.
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
// long-running task is restarted elsewhere immediately. A task with checkpoints
// runs until the last moment at which its progress can still be saved. Any other task
// may finish in time.
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

// evacuationMargin covers the delay of the stop request and of the renewal that lists
// the end.
const evacuationMargin = 400 * time.Millisecond
