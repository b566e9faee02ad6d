package cell

import (
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// upkeepInterval is the interval between two decisions about waves. A machine has to become
	// empty meanwhile, and responses are handled at once.
	upkeepInterval = 250 * time.Millisecond
	// upkeepOverhead is the time of a round beside the maintenance: the record and the call, and
	// until the new worker is listed and has responded.
	upkeepOverhead = 1500 * time.Millisecond
	// maxMachinesAge is the maximum age of the list of machines. It is read every two seconds.
	maxMachinesAge = 5 * time.Second
	// machinesLag is how long after a change the list of machines may lack it.
	machinesLag = 2 * time.Second
)

// maintain advances the waves: it chooses the machines that are next, stops what is saved there,
// and orders their upkeep once the row has the order.
func (o *Owner) maintain(now time.Duration) {
	if len(o.waves) == 0 && o.upkeep.version == o.upkeep.savedVersion || o.OrderUpkeep == nil || now < o.upkeep.next {
		return
	}
	o.upkeep.next = now + upkeepInterval
	nodes := o.nodesByMachine()
	o.observeUpkeeps(nodes, now)
	if o.mayMaintain(now) {
		for _, name := range slices.Sorted(maps.Keys(o.waves)) {
			if w := o.waves[name]; !w.completed {
				o.advance(w, nodes, now)
				o.markMachines() // what the next wave may end depends on it
			}
		}
		o.sendUpkeeps(nodes, now)
	}
	for _, w := range o.waves {
		if !w.completed && o.allBegun(w, nodes, now) {
			w.completed = true
			clear(w.chosen)
			o.upkeep.version++
			event.WaveCompleted.Log(o.Log).Str("wave", w.request.Name).Int("machines", len(w.request.Machines)).
				Dur("took", o.WallClock()-w.seenAt).Send()
		}
	}
	o.markMachines()
	o.saveWaves(now)
}

// mayMaintain reports whether upkeep may be ordered: nobody else owns the cell, and what runs
// where is known.
func (o *Owner) mayMaintain(now time.Duration) bool {
	return !o.ownershipLost && o.StoreUp() && o.listIsFresh(now) && !o.passive(now) && now-o.ownershipConfirmedAt <= upkeepConfirmation
}

// nodesByMachine returns the listed workers of each machine. Before the entry of a former life
// has expired, there may be two.
func (o *Owner) nodesByMachine() (nodes map[string][]*node) {
	nodes = map[string][]*node{}
	for _, n := range o.sortedNodes {
		if n.listed && n.worker.Machine != "" {
			nodes[n.worker.Machine] = append(nodes[n.worker.Machine], n)
		}
	}
	return nodes
}

// machinesFresh reports whether the list of machines is known and not old.
func (o *Owner) machinesFresh(now time.Duration) bool {
	return o.upkeep.machinesAsOf > 0 && now-o.upkeep.machinesAsOf <= maxMachinesAge
}

// observeUpkeeps records which machines are back from their upkeep.
func (o *Owner) observeUpkeeps(nodes map[string][]*node, now time.Duration) {
	for _, w := range o.waves {
		for name, rec := range w.records {
			if rec.phase == upkeepHasBegun && !rec.back && o.isBack(name, rec, nodes[name], now) {
				rec.back = true
				event.UpkeepEnded.Log(o.Log).Str("wave", w.request.Name).Str("machine", name).Dur("took", now-rec.begunAt).Send()
			}
		}
	}
}

