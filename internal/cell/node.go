package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

type runKey struct {
	task   *task
	number int64
}

// node is a worker as its owner sees it.
type node struct {
	w       work.Worker
	listed  bool
	former  bool          // known to the former owner
	missing time.Duration // since when the list lacks it
	runs    map[runKey]*run
	used    resource.Vector

	// What is known of the present life of the worker.
	born      int64
	heard     bool  // it has answered under the present fence
	bumps     int64 // raises of the fence within this ownership
	clock     time.Duration
	clockSeen time.Duration // local time at which clock was, at the latest
	letGo     time.Duration // local time at which its lease has ended for sure
	lastHeard time.Duration
	confirmed time.Duration // when the last answered call was sent
	misses    int
	leaveAt   time.Duration // earliest time at which a draining worker leaves

	holdBusy  bool
	nextHold  time.Duration
	processed int64 // number of the last end taken in
	ends      []pendingEnd

	pace      ratio // of its run times to those of other workers
	failures  int   // failed runs in a row
	restUntil time.Duration
	probation bool // the next run decides whether it is trusted again
}

// pendingEnd is an end that may be acknowledged once its record is written.
type pendingEnd struct {
	number  int64
	job     *job
	version int64
}

const (
	// fenceBumps separates the fences of successive owners: an owner raises its
	// fence on one worker at most this often.
	fenceBumps = 1 << 16
	// holdWait is how long a worker with work waits for an end before it answers.
	holdWait = 900 * time.Millisecond
	// endPause gathers ends and lets their records be written before the next look.
	endPause = 25 * time.Millisecond
	// probePause is the time between two looks at a worker that does not answer,
	// or whose ends cannot be recorded.
	probePause = 250 * time.Millisecond
	// clockDrift bounds how slow a worker's clock may be.
	clockDrift = 1.03
	// leaseMargin covers what is sent before and arrives after a lease is read.
	leaseMargin = 300 * time.Millisecond
	// quarantineFailures in a row, of any tasks, make a worker suspect.
	quarantineFailures = 3
	// quarantineRest is how long a suspect worker gets no work.
	quarantineRest = 8 * time.Second
	// failureRest is the pause after a single failure.
	failureRest = 200 * time.Millisecond
)

func (o *Owner) node(id string) *node {
	n := o.nodes[id]
	if n == nil {
		n = &node{w: work.Worker{ID: id}, runs: map[runKey]*run{}, missing: o.Now()}
		// An earlier owner may have prolonged its lease until a moment ago.
		n.letGo = o.Now() + o.holdSpan()
		o.nodes[id] = n
		at, _ := slices.BinarySearchFunc(o.order, id, compareNode)
		o.order = slices.Insert(o.order, at, n)
	}
	return n
}

func compareNode(n *node, id string) int { return strings.Compare(n.w.ID, id) }

func (o *Owner) removeNode(n *node) {
	delete(o.nodes, n.w.ID)
	if at, ok := slices.BinarySearchFunc(o.order, n.w.ID, compareNode); ok {
		o.order = slices.Delete(o.order, at, at+1)
	}
}

// holdSpan is the longest time for which a worker goes on after a hold is sent.
func (o *Owner) holdSpan() time.Duration {
	return time.Duration(float64(o.Bounds.MaxHold)*clockDrift) + leaseMargin
}

func (n *node) fence(epoch int64) int64 { return epoch*fenceBumps + n.bumps }

// usable reports whether the worker may be given work.
func (n *node) usable(now time.Duration) bool {
	return n.heard && n.listed && n.misses == 0 && !n.w.Draining && now >= n.restUntil
}

// clockAt returns what the worker's clock shows at least, at a local time.
func (n *node) clockAt(now time.Duration) time.Duration { return n.clock + now - n.clockSeen }

// noteClock takes in a reading of the worker's clock from an answer.
func (n *node) noteClock(clock, sent, received time.Duration) {
	if clock == 0 {
		return
	}
	// The reading was made between sending and receipt.
	seen := received
	if estimate := n.clockAt(received); n.clock != 0 && clock < estimate-(received-sent) {
		return
	}
	n.clock, n.clockSeen = clock, seen
}

// extend notes that the worker may go on for d after now.
func (n *node) extend(now, d time.Duration) {
	n.letGo = max(n.letGo, now+time.Duration(float64(d)*clockDrift)+leaseMargin)
}

func (n *node) failed(now time.Duration) {
	n.failures++
	n.restUntil = max(n.restUntil, now+failureRest)
	if n.failures >= quarantineFailures || n.probation {
		n.restUntil = now + quarantineRest
		n.probation = true
	}
}

