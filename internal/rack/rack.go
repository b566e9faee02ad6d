// Package rack owns the capacity of one rack of workers: it decides which
// worker runs which task, keeps the task leases renewed and tells the teams'
// queues what ended.
//
// A task is started in two steps: a lease is granted by the worker, then the
// task is started under that lease. The first lease ends no later than this
// process's right to the rack, so a start that was delayed by a pause beyond
// the right is refused by the worker itself. docs/design/starting-work.md
// gives the argument.
//
// # Usage
//
//	r := &rack.Rack{ID: id, Epoch: epoch, Post: loop.Post, ...}
//	r.SetHosts(hosts, now)
//	r.Tick(now)
//	r.Place(request, now, func(results rack.Results) { ... })
//
// All methods run on the control goroutine; calls to workers run on others.
package rack

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/placement"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/worker"
)

// Worker is the part of a worker's protocol that a Rack uses.
type Worker interface {
	Grant(ctx context.Context, grant worker.Grant) error
	Start(ctx context.Context, start worker.Start) error
	Renew(ctx context.Context, renew worker.Renew) (worker.Report, error)
	Stop(ctx context.Context, task string) error
	Checkpoint(ctx context.Context, task string) ([]byte, error)
	Throttle(ctx context.Context, task string, limit resource.Vector) error
	Forget(ctx context.Context, tasks []string) error
}

// Rack is the owner's state of one rack.
type Rack struct {
	ID    shard.ID
	Epoch int64
	Log   zerolog.Logger
	// TaskLease is the lease of a running task.
	TaskLease time.Duration
	// Checks counts the invariants.
	Checks *invariant.Checks
	// Now reads the clock.
	Now func() time.Time
	// Post runs a function on the control goroutine.
	Post func(func())
	// Go runs a function on another goroutine.
	Go func(func())
	// Connect returns the client of a worker.
	Connect func(host hostlist.Host) Worker
	// MayStart reports whether work may start now.
	MayStart func(now time.Time) bool
	// RightEnd returns until when work may start.
	RightEnd func() time.Time
	// TeamEpoch returns the lowest epoch of a team's queue that is still in force.
	TeamEpoch func(team string) int64
	// Deliver sends ended tasks to the team's queue and passes on what it recorded.
	Deliver func(batch EndedBatch, recorded func(ids []string))

	nodes    map[string]*node
	tasks    map[string]*task
	fences   map[string]int64 // team -> lowest epoch accepted
	ops      int              // calls to workers that may start work
	draining bool
	delivery map[string]time.Time // team -> when to send its ended tasks
}

type taskState string

const (
	taskGranting taskState = "granting" // grant sent
	taskHeld     taskState = "held"     // lease granted, not started
	taskStarting taskState = "starting" // start sent
	taskRunning  taskState = "running"
	taskStopping taskState = "stopping" // stop to be confirmed
	taskUnknown  taskState = "unknown"  // a call was not answered
	taskEnded    taskState = "ended"    // to be delivered
)

type task struct {
	spec      TaskSpec
	team      string
	node      *node
	state     taskState
	started   bool // a start was sent
	confirmed time.Time
	leaseEnd  time.Time // latest instant at which the lease can still stand
	ttl       time.Duration
	ended     Ended
	finite    bool
	adopted   bool
	foundHeld bool // adopted as a lease that was granted and not started
	stopBusy  bool
	save      bool            // checkpoint before the stop
	resume    []byte          // progress saved by a checkpoint
	usage     resource.Vector // as last reported
	most      resource.Vector // the most that was reported
	reserved  resource.Vector // what counts against the worker
	throttled bool
	reply     func(Outcome)
}

func (t *task) live() bool { return t.state != taskEnded }

const (
	// leaseMargin keeps the end of a first lease before the end of the right.
	leaseMargin = 100 * time.Millisecond
	// minLease is the shortest first lease worth asking for.
	minLease = time.Second
	// callTimeout bounds one call to a worker.
	callTimeout = 2 * time.Second
	// deliveryRetry is the time between two deliveries of ended tasks to a team.
	deliveryRetry = time.Second
)

func (r *Rack) init() {
	if r.nodes == nil {
		r.nodes = map[string]*node{}
		r.tasks = map[string]*task{}
		r.fences = map[string]int64{}
		r.delivery = map[string]time.Time{}
	}
}

// Ready reports whether every worker of the rack was heard or dropped since
// the rack is owned.
func (r *Rack) Ready() bool {
	if len(r.nodes) == 0 {
		return false
	}
	for _, n := range r.nodes {
		if n.state() == nodeAdopting {
			return false
		}
	}
	return true
}

