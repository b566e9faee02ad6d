package cell

import (
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// RestoreWorkers takes in the workers that the former owner knew: their entries
// may have lapsed while the store was away, and what they run may have been
// started without a record.
func (o *Owner) RestoreWorkers(list []work.Worker) {
	for i := range list {
		n := o.node(list[i].ID)
		n.w = list[i]
		n.former = true
		n.nextHold = o.Now()
	}
}

// unsettled reports whether a worker may run something that is not known.
func (o *Owner) unsettled(n *node, now time.Duration) bool {
	if n.heard {
		return false
	}
	return n.listed || n.former && now-o.opened < o.unlistedWait()
}

// unlistedWait is how long starts wait for a worker that the former owner knew
// and that is neither listed nor answers. Without trouble seen at the store its
// entry is gone for good, or back within the grace.
func (o *Owner) unlistedWait() time.Duration {
	if o.TroubleSeen() {
		return o.settling - o.opened
	}
	return o.Bounds.StoreGrace
}

// SetWorkers takes in the list of workers.
func (o *Owner) SetWorkers(list []work.Worker) {
	now := o.Now()
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
	if o.StoreLost() < o.Bounds.StoreGrace {
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
	event.CellWorkerReborn.Log(o.Log).Str("worker", n.w.ID).Int64("born", born).Int64("before", n.born).
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
