package cell

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

type job struct {
	spec      *work.Job
	queue     work.Queue // last policy seen; a route may be withdrawn while its jobs run
	steps     []*step    // of all occurrences
	tasks     []*task    // by number
	left      int        // tasks not done
	begun     bool
	cancelled bool
	restored  bool // a former owner may have started its tasks
	state     work.State
	endedAt   time.Duration // time of day
	excess    bool          // beyond the team's rate

	revision int64 // of the progress record
	version  int64 // grows with each change of the progress
	saved    int64 // version known to be in the store
	saving   bool
	retryAt  time.Duration
	recordAt time.Duration // until when a change has to be recorded
	waits    waits         // of its steps
	chain    time.Duration // longest chain of estimated work
}

// step is a step in one occurrence.
type step struct {
	job        *job
	spec       *work.Step
	number     int
	occurrence int
	before     []*step
	tasks      []*task
	done       int
	running    int     // tasks with a run
	copies     int     // tasks that want one more run beside theirs
	failed     []int64 // runs of the whole gang that failed
	advice     advice
	startedAt  time.Duration // when the first task was ordered
	doneAt     time.Duration // time of day at which a task was last done
	round      int           // of passes over all steps in which it was looked at last
	remaining  time.Duration // longest chain of estimated work from the step on
	waiting    WaitReason    // why it has tasks that do not run
	waitSince  time.Duration // since when for this reason
}

type task struct {
	step       *step
	number     int // over all occurrences and steps
	index      int
	done       bool
	failed     []int64 // runs that failed; of a long-running task the last ones
	run        int64   // highest run number used
	checkpoint string
	runs       []*run
	retryAt    time.Duration
	avoid      []string      // workers on which it failed or was slow
	took       time.Duration // of the run that is done, if it did the whole work
	doneOn     string        // worker of that run
	moved      int           // times that a run was too slow and replaced
	copyWanted bool          // one more run is wanted beside the present one
	lastAway   time.Duration
}

func (t *task) ref() work.TaskRef {
	return work.TaskRef{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index}
}

// waiting reports whether the task could be started now.
func (t *task) waiting(now time.Duration) bool {
	return !t.done && (len(t.runs) == 0 || t.copyWanted && len(t.runs) == 1) && now >= t.retryAt
}

func newJob(spec *work.Job) *job {
	j := &job{spec: spec, chain: chainOf(spec, -1)}
	for occurrence := range spec.Occurrences() {
		first := len(j.steps)
		for i := range spec.Steps {
			s := &step{job: j, spec: &spec.Steps[i], number: i, occurrence: occurrence}
			if occurrence == 0 {
				s.remaining = chainOf(spec, i)
			} else {
				s.remaining = j.steps[i].remaining
			}
			for _, before := range s.spec.After {
				s.before = append(s.before, j.steps[first+before])
			}
			for index := range s.spec.Count {
				t := &task{step: s, number: len(j.tasks), index: index}
				s.tasks = append(s.tasks, t)
				j.tasks = append(j.tasks, t)
			}
			j.steps = append(j.steps, s)
		}
	}
	j.left = len(j.tasks)
	return j
}

// find returns the task called ref, or nil.
func (j *job) find(ref work.TaskRef) *task {
	if ref.Occurrence < 0 || ref.Step < 0 || ref.Step >= len(j.spec.Steps) {
		return nil
	}
	i := ref.Occurrence*len(j.spec.Steps) + ref.Step
	if i >= len(j.steps) || ref.Index < 0 || ref.Index >= len(j.steps[i].tasks) {
		return nil
	}
	return j.steps[i].tasks[ref.Index]
}

// shown returns the state that callers may see. A final state is shown only
// once it is recorded, so that no successor can take it back.
func (j *job) shown() work.State {
	switch {
	case j.cancelled:
		return work.StateCancelled
	case j.state.Terminal():
		if j.saved < j.version {
			return work.StateRunning
		}
		return j.state
	case j.begun:
		return work.StateRunning
	}
	return work.StateQueued
}

// over reports whether nothing of the job may be started.
func (j *job) over() bool { return j.cancelled || j.state.Terminal() }

