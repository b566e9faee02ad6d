package job

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/worker"
)

// reportRetryInterval is the interval between two queries to a rack that has not reported.
const reportRetryInterval = 300 * time.Millisecond

// restore rebuilds the queue from its segments.
//
// A job that was submitted again after a takeover can be in two segments. The
// record written by the later owner takes precedence, because it includes later
// state changes.
func (q *Queue) restore(segments []Segment) {
	slices.SortStableFunc(segments, func(a, b Segment) int { return cmp.Compare(b.Epoch, a.Epoch) })
	for _, stored := range segments {
		seg := &segment{number: stored.Number, revision: stored.Revision}
		for _, record := range stored.Jobs {
			if _, ok := q.jobs[record.ID]; ok {
				seg.markDirty()
				continue
			}
			j := q.restoreJob(record)
			j.segment = seg
			seg.jobs = append(seg.jobs, j)
			seg.bytes += recordBytes + len(record.Spec.Payload) + len(j.tasks)*taskBytes
		}
		q.segments[seg.number] = seg
		q.current = max(q.current, seg.number)
	}
	q.current++
}

// restoreJob rebuilds one job. Its tasks that have not ended may be running and
// become uncertain.
func (q *Queue) restoreJob(record Record) *job {
	rows := record.Tasks
	record.Tasks = nil
	j := q.addJob(record)
	j.segment = &segment{}
	for _, row := range rows {
		if row.Index < 0 || row.Index >= len(j.tasks) {
			continue
		}
		t := j.tasks[row.Index]
		t.failures, t.started = row.Failures, row.Started
		t.output, t.truncated, t.worker = row.Output, row.Truncated, row.Worker
		if row.State.Terminal() {
			q.setState(t, row.State)
		}
	}
	if record.Cancelled {
		j.machine.fire(triggerCancel)
	}
	if j.open == 0 {
		q.restoreEndedJob(j)
		return j
	}
	for _, t := range j.tasks {
		if t.state == TaskPending {
			q.setState(t, TaskUncertain)
		}
	}
	return j
}

// restoreEndedJob ends a restored job whose tasks have all ended, and keeps its
// recorded end time.
func (q *Queue) restoreEndedJob(j *job) {
	ended := j.record.Ended
	q.endJobIfComplete(j)
	if !ended.IsZero() {
		j.record.Ended = ended
	}
}

// recover queries all racks for running tasks until each has sent a complete report.
func (q *Queue) recover(now time.Time) {
	if q.recovered || now.Before(q.nextRecovery) {
		return
	}
	q.nextRecovery = now.Add(reportRetryInterval)
	missing := 0
	for _, id := range q.AllRacks() {
		if q.reportedRacks[id] {
			continue
		}
		missing++
		q.queryRack(id)
	}
	if missing == 0 {
		q.finishRecovery()
	}
}

// queryRack requests a report from a rack and adopts the tasks that it lists.
func (q *Queue) queryRack(id shard.ID) {
	req := rack.ReportRequest{Shard: id, Team: q.Team, TeamEpoch: q.Epoch}
	q.Report(req, func(report rack.Report, err error) {
		if err != nil || report.NotOwner {
			return
		}
		for _, row := range report.Tasks {
			q.adopt(id, report.Epoch, row)
		}
		if report.Complete {
			q.reportedRacks[id] = true
		}
	})
}

// adopt attaches a reported attempt to its task. It ignores an attempt whose end
// is recorded already, and an ended attempt that may not have been the task's
// last. It stops a reservation that was never started, an attempt whose job or
// task is unknown, and one whose task is no longer uncertain or has another
// attempt.
func (q *Queue) adopt(id shard.ID, epoch int64, row rack.ReportedTask) {
	if known, ok := q.tasks[row.ID]; ok {
		known.epoch = epoch
		return
	}
	j, ok := q.jobs[row.Job]
	if !ok || row.Index < 0 || row.Index >= len(j.tasks) {
		q.stopOrphan(id, row)
		return
	}
	t := j.tasks[row.Index]
	if !row.Running && row.EndState == "" {
		q.stopOrphan(id, row)
		return
	}
	if t.lastEnded == row.ID || row.EndState != "" && !t.isLastAttempt(row.EndState) {
		return
	}
	if t.state != TaskUncertain || t.id != "" {
		q.Checks.Check(invariant.SingleRun, !row.Running || t.state.Terminal(), "task ", row.ID, " other ", t.id)
		q.stopOrphan(id, row)
		return
	}
	t.id, t.shard, t.worker, t.epoch = row.ID, id, row.Worker, epoch
	q.used = q.used.Sub(t.demand).Add(row.Demand)
	t.demand = row.Demand
	q.tasks[row.ID] = t
	t.state = TaskRunning
	t.startedAt = q.Now()
	j.machine.fire(triggerStart)
	q.addHistory(j, "task %d: attempt %s found on %s", t.index, t.id, t.worker)
	if j.record.Cancelled {
		q.setState(t, TaskStopping)
		q.stop(t)
	}
}

// stopOrphan sends a stop request for an attempt that this queue does not need.
func (q *Queue) stopOrphan(id shard.ID, row rack.ReportedTask) {
	req := rack.TaskRequest{Shard: id, Team: q.Team, TeamEpoch: q.Epoch, Tasks: []rack.TaskSpec{{ID: row.ID}}}
	q.Stop(req, func(rack.Results, error) {})
}

// finishRecovery resolves the uncertain tasks that no rack has reported,
// because they do not run anywhere.
func (q *Queue) finishRecovery() {
	q.recovered = true
	for _, j := range append([]*job{}, q.activeJobs...) {
		for _, t := range j.tasks {
			if t.state == TaskUncertain && t.id == "" {
				q.resolveNotRunning(t)
			}
		}
	}
}

