package job

import (
	"time"

	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/worker"
)

// reconcilePeriod is the time between two comparisons with a rack whose owner
// has not changed.
const reconcileInterval = 30 * time.Second

// rackGone is for how long the cell must lack a rack before its tasks count as
// ended: longer than the host list lags.
const rackMissingTimeout = 15 * time.Second

// reconcile asks racks which tasks they still run, at once when a rack has
// changed owner: the new one does not know of tasks whose worker was dropped in
// between.
func (q *Queue) reconcile(now time.Time) {
	if now.Before(q.nextReconcile) {
		return
	}
	q.nextReconcile = now.Add(reportRetryInterval)
	known := map[shard.ID]bool{}
	for _, id := range q.AllRacks() {
		known[id] = true
	}
	for _, t := range q.tasks {
		switch {
		case t.state != TaskRunning && t.state != TaskStopping:
		case !known[t.shard]:
			q.checkMissing(t, now)
		case t.epoch != q.RackEpoch(t.shard) && now.Sub(q.lastReportQuery[t.shard]) >= reportRetryInterval,
			now.Sub(q.lastReportQuery[t.shard]) >= reconcileInterval:
			q.lastReportQuery[t.shard] = now
			q.reconcileRack(t.shard, now)
		}
	}
}

// noteMissing ends a task whose rack the cell has lacked for long.
func (q *Queue) checkMissing(t *task, now time.Time) {
	switch {
	case t.missingSince.IsZero():
		t.missingSince = now
	case now.Sub(t.missingSince) > rackMissingTimeout:
		q.endLostAttempt(t, now)
	}
}

func (q *Queue) endLostAttempt(t *task, now time.Time) {
	q.addHistory(t.job, "task %d: rack %s does not know attempt %s any more", t.index, t.shard, t.id)
	q.applyEnded(t, rack.EndedTask{ID: t.id, Job: t.job.record.ID, Index: t.index, Worker: t.worker, State: worker.StateLeaseExpired}, now)
}

func (q *Queue) reconcileRack(id shard.ID, sentAt time.Time) {
	req := rack.ReportRequest{Shard: id, Team: q.Team, TeamEpoch: q.Epoch}
	q.Report(req, func(report rack.Report, err error) {
		if err != nil || report.NotOwner || !report.Complete {
			return
		}
		listed := map[string]bool{}
		for _, row := range report.Tasks {
			listed[row.ID] = true
		}
		for _, t := range q.tasks {
			if t.shard != id || t.state != TaskRunning && t.state != TaskStopping || !t.startedAt.Before(sentAt) {
				continue
			}
			if listed[t.id] {
				t.epoch = report.Epoch
				continue
			}
			q.endLostAttempt(t, q.Now())
		}
	})
}