func (n *node) succeeded() {
	n.failures = 0
	n.probation = false
}

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

// scanNodes does what is due for each worker.
func (o *Owner) scanNodes(now time.Duration) {
	for _, n := range slices.Clone(o.order) {
		o.scanNode(n, now)
		if !n.listed && len(n.runs) == 0 && !n.holdBusy && now > n.letGo && now > o.settling {
			o.removeNode(n)
		}
	}
	o.evacuate(now)
}

func (o *Owner) scanNode(n *node, now time.Duration) {
	if len(n.runs) > 0 && now >= n.letGo && (n.misses != 0 || !n.heard) {
		o.lapse(n, now)
	}
	for _, r := range runsOf(n) {
		if r.stopping && r.state != runPlanned && !r.stopBusy && now-r.stopSent >= stopRetry {
			o.sendStop(r)
		}
	}
	if n.w.Address != "" && !n.holdBusy && now >= n.nextHold && (n.listed || len(n.runs) > 0 || o.unsettled(n, now)) {
		o.hold(n, now)
	}
}

// lapse frees the runs of a worker whose lease must have ended. Should it turn
// up again it has to answer under a higher fence first.
func (o *Owner) lapse(n *node, now time.Duration) {
	n.bumps++
	n.heard = false
	for _, r := range runsOf(n) {
		o.lost(r, "the worker's lease has ended")
	}
	n.nextHold = max(n.nextHold, now)
}

// runsOf lists the runs of a worker by task and number.
func runsOf(n *node) (list []*run) {
	for _, r := range n.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		if c := strings.Compare(a.task.step.job.spec.ID, b.task.step.job.spec.ID); c != 0 {
			return c
		}
		if c := cmp.Compare(a.task.number, b.task.number); c != 0 {
			return c
		}
		return cmp.Compare(a.number, b.number)
	})
	return list
}

// hold renews the worker's lease and asks what runs and what ended.
func (o *Owner) hold(n *node, now time.Duration) {
	order := work.HoldOrder{Fence: n.fence(o.Epoch), SeenUpto: n.acknowledge()}
	if n.misses == 0 && n.clock != 0 {
		order.Deadline = n.clockAt(now) + o.Bounds.MaxHold
		n.extend(now, o.Bounds.MaxHold)
		if len(n.ends) == 0 {
			order.Wait = holdWait
		}
	}
	n.holdBusy = true
	o.Counters.Holds++
	bumps, born := n.bumps, n.born
	o.Hold(n.w, order, func(report work.HoldReport, err error) {
		n.holdBusy = false
		received := o.Now()
		switch {
		case o.deposed || n.bumps != bumps || n.born != born:
			n.nextHold = received
		case err == nil:
			o.held(n, order, report, now, received)
		case errs.Is(err, work.ErrFenced):
			o.fenced(n, order.Fence)
			n.nextHold = received + probePause
		default:
			o.holdMissed(n, err, received)
		}
	})
}

// fenced is called when a worker has seen a higher fence. Unless it is one that
// this owner used itself meanwhile, another owner has taken over.
func (o *Owner) fenced(n *node, used int64) {
	if used != n.fence(o.Epoch) {
		return
	}
	event.CellFenced.Log(o.Log).Str("worker", n.w.ID).Int64("fence", used).Send()
	o.depose("a worker has seen a higher fence")
}

func (o *Owner) holdMissed(n *node, err error, now time.Duration) {
	o.Counters.HoldsMissed++
	n.misses++
	n.nextHold = now
	if n.misses > 1 {
		n.nextHold = now + probePause
	}
	if n.misses == 2 {
		event.CellWorkerSilent.Log(o.Log).Str("worker", n.w.ID).Int("runs", len(n.runs)).
			Dur("silent", now-n.lastHeard).Dur("lease-left", n.letGo-now).Err(err).Send()
	}
}

