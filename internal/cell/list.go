package cell

import (
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// RestoreWorkers takes in the stored directory of workers: their entries may
// have lapsed while the store was away, and what they run may have been started
// without a record.
func (o *Owner) RestoreWorkers(list []work.Worker) {
	for i := range list {
		n := o.node(list[i].ID)
		n.worker = list[i]
		n.fromPredecessor, n.inDirectory = true, true
		n.nextRenewal = o.Now()
	}
}

// WorkerDirectory returns the workers that a successor has to ask before it starts
// what this owner may have started without a record: those that work may be
// given to, those that run something not recorded yet, and those of earlier
// owners that are not settled. A worker that it lacks is given no work without
// a record from now on.
func (o *Owner) WorkerDirectory() (list []work.Worker) {
	now := o.Now()
	for _, n := range o.sortedNodes {
		answers := n.listed && n.responded && n.missedRenewals < unresponsiveMisses && !n.worker.Draining
		if answers || n.mayRunUnrecorded() || o.mayRunUnknown(n, now) {
			list = append(list, n.worker)
			continue
		}
		n.inDirectory = false
	}
	return list
}

// WorkerDirectoryStored notes that a directory is in the store.
func (o *Owner) WorkerDirectoryStored(list []work.Worker) {
	for i := range list {
		if n := o.nodes[list[i].ID]; n != nil {
			n.inDirectory = true
		}
	}
}

// mayRunUnrecorded reports whether the worker may run something that is not recorded.
func (n *node) mayRunUnrecorded() bool {
	for _, r := range n.runs {
		if r.version > r.task.step.job.savedVersion {
			return true
		}
	}
	return false
}

// mayRunUnknown reports whether a worker may run something that is not known.
func (o *Owner) mayRunUnknown(n *node, now time.Duration) bool {
	return n.fromPredecessor && !n.responded && now-o.startedAt < o.resolveTimeout(n)
}

// resolveTimeout is how long starts wait for a worker of the former owner that
// does not answer. Without trouble seen at the store an entry that has lapsed
// is gone for good, or back within the grace. Later trouble is this owner's own.
func (o *Owner) resolveTimeout(n *node) time.Duration {
	if o.storeFailedAtStart || n.listed {
		return max(o.resolveUntil-o.startedAt, o.Bounds.StoreGrace)
	}
	return o.Bounds.StoreGrace
}

// SetWorkers takes in the list of workers.
func (o *Owner) SetWorkers(list []work.Worker) {
	now := o.Now()
	o.workersListedAt = now
	listed := make(map[string]bool, len(list))
	for i := range list {
		w := list[i]
		listed[w.ID] = true
		o.updateWorker(w, now)
	}
	for _, n := range o.sortedNodes {
		if n.listed && !listed[n.worker.ID] {
			o.handleUnlisted(n, now)
		}
	}
}

func (o *Owner) updateWorker(w work.Worker, now time.Duration) {
	n, known := o.nodes[w.ID]
	if !known {
		n = o.node(w.ID)
		n.nextRenewal = now
	}
	if w.Draining != n.worker.Draining || !known {
		event.CellWorkerListed.Log(o.Log).Str("worker", w.ID).Str("pool", w.Pool).Str("rack", w.Rack).
			Bool("draining", w.Draining).Dur("remaining", w.Remaining).Send()
	}
	if !n.listed {
		n.nextRenewal = now
		o.passDue = true
	}
	addressChanged := n.worker.Address != "" && n.worker.Address != w.Address
	n.worker = w
	n.listed = true
	if w.Draining {
		n.leaveAt = now + w.Remaining
	}
	if addressChanged || w.Born != 0 && n.incarnation != 0 && w.Born > n.incarnation {
		o.handleRestart(n, w.Born, now)
	}
}

// handleUnlisted notes that the list lacks a worker. While the store was away lately
// its entry may only have lapsed, and comes back.
func (o *Owner) handleUnlisted(n *node, now time.Duration) {
	if n.missingSince == 0 || n.missingSince < n.lastResponse {
		n.missingSince = now
	}
	if o.SinceStoreFailure() < o.Bounds.StoreGrace {
		n.missingSince = now
		return
	}
	n.listed = false
	event.CellWorkerGone.Log(o.Log).Str("worker", n.worker.ID).Int("runs", len(n.runs)).Send()
}

// handleRestart begins a new life of the worker: it knows no fence and runs nothing of
// before. What it was told lately may still reach the new life, so nothing is
// concluded until it has answered under a higher fence.
func (o *Owner) handleRestart(n *node, incarnation int64, now time.Duration) {
	event.CellWorkerRestarted.Log(o.Log).Str("worker", n.worker.ID).Int64("born", incarnation).Int64("before", n.incarnation).
		Int("runs", len(n.runs)).Send()
	n.incarnation = incarnation
	n.responded = false
	n.fenceSeq++
	n.clock, n.clockReadAt = 0, 0
	n.lastEndProcessed, n.unackedEnds = 0, nil
	n.consecutiveFailures, n.probation, n.cooldownUntil = 0, false, 0
	n.nextRenewal = now
	for _, r := range n.runs {
		if r.state != runPlanned {
			r.state = runInherited
		}
	}
}
