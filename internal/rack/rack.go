// Package rack manages the capacity of one rack of workers: it assigns tasks to
// workers, renews the leases of the tasks and notifies the teams' queues of
// tasks that have ended.
//
// A task is started in two steps: the worker grants a lease, then the task is
// started under that lease. The first lease expires no later than this process's
// lease of the rack. If the process is paused until its lease of the rack has
// expired and sends the start afterwards, the worker therefore rejects it.
// docs/design/starting-work.md gives the argument.
//
// # Usage
//
//	r := &rack.Rack{ID: id, Epoch: epoch, Post: loop.Post, ...}
//	r.SetHosts(hosts, now)
//	r.Tick(now)
//	r.Assign(request, now, func(results rack.Results) { ... })
//
// All methods must be called on the control goroutine. Calls to workers run on
// other goroutines.
package rack

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/placement"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/worker"
)

// Worker is the part of the worker protocol that a Rack uses.
type Worker interface {
	Grant(ctx context.Context, grant worker.Grant) error
	Start(ctx context.Context, start worker.Start) error
	Renew(ctx context.Context, renew worker.Renew) (worker.Report, error)
	Stop(ctx context.Context, task string) error
	Checkpoint(ctx context.Context, task string) ([]byte, error)
	Throttle(ctx context.Context, task string, limit resource.Vector) error
	Forget(ctx context.Context, tasks []string) error
}

// Rack is the state of one rack at its owner.
type Rack struct {
	ID    shard.ID
	Epoch int64
	Log   zerolog.Logger
	// TaskLease is the duration of the lease of a running task.
	TaskLease time.Duration
	// Checks counts checked and broken invariants.
	Checks *invariant.Checks
	// Now returns the current time.
	Now func() time.Time
	// Post runs a function on the control goroutine.
	Post func(func())
	// Go runs a function on another goroutine.
	Go func(func())
	// Connect returns the client for a worker.
	Connect func(host hostlist.Host) Worker
	// MayStart reports whether work may start now.
	MayStart func(now time.Time) bool
	// LeaseEnd returns when this process's lease of the rack expires. No work may
	// start after it.
	LeaseEnd func() time.Time
	// TeamEpoch returns the current epoch of a team's queue. Requests of lower
	// epochs are fenced.
	TeamEpoch func(team string) int64
	// Deliver sends ended tasks to their team's queue and calls recorded with the
	// IDs of those that the queue has recorded.
	Deliver func(batch EndedBatch, recorded func(ids []string))

	nodes        map[string]*node
	tasks        map[string]*task
	fences       map[string]int64 // team -> lowest accepted epoch
	startCalls   int              // grants and starts in flight
	draining     bool
	nextDelivery map[string]time.Time // team -> when to send its ended tasks
}

// taskState is the state of a task on its worker. A task reserves capacity of
// the worker in every state except taskEnded.
type taskState string

const (
	taskGranting taskState = "granting" // grant in flight
	taskReserved taskState = "held"     // lease granted, not started
	taskStarting taskState = "starting" // start in flight
	taskRunning  taskState = "running"
	taskStopping taskState = "stopping" // stop not confirmed yet
	taskUnknown  taskState = "unknown"  // the start was not answered
	taskEnded    taskState = "ended"    // not recorded by its queue yet
)

// task is the state of one attempt to run a task.
type task struct {
	spec             TaskSpec
	team             string
	node             *node
	state            taskState
	started          bool      // a start was sent
	confirmedAt      time.Time // reports requested before this time do not cover the task
	leaseEnd         time.Time // latest time at which the lease can still be valid
	ttl              time.Duration
	ended            EndedTask
	finite           bool // ends by itself
	adopted          bool // started by a former owner
	adoptedUnstarted bool // adopted as a lease without a started task
	stopInFlight     bool
	checkpointFirst  bool            // take a checkpoint before the stop
	resume           []byte          // progress saved by a checkpoint
	usage            resource.Vector // last reported usage
	maxUsage         resource.Vector // maximum reported usage
	reserved         resource.Vector // capacity of the worker that the task takes
	throttled        bool
	reply            func(Outcome) // reports the outcome of the current request
}

// live reports whether the task may still run or use its lease.
func (t *task) live() bool { return t.state != taskEnded }

