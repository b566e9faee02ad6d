package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// renew renews the worker's lease and queries its running tasks and ended runs. If the
// previous renewal was not answered, the worker's clock is unknown or the ownership is not
// confirmed, the request only queries the worker. Each renewal postpones the time at
// which the worker's lease must have expired, even if it is not answered. For an
// unresponsive worker that time must be reached, because only then can its tasks be
// restarted elsewhere.
//
// Any incarnation may respond to a query after silence. Acknowledgements and deadlines count
// in terms of the incarnation that has responded last, and no other one may receive them.
func (o *Owner) renew(n *node, now time.Duration) {
	request := work.RenewRequest{Fence: n.fence(o.Epoch)}
	to := n.worker
	to.Born = 0
	current := n.responded && n.missedRenewals == 0
	if current {
		to = n.addressee()
	}
	if current && !o.passive(now) {
		request.AckedThrough = n.acknowledge()
	}
	if current && n.clock != 0 && o.mayExtendLeases(now) {
		request.Deadline = n.clockAt(now) + o.Bounds.MaxLease
		n.extendLease(now, o.Bounds.MaxLease)
		if len(n.unackedEnds) == 0 {
			request.Wait = renewalWait
		}
	}
	n.renewing = true
	o.Counters.Renewals++
	fenceSeq, incarnation := n.fenceSeq, n.incarnation
	o.Renew(to, request, func(response work.RenewResponse, err error) {
		n.renewing = false
		received := o.Now()
		switch {
		case o.ownershipLost || n.fenceSeq != fenceSeq || n.incarnation != incarnation:
			n.nextRenewal = received
		case err == nil:
			o.handleRenewal(n, request, response, now, received)
		case errs.Is(err, work.ErrFenced):
			o.handleFenced(n, request.Fence)
			n.nextRenewal = received + probeInterval
		case errs.Is(err, work.ErrOtherIncarnation):
			o.handleReplaced(n, received)
		case errs.Is(err, work.ErrRestarted):
			n.queryNext(received)
		default:
			o.handleMissedRenewal(n, err, received)
		}
	})
}

// handleFenced is called when a worker has observed a higher fencing token. Unless
// this owner has incremented the token itself in the meantime, another owner has
// claimed the cell. While the store is unavailable, this owner goes on with the other
// workers: its successor does not act before it has fenced half of them.
func (o *Owner) handleFenced(n *node, used int64) {
	if used != n.fence(o.Epoch) {
		return
	}
	if !n.fenced {
		event.CellFenced.Log(o.Log).Str("worker", n.worker.ID).Int64("fence", used).Send()
	}
	n.fenced, n.responded, n.resolved = true, false, false
	if o.StoreUp() || o.fencedByHalf() {
		o.loseOwnership("workers have seen a higher fence")
	}
}

// handleMissedRenewal records that a renewal was not answered. The first retry
// follows immediately, later ones at probeInterval. A worker that has been silent for long
// and cannot run anything is probed at silentProbeInterval.
func (o *Owner) handleMissedRenewal(n *node, err error, now time.Duration) {
	o.Counters.RenewalsMissed++
	n.missedRenewals++
	n.nextRenewal = now
	switch {
	case n.missedRenewals > frequentProbes && len(n.runs) == 0 && !n.fromPredecessor:
		n.nextRenewal = now + silentProbeInterval
	case n.missedRenewals > 1:
		n.nextRenewal = now + probeInterval
	}
	if n.missedRenewals == unresponsiveMisses {
		event.CellWorkerUnresponsive.Log(o.Log).Str("worker", n.worker.ID).Int("runs", len(n.runs)).
			Dur("silent", now-n.lastResponse).Dur("lease-left", n.leaseExpiry-now).Err(err).Send()
	}
}

// handleReplaced records that another worker responds at the worker's address: its
// process has terminated, and so have all of its runs.
func (o *Owner) handleReplaced(n *node, now time.Duration) {
	n.nextRenewal = now + replacedProbeInterval
	if n.missedRenewals < unresponsiveMisses || len(n.runs) > 0 {
		event.CellWorkerReplaced.Log(o.Log).Str("worker", n.worker.ID).Str("address", n.worker.Address).Int("runs", len(n.runs)).Send()
	}
	n.missedRenewals = max(n.missedRenewals, unresponsiveMisses)
	n.responded, n.resolved, n.fromPredecessor = false, false, false
	n.leaseExpiry = now
	for _, r := range sortedRuns(n) {
		o.loseRun(r, "another worker is at its address")
	}
	o.passDue = true
}

// handleRenewal processes the running tasks and ended runs that a worker lists.
func (o *Owner) handleRenewal(n *node, request work.RenewRequest, response work.RenewResponse, sent, received time.Duration) {
	if n.incarnation != 0 && response.Born != 0 && response.Born != n.incarnation {
		o.handleRestart(n, response.Born, received)
		return
	}
	if response.Born != 0 && response.Born != n.incarnation {
		n.setIncarnation(response.Born, received)
	}
	if n.missedRenewals > 1 {
		event.CellWorkerResponding.Log(o.Log).Str("worker", n.worker.ID).Dur("silent", received-n.lastResponse).
			Int("running", len(response.Running)).Send()
	}
	first := !n.responded
	n.responded, n.fenced = true, false
	n.missedRenewals = 0
	n.lastResponse = received
	n.confirmedAt = sent
	n.recordClock(response.Clock, sent, received)
	n.nextRenewal = received + renewalInterval
	o.processEnds(n, response.Ended)
	endsComplete := len(response.Ended) < work.MaxListedEnds
	o.processRunning(n, response.Running, endsComplete, sent, received)
	n.resolved = n.resolved || endsComplete
	if len(n.unackedEnds) > 0 && !o.StoreUp() {
		n.nextRenewal = received + probeInterval
	}
	switch {
	case !o.mayExtendLeases(received):
		n.nextRenewal = received + probeInterval
	case request.Deadline == 0:
		// The lease was not renewed: renew it now that the clock is known.
		n.nextRenewal = received
	}
	if first {
		o.passDue = true
		o.establish(received)
	}
}

