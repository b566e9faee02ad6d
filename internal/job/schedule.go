package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
)

const (
	// maxCallsInFlight is the number of calls in flight that may start work at
	// which a queue begins no further scheduling pass.
	maxCallsInFlight = 64
	// maxBatchTasks bounds the tasks in one call to a rack.
	maxBatchTasks = 32
	// noCapacityDelay is the time after which a job or task is tried again when
	// no rack had enough free capacity.
	noCapacityDelay = 50 * time.Millisecond
)

// Tick runs the periodic work of the queue.
func (q *Queue) Tick(now time.Time) {
	q.init()
	if !q.loaded {
		q.Open(now)
		return
	}
	if !q.MayStart(now) {
		return
	}
	q.recover(now)
	q.reconcile(now)
	q.flush(now)
	q.schedule(now)
	q.retryUnconfirmed(now)
	q.preempt(now)
	q.dropExpired(now)
}

// ForgetPlan discards the plan, so that the next decision uses the latest rack summaries.
func (q *Queue) ForgetPlan() { q.plan = nil }

// schedule assigns pending tasks to racks: urgent jobs first, then the oldest.
func (q *Queue) schedule(now time.Time) {
	if !q.loaded || q.draining || !q.MayStart(now) || q.callsInFlight >= maxCallsInFlight {
		return
	}
	if !slices.ContainsFunc(q.activeJobs, func(j *job) bool { return j.pending > 0 }) {
		return
	}
	p := q.currentPlan()
	for _, urgent := range []bool{true, false} {
		for _, j := range q.activeJobs {
			if j.urgent == urgent && j.pending > 0 && !now.Before(j.retryAt) {
				q.scheduleJob(j, p, now)
			}
		}
	}
	batches := p.assignments
	p.assignments = map[shard.ID][]rack.TaskSpec{}
	for _, id := range slices.Sorted(maps.Keys(batches)) {
		for batch := range slices.Chunk(batches[id], maxBatchTasks) {
			q.sendAssign(id, batch)
		}
	}
}

// scheduleJob assigns the pending tasks of a job until the team's limit or
// share is reached or no rack has enough free capacity.
func (q *Queue) scheduleJob(j *job, p *plan, now time.Time) {
	if !j.accepted() || !q.journalStarts(j) {
		return
	}
	if j.record.Policy.Kind == config.KindGang {
		q.scheduleGang(j, p, now)
		return
	}
	for _, t := range j.tasks {
		if t.state != TaskPending || now.Before(t.retryAt) {
			continue
		}
		if !q.admit(j, 1) {
			return
		}
		t.demand = j.demand()
		id, ok := p.chooseRack(t)
		if !ok {
			j.retryAt = now.Add(noCapacityDelay)
			j.reason = fmt.Sprintf("no rack has room for %s", j.demand())
			return
		}
		j.reason = ""
		q.beginAttempt(t, id)
		p.reserve(t)
		p.assignments[id] = append(p.assignments[id], t.spec())
	}
}

// journalStarts marks the pending tasks of a non-idempotent job as started in
// its record, and reports whether the store has that record. Such a task may be
// started only after that, because a later owner of the queue must be able to see that
// it may have run. An idempotent job needs no such record.
func (q *Queue) journalStarts(j *job) bool {
	if !j.record.Policy.Idempotent {
		for _, t := range j.tasks {
			if t.state == TaskPending && !t.started {
				t.started = true
				j.segment.markDirty()
			}
		}
		return !j.segment.dirty()
	}
	return true
}

// accepted reports whether the store has the job.
func (j *job) accepted() bool { return j.segment.saved >= j.segmentVersion }

// admit reports whether the team's limit and share allow n more tasks of j to run.
func (q *Queue) admit(j *job, n int64) bool {
	limit := q.Tables().Teams[q.Team].Limit
	if q.running+n > limit {
		j.reason = fmt.Sprintf("the team's limit of %d running tasks is reached", limit)
		return false
	}
	if !q.WithinShare(q.used, j.demand().Scale(n), j.urgent) {
		j.reason = "the cell is full and the team has its share"
		return false
	}
	return true
}

// beginAttempt gives a task a new attempt ID and marks it as being assigned to
// a rack.
func (q *Queue) beginAttempt(t *task, id shard.ID) {
	q.attempts++
	t.id = fmt.Sprintf("%s.%d.%d-%d", t.job.record.ID, t.index, q.Epoch, q.attempts)
	t.shard, t.worker = id, ""
	q.setState(t, TaskAssigning)
	q.tasks[t.id] = t
	limit := q.Tables().Teams[q.Team].Limit
	q.Checks.Check(invariant.TeamLimit, q.running <= limit, "team", q.Team, "running", q.running, "limit", limit)
}

