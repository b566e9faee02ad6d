package cell

import (
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// RestoreWorkers applies the stored worker directory. The list entries of these
// workers may have expired during a store outage, and their runs may have been
// started without a record.
func (o *Owner) RestoreWorkers(list []work.Worker) {
	for i := range list {
		n := o.node(list[i].ID)
		n.worker = list[i]
		n.fromPredecessor, n.inDirectory = true, true
		n.formerDirectory, n.lastDirectory, n.savedDirectory = true, true, true
		n.nextRenewal = o.Now()
	}
}

// WorkerDirectory returns the workers that a successor has to query before it starts
// tasks that this owner may have started without a record: workers that may be
// given work, workers that may run something that is not recorded yet, and
// unresolved workers of earlier owners. A worker that is not in the directory gets
// no work without a record from now on.
//
// The directory stays as it is until the former owner is fenced: half of the workers that
// the former owner depends on must not be those that were added since.
func (o *Owner) WorkerDirectory() (list []work.Worker, ok bool) {
	if o.unestablished {
		return nil, false
	}
	now := o.Now()
	for _, n := range o.sortedNodes {
		responding := n.listed && n.responded && n.missedRenewals < unresponsiveMisses && !n.worker.Draining
		n.lastDirectory = responding || n.mayRunUnrecorded() || o.mayRunUnknown(n, now)
		if n.lastDirectory {
			list = append(list, n.worker)
			continue
		}
		n.inDirectory = false
	}
	return list, true
}

// WorkerDirectoryStored records that a worker directory is in the store.
func (o *Owner) WorkerDirectoryStored(list []work.Worker) {
	for _, n := range o.sortedNodes {
		n.savedDirectory = false
	}
	for i := range list {
		if n := o.nodes[list[i].ID]; n != nil {
			n.inDirectory, n.savedDirectory = list[i].Address == n.worker.Address, true
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

// mayRunUnknown reports whether the worker may have runs of a former owner that are
// not recorded by this owner.
func (o *Owner) mayRunUnknown(n *node, now time.Duration) bool {
	return n.fromPredecessor && !n.resolved && now-o.startedAt < max(o.resolveUntil-o.startedAt, o.Bounds.StoreGrace)
}

// SetWorkers applies the worker list. The reading of the list began at the local time
// asOf, so changes since then may be missing in it.
func (o *Owner) SetWorkers(list []work.Worker, asOf time.Duration) {
	now := o.Now()
	o.workersListedAt = asOf
	inList := make(map[string]bool, len(list))
	for i := range list {
		w := list[i]
		inList[w.ID] = true
		o.updateWorker(w, now)
	}
	for _, n := range o.sortedNodes {
		if n.listed && !inList[n.worker.ID] {
			o.handleUnlisted(n, now)
		}
	}
	o.reportEvacuations()
}

// updateWorker applies the list entry of a worker. Another address or a higher
// incarnation number shows that the worker was restarted.
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
	if w.Born != n.worker.Born {
		n.bornListedAt = o.workersListedAt
	}
	if addressChanged {
		n.inDirectory = false // a successor would query the former address
	}
	n.worker = w
	n.listed = true
	n.evacuated = o.evacuated[w.Place]
	o.markUpkeep(n)
	n.coldUntil = o.workersListedAt + w.ColdLeft
	o.updateSpeed(n)
	if w.Draining {
		n.leaveAt = now + w.Remaining
	}
	if addressChanged || w.Born != 0 && n.incarnation != 0 && w.Born > n.incarnation {
		o.handleRestart(n, w.Born, now)
	}
}

// handleUnlisted records that the list lacks a worker. Shortly after a store outage
// the entry may only have expired, and returns.
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

// handleRestart begins a new incarnation of the worker, which has no fencing token
// and has none of the earlier runs. Recent requests may still reach the new
// incarnation, so nothing is concluded until it has responded under a higher
// fencing token.
func (o *Owner) handleRestart(n *node, incarnation int64, now time.Duration) {
	event.CellWorkerRestarted.Log(o.Log).Str("worker", n.worker.ID).Int64("born", incarnation).Int64("before", n.incarnation).
		Int("runs", len(n.runs)).Send()
	n.setIncarnation(incarnation, now)
	n.responded, n.resolved = false, false
	n.fenceSeq++
	n.clock, n.clockReadAt = 0, 0
	n.lastEndProcessed, n.unackedEnds = 0, nil
	n.health, n.cooldownUntil = health{}, 0
	n.runTimeRatio, n.slowUntil = runningMean{}, 0
	if n.speed != nil {
		n.speed.Restart()
	}
	o.forgetAdvice(n.worker.ID)
	n.nextRenewal = now
	for _, r := range n.runs {
		if r.state != runPlanned {
			r.state = runInherited
		}
	}
}
