// Package job implements the queue of one team: it keeps the team's jobs in the
// store, decides which task runs next within the team's limit and fair share,
// and assigns it to a rack through the rack's owner.
//
// One process at a time owns a team's queue, by the same protocol as a rack, so
// the team's limit is enforced in one place and is never divided between
// processes. docs/design/limits.md compares this with dividing it.
//
// # Usage
//
//	q := &job.Queue{Team: "jerami", Epoch: epoch, MayStart: mayStart, ...}
//	q.Open(now) // load the jobs; Tick then recovers the running tasks
//	q.Submit(request, now, reply)
//	q.Tick(now)
//
// All methods run on the control goroutine.
package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
)

// Queue is the owner's state of one team's jobs.
type Queue struct {
	Team   string
	Epoch  int64
	Log    zerolog.Logger
	Checks *invariant.Checks
	// Now returns the current time; tests replace it.
	Now func() time.Time
	// MayStart reports whether this process may start the team's work at the
	// given time.
	MayStart func(now time.Time) bool
	// MayFinish reports whether the results of work already started may still
	// be written to the store.
	MayFinish func(now time.Time) bool
	// StoreFresh reports whether the store has responded recently.
	StoreFresh func(now time.Time) bool
	// Tables returns the current configuration.
	Tables func() *config.Tables
	// Hosts returns the workers in the host list.
	Hosts func() []hostlist.Host
	// Racks returns the latest summary of every rack.
	Racks func() []rack.Summary
	// AllRacks lists all racks of the cell.
	AllRacks func() []shard.ID
	// RackEpoch returns the epoch of a rack's current owner.
	RackEpoch func(id shard.ID) int64
	// WithinShare reports whether the team's fair share allows it to use more resources.
	WithinShare func(used, more resource.Vector, urgent bool) bool
	// ShareToRelease returns the fraction of the cell that the team must release.
	ShareToRelease func(used resource.Vector) float64
	// DominantFraction returns the largest fraction that v takes of any
	// resource of the cell.
	DominantFraction func(v resource.Vector) float64
	// Assign, StartReserved, Stop and Report call the owner of a rack.
	Assign        func(req rack.AssignRequest, done func(rack.Results, error))
	StartReserved func(req rack.TaskRequest, done func(rack.Results, error))
	Stop          func(req rack.TaskRequest, done func(rack.Results, error))
	Report        func(req rack.ReportRequest, done func(rack.Report, error))
	// Load reads all segments of the team; Save writes one segment.
	Load func(done func([]Segment, error))
	Save func(seg Segment, done func(SaveResult))

	loaded          bool // the segments have been loaded
	loading         bool // a Load call is in flight
	draining        bool
	jobs            map[string]*job
	activeJobs      []*job // jobs that have not ended, oldest first
	segments        map[int]*segment
	current         int // number of the segment that takes new jobs
	savesInFlight   int
	lastSave        time.Time
	tasks           map[string]*task // by ID of the current attempt
	attempts        int64            // attempts started by this owner
	callsInFlight   int              // calls in flight that may start work
	running         int64            // tasks that count against the team's limit
	used            resource.Vector
	plan            *plan
	reportedRacks   map[shard.ID]bool // racks that have reported completely since recovery began
	recovered       bool              // all racks have reported their tasks
	nextRecovery    time.Time
	nextReconcile   time.Time
	nextPreempt     time.Time
	lastReportQuery map[shard.ID]time.Time // time of the last reconciliation query to each rack
	waiters         map[string][]func(Reply)
}

// job is the owner's state of one job.
type job struct {
	record         Record
	machine        jobMachine
	tasks          []*task
	segment        *segment
	segmentVersion int64 // first version of the segment that includes the job
	urgent         bool
	open           int // tasks that have not ended
	pending        int
	gang           gangState
	reason         string // why the job's tasks are pending
	retryAt        time.Time
	history        []Note
	observedUsage  resource.Vector // largest usage observed of any task of the job
}

// task is the owner's state of one task of a job.
type task struct {
	job          *job
	index        int
	state        TaskState
	id           string // ID of the current attempt
	lastEnded    string // ID of the last attempt that ended
	shard        shard.ID
	epoch        int64 // epoch of the rack's owner in its last response about the task
	worker       string
	output       string
	truncated    bool
	failures     int
	started      bool            // see TaskRecord.Started
	avoid        []string        // workers on which the task failed last
	demand       resource.Vector // resources reserved for the current attempt
	resume       []byte          // checkpoint to continue from
	startedAt    time.Time
	retryAt      time.Time
	nextRackCall time.Time // when an unconfirmed stop or start is queried again
	missingSince time.Time // time since which the task's rack has been missing from the cell
}