// Drain refuses new work and reports whether nothing is under way any more.
func (r *Rack) Drain() (drained bool) {
	r.draining = true
	return r.ops == 0
}

// Undrain takes work again.
func (r *Rack) Undrain() { r.draining = false }

// Summary returns what other processes need to know of the rack.
func (r *Rack) Summary() (s Summary) {
	s = Summary{Shard: r.ID, Place: r.ID.Place(), Ready: !r.draining}
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		s.Capacity = s.Capacity.Add(n.host.Capacity)
		if n.takesWork() {
			s.Workers = append(s.Workers, name)
			s.Free = append(s.Free, n.free())
		}
	}
	return s
}

// UsedBy returns how many tasks of a team hold resources, and how much.
func (r *Rack) UsedBy(team string) (count int64, used resource.Vector) {
	for _, t := range r.tasks {
		if t.team == team && t.live() {
			count++
			used = used.Add(t.spec.Want)
		}
	}
	return count, used
}

// Place starts or holds tasks; reply is called once with all results.
func (r *Rack) Place(req PlaceRequest, now time.Time, reply func(Results)) {
	r.init()
	if r.draining || !r.MayStart(now) {
		reply(Results{NotOwner: true})
		return
	}
	collect := newCollector(len(req.Tasks), reply)
	if r.fenced(req.Team, req.TeamEpoch) {
		for _, spec := range req.Tasks {
			collect.add(spec.ID, OutcomeFenced, "")
		}
		return
	}
	for _, spec := range req.Tasks {
		r.placeOne(req, spec, now, collect)
	}
}

func (r *Rack) fenced(team string, epoch int64) bool {
	r.fences[team] = max(r.fences[team], r.TeamEpoch(team))
	return epoch < r.fences[team]
}

func (r *Rack) placeOne(req PlaceRequest, spec TaskSpec, now time.Time, collect *collector) {
	if known, ok := r.tasks[spec.ID]; ok {
		collect.add(spec.ID, known.outcome(), known.node.host.Name)
		return
	}
	n := r.pick(spec)
	ttl := min(r.RightEnd().Sub(now)-leaseMargin, r.TaskLease)
	if n == nil || ttl < minLease {
		collect.add(spec.ID, OutcomeNoRoom, "")
		return
	}
	t := &task{spec: spec, team: req.Team, node: n, state: taskGranting, ttl: ttl, finite: !spec.LongRunning}
	t.leaseEnd = now.Add(callTimeout + ttl)
	t.reply = func(outcome Outcome) { collect.add(spec.ID, outcome, n.host.Name) }
	r.tasks[spec.ID] = t
	n.add(t)
	r.Checks.Check(invariant.HostCapacity, n.host.Capacity.Fits(n.used), "worker", n.host.Name)
	r.grant(t, req.Hold)
}

func (t *task) outcome() Outcome {
	switch t.state {
	case taskHeld:
		return OutcomeHeld
	case taskRunning:
		return OutcomeStarted
	case taskEnded:
		return OutcomeStarted
	}
	return OutcomeUnknown
}

// pick chooses the worker with the least room left over.
func (r *Rack) pick(spec TaskSpec) *node {
	var nodes []*node
	var free []resource.Vector
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		if n.takesWork() && !slices.Contains(spec.Avoid, name) {
			nodes = append(nodes, n)
			free = append(free, n.free())
		}
	}
	i := placement.BestFit(free, spec.Want)
	if i < 0 {
		return nil
	}
	return nodes[i]
}

func (r *Rack) grant(t *task, hold bool) {
	grant := worker.Grant{
		Task:   t.spec.ID,
		Epoch:  r.Epoch,
		Want:   t.spec.Want,
		TTLMS:  t.ttl.Milliseconds(),
		Labels: labelsOf(t),
	}
	client := t.node.client
	r.call(func(ctx context.Context) error { return client.Grant(ctx, grant) }, func(now time.Time, err error) {
		r.granted(t, hold, now, err)
	})
}

// call runs fn elsewhere and done on the control goroutine.
func (r *Rack) call(fn func(ctx context.Context) error, done func(now time.Time, err error)) {
	r.ops++
	r.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := fn(ctx)
		r.Post(func() {
			r.ops--
			done(r.Now(), err)
		})
	})
}

func (r *Rack) granted(t *task, hold bool, now time.Time, err error) {
	if r.tasks[t.spec.ID] != t {
		t.answer(OutcomeNoRoom)
		return
	}
	switch {
	case err == nil:
		t.confirmed = now
		t.leaseEnd = now.Add(t.ttl)
		t.state = taskHeld
		if hold {
			t.answer(OutcomeHeld)
			return
		}
		r.start(t, now)
	case worker.Refused(err):
		r.drop(t)
		t.node.relist()
		t.answer(OutcomeNoRoom)
	default:
		// The lease may stand, but no start was sent: the task cannot run.
		t.state = taskStopping
		t.answer(OutcomeNoRoom)
	}
}