// isBack reports whether a machine is back from its upkeep, or is gone for good: another worker
// of it has responded, or the list of machines says so. What was read before the confirmation of
// the upkeep proves nothing.
func (o *Owner) isBack(name string, rec *upkeepRecord, nodes []*node, now time.Duration) bool {
	for _, n := range nodes {
		if (n.worker.ID != rec.worker || n.worker.Born != rec.born) && n.responded && n.described() && n.confirmedAt > rec.begunAt {
			o.endLife(rec, now)
			return true
		}
	}
	if !o.machinesFresh(now) || o.upkeep.machinesAsOf <= rec.begunAt {
		return false
	}
	m, listed := o.upkeep.machines[name]
	// After several calls, the worker that the list has may be one that the last of them ended.
	late := o.upkeep.machinesAsOf > rec.begunAt+o.Bounds.Maintenance+machinesLag
	return !listed && len(nodes) == 0 || m.State == work.MachineUp && (m.Worker != "" && m.Worker != rec.worker && !rec.uncertain || late)
}

// endLife frees the runs of the worker whose machine had its upkeep, once the next worker of the
// machine has responded: a machine has one worker at a time. The confirmation of the
// upkeep alone may be that of an earlier one.
func (o *Owner) endLife(rec *upkeepRecord, now time.Duration) {
	n := o.nodes[rec.worker]
	if n != nil && n.incarnation == rec.born && len(n.runs) > 0 && !o.passive(now) {
		o.expireLease(n, now, "its machine had its upkeep")
	}
}

// isGone reports whether a machine does not stay: the platform lists it no more.
func (o *Owner) isGone(name string, nodes []*node, now time.Duration) bool {
	_, listed := o.upkeep.machines[name]
	return !listed && len(nodes) == 0 && o.machinesFresh(now)
}

// allBegun reports whether the upkeep of each machine of the wave that stays has begun.
func (o *Owner) allBegun(w *wave, nodes map[string][]*node, now time.Duration) bool {
	for _, name := range w.request.Machines {
		switch rec := w.records[name]; {
		case rec != nil && rec.phase == upkeepIsOrdered:
			return false
		case rec == nil && !o.isGone(name, nodes[name], now):
			return false
		}
	}
	return true
}

// advance chooses the machines of a wave that are next and orders the upkeep of those that are
// ready.
func (o *Owner) advance(w *wave, nodes map[string][]*node, now time.Duration) {
	u, candidates := o.upkeepInput(w, nodes, now)
	plan := u.Plan()
	if plan.Pressed && !w.pressed && len(candidates) > 0 {
		event.WavePressed.Log(o.Log).Str("wave", w.request.Name).Dur("left", u.Left).Int("machines", len(candidates)+u.Waiting).Send()
	}
	w.pressed = plan.Pressed
	chosen := map[string]time.Duration{}
	for _, i := range plan.Next {
		n := candidates[i]
		since, ok := w.chosen[n.worker.Machine]
		if !ok {
			since = now
		}
		chosen[n.worker.Machine] = since
	}
	w.chosen = chosen
	for _, i := range plan.Stop {
		for _, r := range sortedRuns(candidates[i]) {
			if savable(r) {
				o.stopRun(r, "its machine has its upkeep")
				o.stopGang(r, "a member of the gang is stopped before the upkeep of its machine")
			}
		}
	}
	for _, i := range plan.Order {
		n := candidates[i]
		o.upkeep.version++
		w.records[n.worker.Machine] = &upkeepRecord{
			phase: upkeepIsOrdered, worker: n.worker.ID, born: n.worker.Born, epoch: o.Epoch, version: o.upkeep.version,
		}
		delete(w.chosen, n.worker.Machine)
		event.UpkeepOrdered.Log(o.Log).Str("wave", w.request.Name).Str("machine", n.worker.Machine).Str("worker", n.worker.ID).
			Int("runs", len(n.runs)).Bool("pressed", plan.Pressed).Send()
	}
}

