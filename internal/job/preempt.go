package job

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/resource"
)

const (
	// preemptInterval is the interval between two preemption checks.
	preemptInterval = 200 * time.Millisecond
	// maxPreemptBatch bounds the candidates considered in one preemption check.
	maxPreemptBatch = 64
)

// preempt stops tasks in excess of the team's limit, and preemptible tasks in
// excess of its fair share while other teams wait for theirs.
func (q *Queue) preempt(now time.Time) {
	if !q.recovered || now.Before(q.nextPreempt) {
		return
	}
	q.nextPreempt = now.Add(preemptInterval)
	stopping, stoppingResources := q.stoppingTasks()
	overLimit := q.running - stopping - q.Tables().Teams[q.Team].Limit
	release := q.ShareToRelease(q.used.Sub(stoppingResources))
	if overLimit <= 0 && release <= 0 {
		return
	}
	for i, t := range q.preemptionCandidates() {
		if i >= maxPreemptBatch || overLimit <= 0 && release <= 0 {
			return
		}
		policy := t.job.record.Policy
		if overLimit <= 0 && !policy.Preemptible {
			continue
		}
		overLimit--
		release -= q.DominantFraction(t.demand)
		q.preemptTask(t)
	}
}

// stoppingTasks returns the number of tasks being stopped and the resources
// that they still occupy.
func (q *Queue) stoppingTasks() (count int64, reserved resource.Vector) {
	for _, t := range q.tasks {
		if t.state == TaskStopping {
			count++
			reserved = reserved.Add(t.demand)
		}
	}
	return count, reserved
}

// preemptionCandidates lists the running tasks that may be stopped without loss:
// preemptible tasks first, then the most recently started. Non-idempotent tasks
// are excluded because they cannot be restarted.
func (q *Queue) preemptionCandidates() (list []*task) {
	for _, t := range q.tasks {
		policy := t.job.record.Policy
		if t.state == TaskRunning && policy.Idempotent && !t.job.record.Cancelled {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		pa, pb := a.job.record.Policy.Preemptible, b.job.record.Policy.Preemptible
		switch {
		case pa && !pb:
			return -1
		case pb && !pa:
			return 1
		}
		if c := b.startedAt.Compare(a.startedAt); c != 0 {
			return c
		}
		return cmp.Compare(b.id, a.id)
	})
	return list
}

// preemptTask stops a running task; it becomes pending again once it has ended.
func (q *Queue) preemptTask(t *task) {
	event.TaskPreempted.Log(q.Log).Str("task", t.id).Str("worker", t.worker).Send()
	q.addHistory(t.job, "task %d: attempt %s is checkpointed and stopped for the team's limit or share", t.index, t.id)
	q.setState(t, TaskStopping)
	q.stop(t)
}

// preemptibleResources returns the resources of the team's running tasks that
// are both preemptible and idempotent.
func (q *Queue) preemptibleResources() (reserved resource.Vector) {
	for _, t := range q.tasks {
		if t.state == TaskRunning && t.job.record.Policy.Preemptible && t.job.record.Policy.Idempotent {
			reserved = reserved.Add(t.demand)
		}
	}
	return reserved
}

// stopRequest builds the request to stop one attempt. A checkpoint is requested
// if the task is preemptible and its job is not cancelled, because the task then
// resumes later.
func (q *Queue) stopRequest(t *task) rack.TaskRequest {
	return rack.TaskRequest{
		Shard: t.shard, Team: q.Team, TeamEpoch: q.Epoch, Tasks: []rack.TaskSpec{{ID: t.id}},
		Checkpoint: t.job.record.Policy.Preemptible && !t.job.record.Cancelled,
	}
}