// start sends the start of a task whose lease was granted. The lease must end
// within the right, so that a late start finds no lease.
func (r *Rack) start(t *task, now time.Time) {
	if !r.MayStart(now) || t.leaseEnd.After(r.RightEnd()) || !t.node.takesWork() && !t.adopted {
		t.state = taskStopping
		t.answer(OutcomeNoRoom)
		return
	}
	r.Checks.Check(invariant.LeavingTarget, !t.node.host.Leaving(), "worker", t.node.host.Name)
	t.state = taskStarting
	t.started = true
	start := worker.Start{Task: t.spec.ID, Epoch: r.Epoch, Payload: t.spec.Payload, Resume: t.spec.Resume}
	client := t.node.client
	right := r.RightEnd()
	r.call(func(ctx context.Context) error {
		sent := r.Now()
		r.Checks.Check(invariant.RightBeforeStart, sent.Before(right), "task", start.Task)
		if !sent.Before(right) {
			return worker.ErrLapsed
		}
		return client.Start(ctx, start)
	}, func(now time.Time, err error) { r.startDone(t, now, err) })
}

func (r *Rack) startDone(t *task, now time.Time, err error) {
	switch {
	case t.state != taskStarting:
		// The worker was dropped from the host list meanwhile.
		t.answer(OutcomeUnknown)
	case err == nil:
		t.confirmed = now
		t.state = taskRunning
		t.node.renewSoon(now)
		t.answer(OutcomeStarted)
		event.TaskStarted.Log(r.Log).Str("task", t.spec.ID).Str("worker", t.node.host.Name).Send()
	case worker.Refused(err):
		r.drop(t)
		t.answer(OutcomeNoRoom)
	default:
		t.state = taskUnknown
		t.confirmed = now
		t.answer(OutcomeUnknown)
		event.TaskUnknown.Log(r.Log).Str("task", t.spec.ID).Str("worker", t.node.host.Name).Err(err).Send()
	}
}

func (t *task) answer(outcome Outcome) {
	if t.reply != nil {
		t.reply(outcome)
		t.reply = nil
	}
}

func (r *Rack) drop(t *task) {
	t.node.remove(t)
	delete(r.tasks, t.spec.ID)
}

// StartHeld starts tasks under their holds.
func (r *Rack) StartHeld(req TaskRequest, now time.Time, reply func(Results)) {
	r.init()
	if r.draining || !r.MayStart(now) || r.fenced(req.Team, req.TeamEpoch) {
		reply(Results{NotOwner: true})
		return
	}
	collect := newCollector(len(req.Tasks), reply)
	for _, spec := range req.Tasks {
		t, ok := r.tasks[spec.ID]
		switch {
		case !ok:
			collect.add(spec.ID, OutcomeNoRoom, "")
		case t.state != taskHeld:
			collect.add(spec.ID, t.outcome(), t.node.host.Name)
		default:
			t.spec.Payload, t.spec.Resume = spec.Payload, spec.Resume
			t.reply = func(outcome Outcome) { collect.add(t.spec.ID, outcome, t.node.host.Name) }
			r.start(t, now)
		}
	}
}

// Stop stops tasks. A task is reported stopped once the worker has confirmed
// it; until then its result is OutcomeUnknown and a message about its end follows.
func (r *Rack) Stop(req TaskRequest, now time.Time, reply func(Results)) {
	r.init()
	if !r.MayStart(now) {
		reply(Results{NotOwner: true})
		return
	}
	var results Results
	for _, spec := range req.Tasks {
		t, ok := r.tasks[spec.ID]
		switch {
		case !ok && r.Ready():
			results.Tasks = append(results.Tasks, TaskResult{ID: spec.ID, Outcome: OutcomeStopped})
		case ok && t.state == taskEnded:
			results.Tasks = append(results.Tasks, TaskResult{ID: spec.ID, Outcome: OutcomeUnknown})
		default:
			if ok {
				t.save = req.Checkpoint
				r.stopTask(t)
			}
			results.Tasks = append(results.Tasks, TaskResult{ID: spec.ID, Outcome: OutcomeUnknown})
		}
	}
	reply(results)
}

func (r *Rack) stopTask(t *task) {
	switch t.state {
	case taskHeld, taskRunning, taskUnknown:
		t.state = taskStopping
	}
	if t.state == taskStopping && !t.stopBusy {
		r.sendStop(t)
	}
}