// upkeepInput describes a wave for the planner, and returns the workers of its machines that can
// have their upkeep, in the same order.
func (o *Owner) upkeepInput(w *wave, nodes map[string][]*node, now time.Duration) (u sched.Upkeep, candidates []*node) {
	u = sched.Upkeep{
		Maximum: w.request.Maximum, Left: w.seenAt + w.request.Within - o.WallClock(), Round: o.Bounds.Maintenance + upkeepOverhead,
		RackDown: map[string]int{},
	}
	steps := map[*step]int{}
	for _, name := range w.request.Machines {
		rec := w.records[name]
		switch {
		case rec != nil && rec.down() || rec == nil && o.mayBeDown(name, nodes[name], now):
			u.Down++
			for _, n := range nodes[name] {
				u.RackDown[n.worker.Rack]++
			}
			continue
		case rec != nil || o.isGone(name, nodes[name], now):
			continue
		case !o.orderable(name, nodes[name], now):
			u.Waiting++
			continue
		}
		n := nodes[name][0]
		m := o.upkeepMachine(n, &u, steps, now)
		if since, ok := w.chosen[name]; ok {
			m.Chosen, m.ChosenFor = true, max(now-max(since, o.resolveUntil), 0) // nothing is moved before
		}
		u.Machines, candidates = append(u.Machines, m), append(candidates, n)
	}
	return u, candidates
}

// mayBeDown reports whether a machine without a record may be down for its upkeep: its state is
// not known, or the platform says so.
func (o *Owner) mayBeDown(name string, nodes []*node, now time.Duration) bool {
	if !o.machinesFresh(now) {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return n.responded && n.missedRenewals == 0 })
	}
	return o.upkeep.machines[name].State == work.MachineInUpkeep
}

// orderable reports whether the upkeep of a machine can be ordered: it has one worker that does
// not leave, and all runs there are known, or have ended with its lease.
func (o *Owner) orderable(name string, nodes []*node, now time.Duration) bool {
	if len(nodes) != 1 || now < o.upkeep.retryAt[name] || o.upkeep.marks[name] == markOrdered || !o.mayCall(name, now) {
		return false
	}
	n := nodes[0]
	known := n.responded && n.resolved && n.described() && n.missedRenewals == 0
	lapsed := len(n.runs) == 0 && now > n.leaseExpiry && !o.mayRunUnknown(n, now)
	return !n.worker.Draining && (known || lapsed)
}

// upkeepMachine describes a machine, and adds the lasting steps that are at work there.
func (o *Owner) upkeepMachine(n *node, u *sched.Upkeep, steps map[*step]int, now time.Duration) (m sched.UpkeepMachine) {
	m = sched.UpkeepMachine{Rack: n.worker.Rack, Runs: len(n.runs)}
	serving := map[*step]int{}
	for _, r := range sortedRuns(n) {
		s := r.task.step
		switch {
		case s.spec.LongRunning:
			if r.serves() {
				serving[s]++
			}
			continue
		case r.stopping:
			m.Saving = m.Saving || now-r.stopSentAt < o.Bounds.StopTimeout
			continue
		case savable(r):
			m.Savable++
			if r.task.checkpoint == "" {
				m.Lost += now - max(r.liveSince, r.sentAt)
			}
			continue
		}
		if end, ok := o.expectedEnd(r, now); ok {
			m.Ends = max(m.Ends, end-now)
		}
		m.Lost += now - max(r.liveSince, r.sentAt)
	}
	for _, r := range sortedRuns(n) {
		s := r.task.step
		count := serving[s]
		if count == 0 {
			continue
		}
		delete(serving, s)
		at, ok := steps[s]
		if !ok {
			at = len(u.Steps)
			away, _ := s.away()
			u.Steps, steps[s] = append(u.Steps, sched.UpkeepStep{MaxAway: s.spec.MaxUnavailable, Away: away}), at
		}
		if s.spec.Gang {
			count = len(s.tasks) - s.tasksDone
		}
		m.Serving = append(m.Serving, sched.UpkeepServing{Step: at, Count: count})
	}
	return m
}

// savable reports whether a stop of the run saves its progress and is not under way.
func savable(r *run) bool {
	return r.task.step.spec.Checkpointing && !r.task.step.spec.LongRunning && r.state == runLive && !r.stopping
}
