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
//	r.Assign(request, now, func(results rack.Results) { ... })
//
// All methods run on the control goroutine; calls to workers run on others.
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
	// LeaseEnd returns until when work may start.
	LeaseEnd func() time.Time
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
	ended     EndedTask
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

// Assign starts or holds tasks; reply is called once with all results.
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
		r.placeOne(req, spec, now, collect)
	}
}

func (r *Rack) fenced(team string, epoch int64) bool {
	r.fences[team] = max(r.fences[team], r.TeamEpoch(team))
	return epoch < r.fences[team]
}

func (r *Rack) placeOne(req AssignRequest, spec TaskSpec, now time.Time, collect *collector) {
	if known, ok := r.tasks[spec.ID]; ok {
		collect.add(spec.ID, known.outcome(), known.node.host.Name)
		return
	}
	n := r.pick(spec)
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

func (t *task) outcome() Outcome {
	switch t.state {
	case taskHeld:
		return OutcomeReserved
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
	i := placement.BestFit(free, spec.Demand)
	if i < 0 {
		return nil
	}
	return nodes[i]
}