func (r *Rack) sendStop(t *task) {
	t.stopBusy = true
	client, id, save := t.node.client, t.spec.ID, t.save
	r.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var saved []byte
		if save {
			// Without a checkpoint the task begins anew.
			saved, _ = client.Checkpoint(ctx, id)
		}
		err := client.Stop(ctx, id)
		r.Post(func() {
			t.stopBusy = false
			if len(saved) > 0 {
				t.resume = saved
			}
			if !t.live() {
				return
			}
			if err == nil {
				r.end(t, worker.StateStopped, "", r.Now())
			}
			if worker.Refused(err) && r.Now().After(t.leaseEnd) {
				r.end(t, worker.StateLapsed, "", r.Now())
			}
		})
	})
}

// end frees the resources of a task that is proved to run no more, and keeps
// the message to its queue.
func (r *Rack) end(t *task, state worker.State, output string, now time.Time) {
	t.node.remove(t)
	if !t.started && !t.adopted {
		delete(r.tasks, t.spec.ID)
		return
	}
	t.state = taskEnded
	t.ended = Ended{
		ID: t.spec.ID, Job: t.spec.Job, Index: t.spec.Index,
		Worker: t.node.host.Name, State: state, Output: output, Resume: t.resume, Usage: t.most,
	}
	r.record(t.node, t.spec.Job, state, now)
	event.TaskEnded.Log(r.Log).Str("task", t.spec.ID).Str("state", string(state)).Str("worker", t.node.host.Name).Send()
	// Tasks that end in one report go out together, on the next tick.
	r.delivery[t.team] = now
}

// deliver sends the ended tasks of a team to its queue.
func (r *Rack) deliver(team string, now time.Time) {
	batch := EndedBatch{Team: team, Shard: r.ID}
	for _, id := range slices.Sorted(maps.Keys(r.tasks)) {
		t := r.tasks[id]
		if t.team == team && t.state == taskEnded {
			batch.Tasks = append(batch.Tasks, t.ended)
		}
	}
	if len(batch.Tasks) == 0 {
		delete(r.delivery, team)
		return
	}
	r.delivery[team] = now.Add(deliveryRetry)
	r.Deliver(batch, func(ids []string) { r.recorded(ids) })
}

// recorded forgets ended tasks that their queue has recorded.
func (r *Rack) recorded(ids []string) {
	byNode := map[*node][]string{}
	for _, id := range ids {
		t, ok := r.tasks[id]
		if !ok || t.state != taskEnded {
			continue
		}
		delete(r.tasks, id)
		byNode[t.node] = append(byNode[t.node], id)
	}
	for n, forgotten := range byNode {
		n.forgotten(forgotten, r.Now())
		client := n.client
		r.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_ = client.Forget(ctx, forgotten)
		})
	}
}

// Report lists all tasks of a team and fences its lower epochs. Without the
// right to the rack nothing is told: a successor may run tasks not known here.
func (r *Rack) Report(req ReportRequest, now time.Time) (report Report) {
	r.init()
	if r.draining || !r.MayStart(now) {
		return Report{NotOwner: true}
	}
	r.fences[req.Team] = max(r.fences[req.Team], req.TeamEpoch)
	report.Epoch, report.Complete = r.Epoch, r.Ready()
	for _, id := range slices.Sorted(maps.Keys(r.tasks)) {
		t := r.tasks[id]
		if t.team != req.Team {
			continue
		}
		if t.state == taskGranting || t.state == taskStarting {
			report.Complete = false
		}
		if !t.started {
			// A hold runs nothing, and only the queue that asked for it may start it.
			continue
		}
		report.Rows = append(report.Rows, ReportRow{
			ID: id, Job: t.spec.Job, Index: t.spec.Index,
			Worker: t.node.host.Name, Want: t.spec.Want, Ended: t.ended.State,
			Running: t.live() && !t.foundHeld,
		})
	}
	return report
}

func labelsOf(t *task) map[string]string {
	labels := map[string]string{"team": t.team, "job": t.spec.Job, "index": strconv.Itoa(t.spec.Index)}
	if t.spec.NonIdempotent {
		labels["non-idempotent"] = "true"
	}
	return labels
}

// collector gathers the results of one call.
type collector struct {
	missing int
	results Results
	reply   func(Results)
}

func newCollector(n int, reply func(Results)) *collector {
	c := &collector{missing: n, reply: reply}
	if n == 0 {
		reply(Results{})
	}
	return c
}

func (c *collector) add(id string, outcome Outcome, name string) {
	c.results.Tasks = append(c.results.Tasks, TaskResult{ID: id, Outcome: outcome, Worker: name})
	c.missing--
	if c.missing == 0 {
		slices.SortFunc(c.results.Tasks, func(a, b TaskResult) int { return strings.Compare(a.ID, b.ID) })
		c.reply(c.results)
	}
}