// init creates the maps on first use, so that a Queue literal is ready to use.
func (q *Queue) init() {
	if q.jobs == nil {
		q.jobs = map[string]*job{}
		q.segments = map[int]*segment{}
		q.tasks = map[string]*task{}
		q.reportedRacks = map[shard.ID]bool{}
		q.lastReportQuery = map[shard.ID]time.Time{}
		q.waiters = map[string][]func(Reply){}
	}
}

// Open loads the team's jobs. Until every rack has reported its running tasks,
// tasks that may have been started before are not started again.
func (q *Queue) Open(now time.Time) {
	q.init()
	if q.loaded || q.loading || !q.MayStart(now) {
		return
	}
	q.loading = true
	q.Load(func(segments []Segment, err error) {
		q.loading = false
		if err != nil || !q.MayStart(q.Now()) {
			return
		}
		q.restore(segments)
		q.loaded = true
	})
}

// Ready reports whether the queue accepts calls.
func (q *Queue) Ready() bool { return q.loaded && !q.draining }

// Drain makes the queue reject new work and reports whether no call or write is
// in flight and no change is unsaved.
func (q *Queue) Drain() (drained bool) {
	q.init()
	q.draining = true
	q.flush(q.Now())
	return q.callsInFlight == 0 && q.savesInFlight == 0 && !q.loading && len(q.dirtySegments()) == 0
}

// Undrain lets the queue accept work again.
func (q *Queue) Undrain() { q.draining = false }

// policy returns the pool of a route and the pool's name.
func (q *Queue) policy(name string) (config.Pool, string, error) {
	tables := q.Tables()
	route, ok := tables.Routes[name]
	if !ok {
		return config.Pool{}, "", config.ErrUnknownRoute
	}
	return tables.Pools[route.Pool], route.Pool, nil
}

// Submit accepts a job and calls reply once, as soon as the store has the job.
// A repeated submission with the same ID returns the existing job.
func (q *Queue) Submit(req SubmitRequest, now time.Time, reply func(Reply)) {
	q.init()
	if !q.Ready() || !q.MayStart(now) {
		reply(Reply{Refused: RefusedNotOwner})
		return
	}
	if known, ok := q.jobs[req.ID]; ok {
		q.whenSaved(known.segment, func() { reply(Reply{Job: known.view()}) })
		return
	}
	policy, pool, err := q.policy(req.Spec.Route)
	if err != nil {
		reply(Reply{Refused: RefusedBadRequest, Reason: fmt.Sprintf("unknown route %q", req.Spec.Route)})
		return
	}
	if refusal := q.validate(req.Spec, policy); refusal != nil {
		event.JobRefused.Log(q.Log).Str("team", q.Team).Str("reason", refusal.Reason).Send()
		reply(*refusal)
		return
	}
	if !q.StoreFresh(now) {
		reply(Reply{Refused: RefusedStoreDown, Reason: "the store does not answer, the job was not accepted"})
		return
	}
	j := q.addJob(Record{ID: req.ID, Spec: req.Spec, Pool: pool, Policy: policy, Created: now})
	q.assignSegment(j)
	q.addHistory(j, "submitted with %d tasks of %s to pool %s", len(j.tasks), req.Spec.Demand, pool)
	q.whenSaved(j.segment, func() {
		event.JobAccepted.Log(q.Log).Str("job", j.record.ID).Int("tasks", len(j.tasks)).Send()
		reply(Reply{Job: j.view()})
	})
	q.flush(now)
}

