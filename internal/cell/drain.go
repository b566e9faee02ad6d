package cell

import (
	"time"
)

// drain stops runs on draining workers that have to continue elsewhere.
func (o *Owner) drain(now time.Duration) {
	for _, n := range o.sortedNodes {
		if !n.listed || !n.worker.Draining || !n.responded {
			continue
		}
		for _, r := range sortedRuns(n) {
			if !r.stopping && r.state == runLive && o.mustLeave(r, now) {
				o.stopRun(r, "the worker is draining")
			}
		}
	}
}

// mustLeave reports whether a run on a draining worker has to be stopped. A
// long-running task is restarted elsewhere immediately. A task with checkpoints
// runs until the last moment at which its progress can still be saved. Any other task
// may finish in time.
func (o *Owner) mustLeave(r *run, now time.Duration) bool {
	spec := r.task.step.spec
	switch {
	case spec.LongRunning:
		return true
	case spec.Checkpointing:
		return now+o.Bounds.StopTimeout+drainMargin >= r.node.leaveAt
	}
	return false
}

// drainMargin covers the delay of the stop request and of the renewal that lists
// the end.
const drainMargin = 400 * time.Millisecond
