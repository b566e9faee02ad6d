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
		n.w = list[i]
		n.former, n.inDirectory = true, true
		n.nextHold = o.Now()
	}
}

// WorkerDirectory returns the workers that a successor has to ask before it starts
// what this owner may have started without a record: those that work may be
// given to, those that run something not recorded yet, and those of earlier
// owners that are not settled. A worker that it lacks is given no work without
// a record from now on.
func (o *Owner) WorkerDirectory() (list []work.Worker) {
	now := o.Now()
	for _, n := range o.order {
		answers := n.listed && n.heard && n.misses < silentMisses && !n.w.Draining
		if answers || n.unrecorded() || o.unsettled(n, now) {
			list = append(list, n.w)
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

// unrecorded reports whether the worker may run something that is not recorded.
func (n *node) unrecorded() bool {
	for _, r := range n.runs {
		if r.version > r.task.step.job.saved {
			return true
		}
	}
	return false
}

// unsettled reports whether a worker may run something that is not known.
func (o *Owner) unsettled(n *node, now time.Duration) bool {
	return n.former && !n.heard && now-o.opened < o.settlingFor(n)
}

// settlingFor is how long starts wait for a worker of the former owner that
// does not answer. Without trouble seen at the store an entry that has lapsed
// is gone for good, or back within the grace. Later trouble is this owner's own.
func (o *Owner) settlingFor(n *node) time.Duration {
	if o.troubled || n.listed {
		return max(o.settling-o.opened, o.Bounds.StoreGrace)
	}
	return o.Bounds.StoreGrace
}

// SetWorkers takes in the list of workers.
func (o *Owner) SetWorkers(list []work.Worker) {
	now := o.Now()
	o.listedAt = now
	seen := make(map[string]bool, len(list))
	for i := range list {
		w := list[i]
		seen[w.ID] = true
		o.setWorker(w, now)
	}
	for _, n := range o.order {
		if n.listed && !seen[n.w.ID] {
			o.missed(n, now)
		}
	}
}

func (o *Owner) setWorker(w work.Worker, now time.Duration) {
	n, known := o.nodes[w.ID]
	if !known {
		n = o.node(w.ID)
		n.nextHold = now
	}
	if w.Draining != n.w.Draining || !known {
		event.CellWorkerListed.Log(o.Log).Str("worker", w.ID).Str("pool", w.Pool).Str("rack", w.Rack).
			Bool("draining", w.Draining).Dur("remaining", w.Remaining).Send()
	}
	if !n.listed {
		n.nextHold = now
		o.changed = true
	}
	moved := n.w.Address != "" && n.w.Address != w.Address
	n.w = w
	n.listed = true
	if w.Draining {
		n.leaveAt = now + w.Remaining
	}
	if moved || w.Born != 0 && n.born != 0 && w.Born > n.born {
		o.reborn(n, w.Born, now)
	}
}

// missed notes that the list lacks a worker. While the store was away lately
// its entry may only have lapsed, and comes back.
func (o *Owner) missed(n *node, now time.Duration) {
	if n.missing == 0 || n.missing < n.lastHeard {
		n.missing = now
	}
	if o.SinceStoreFailure() < o.Bounds.StoreGrace {
		n.missing = now
		return
	}
	n.listed = false
	event.CellWorkerGone.Log(o.Log).Str("worker", n.w.ID).Int("runs", len(n.runs)).Send()
}

// reborn begins a new life of the worker: it knows no fence and runs nothing of
// before. What it was told lately may still reach the new life, so nothing is
// concluded until it has answered under a higher fence.
func (o *Owner) reborn(n *node, born int64, now time.Duration) {
	event.CellWorkerRestarted.Log(o.Log).Str("worker", n.w.ID).Int64("born", born).Int64("before", n.born).
		Int("runs", len(n.runs)).Send()
	n.born = born
	n.heard = false
	n.bumps++
	n.clock, n.clockSeen = 0, 0
	n.processed, n.ends = 0, nil
	n.failures, n.probation, n.restUntil = 0, false, 0
	n.nextHold = now
	for _, r := range n.runs {
		if r.state != runPlanned {
			r.state = runInherited
		}
	}
}