// resolveNotRunning resolves a task that is confirmed not to run now. It may
// have run before, so a non-idempotent task that was started gets the state
// unknown and is not started again.
func (q *Queue) resolveNotRunning(t *task) {
	q.addHistory(t.job, "task %d: attempt %q is proved not to run", t.index, t.id)
	switch {
	case t.job.record.Cancelled:
		q.setState(t, TaskCancelled)
	case t.started && !t.job.record.Policy.Idempotent:
		q.setState(t, TaskUnknown)
	default:
		q.requeue(t, q.Now())
	}
	q.updateGang(t.job, q.Now())
	q.endJobIfComplete(t.job)
}

// RecordEnded records the ended attempts that a rack reports, and lists in its
// reply those whose record the store has. The rack repeats the others.
func (q *Queue) RecordEnded(batch rack.EndedBatch, now time.Time) (reply rack.EndedReply) {
	q.init()
	if !q.Ready() || !q.MayStart(now) {
		return rack.EndedReply{}
	}
	for _, ended := range batch.Tasks {
		if q.recordEndedTask(batch.Shard, ended, now) {
			reply.Recorded = append(reply.Recorded, ended.ID)
		}
	}
	q.flush(now)
	q.schedule(now)
	return reply
}

// recordEndedTask applies one ended attempt and reports whether the store has
// the result.
func (q *Queue) recordEndedTask(id shard.ID, ended rack.EndedTask, now time.Time) (recorded bool) {
	t, ok := q.tasks[ended.ID]
	if !ok {
		t, ok = q.findUncertain(ended)
	}
	if !ok {
		j, known := q.jobs[ended.Job]
		return !known || !j.segment.dirty()
	}
	if t.id == "" && !t.isLastAttempt(ended.State) {
		// Another attempt may be running; the rack repeats the report, and
		// recovery resolves the task in the meantime.
		return false
	}
	if t.id == "" {
		t.id, t.shard = ended.ID, id
	}
	q.applyEnded(t, ended, now)
	return !t.job.segment.dirty()
}

// isLastAttempt reports whether an attempt that ended in this state was the
// last one of the task: a finished task and a non-idempotent task that was
// started are not started again.
func (t *task) isLastAttempt(state worker.State) bool {
	if state == worker.StateFinished {
		return true
	}
	return !t.job.record.Policy.Idempotent && state != rack.StateNotStarted
}

// findUncertain finds the uncertain task of an attempt that an earlier owner of
// the queue started.
func (q *Queue) findUncertain(ended rack.EndedTask) (t *task, ok bool) {
	j, ok := q.jobs[ended.Job]
	if !ok || ended.Index < 0 || ended.Index >= len(j.tasks) {
		return nil, false
	}
	t = j.tasks[ended.Index]
	return t, t.state == TaskUncertain && t.id == ""
}

// applyEnded changes the state of a task whose attempt has ended.
func (q *Queue) applyEnded(t *task, ended rack.EndedTask, now time.Time) {
	policy := t.job.record.Policy
	q.addHistory(t.job, "task %d: attempt %s ended on %s as %s", t.index, ended.ID, ended.Worker, ended.State)
	t.worker = ended.Worker
	t.lastEnded = ended.ID
	t.job.observedUsage = t.job.observedUsage.Max(ended.Usage)
	switch {
	case ended.State == worker.StateFinished && policy.Kind != config.KindService:
		t.output, t.truncated = truncateOutput(ended.Output)
		q.setState(t, TaskDone)
	case t.job.record.Cancelled:
		q.setState(t, TaskCancelled)
	case ended.State == rack.StateNotStarted:
		q.requeue(t, now)
	case ended.State == worker.StateFailed:
		q.recordFailure(t, ended, now)
	case !policy.Idempotent && policy.Kind != config.KindService:
		t.output = fmt.Sprintf("ended as %s before it finished", ended.State)
		q.setState(t, TaskUnknown)
	default:
		t.resume = ended.Resume
		q.requeue(t, now)
	}
	q.updateGang(t.job, now)
	q.endJobIfComplete(t.job)
}

// truncateOutput shortens a task's output to maxOutput bytes.
func truncateOutput(output string) (kept string, truncated bool) {
	if len(output) <= maxOutput {
		return output, false
	}
	return output[:maxOutput], true
}

// recordFailure counts a failure and makes the task pending again, preferably for
// another worker. A service task is always run again, an idempotent task while
// the pool's retries last, and any other task never.
func (q *Queue) recordFailure(t *task, ended rack.EndedTask, now time.Time) {
	policy := t.job.record.Policy
	t.failures++
	t.output, t.truncated = truncateOutput(ended.Output)
	t.job.segment.markDirty()
	if policy.Kind != config.KindService && (t.failures > policy.Retries || !policy.Idempotent) {
		q.setState(t, TaskFailed)
		return
	}
	const maxAvoided = 3
	t.avoid = append(t.avoid, ended.Worker)
	if len(t.avoid) > maxAvoided {
		t.avoid = t.avoid[1:]
	}
	q.requeue(t, now)
	t.retryAt = now.Add(min(time.Duration(t.failures)*retryDelay, maxRetryDelay))
}

const (
	// retryDelay is the delay per failure of a task before its next attempt, up
	// to maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// requeue makes a task pending again, without an attempt.
func (q *Queue) requeue(t *task, now time.Time) {
	q.setState(t, TaskPending)
	t.id, t.shard = "", ""
	t.retryAt = now
}