// held takes in what a worker runs and what has ended.
func (o *Owner) held(n *node, order work.HoldOrder, report work.HoldReport, sent, received time.Duration) {
	if n.born != 0 && report.Born != 0 && report.Born != n.born {
		o.reborn(n, report.Born, received)
		return
	}
	if report.Born != 0 {
		n.born = report.Born
	}
	if n.misses > 1 {
		event.CellWorkerHeard.Log(o.Log).Str("worker", n.w.ID).Dur("silent", received-n.lastHeard).
			Int("running", len(report.Running)).Send()
	}
	first := !n.heard
	n.heard = true
	n.misses = 0
	n.lastHeard = received
	n.confirmed = sent
	n.noteClock(report.Clock, sent, received)
	n.nextHold = received + endPause
	o.takeEnds(n, report.Ended)
	o.takeRunning(n, report.Running, sent, received)
	if len(n.ends) > 0 && !o.StoreUp() {
		n.nextHold = received + probePause
	}
	if order.Deadline == 0 {
		// The lease was not renewed: do so now that the clock is known.
		n.nextHold = received
	}
	if first {
		o.changed = true
	}
}

// acknowledge returns the number up to which ends are recorded.
func (n *node) acknowledge() (upto int64) {
	for len(n.ends) > 0 {
		e := n.ends[0]
		if e.job != nil && e.job.saved < e.version {
			return e.number - 1
		}
		n.ends = n.ends[1:]
	}
	return n.processed
}

func (o *Owner) takeEnds(n *node, ended []work.EndReport) {
	slices.SortFunc(ended, func(a, b work.EndReport) int { return int(a.Number - b.Number) })
	for _, end := range ended {
		if end.Number <= n.processed {
			continue
		}
		n.processed = end.Number
		pending := pendingEnd{number: end.Number}
		if j, ok := o.jobs[end.Task.Job]; ok {
			if t := j.find(end.Task); t != nil {
				o.runEnded(n, t, n.runs[runKey{t, end.Run}], end)
				pending.job, pending.version = j, j.version
			}
		}
		n.ends = append(n.ends, pending)
	}
}

func (o *Owner) takeRunning(n *node, running []work.RunReport, sent, received time.Duration) {
	listed := make(map[*run]bool, len(running))
	for i := range running {
		if r := o.takeRun(n, &running[i], received); r != nil {
			listed[r] = true
		}
	}
	for _, r := range runsOf(n) {
		if listed[r] {
			continue
		}
		switch r.state {
		case runLive, runUnsettled:
			if r.settled > 0 && r.settled < sent {
				o.lost(r, "not listed by its worker")
			}
		case runInherited:
			// The worker has answered under a higher fence than the start had.
			o.lost(r, "not found on its worker")
		}
	}
	o.paceNode(n, received)
}

// takeRun matches a listed run with what is known; a run that must not be
// there is stopped.
func (o *Owner) takeRun(n *node, row *work.RunReport, now time.Duration) *run {
	j := o.jobs[row.Task.Job]
	var t *task
	if j != nil {
		t = j.find(row.Task)
	}
	if t == nil {
		o.stopStray(n, row, "job not known")
		return nil
	}
	r := n.runs[runKey{t, row.Run}]
	if r == nil {
		r = &run{task: t, node: n, number: row.Run, state: runInherited, born: n.born}
		o.attach(r)
		o.touch(j)
	}
	if r.state != runLive && r.state != runUnsettled || r.since == 0 {
		r.state = runLive
		r.since = now
		if !j.begun {
			j.begun = true
			o.touch(j)
		}
	}
	r.settled = now
	r.percent, r.figure = row.Percent, row.Figure
	r.atWork = row.Percent >= fullWork
	if row.Checkpoint != "" && row.Checkpoint != t.checkpoint {
		t.keepCheckpoint(row.Checkpoint)
	}
	switch {
	case r.stopping:
	case t.done:
		o.stopRun(r, "the task is done")
	case j.over():
		o.stopRun(r, "the job is over")
	case len(t.runs) > 1 && !t.step.spec.Speculative && o.older(r):
		o.stopRun(r, "a newer run of the task exists")
	}
	return r
}

// fullWork is the percentage at which a long-running task is at work.
const fullWork = 100

// older reports whether another run of the task that is live has a higher number.
func (o *Owner) older(r *run) bool {
	return slices.ContainsFunc(r.task.runs, func(other *run) bool {
		return other != r && other.state == runLive && other.number > r.number
	})
}

func (o *Owner) stopStray(n *node, row *work.RunReport, reason string) {
	event.CellStop.Log(o.Log).Str("task", row.Task.String()).Int64("run", row.Run).Str("worker", n.w.ID).
		Str("reason", reason).Send()
	order := work.RunOrder{Task: row.Task, Run: row.Run, Fence: n.fence(o.Epoch)}
	o.Stop(n.w, order, func(_ work.OrderReport, err error) {
		if err != nil {
			event.CellStopFailed.Log(o.Log).Str("task", row.Task.String()).Err(err).Send()
		}
	})
}
