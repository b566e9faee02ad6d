package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/backlog"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// job is an accepted job with its tasks and the state of its progress record.
type job struct {
	spec      *work.Job
	policy    *work.Policy // last known policy; unknownPolicy if there is none
	steps     []*step      // of all occurrences
	tasks     []*task      // by number
	tasksLeft int          // tasks that are not done
	begun     bool         // a worker has confirmed, listed or ended a run of one of its tasks
	runs      int          // of its tasks, in any state
	cancelled bool
	restored  bool // a former owner may have started its tasks
	state     work.State
	endedAt   time.Duration // time of day
	overRate  bool          // over the team's rate
	work      float64       // estimated core-seconds of one occurrence
	bytes     int64         // counted in the ledger

	revision     int64 // of the progress record
	version      int64 // incremented with each change of the progress
	savedVersion int64 // last version known to be in the store
	saving       bool
	saveRetryAt  time.Duration
	saveDueAt    time.Duration // when a pending change has to be saved
	waitTimes    waitTimes     // of its steps, by reason
	criticalPath time.Duration // longest chain of estimated work
	delayLogged  Delay         // last reason for a delay that was logged
}

// step is one step of a job in one occurrence.
type step struct {
	job            *job
	spec           *work.Step
	number         int
	occurrence     int
	tasks          []*task
	tasksDone      int
	tasksRunning   int     // tasks that have a run
	copiesWanted   int     // tasks that wait for a speculative copy
	failedRuns     []int64 // failed runs of the whole gang
	advice         advice
	rank           sched.Rank     // in the last scheduling pass
	delay          Delay          // by the last plan
	turn           bool           // the same: its job is the next of a team that uses little
	reservations   []*reservation // capacity kept for its tasks
	reservedAt     time.Duration  // when the workers for reservations were last chosen
	predictedStart time.Duration  // predicted start of a gang with reservations
	missedStarts   int            // predictions that proved wrong
	startedAt      time.Duration  // when the first start was sent
	lastTaskDoneAt time.Duration  // time of day at which a task was last done
	observed       int            // tasks whose run time was observed
	observations   []observation  // of these, those from which nothing was learned yet
	speedsLearned  bool           // something was learned from earlier ones
	sweep          int            // last sweep in which the step was checked
	chain          int            // steps that follow each other from this one on; 0: not counted yet
	jobChain       int            // the same for the whole job
	remainingPath  time.Duration  // longest chain of estimated work from this step on
	waitReason     WaitReason     // why tasks of the step wait
	waitSince      time.Duration  // since when for this reason
	waitLoggedAt   time.Duration  // when a reason was last logged, or when the step began to wait
	waitLogged     bool           // the present reason was logged
}

// task is one task of a step in one occurrence.
type task struct {
	step           *step
	number         int // over all occurrences and steps
	index          int
	done           bool
	failedRuns     []int64 // failed runs; only the last ones for a long-running task
	lastRun        int64   // highest run number used
	checkpoint     string
	savedAt        time.Duration // when this owner first observed the checkpoint; 0: it has observed none
	runs           []*run
	retryAt        time.Duration
	avoidedWorkers []string      // workers on which it failed or was slow
	runTime        time.Duration // of the run that was done, if it did the whole work
	doneOn         *node         // worker of that run
	observed       bool          // the run time of a run was observed
	restarts       int           // times that a slow run was restarted elsewhere
	stalls         int           // times that one of them made no progress
	copyState
	lastDetachedAt time.Duration
	preemptions    int   // times that a run was stopped for work of a higher priority
	failedOn       *node // worker on which it has failed; nil: none
	failedOnSound  bool  // a run of another task was done there since
	atFault        bool  // it fails wherever it runs
}