// spec describes the current attempt of a task to its rack.
func (t *task) spec() rack.TaskSpec {
	policy := t.job.record.Policy
	return rack.TaskSpec{
		ID: t.id, Job: t.job.record.ID, Index: t.index, Demand: t.demand,
		Payload: t.job.record.Spec.Payload, Resume: t.resume, Avoid: t.avoid,
		NonIdempotent: !policy.Idempotent, LongRunning: policy.Kind == config.KindService,
	}
}

// sendAssign sends a batch of tasks to the owner of a rack, which starts them.
func (q *Queue) sendAssign(id shard.ID, specs []rack.TaskSpec) {
	q.callsInFlight++
	req := rack.AssignRequest{Shard: id, Team: q.Team, TeamEpoch: q.Epoch, Tasks: specs}
	q.Assign(req, func(results rack.Results, err error) {
		q.callsInFlight--
		q.applyResults(specs, results, err)
		q.schedule(q.Now())
	})
}

// applyResults applies a rack's response to an assign or start request. Tasks
// that the response does not list count as not started if the request was not
// sent or the rack's owner has changed, and as uncertain otherwise.
func (q *Queue) applyResults(specs []rack.TaskSpec, results rack.Results, err error) {
	outcomes := map[string]rack.TaskResult{}
	for _, result := range results.Tasks {
		outcomes[result.ID] = result
	}
	for _, spec := range specs {
		t, ok := q.tasks[spec.ID]
		if !ok || t.state != TaskAssigning {
			continue
		}
		outcome := rack.OutcomeUnknown
		result, answered := outcomes[spec.ID]
		switch {
		case answered:
			outcome = result.Outcome
		case results.NotOwner || notSent(err):
			outcome = rack.OutcomeNoCapacity
		}
		t.epoch = results.Epoch
		q.applyResult(t, outcome, result.Worker)
	}
	q.applySummary(results.Summary)
}

// applyResult changes the state of a task according to the outcome of its attempt.
func (q *Queue) applyResult(t *task, outcome rack.Outcome, name string) {
	now := q.Now()
	q.addHistory(t.job, "task %d: attempt %s in %s on %s: %s", t.index, t.id, t.shard, name, outcome)
	switch outcome {
	case rack.OutcomeStarted:
		t.worker, t.startedAt = name, now
		q.setState(t, TaskRunning)
		t.job.machine.fire(triggerStart)
	case rack.OutcomeNoCapacity, rack.OutcomeFenced, rack.OutcomeStopped:
		q.requeue(t, now)
		t.retryAt = now.Add(noCapacityDelay)
	default:
		q.setState(t, TaskUncertain)
		t.nextRackCall = now.Add(reportRetryInterval)
	}
	if t.job.record.Cancelled {
		q.cancelTasks(t.job)
		q.endJobIfComplete(t.job)
	}
}

// retryUnconfirmed repeats the stop requests that are not confirmed, and
// queries the racks of tasks whose start was not confirmed.
func (q *Queue) retryUnconfirmed(now time.Time) {
	for _, t := range q.tasks {
		if now.Before(t.nextRackCall) {
			continue
		}
		switch {
		case t.state == TaskStopping:
			q.stop(t)
		case t.state == TaskUncertain && t.id != "":
			q.resolve(t)
		}
	}
}

// stop sends a stop request for a task to the owner of its rack.
func (q *Queue) stop(t *task) {
	const stopRetryInterval = time.Second
	t.nextRackCall = q.Now().Add(stopRetryInterval)
	if t.shard == "" {
		return
	}
	id := t.id
	q.Stop(q.stopRequest(t), func(results rack.Results, _ error) {
		for _, result := range results.Tasks {
			if result.ID == id && result.Outcome == rack.OutcomeStopped && q.tasks[id] == t {
				q.resolveNotRunning(t)
			}
		}
	})
}

// resolve determines whether a task runs whose start request got no response. A
// rack whose complete report does not list the task will never run it.
func (q *Queue) resolve(t *task) {
	t.nextRackCall = q.Now().Add(reportRetryInterval)
	id := t.id
	req := rack.ReportRequest{Shard: t.shard, Team: q.Team, TeamEpoch: q.Epoch}
	q.Report(req, func(report rack.Report, err error) {
		if err != nil || report.NotOwner || q.tasks[id] != t || t.state != TaskUncertain {
			return
		}
		for _, row := range report.Tasks {
			if row.ID == id {
				q.addHistory(t.job, "task %d: attempt %s runs on %s after all", t.index, id, row.Worker)
				t.worker, t.epoch = row.Worker, report.Epoch
				q.setState(t, TaskRunning)
				t.job.machine.fire(triggerStart)
				return
			}
		}
		if report.Complete {
			q.resolveNotRunning(t)
		}
	})
}