// validate returns a refusal for a job that can never run, and nil otherwise.
func (q *Queue) validate(spec Spec, policy config.Pool) *Reply {
	switch {
	case policy.Kind == config.KindRequest:
		return &Reply{Refused: RefusedBadRequest, Reason: "the route serves requests, not jobs"}
	case spec.Tasks < 1 || spec.Tasks > MaxTasks:
		return &Reply{Refused: RefusedBadRequest, Reason: fmt.Sprintf("tasks must be from 1 to %d", MaxTasks)}
	case len(spec.Payload) > MaxPayload:
		return &Reply{Refused: RefusedBadRequest, Reason: fmt.Sprintf("payload must be at most %d bytes", MaxPayload)}
	case spec.Demand.MilliCores < 0 || spec.Demand.MemoryMB < 0 || spec.Demand.Accelerators < 0 || spec.Demand.IsZero():
		return &Reply{Refused: RefusedBadRequest, Reason: "want must name a positive amount of at least one resource"}
	}
	var capacity int64
	for _, host := range q.Hosts() {
		if policy.AllowsPlace(host.Place) {
			capacity += host.Capacity.Count(spec.Demand)
		}
	}
	limit := q.Tables().Teams[q.Team].Limit
	switch {
	case len(q.Hosts()) == 0:
		return nil
	case capacity == 0:
		return &Reply{Refused: RefusedImpossible, Reason: fmt.Sprintf("no worker the pool may use has %s", spec.Demand)}
	case policy.Kind == config.KindGang && capacity < int64(spec.Tasks):
		return &Reply{Refused: RefusedImpossible, Reason: fmt.Sprintf("an empty cell holds %d of the gang's %d tasks", capacity, spec.Tasks)}
	case policy.Kind == config.KindGang && limit < int64(spec.Tasks):
		return &Reply{Refused: RefusedImpossible, Reason: fmt.Sprintf("the team's limit is %d tasks, the gang has %d", limit, spec.Tasks)}
	}
	return nil
}

// addJob adds a queued job with all of its tasks pending.
func (q *Queue) addJob(record Record) *job {
	j := &job{record: record, urgent: record.Policy.Urgent}
	j.machine = newJobMachine()
	for i := range record.Spec.Tasks {
		j.tasks = append(j.tasks, &task{job: j, index: i, state: TaskPending, demand: record.Spec.Demand})
	}
	j.open, j.pending = len(j.tasks), len(j.tasks)
	q.jobs[record.ID] = j
	q.activeJobs = append(q.activeJobs, j)
	return j
}

// Get replies with a job once it has ended or the wait of ref is over.
func (q *Queue) Get(ref Ref, reply func(Reply)) {
	q.init()
	if !q.Ready() || !q.MayFinish(q.Now()) {
		// A successor may have the job; NotOwner makes the caller query it.
		reply(Reply{Refused: RefusedNotOwner})
		return
	}
	j, ok := q.jobs[ref.ID]
	if !ok {
		reply(Reply{Refused: RefusedNotFound, Reason: "no such job"})
		return
	}
	if ref.WaitMS <= 0 || j.state().Terminal() {
		q.whenSaved(j.segment, func() { reply(Reply{Job: j.view()}) })
		return
	}
	q.waiters[ref.ID] = append(q.waiters[ref.ID], reply)
}

// Cancel stops a job. The job becomes cancelled once none of its tasks runs.
func (q *Queue) Cancel(ref Ref, now time.Time, reply func(Reply)) {
	q.init()
	if !q.Ready() || !q.MayStart(now) {
		reply(Reply{Refused: RefusedNotOwner})
		return
	}
	j, ok := q.jobs[ref.ID]
	if !ok {
		reply(Reply{Refused: RefusedNotFound, Reason: "no such job"})
		return
	}
	if !j.state().Terminal() && !j.record.Cancelled {
		j.record.Cancelled = true
		q.addHistory(j, "cancelled by the team")
		j.machine.fire(triggerCancel)
		j.segment.markDirty()
		q.cancelTasks(j)
		q.endJobIfComplete(j)
	}
	q.whenSaved(j.segment, func() { reply(Reply{Job: j.view()}) })
	q.flush(now)
}

// cancelTasks cancels the pending tasks of a job and stops the others.
func (q *Queue) cancelTasks(j *job) {
	for _, t := range j.tasks {
		switch t.state {
		case TaskPending:
			q.setState(t, TaskCancelled)
		case TaskRunning, TaskUncertain:
			if t.state == TaskRunning {
				q.setState(t, TaskStopping)
			}
			q.stop(t)
		}
	}
}

// setState changes the state of a task and updates the counts that depend on it.
func (q *Queue) setState(t *task, state TaskState) {
	before, after := t.state, state
	demand := t.demand
	if before.occupies() && !after.occupies() {
		q.running--
		q.used = q.used.Sub(demand)
		delete(q.tasks, t.id)
	}
	if !before.occupies() && after.occupies() {
		q.running++
		q.used = q.used.Add(demand)
	}
	if before == TaskPending {
		t.job.pending--
	}
	if after == TaskPending {
		t.job.pending++
	}
	if !before.Terminal() && after.Terminal() {
		t.job.open--
		t.job.segment.markDirty()
	}
	t.state = state
}

