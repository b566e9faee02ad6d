package cell

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// StoredJob is the stored data of one job.
type StoredJob struct {
	Job       *work.Job
	Progress  *work.Progress // nil if there is none
	Revision  int64          // of Progress
	Cancelled bool
}

// DropDetails removes what is not needed of a job that has ended, unless one of its runs
// may still be on its worker.
func (st *StoredJob) DropDetails() {
	p := st.Progress
	if p == nil || !p.State.Terminal() || slices.ContainsFunc(p.Tasks, func(row work.TaskProgress) bool { return len(row.Runs) > 0 }) {
		return
	}
	st.Job = endedJob(st.Job)
	st.Progress = &work.Progress{State: p.State, Ended: p.Ended, Begun: p.Begun}
}

// Restore applies the stored jobs. Call it before any other method.
func (o *Owner) Restore(stored []StoredJob) {
	now := o.Now()
	o.startedAt = now
	if o.Predecessor != PredecessorRecorded {
		o.resolveUntil = now + o.takeoverSpan()
	}
	if o.PredecessorAlive {
		o.awaitPredecessor(now)
	}
	slices.SortFunc(stored, func(a, b StoredJob) int { return cmp.Compare(a.Job.Accepted, b.Job.Accepted) })
	for i := range stored {
		o.restoreJob(&stored[i])
	}
	event.CellRestored.Log(o.Log).Int64("epoch", o.Epoch).Int("jobs", len(o.jobs)).Int("open", len(o.active)).
		Stringer("predecessor", o.Predecessor).Bool("alive", o.PredecessorAlive).Dur("resolve", max(o.resolveUntil-now, 0)).Send()
}

// restoreJob rebuilds a job. Recorded runs count as running on their worker until
// the worker reports otherwise or its lease must have expired.
func (o *Owner) restoreJob(st *StoredJob) {
	if _, ok := o.jobs[st.Job.ID]; ok {
		return
	}
	j := newJob(st.Job)
	j.revision = st.Revision
	j.restored = true
	if p := st.Progress; p != nil {
		j.begun = p.HasBegun()
		j.policy = cmp.Or(p.Policy, j.policy)
		j.state = p.State
		j.endedAt = time.Duration(p.Ended) * time.Millisecond
		for i := range p.Tasks {
			o.restoreTask(j, &p.Tasks[i])
		}
	}
	for _, s := range j.steps {
		s.restoreCounts()
	}
	if st.Cancelled && !j.state.Terminal() {
		// A cancellation after the end of a job has no effect.
		j.cancelled = true
		j.state = work.StateCancelled
		j.endedAt = o.WallClock()
		o.markDirty(j)
	}
	// Jobs of all ages are restored together, so this must not count towards the
	// team's rate.
	o.addJob(j)
}

// restoreCounts derives the counts of the step from its restored tasks. The failures
// of a gang are recorded with each task; the longest list is used.
func (s *step) restoreCounts() {
	for _, t := range s.tasks {
		if t.done {
			s.tasksDone++
		}
		if s.spec.Gang && len(t.failedRuns) > len(s.failedRuns) {
			s.failedRuns = t.failedRuns
		}
	}
}

// restoreTask applies the recorded progress of one task and attaches its recorded
// runs.
func (o *Owner) restoreTask(j *job, row *work.TaskProgress) {
	if row.Number < 0 || row.Number >= len(j.tasks) {
		return
	}
	t := j.tasks[row.Number]
	t.lastRun, t.done, t.failedRuns, t.checkpoint = row.Run, row.Done, row.Failed, row.Checkpoint
	if t.done {
		j.tasksLeft--
	}
	for _, a := range row.Runs {
		n := o.node(a.Worker)
		r := &run{task: t, node: n, number: a.Run, state: runInherited, incarnation: a.Born}
		o.adopt(r)
	}
}