const (
	// leaseMargin is the minimum time between the expiry of a first task lease
	// and the expiry of this process's lease of the rack. It is also added to
	// the end of a task lease before the lease counts as expired.
	leaseMargin = 100 * time.Millisecond
	// minLease is the shortest first lease that is requested.
	minLease = time.Second
	// callTimeout bounds one call to a worker.
	callTimeout = 2 * time.Second
	// deliveryRetryInterval is the interval between two deliveries of ended tasks to
	// a team's queue.
	deliveryRetryInterval = time.Second
)

// init makes the zero Rack usable.
func (r *Rack) init() {
	if r.nodes == nil {
		r.nodes = map[string]*node{}
		r.tasks = map[string]*task{}
		r.fences = map[string]int64{}
		r.nextDelivery = map[string]time.Time{}
	}
}

// Ready reports whether every worker of the rack has responded to this owner or
// was removed from the host list. Until then, tasks may run that this owner has
// not recorded.
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

// Drain makes the rack reject new work and reports whether no call that may
// start work is in flight.
func (r *Rack) Drain() (drained bool) {
	r.draining = true
	return r.startCalls == 0
}

// Undrain makes the rack accept work again.
func (r *Rack) Undrain() { r.draining = false }

// Summary returns the summary of the rack for other processes.
func (r *Rack) Summary() (s Summary) {
	s = Summary{Shard: r.ID, Place: r.ID.Place(), Ready: !r.draining}
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		s.Capacity = s.Capacity.Add(n.host.Capacity)
		if n.acceptsWork() {
			s.Workers = append(s.Workers, name)
			s.Free = append(s.Free, n.freeCapacity())
		}
	}
	return s
}

// Assign starts tasks, or reserves resources for them if req.Reserve is set. It
// calls reply once with all results.
func (r *Rack) Assign(req AssignRequest, now time.Time, reply func(Results)) {
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
		r.assignTask(req, spec, now, collect)
	}
}

// fenced reports whether a team's queue with a higher epoch is known.
func (r *Rack) fenced(team string, epoch int64) bool {
	r.fences[team] = max(r.fences[team], r.TeamEpoch(team))
	return epoch < r.fences[team]
}

// assignTask requests a lease for one task, unless the task is known already.
func (r *Rack) assignTask(req AssignRequest, spec TaskSpec, now time.Time, collect *collector) {
	if known, ok := r.tasks[spec.ID]; ok {
		collect.add(spec.ID, known.outcome(), known.node.host.Name)
		return
	}
	n := r.pickWorker(spec)
	ttl := min(r.LeaseEnd().Sub(now)-leaseMargin, r.TaskLease)
	if n == nil || ttl < minLease {
		collect.add(spec.ID, OutcomeNoCapacity, "")
		return
	}
	t := &task{spec: spec, team: req.Team, node: n, state: taskGranting, ttl: ttl, finite: !spec.LongRunning}
	t.leaseEnd = now.Add(callTimeout + ttl)
	t.reply = func(outcome Outcome) { collect.add(spec.ID, outcome, n.host.Name) }
	r.tasks[spec.ID] = t
	n.add(t)
	r.Checks.Check(invariant.HostCapacity, n.host.Capacity.Fits(n.used), "worker", n.host.Name)
	r.grant(t, req.Reserve)
}

// outcome returns the outcome for a repeated request. An ended task was started
// before; its end is delivered separately.
func (t *task) outcome() Outcome {
	switch t.state {
	case taskReserved:
		return OutcomeReserved
	case taskRunning:
		return OutcomeStarted
	case taskEnded:
		return OutcomeStarted
	}
	return OutcomeUnknown
}

// pickWorker returns the worker with the least free capacity left after the task
// is assigned, or nil if the task fits on none.
func (r *Rack) pickWorker(spec TaskSpec) *node {
	var nodes []*node
	var free []resource.Vector
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		if n.acceptsWork() && !slices.Contains(spec.Avoid, name) {
			nodes = append(nodes, n)
			free = append(free, n.freeCapacity())
		}
	}
	i := placement.BestFit(free, spec.Demand)
	if i < 0 {
		return nil
	}
	return nodes[i]
}