// endJobIfComplete ends a job if all of its tasks have ended.
func (q *Queue) endJobIfComplete(j *job) {
	if j.open > 0 || j.state().Terminal() {
		return
	}
	trigger := triggerFinish
	for _, t := range j.tasks {
		if t.state == TaskFailed || t.state == TaskUnknown {
			trigger = triggerFail
		}
	}
	if j.record.Cancelled {
		trigger = triggerStopped
	}
	j.machine.fire(trigger)
	j.record.Ended = q.Now()
	j.segment.markDirty()
	q.activeJobs = slices.DeleteFunc(q.activeJobs, func(other *job) bool { return other == j })
	event.JobEnded.Log(q.Log).Str("job", j.record.ID).Str("state", string(j.state())).Send()
	q.whenSaved(j.segment, func() { q.notifyWaiters(j.record.ID) })
}

// notifyWaiters replies to the waiting lookups of a job with its current state.
func (q *Queue) notifyWaiters(id string) {
	waiters := q.waiters[id]
	delete(q.waiters, id)
	for _, waiter := range waiters {
		waiter(Reply{Job: q.jobs[id].view()})
	}
}

// Close replies to all waiting lookups that this process is not the owner, so
// that they are repeated at the next owner.
func (q *Queue) Close() {
	for _, waiters := range q.waiters {
		for _, waiter := range waiters {
			waiter(Reply{Refused: RefusedNotOwner})
		}
	}
	q.waiters = nil
}

// EndWaits replies to the waiting lookups of a job with its current state.
func (q *Queue) EndWaits(id string) { q.notifyWaiters(id) }

// demand returns the resources to reserve for the next task of the job: the
// larger of the submitted demand and the usage observed so far, per resource.
func (j *job) demand() resource.Vector { return j.record.Spec.Demand.Max(j.observedUsage) }

func (j *job) state() State { return j.machine.state() }

// view describes the job in its current state.
func (j *job) view() *View {
	v := &View{
		ID: j.record.ID, Route: j.record.Spec.Route, Pool: j.record.Pool, Kind: j.record.Policy.Kind,
		State: j.state(), Created: j.record.Created, Counts: map[TaskState]int{}, Reason: j.reason,
	}
	for _, t := range j.tasks {
		v.Counts[t.state]++
		v.Tasks = append(v.Tasks, TaskView{
			Index: t.index, State: t.state, Worker: t.worker, Output: t.output, Truncated: t.truncated, Failures: t.failures,
		})
	}
	return v
}

// Summary returns the state of the queue that is sent to other processes.
func (q *Queue) Summary() (s Summary) {
	q.init()
	s = Summary{Team: q.Team, Running: q.running, Used: q.used, Preemptible: q.preemptibleResources()}
	headroom := q.Tables().Teams[q.Team].Limit - q.running
	for _, j := range q.activeJobs {
		n := min(int64(j.pending), max(headroom, 0))
		headroom -= n
		s.Waiting += int64(j.pending)
		s.Pending = s.Pending.Add(j.demand().Scale(n))
		if j.urgent {
			s.Urgent = s.Urgent.Add(j.demand().Scale(n))
		}
	}
	return s
}

// Dump describes the whole state of a queue.
type Dump struct {
	Team      string          `json:"team"`
	Epoch     int64           `json:"epoch"`
	Open      bool            `json:"open"`
	Recovered bool            `json:"recovered"`
	Reported  int             `json:"racks-reported"`
	Draining  bool            `json:"draining"`
	Running   int64           `json:"running"`
	Used      resource.Vector `json:"used"`
	Calls     int             `json:"calls-under-way"`
	Saving    int             `json:"writes-under-way"`
	Unsaved   int             `json:"unsaved-segments"`
	Segments  int             `json:"segments"`
	Jobs      []*View         `json:"jobs"`
}

// Dump returns the whole state of the queue.
func (q *Queue) Dump() Dump {
	return Dump{
		Team: q.Team, Epoch: q.Epoch, Open: q.loaded, Recovered: q.recovered, Reported: len(q.reportedRacks),
		Draining: q.draining, Running: q.running, Used: q.used, Calls: q.callsInFlight, Saving: q.savesInFlight,
		Unsaved: len(q.dirtySegments()), Segments: len(q.segments), Jobs: q.Views(),
	}
}

// Jobs lists the IDs of all jobs that the queue keeps, sorted.
func (q *Queue) Jobs() []string { return slices.Sorted(maps.Keys(q.jobs)) }

// Views describes all jobs that the queue keeps.
func (q *Queue) Views() (views []*View) {
	for _, id := range q.Jobs() {
		v := q.jobs[id].view()
		v.Team = q.Team
		views = append(views, v)
	}
	return views
}
