// Package job owns the queue of one team: it keeps its jobs in the store,
// decides which task runs next, within the team's limit and share, and asks
// the owners of racks to run it.
//
// One process owns a team's queue at a time, by the same protocol as a rack, so
// the team's upper limit is held in one place and is never split.
// docs/design/limits.md weighs this against allowances.
//
// # Usage
//
//	q := &job.Queue{Team: "jerami", Epoch: epoch, Post: loop.Post, ...}
//	q.Open(now)                       // load and find out what runs
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

// Queue is the owner's state of one team's work.
type Queue struct {
	Team   string
	Epoch  int64
	Log    zerolog.Logger
	Checks *invariant.Checks
	// Now reads the clock.
	Now func() time.Time
	// MayStart reports whether this process may start the team's work now.
	MayStart func(now time.Time) bool
	// MayFinish reports whether what was begun may still be written to the store.
	MayFinish func(now time.Time) bool
	// StoreFresh reports whether the store answered lately.
	StoreFresh func(now time.Time) bool
	// Tables returns the configuration in force.
	Tables func() *config.Tables
	// Hosts returns the workers of the host list.
	Hosts func() []hostlist.Host
	// Racks returns the newest summary of every rack.
	Racks func() []rack.Summary
	// AllRacks lists all racks of the cell.
	AllRacks func() []shard.ID
	// RackEpoch returns the epoch of a rack's present owner.
	RackEpoch func(id shard.ID) int64
	// WithinShare reports whether the team's share lets it use more.
	WithinShare func(used, more resource.Vector, urgent bool) bool
	// ShareToRelease returns the fraction of the cell that the team must give up.
	ShareToRelease func(used resource.Vector) float64
	// DominantFraction returns the dominant fraction of the cell that v takes.
	DominantFraction func(v resource.Vector) float64
	// Assign, StartReserved, Stop and Report call the owner of a rack.
	Assign        func(req rack.AssignRequest, done func(rack.Results, error))
	StartReserved func(req rack.TaskRequest, done func(rack.Results, error))
	Stop          func(req rack.TaskRequest, done func(rack.Results, error))
	Report        func(req rack.ReportRequest, done func(rack.Report, error))
	// Load reads all segments of the team; Save writes one.
	Load func(done func([]Segment, error))
	Save func(seg Segment, done func(SaveResult))

	loaded          bool // the segments are loaded
	loading         bool
	draining        bool
	jobs            map[string]*job
	activeJobs      []*job // jobs that are not over, by age
	segments        map[int]*segment
	current         int
	savesInFlight   int
	lastSave        time.Time
	tasks           map[string]*task // by id of the running attempt
	attempts        int64
	callsInFlight   int // calls that may start work
	running         int64
	used            resource.Vector
	plan            *plan
	reportedRacks   map[shard.ID]bool // racks that have reported, while recovering
	recovered       bool
	nextRecovery    time.Time
	nextReconcile   time.Time
	nextPreempt     time.Time
	lastReportQuery map[shard.ID]time.Time // when a rack was last asked what runs
	waiters         map[string][]func(Reply)
}

type job struct {
	record         Record
	machine        jobMachine
	tasks          []*task
	segment        *segment
	segmentVersion int64 // of the segment that has the job first
	urgent         bool
	open           int // tasks not ended
	pending        int
	gang           gangState
	reason         string
	retryAt        time.Time
	history        []Note
	observedUsage  resource.Vector // the most that a task of the job was seen to use
}

type task struct {
	job          *job
	index        int
	state        TaskState
	id           string // of the attempt
	lastEnded    string // id of the last attempt that ended
	shard        shard.ID
	epoch        int64 // of the rack when it last told of the task
	worker       string
	output       string
	truncated    bool
	failures     int
	started      bool
	avoid        []string
	demand       resource.Vector // what the present attempt reserves
	resume       []byte
	startedAt    time.Time
	retryAt      time.Time
	nextRackCall time.Time
	missingSince time.Time // since when the cell lacks the task's rack
}

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

// Open loads the team's jobs. Until every rack has reported what runs, tasks
// that may have been started before are not started again.
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

// Ready reports whether the queue takes calls.
func (q *Queue) Ready() bool { return q.loaded && !q.draining }

// Drain refuses new work and reports whether nothing is under way any more.
func (q *Queue) Drain() (drained bool) {
	q.init()
	q.draining = true
	q.flush(q.Now())
	return q.callsInFlight == 0 && q.savesInFlight == 0 && !q.loading && len(q.dirtySegments()) == 0
}

// Undrain takes work again.
func (q *Queue) Undrain() { q.draining = false }

func (q *Queue) policy(name string) (config.Pool, string, error) {
	tables := q.Tables()
	route, ok := tables.Routes[name]
	if !ok {
		return config.Pool{}, "", config.ErrUnknownRoute
	}
	return tables.Pools[route.Pool], route.Pool, nil
}

// Submit accepts a job once it is in the store; reply is called once.
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

// check refuses what can never run.
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

// Get shows a job; reply is called when the job is over or the wait has ended.
func (q *Queue) Get(ref Ref, reply func(Reply)) {
	q.init()
	if !q.Ready() || !q.MayFinish(q.Now()) {
		// A successor may know more: it is asked instead.
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

// Cancel stops a job. The job is cancelled once no task of it runs.
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

// setState moves a task and keeps the counts that depend on its state.
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

// settleJob ends a job whose tasks have all ended.
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

func (q *Queue) notifyWaiters(id string) {
	waiters := q.waiters[id]
	delete(q.waiters, id)
	for _, waiter := range waiters {
		waiter(Reply{Job: q.jobs[id].view()})
	}
}

// Close sends waiting look-ups to the next owner.
func (q *Queue) Close() {
	for _, waiters := range q.waiters {
		for _, waiter := range waiters {
			waiter(Reply{Refused: RefusedNotOwner})
		}
	}
	q.waiters = nil
}

// EndWaits answers waiting look-ups of a job with its present state.
func (q *Queue) EndWaits(id string) { q.notifyWaiters(id) }

// want returns what the next task of the job reserves: the larger of what was
// declared and what was learned.
func (j *job) demand() resource.Vector { return j.record.Spec.Demand.Max(j.observedUsage) }

func (j *job) state() State { return j.machine.state() }

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

// Summary returns what other processes need to know of the queue.
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

// Dump shows the state of the queue besides its jobs.
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

// Jobs lists the ids of all jobs kept.
func (q *Queue) Jobs() []string { return slices.Sorted(maps.Keys(q.jobs)) }

// Views shows all jobs kept.
func (q *Queue) Views() (views []*View) {
	for _, id := range q.Jobs() {
		v := q.jobs[id].view()
		v.Team = q.Team
		views = append(views, v)
	}
	return views
}
