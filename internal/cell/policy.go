package cell

import (
	"math"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// unknownPolicy applies to jobs of which no policy is known. No worker offers its service
// and no number of failures reaches its attempts, so nothing of such a job is started or
// abandoned until its queue is in the tables.
var unknownPolicy = &work.Policy{Attempts: math.MaxInt}

// applyPolicy updates the policy of an open job from the tables. While the tables lack its
// queue, the last known policy stays in force. A changed policy is saved with the job's
// progress, because a successor may not find the queue in the tables any more. The first
// policy of a job that was stored without one is saved with its next progress.
func (o *Owner) applyPolicy(j *job) {
	if j.finished() {
		return
	}
	current := o.Tables().Policy(j.spec.Queue, j.spec.Team, j.policy)
	if current == nil || current.Equal(j.policy) {
		return
	}
	if j.policy != unknownPolicy {
		o.markDirty(j)
	}
	j.policy = current
	for _, t := range j.tasks {
		if t.attemptsUsedUp() {
			o.abandonJob(t, "")
			return
		}
	}
}

// storedPolicy returns the policy for the job's progress record: nil if it equals the one
// that is stored with the job.
func (j *job) storedPolicy() *work.Policy {
	if j.policy == unknownPolicy || j.policy.Equal(j.spec.Policy) {
		return nil
	}
	return j.policy
}

// attemptsUsedUp reports whether the task has failed too often to be started again.
func (t *task) attemptsUsedUp() bool {
	return !t.done && !t.step.spec.LongRunning && len(*t.countedFailures()) >= max(t.step.job.policy.Attempts, 1)
}

// abandonJob ends a job one of whose tasks has used up its attempts. The worker is that of
// the last failed run, if known.
func (o *Owner) abandonJob(t *task, worker string) {
	j := t.step.job
	event.CellJobAbandoned.Log(o.Log).Str("job", j.spec.ID).Str("task", t.ref().String()).Int("failures", len(*t.countedFailures())).
		Int("attempts", j.policy.Attempts).Str("worker", worker).Send()
	o.stopJobRuns(j, "job given up")
	o.endJob(j, work.StateFailed)
}

// teamMaximum returns the maximum resources of the job's team. If the tables lack the
// team, the last known maximum stays in force.
func (o *Owner) teamMaximum(j *job) resource.Vector {
	if team, ok := o.Tables().Teams[j.spec.Team]; ok {
		return team.Maximum
	}
	return j.policy.Maximum
}