// acknowledge returns the sequence number up to which ends are recorded.
func (n *node) acknowledge() (upto int64) {
	for len(n.unackedEnds) > 0 {
		e := n.unackedEnds[0]
		if e.job != nil && e.job.savedVersion < e.version {
			return e.sequence - 1
		}
		n.unackedEnds = n.unackedEnds[1:]
	}
	return n.lastEndProcessed
}

// processEnds handles each end that a worker lists once, in the order of the
// sequence numbers. A worker lists an end until it is acknowledged, and acknowledge
// does so only once the job's record of the end is saved. Ends of unknown jobs need
// no record.
func (o *Owner) processEnds(n *node, ended []work.RunResult) {
	slices.SortFunc(ended, func(a, b work.RunResult) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, end := range ended {
		if end.Sequence <= n.lastEndProcessed {
			continue
		}
		n.lastEndProcessed = end.Sequence
		pending := pendingEnd{sequence: end.Sequence}
		if j, ok := o.jobs[end.Task.Job]; ok {
			if t := j.findTask(end.Task); t != nil {
				o.handleRunEnd(n, t, n.runs[runKey{t, end.Run}], end)
				pending.job, pending.version = j, j.version
			}
		}
		n.unackedEnds = append(n.unackedEnds, pending)
	}
}

// processRunning matches the runs that a worker lists with those of the owner, and
// frees runs that the worker does not list. A live or uncertain run is freed only if
// the renewal was sent after the response that last resolved whether the run exists,
// because an earlier list may lack it. None is freed if the list of ends is incomplete: the
// run may have ended, and its end is listed once earlier ones are acknowledged.
func (o *Owner) processRunning(n *node, running []work.RunStatus, endsComplete bool, sent, received time.Duration) {
	listed := make(map[*run]bool, len(running))
	for i := range running {
		if r := o.matchRun(n, &running[i], received); r != nil {
			listed[r] = true
		}
	}
	for _, r := range sortedRuns(n) {
		if listed[r] || !endsComplete {
			continue
		}
		switch r.state {
		case runLive, runUncertain:
			if r.resolvedAt > 0 && r.resolvedAt < sent {
				o.loseRun(r, "not listed by its worker")
			}
		case runInherited:
			// The worker has responded under a higher fencing token than the start had.
			o.loseRun(r, "not found on its worker")
		}
	}
	if endsComplete {
		o.measureRuns(n, received)
	}
	o.throttleNode(n, received)
}

// matchRun matches a listed run with the owner's view. A run that must not be there
// is stopped.
func (o *Owner) matchRun(n *node, row *work.RunStatus, now time.Duration) *run {
	j := o.jobs[row.Task.Job]
	var t *task
	if j != nil {
		t = j.findTask(row.Task)
	}
	if t == nil {
		o.stopOrphan(n, row, "job not known")
		return nil
	}
	r := n.runs[runKey{t, row.Run}]
	if r == nil {
		r = &run{task: t, node: n, number: row.Run, state: runInherited, incarnation: n.incarnation}
		o.adopt(r)
		o.markDirty(j)
		o.noteUnrecorded(j)
	}
	if r.state != runLive && r.state != runUncertain || r.liveSince == 0 {
		r.state = runLive
		r.liveSince = now
		if !j.begun {
			j.begun = true
			o.markDirty(j)
		}
	}
	r.resolvedAt = now
	r.percent, r.metric = row.Percent, row.Metric
	r.serving = row.Percent >= servingPercent
	if row.Checkpoint != "" && row.Checkpoint != t.checkpoint {
		t.setCheckpoint(row.Checkpoint, now)
	}
	switch {
	case r.stopping:
	case t.done:
		o.stopRun(r, "the task is done")
	case j.finished():
		o.stopRun(r, "the job is over")
	case len(t.runs) > 1 && !t.step.spec.Speculative && o.hasNewerRun(r):
		o.stopRun(r, "a newer run of the task exists")
	}
	return r
}

// servingPercent is the progress that a long-running task reports while it serves.
const servingPercent = 100

// hasNewerRun reports whether a live run of the same task has a higher number.
func (o *Owner) hasNewerRun(r *run) bool {
	return slices.ContainsFunc(r.task.runs, func(other *run) bool {
		return other != r && other.state == runLive && other.number > r.number
	})
}

// stopOrphan sends one stop for an orphan run. If the run continues, the worker
// lists it again and another stop is sent.
func (o *Owner) stopOrphan(n *node, row *work.RunStatus, reason string) {
	event.CellStop.Log(o.Log).Str("task", row.Task.String()).Int64("run", row.Run).Str("worker", n.worker.ID).
		Str("reason", reason).Send()
	request := work.RunRequest{Task: row.Task, Run: row.Run, Fence: n.fence(o.Epoch)}
	o.Stop(n.addressee(), request, func(_ work.RunResponse, err error) {
		if err != nil {
			event.CellStopFailed.Log(o.Log).Str("task", row.Task.String()).Err(err).Send()
		}
	})
}
