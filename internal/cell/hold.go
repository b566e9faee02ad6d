package cell

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// hold renews the worker's lease and asks what runs and what ended.
func (o *Owner) hold(n *node, now time.Duration) {
	order := work.RenewRequest{Fence: n.fence(o.Epoch), AckedThrough: n.acknowledge()}
	if n.misses == 0 && n.clock != 0 {
		order.Deadline = n.clockAt(now) + o.Bounds.MaxLease
		n.extend(now, o.Bounds.MaxLease)
		if len(n.ends) == 0 {
			order.Wait = holdWait
		}
	}
	n.holdBusy = true
	o.Counters.Renewals++
	bumps, born := n.bumps, n.born
	o.Renew(n.w, order, func(report work.RenewResponse, err error) {
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
		case errs.Is(err, work.ErrOtherIncarnation):
			o.replaced(n, received)
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
	o.Counters.RenewalsMissed++
	n.misses++
	n.nextHold = now
	if n.misses > 1 {
		n.nextHold = now + probePause
	}
	if n.misses == silentMisses {
		event.CellWorkerUnresponsive.Log(o.Log).Str("worker", n.w.ID).Int("runs", len(n.runs)).
			Dur("silent", now-n.lastHeard).Dur("lease-left", n.letGo-now).Err(err).Send()
	}
}

// replaced notes that another worker answers at the worker's address: its
// process is gone for good, and with it all that it ran.
func (o *Owner) replaced(n *node, now time.Duration) {
	n.nextHold = now + replacedPause
	if n.misses < silentMisses || len(n.runs) > 0 {
		event.CellWorkerReplaced.Log(o.Log).Str("worker", n.w.ID).Str("address", n.w.Address).Int("runs", len(n.runs)).Send()
	}
	n.misses = max(n.misses, silentMisses)
	n.heard, n.former = false, false
	n.letGo = now
	for _, r := range runsOf(n) {
		o.lost(r, "another worker is at its address")
	}
	o.changed = true
}

// held takes in what a worker runs and what has ended.
func (o *Owner) held(n *node, order work.RenewRequest, report work.RenewResponse, sent, received time.Duration) {
	if n.born != 0 && report.Born != 0 && report.Born != n.born {
		o.reborn(n, report.Born, received)
		return
	}
	if report.Born != 0 {
		n.born = report.Born
	}
	if n.misses > 1 {
		event.CellWorkerResponding.Log(o.Log).Str("worker", n.w.ID).Dur("silent", received-n.lastHeard).
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

func (o *Owner) takeEnds(n *node, ended []work.RunResult) {
	slices.SortFunc(ended, func(a, b work.RunResult) int { return int(a.Sequence - b.Sequence) })
	for _, end := range ended {
		if end.Sequence <= n.processed {
			continue
		}
		n.processed = end.Sequence
		pending := pendingEnd{number: end.Sequence}
		if j, ok := o.jobs[end.Task.Job]; ok {
			if t := j.find(end.Task); t != nil {
				o.runEnded(n, t, n.runs[runKey{t, end.Run}], end)
				pending.job, pending.version = j, j.version
			}
		}
		n.ends = append(n.ends, pending)
	}
}

func (o *Owner) takeRunning(n *node, running []work.RunStatus, sent, received time.Duration) {
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
	o.measure(n, received)
	o.paceNode(n, received)
}

// takeRun matches a listed run with what is known; a run that must not be
// there is stopped.
func (o *Owner) takeRun(n *node, row *work.RunStatus, now time.Duration) *run {
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
	r.percent, r.figure = row.Percent, row.Metric
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

func (o *Owner) stopStray(n *node, row *work.RunStatus, reason string) {
	event.CellStop.Log(o.Log).Str("task", row.Task.String()).Int64("run", row.Run).Str("worker", n.w.ID).
		Str("reason", reason).Send()
	order := work.RunRequest{Task: row.Task, Run: row.Run, Fence: n.fence(o.Epoch)}
	o.Stop(n.w, order, func(_ work.RunResponse, err error) {
		if err != nil {
			event.CellStopFailed.Log(o.Log).Str("task", row.Task.String()).Err(err).Send()
		}
	})
}