// open reports whether the step's predecessors have ended and its time has come.
func (s *step) open(wall time.Duration) bool {
	if due := s.job.spec.Due(s.occurrence); due > 0 && wall < due {
		return false
	}
	for _, before := range s.before {
		if before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// ready returns the time of day from which the step could run.
func (s *step) ready() (at time.Duration) {
	at = max(s.job.spec.Accepted, s.job.spec.Due(s.occurrence))
	for _, before := range s.before {
		at = max(at, before.doneAt)
	}
	return at
}

// Accept takes in a job that is in the store. A job that is known already is
// left as it is.
func (o *Owner) Accept(spec *work.Job) {
	if _, ok := o.jobs[spec.ID]; ok {
		return
	}
	j := newJob(spec)
	o.addJob(j)
	o.countRate(j)
	event.CellJobAccepted.Log(o.Log).Str("job", spec.ID).Str("queue", spec.Queue).Str("team", spec.Team).
		Int("tasks", len(j.tasks)).Bool("excess", j.excess).Send()
}

func (o *Owner) countRate(j *job) {
	team, ok := o.Tables().Teams[j.spec.Team]
	if !ok || team.Weight <= 0 {
		return
	}
	rate := o.rates[team.Name]
	if rate == nil {
		rate = &sched.Allowance{}
		o.rates[team.Name] = rate
	}
	j.excess = !rate.Take(o.Now(), team.Weight)
}

func (o *Owner) addJob(j *job) {
	if q := o.Tables().Queue(j.spec.Queue); q != nil {
		j.queue = *q
	}
	o.jobs[j.spec.ID] = j
	if !j.over() {
		o.active = append(o.active, j)
	}
	o.changed = true
}

// Cancel stops a job whose cancellation is in the store.
func (o *Owner) Cancel(id string) {
	j, ok := o.jobs[id]
	if !ok || j.cancelled || j.state.Terminal() {
		return
	}
	j.cancelled = true
	event.CellJobCancelled.Log(o.Log).Str("job", id).Str("state", string(j.state)).Send()
	o.stopAll(j, "cancelled")
	o.end(j, work.StateCancelled)
}

// stopAll ends all runs of a job.
func (o *Owner) stopAll(j *job, reason string) {
	for _, t := range j.tasks {
		for _, r := range slices.Clone(t.runs) {
			o.stopRun(r, reason)
		}
	}
}

func (o *Owner) end(j *job, state work.State) {
	j.state = state
	j.endedAt = o.WallClock()
	o.active = slices.DeleteFunc(o.active, func(other *job) bool { return other == j })
	for _, s := range j.steps {
		o.waitFor(s, ReasonNone, o.Now())
	}
	o.record(j, recordSoon)
	event.CellJobEnded.Log(o.Log).Str("job", j.spec.ID).Str("queue", j.spec.Queue).Str("state", string(state)).
		Dur("age", j.endedAt-j.spec.Accepted).Dur("allowed", o.deadline(j, 0)-j.spec.Accepted).Object("waited", &j.waits).Send()
	o.OnJobEnded(j.spec.Queue, state, j.endedAt-j.spec.Accepted)
}

// taskDone takes note that a task has ended as done.
func (o *Owner) taskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.dropCopy()
	s := t.step
	s.done++
	s.doneAt = o.WallClock()
	s.job.left--
	if s.job.left == 0 && !s.job.over() {
		o.end(s.job, work.StateCompleted)
	}
	o.changed = true
}

// failedRuns returns where the failures of a task are counted: a gang fails as
// a whole.
func (t *task) failedRuns() *[]int64 {
	if t.step.spec.Gang {
		return &t.step.failed
	}
	return &t.failed
}

// failuresKept bounds the failures that are remembered of a long-running task.
const failuresKept = 8

// taskFailed counts a failure and gives the job up when the budget is used. An
// end that is listed again, as to a new owner, is counted once.
func (o *Owner) taskFailed(t *task, number int64, worker string) {
	j := t.step.job
	failed := t.failedRuns()
	if slices.Contains(*failed, number) {
		return
	}
	*failed = append(*failed, number)
	if t.step.spec.LongRunning && len(*failed) > failuresKept {
		*failed = (*failed)[1:]
	}
	t.avoidWorker(worker)
	t.retryAt = o.Now() + retryDelay(len(*failed))
	if t.step.spec.LongRunning || j.over() || len(*failed) < max(j.queue.Attempts, 1) {
		return
	}
	event.CellJobAbandoned.Log(o.Log).Str("job", j.spec.ID).Str("task", t.ref().String()).Int("failures", len(*failed)).
		Str("worker", worker).Send()
	o.stopAll(j, "job given up")
	o.end(j, work.StateFailed)
}

// retryDelay keeps a task that fails at once from being started in a loop.
func retryDelay(failures int) time.Duration {
	const (
		first = 20 * time.Millisecond
		most  = time.Second
	)
	return min(first<<min(failures, 6), most)
}

// scanJobs notices due times, policies that changed and records to be dropped.
func (o *Owner) scanJobs(now time.Duration) {
	if tables := o.Tables(); tables != o.policies {
		o.policies = tables
		for _, j := range o.active {
			if q := tables.Queue(j.spec.Queue); q != nil {
				j.queue = *q
			}
		}
	}
	o.changed = true
	if now < o.nextForget {
		return
	}
	o.nextForget = now + forgetPeriod
	var old []string
	for _, j := range o.jobs {
		if j.state.Terminal() && j.saved >= j.version && !j.saving && o.WallClock()-j.endedAt > o.Bounds.Retention && o.idleJob(j) {
			old = append(old, j.spec.ID)
		}
	}
	if len(old) > 0 && o.StoreUp() {
		o.forget(old)
	}
}

func (o *Owner) idleJob(j *job) bool {
	return !slices.ContainsFunc(j.tasks, func(t *task) bool { return len(t.runs) > 0 })
}

// forgetPeriod is the time between two removals of old records.
const forgetPeriod = time.Second

// forgetBatch bounds one removal, in jobs.
const forgetBatch = 8

func (o *Owner) forget(ids []string) {
	if len(ids) > forgetBatch {
		ids = ids[:forgetBatch]
	}
	o.DeleteJobs(ids, func(ok bool) {
		if !ok {
			return
		}
		for _, id := range ids {
			delete(o.jobs, id)
		}
	})
}

const (
	// troubleMemory is for how long trouble with the store makes a new owner
	// suspect that its predecessor started work without a record: the longest
	// lease of what it may have started.
	troubleMemory = 10 * time.Second
	// settleTime is how long a predecessor may go on starting work without a
	// record. A new owner waits for that and for the leases begun meanwhile,
	// unless all workers have answered under its fence.
	settleTime = confirmFor + startDeadline + leaseMargin
)

// StoredJob is what the store has of one job.
type StoredJob struct {
	Job       *work.Job
	Progress  *work.Progress // nil: none
	Revision  int64          // of Progress
	Cancelled bool
}

// Restore takes in what is stored, before anything else is called.
func (o *Owner) Restore(stored []StoredJob) {
	now := o.Now()
	o.opened = now
	o.troubled = o.StoreFailedRecently()
	if o.SinceStoreFailure() < troubleMemory {
		// The former owner may have started work without a record.
		o.settling = now + o.holdSpan() + settleTime
	}
	slices.SortFunc(stored, func(a, b StoredJob) int { return cmp.Compare(a.Job.Accepted, b.Job.Accepted) })
	for i := range stored {
		o.restoreOne(&stored[i])
	}
	event.CellRestored.Log(o.Log).Int64("epoch", o.Epoch).Int("jobs", len(o.jobs)).Int("open", len(o.active)).Send()
}

// restoreOne rebuilds a job. Runs that were ordered count as running on their
// worker until the worker has told otherwise or must have let go.
func (o *Owner) restoreOne(st *StoredJob) {
	if _, ok := o.jobs[st.Job.ID]; ok {
		return
	}
	j := newJob(st.Job)
	j.revision = st.Revision
	j.cancelled, j.restored = st.Cancelled, true
	if p := st.Progress; p != nil {
		j.begun = p.Started
		j.state = p.State
		j.endedAt = time.Duration(p.Ended) * time.Millisecond
		for i := range p.Tasks {
			o.restoreTask(j, &p.Tasks[i])
		}
	}
	for _, s := range j.steps {
		s.restoreCounts()
	}
	if j.cancelled && !j.state.Terminal() {
		j.state = work.StateCancelled
		j.endedAt = o.WallClock()
		o.touch(j)
	}
	// Jobs of all ages come at once here: they say nothing of a team's rate.
	o.addJob(j)
}

func (s *step) restoreCounts() {
	for _, t := range s.tasks {
		if t.done {
			s.done++
		}
		if s.spec.Gang && len(t.failed) > len(s.failed) {
			s.failed = t.failed
		}
	}
}

func (o *Owner) restoreTask(j *job, row *work.TaskProgress) {
	if row.Number < 0 || row.Number >= len(j.tasks) {
		return
	}
	t := j.tasks[row.Number]
	t.run, t.done, t.failed, t.checkpoint = row.Run, row.Done, row.Failed, row.Checkpoint
	if t.done {
		j.left--
	}
	for _, a := range row.Runs {
		n := o.node(a.Worker)
		r := &run{task: t, node: n, number: a.Run, state: runInherited, born: a.Born}
		o.attach(r)
	}
}