func (t *task) ref() work.TaskRef {
	return work.TaskRef{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

// startable reports whether the task could be started now.
func (t *task) startable(now time.Duration) bool {
	return !t.done && (len(t.runs) == 0 || t.copyWanted && len(t.runs) == 1) && now >= t.retryAt
}

// newJob builds a job with the steps and tasks of all its occurrences, without any
// progress.
func newJob(spec *work.Job) *job {
	j := &job{spec: spec, policy: cmp.Or(spec.Policy, unknownPolicy), criticalPath: criticalPathFrom(spec, -1), work: jobWork(spec)}
	j.steps = make([]*step, 0, spec.Occurrences()*len(spec.Steps))
	j.tasks = make([]*task, 0, spec.Occurrences()*spec.TasksPerOccurrence())
	for occurrence := range spec.Occurrences() {
		for i := range spec.Steps {
			s := &step{job: j, spec: &spec.Steps[i], number: i, occurrence: occurrence}
			if occurrence == 0 {
				s.remainingPath = criticalPathFrom(spec, i)
			} else {
				s.remainingPath = j.steps[i].remainingPath
			}
			s.tasks = make([]*task, 0, s.spec.Count)
			for index := range s.spec.Count {
				t := &task{step: s, number: len(j.tasks), index: index}
				s.tasks = append(s.tasks, t)
				j.tasks = append(j.tasks, t)
			}
			j.steps = append(j.steps, s)
		}
	}
	j.tasksLeft = len(j.tasks)
	return j
}

// findTask returns the task that ref names, or nil.
func (j *job) findTask(ref work.TaskRef) *task {
	if ref.Occurrence < 0 || ref.Step < 0 || ref.Step >= len(j.spec.Steps) {
		return nil
	}
	i := ref.Occurrence*len(j.spec.Steps) + ref.Step
	if i >= len(j.steps) || ref.Index < 0 || ref.Index >= len(j.steps[i].tasks) {
		return nil
	}
	return j.steps[i].tasks[ref.Index]
}

// visibleState returns the state that is shown to callers. A terminal state is
// shown only once it is saved, so that no successor can undo it. A cancellation is in
// the store before the owner receives it.
func (j *job) visibleState() work.State {
	switch {
	case j.cancelled:
		return work.StateCancelled
	case j.state.Terminal():
		if j.savedVersion < j.version {
			return work.StateRunning
		}
		return j.state
	case j.begun || j.mayHaveBegun():
		return work.StateRunning
	}
	return work.StateQueued
}

// started reports whether a task of the job has begun, or has a run that may still begin.
func (j *job) started() bool { return j.begun || j.runs > 0 }

// mayHaveBegun reports whether a start of one of the job's tasks is not confirmed and may have
// been executed.
func (j *job) mayHaveBegun() bool {
	return j.runs > 0 && slices.ContainsFunc(j.tasks, func(t *task) bool {
		return slices.ContainsFunc(t.runs, func(r *run) bool { return r.state != runPlanned })
	})
}

// finished reports whether no further task of the job may be started.
func (j *job) finished() bool { return j.cancelled || j.state.Terminal() }

// predecessor returns the step that entry i of After names, in the same occurrence.
func (s *step) predecessor(i int) *step {
	return s.job.steps[s.occurrence*len(s.job.spec.Steps)+s.spec.After[i]]
}

// runnable reports whether the predecessors of the step are done and its due time
// has passed.
func (s *step) runnable(wall time.Duration) bool {
	if due := s.job.spec.Due(s.occurrence); due > 0 && wall < due {
		return false
	}
	for i := range s.spec.After {
		if before := s.predecessor(i); before.tasksDone < len(before.tasks) {
			return false
		}
	}
	return true
}

// runnableSince returns the time of day from which the step could run.
func (s *step) runnableSince() (at time.Duration) {
	at = max(s.job.spec.Accepted, s.job.spec.Due(s.occurrence))
	for i := range s.spec.After {
		at = max(at, s.predecessor(i).lastTaskDoneAt)
	}
	return at
}

// Accept adds a job that is in the store. A job that is already known is left
// unchanged. A job that was deleted recently is ignored: the caller has read it before.
func (o *Owner) Accept(spec *work.Job) {
	if _, ok := o.jobs[spec.ID]; ok {
		return
	}
	if d, ok := o.deleted[spec.ID]; ok && d.accepted == spec.Accepted {
		return
	}
	j := newJob(spec)
	o.addJob(j)
	o.applyTeamRate(j)
	o.recordArrival(j)
	event.CellJobAccepted.Log(o.Log).Str("job", spec.ID).Str("queue", spec.Queue).Str("team", spec.Team).
		Int("tasks", len(j.tasks)).Bool("excess", j.overRate).
		Bool("lasting", slices.ContainsFunc(j.steps, func(s *step) bool { return s.spec.LongRunning })).Send()
	if _, ok := o.earlyCancels[spec.ID]; ok {
		delete(o.earlyCancels, spec.ID)
		o.Cancel(spec.ID)
	}
}

// applyTeamRate takes a token from the bucket of the job's team and marks the job if
// there is none.
func (o *Owner) applyTeamRate(j *job) {
	team, ok := o.Tables().Teams[j.spec.Team]
	if !ok || team.Weight <= 0 {
		return
	}
	bucket := o.tokenBuckets[team.Name]
	if bucket == nil {
		bucket = &sched.TokenBucket{}
		o.tokenBuckets[team.Name] = bucket
	}
	j.overRate = !bucket.Take(o.Now(), team.Weight)
}

func (o *Owner) addJob(j *job) {
	o.jobs[j.spec.ID] = j
	o.countJob(j)
	if j.work > 0 {
		o.meanWork.of(j.spec.Queue).observe(j.work)
	}
	if !j.finished() {
		o.active = append(o.active, j)
	}
	o.applyPolicy(j)
	o.passDue = true
}

// Cancel stops a job whose cancellation is in the store. A job that is not known yet is stopped
// when it is accepted, because hosts notify the owner of a job and of its cancellation
// independently. It returns false if too many cancellations wait for their jobs.
func (o *Owner) Cancel(id string) (recorded bool) {
	j, ok := o.jobs[id]
	if !ok {
		return o.recordEarlyCancel(id)
	}
	if j.cancelled || j.state.Terminal() {
		return true
	}
	j.cancelled = true
	event.CellJobCancelled.Log(o.Log).Str("job", id).Str("state", string(j.state)).Send()
	o.stopJobRuns(j, "cancelled")
	o.endJob(j, work.StateCancelled)
	return true
}

const (
	// earlyCancelMemory is how long a cancellation waits for its job. The watch on jobs, which
	// finds both, may have been silent for some seconds.
	earlyCancelMemory = 30 * time.Second
	// maxEarlyCancels bounds them, at some 100 bytes each.
	maxEarlyCancels = 4096
)

// recordEarlyCancel records the cancellation of a job that is not known yet.
func (o *Owner) recordEarlyCancel(id string) (recorded bool) {
	if _, ok := o.earlyCancels[id]; !ok && len(o.earlyCancels) >= maxEarlyCancels {
		return false
	}
	o.earlyCancels[id] = o.Now()
	return true
}

// stopJobRuns stops all runs of a job.
func (o *Owner) stopJobRuns(j *job, reason string) {
	for _, t := range j.tasks {
		for _, r := range slices.Clone(t.runs) {
			o.stopRun(r, reason)
		}
	}
}

// endJob sets the terminal state of a job and has it saved soon. It does not stop the
// runs of the job.
func (o *Owner) endJob(j *job, state work.State) {
	j.state = state
	j.endedAt = o.WallClock()
	o.active = slices.DeleteFunc(o.active, func(other *job) bool { return other == j })
	for _, s := range j.steps {
		o.setWaitReason(s, ReasonNone, o.Now())
	}
	o.markDirtyWithin(j, urgentSaveDelay)
	event.CellJobEnded.Log(o.Log).Str("job", j.spec.ID).Str("queue", j.spec.Queue).Str("state", string(state)).
		Dur("age", j.endedAt-j.spec.Accepted).Dur("allowed", o.deadline(j, 0)-j.spec.Accepted).Object("waited", &j.waitTimes).Send()
	o.OnJobEnded(j.spec.Queue, state, j.endedAt-j.spec.Accepted)
}

// completeTask marks a task as done, and ends the job if it was the last one.
func (o *Owner) completeTask(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.cancelCopy()
	s := t.step
	s.tasksDone++
	s.lastTaskDoneAt = o.WallClock()
	s.job.tasksLeft--
	o.recordLongestRun(s)
	if s.job.tasksLeft == 0 && !s.job.finished() {
		o.endJob(s.job, work.StateCompleted)
	}
	o.passDue = true
}

// countedFailures returns the list in which failures of the task are counted. A
// gang fails as a whole, so its tasks share one list.
func (t *task) countedFailures() *[]int64 {
	if t.step.spec.Gang {
		return &t.step.failedRuns
	}
	return &t.failedRuns
}

// maxFailuresKept bounds the failures that are kept of a long-running task.
const maxFailuresKept = 8

// recordTaskFailure counts a failure and abandons the job if its attempts are used
// up. An end that is listed again, for example to a new owner, is counted once.
func (o *Owner) recordTaskFailure(t *task, number int64, worker string) {
	failed := t.countedFailures()
	if slices.Contains(*failed, number) {
		return
	}
	*failed = append(*failed, number)
	if t.step.spec.LongRunning && len(*failed) > maxFailuresKept {
		*failed = (*failed)[1:]
	}
	t.avoidWorker(worker)
	t.retryAt = o.Now() + retryDelay(len(*failed))
	if !t.step.job.finished() && t.attemptsUsedUp() {
		o.abandonJob(t, worker)
	}
}

// retryDelay returns the backoff that keeps a task that fails immediately from
// being restarted in a tight loop.
func retryDelay(failures int) time.Duration {
	const (
		initial = 20 * time.Millisecond
		longest = time.Second
	)
	return min(initial<<min(failures, 6), longest)
}

// scanJobs applies changed queue policies, triggers a pass for due times, and
// deletes old records.
func (o *Owner) scanJobs(now time.Duration) {
	if tables := o.Tables(); tables != o.queueTables {
		o.queueTables = tables
		for _, j := range slices.Clone(o.active) {
			o.applyPolicy(j)
		}
	}
	o.passDue = true
	if now < o.nextDelete || o.deleting {
		return
	}
	o.nextDelete = now + deleteInterval
	maps.DeleteFunc(o.deleted, func(_ string, d deletedJob) bool { return now-d.at > deletedMemory })
	maps.DeleteFunc(o.earlyCancels, func(_ string, at time.Duration) bool { return now-at > earlyCancelMemory })
	for _, j := range o.jobs {
		o.dropDetails(j)
	}
	if !o.StoreUp() {
		return
	}
	var old []string
	for _, j := range o.jobs {
		if j.state.Terminal() && j.savedVersion >= j.version && !j.saving && o.WallClock()-j.endedAt > o.Bounds.Retention && o.hasNoRuns(j) {
			if old = append(old, j.spec.ID); len(old) == maxDeletions {
				break
			}
		}
	}
	if len(old) > 0 {
		o.deleting = true
		o.deleteEnded(old)
	}
}

func (o *Owner) hasNoRuns(j *job) bool {
	return !slices.ContainsFunc(j.tasks, func(t *task) bool { return len(t.runs) > 0 })
}

const (
	// deleteInterval is the interval between two searches for old records.
	deleteInterval = time.Second
	// maxDeletions bounds the jobs that are deleted after one search. They have to be more
	// than can be submitted in deleteInterval, because the store must not grow.
	maxDeletions = 400
	// maxDeleteBatch bounds the number of jobs in one write: each has three keys, and a
	// write has at most 32 entries, one of which is the condition.
	maxDeleteBatch = 10
)

// deletedJob identifies a job that was deleted.
type deletedJob struct {
	accepted time.Duration // tells it from a later job with the same ID
	at       time.Duration // local time of the deletion
}

// deletedMemory is how long a deleted job is remembered. A listing that was read before
// the deletion is applied within this time.
const deletedMemory = 30 * time.Second

// deleteEnded deletes the stored data of jobs, one batch after the other. After a failure
// the rest is left for the next search.
func (o *Owner) deleteEnded(ids []string) {
	batch := ids[:min(len(ids), maxDeleteBatch)]
	o.DeleteJobs(batch, func(ok bool) {
		if ok {
			for _, id := range batch {
				if j := o.jobs[id]; j != nil {
					o.deleted[id] = deletedJob{accepted: j.spec.Accepted, at: o.Now()}
					o.ledger.Remove(backlog.AccountOf(j.spec), j.bytes)
					delete(o.jobs, id)
				}
			}
			ids = ids[len(batch):]
		}
		if !ok || len(ids) == 0 || o.ownershipLost {
			o.deleting = false
			return
		}
		o.deleteEnded(ids)
	})
}
