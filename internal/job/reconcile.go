package job

import (
	"time"

	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/worker"
)

// reconcileInterval is the interval between two reconciliations with a rack whose
// owner has not changed.
const reconcileInterval = 30 * time.Second

// rackMissingTimeout is the time for which a rack must be missing from the cell
// before its tasks count as ended. It exceeds the default lag of the host list.
const rackMissingTimeout = 15 * time.Second

// reconcile queries racks for the tasks that they still run. A rack with a new
// owner is queried without waiting for reconcileInterval, because the new owner
// has no record of tasks whose worker was removed during the change of ownership.
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

// checkMissing ends a task whose rack has been missing from the cell for longer
// than rackMissingTimeout.
func (q *Queue) checkMissing(t *task, now time.Time) {
	switch {
	case t.missingSince.IsZero():
		t.missingSince = now
	case now.Sub(t.missingSince) > rackMissingTimeout:
		q.endLostAttempt(t, now)
	}
}

// endLostAttempt treats an attempt that its rack no longer lists as ended by the
// expiry of its lease.
func (q *Queue) endLostAttempt(t *task, now time.Time) {
	q.addHistory(t.job, "task %d: rack %s does not know attempt %s any more", t.index, t.shard, t.id)
	q.applyEnded(t, rack.EndedTask{ID: t.id, Job: t.job.record.ID, Index: t.index, Worker: t.worker, State: worker.StateLeaseExpired}, now)
}

// reconcileRack ends the attempts that a complete report of their rack does not
// list. Attempts that started after the request was sent are skipped, because
// the report may not include them yet.
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
