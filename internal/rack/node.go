package rack

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/qmuntal/stateless"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/worker"
)

// The states of a worker as observed by the owner of its rack.
const (
	nodeAdopting    = "adopting"    // has not responded to this owner yet, may be full
	nodeReady       = "ready"       // responded recently
	nodeUnreachable = "unreachable" // unresponsive for longer than unresponsiveAfter
)

// The triggers of a worker's state machine.
const (
	triggerResponded    = "answered"
	triggerUnresponsive = "silent"
)

const (
	// activePollInterval is the interval between polls of a worker with tasks that
	// end by themselves or are in transition, or after a failed poll.
	activePollInterval = 300 * time.Millisecond
	// firstRenewalDelay is the maximum time from the start of a task to the
	// renewal of its short first lease.
	firstRenewalDelay = 100 * time.Millisecond
	// idlePollInterval is the interval between polls of other workers.
	idlePollInterval = 2 * time.Second
	// unresponsiveAfter is how long a worker may leave polls unanswered before
	// it is unreachable.
	unresponsiveAfter = 4 * time.Second
)

// node is the state of one worker.
type node struct {
	host             hostlist.Host
	client           Worker
	stateMachine     *stateless.StateMachine
	tasks            map[string]*task
	used             resource.Vector
	recentlyRecorded map[string]time.Time // when a task that its queue has recorded was removed
	lastReply        time.Time
	nextPoll         time.Time
	polling          bool
	health           health
}

// newNode returns a worker in the state nodeAdopting.
func newNode(host hostlist.Host, client Worker, now time.Time) *node {
	stateMachine := stateless.NewStateMachine(nodeAdopting)
	stateMachine.Configure(nodeAdopting).
		Permit(triggerResponded, nodeReady).
		Ignore(triggerUnresponsive)
	stateMachine.Configure(nodeReady).
		Permit(triggerUnresponsive, nodeUnreachable).
		Ignore(triggerResponded)
	stateMachine.Configure(nodeUnreachable).
		Permit(triggerResponded, nodeReady).
		Ignore(triggerUnresponsive)
	return &node{
		host:             host,
		client:           client,
		stateMachine:     stateMachine,
		tasks:            map[string]*task{},
		recentlyRecorded: map[string]time.Time{},
		lastReply:        now,
	}
}

func (n *node) state() string { return n.stateMachine.MustState().(string) }

// acceptsWork reports whether tasks may be assigned to the worker.
func (n *node) acceptsWork() bool {
	return n.state() == nodeReady && !n.host.Leaving() && !n.health.quarantined
}

func (n *node) freeCapacity() resource.Vector { return n.host.Capacity.Sub(n.used) }

// add reserves the demand of a task on the worker.
func (n *node) add(t *task) {
	n.tasks[t.spec.ID] = t
	t.reserved = t.spec.Demand
	n.used = n.used.Add(t.reserved)
}

// remove frees the reservation of a task.
func (n *node) remove(t *task) {
	if _, ok := n.tasks[t.spec.ID]; ok {
		delete(n.tasks, t.spec.ID)
		n.used = n.used.Sub(t.reserved)
	}
}

// pollNow makes the next tick poll the worker.
func (n *node) pollNow() { n.nextPoll = time.Time{} }

// renewSoon moves the next poll forward to renew the first lease of a task.
func (n *node) renewSoon(now time.Time) {
	if soon := now.Add(firstRenewalDelay); n.nextPoll.After(soon) {
		n.nextPoll = soon
	}
}

// markRecorded marks tasks that their queue has recorded, so that a report
// that still lists them does not cause their adoption.
func (n *node) markRecorded(ids []string, now time.Time) {
	for _, id := range ids {
		n.recentlyRecorded[id] = now
	}
}

// SetHosts applies the entries of the host list for the workers of the rack. A
// worker that was removed from the list no longer runs tasks, so its tasks end
// as if their leases had expired. The same applies if its address has changed.
func (r *Rack) SetHosts(hosts []hostlist.Host, now time.Time) {
	r.init()
	listed := map[string]bool{}
	for _, host := range hosts {
		listed[host.Name] = true
		n, ok := r.nodes[host.Name]
		if ok && n.host.Address != host.Address {
			r.removeNode(n, now)
			ok = false
		}
		if !ok {
			r.nodes[host.Name] = newNode(host, r.Connect(host), now)
			continue
		}
		n.host = host
	}
	for name, n := range r.nodes {
		if !listed[name] {
			r.removeNode(n, now)
		}
	}
}

// removeNode removes a worker and ends its tasks.
func (r *Rack) removeNode(n *node, now time.Time) {
	for _, t := range sortedTasks(n) {
		if t.live() {
			r.endTask(t, worker.StateLeaseExpired, "", now)
		}
	}
	delete(r.nodes, n.host.Name)
}

// sortedTasks returns the tasks of a worker in the order of their IDs.
func sortedTasks(n *node) (list []*task) {
	for _, t := range n.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int {
		if a.spec.ID < b.spec.ID {
			return -1
		}
		return 1
	})
	return list
}

// Tick polls workers, renews leases, retries stops and deliveries, and expires
// leases and quarantines.
func (r *Rack) Tick(now time.Time) {
	r.init()
	for _, n := range r.nodes {
		if !n.polling && !now.Before(n.nextPoll) {
			r.poll(n, now)
		}
		r.checkResponsive(n, now)
		if n.health.tick(now) {
			event.WorkerReleased.Log(r.Log).Str("worker", n.host.Name).Send()
		}
	}
	for _, t := range r.tasks {
		r.tickTask(t, now)
	}
	for team, due := range r.nextDelivery {
		if !now.Before(due) {
			r.deliver(team, now)
		}
	}
}

// tickTask retries the stop of a task and handles the expiry of its lease.
func (r *Rack) tickTask(t *task, now time.Time) {
	switch {
	case t.state == taskStopping && !t.stopInFlight:
		r.sendStop(t)
	case t.state == taskReserved && now.After(t.leaseEnd):
		r.discard(t)
	}
	if r.leaseExpired(t, now) {
		r.endTask(t, worker.StateLeaseExpired, "", now)
	}
}

// leaseExpired reports whether the lease of a task has certainly expired. Only
// the owner of the rack renews leases, so this is certain only while this
// process may start work and for leases that it requested itself.
func (r *Rack) leaseExpired(t *task, now time.Time) bool {
	if !t.live() || t.adopted || t.state == taskGranting || t.state == taskStarting {
		return false
	}
	return now.After(t.leaseEnd.Add(leaseMargin)) && r.MayStart(now)
}

// checkResponsive marks a worker unreachable that does not answer polls.
func (r *Rack) checkResponsive(n *node, now time.Time) {
	if now.Sub(n.lastReply) < unresponsiveAfter || n.state() != nodeReady {
		return
	}
	_ = n.stateMachine.Fire(triggerUnresponsive)
	event.WorkerUnreachable.Log(r.Log).Str("worker", n.host.Name).Send()
}

// poll renews the leases of a worker's running tasks and reads its report. It
// renews no leases if the worker has been unresponsive for more than half of
// TaskLease: every renewal sent moves leaseEnd, so the leases of a worker that
// never responds again would otherwise not count as expired.
func (r *Rack) poll(n *node, now time.Time) {
	renew := worker.Renew{Epoch: r.Epoch, TTLMS: r.TaskLease.Milliseconds()}
	unresponsive := now.Sub(n.lastReply) > r.TaskLease/2
	renewed := map[string]bool{}
	for _, t := range sortedTasks(n) {
		if t.state == taskRunning && !unresponsive {
			renew.Tasks = append(renew.Tasks, t.spec.ID)
			renewed[t.spec.ID] = true
			t.leaseEnd = latest(t.leaseEnd, now.Add(callTimeout+r.TaskLease))
		}
	}
	n.polling = true
	client := n.client
	r.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		report, err := client.Renew(ctx, renew)
		r.Post(func() { r.handlePoll(n, renewed, now, report, err) })
	})
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// handlePoll processes the response to a poll that was sent at sentAt.
func (r *Rack) handlePoll(n *node, renewed map[string]bool, sentAt time.Time, report worker.Report, err error) {
	now := r.Now()
	n.polling = false
	n.nextPoll = now.Add(idlePollInterval)
	if r.nodes[n.host.Name] != n {
		return
	}
	if err != nil {
		n.nextPoll = now.Add(activePollInterval)
		return
	}
	n.lastReply = sentAt
	if n.state() == nodeUnreachable {
		event.WorkerReachable.Log(r.Log).Str("worker", n.host.Name).Send()
	}
	r.applyReport(n, renewed, sentAt, report, now)
	_ = n.stateMachine.Fire(triggerResponded)
	r.relieveOverload(n)
	for _, t := range n.tasks {
		if t.finite || t.state != taskRunning {
			n.nextPoll = now.Add(activePollInterval)
		}
	}
}

// applyReport updates the tasks of a worker from its report. Unknown tasks are
// adopted, and tasks missing from the report have ended. Tasks that the report
// does not cover are not changed.
func (r *Rack) applyReport(n *node, renewed map[string]bool, sentAt time.Time, report worker.Report, now time.Time) {
	listed := make(map[string]bool, len(report.Tasks))
	for _, reported := range report.Tasks {
		listed[reported.Task] = true
		t, ok := r.tasks[reported.Task]
		if !ok {
			r.adopt(n, reported, sentAt, now)
			continue
		}
		if renewed[reported.Task] && reported.State.Live() {
			t.leaseEnd = now.Add(r.TaskLease)
		}
		if t.node == n && t.live() && r.coveredByReport(t, sentAt) {
			r.applyReportedTask(t, reported, now)
		}
	}
	for _, t := range sortedTasks(n) {
		if listed[t.spec.ID] || !r.coveredByReport(t, sentAt) {
			continue
		}
		state := worker.StateLeaseExpired
		if t.state == taskUnknown {
			state = StateNotStarted
		}
		r.endTask(t, state, "", now)
	}
	for id, at := range n.recentlyRecorded {
		if now.Sub(at) > time.Minute {
			delete(n.recentlyRecorded, id)
		}
	}
}

// coveredByReport reports whether a report requested at sentAt shows the current
// state of a task. It does not if a grant or start is in flight or was answered
// after the report was requested.
func (r *Rack) coveredByReport(t *task, sentAt time.Time) bool {
	return t.state != taskGranting && t.state != taskStarting && sentAt.After(t.confirmedAt)
}

// applyReportedTask updates a task from a report. A task whose start was not
// answered turns out to run, or is stopped if the worker has only its lease.
func (r *Rack) applyReportedTask(t *task, reported worker.Task, now time.Time) {
	t.node.recordUsage(t, reported.Usage)
	if reported.State == worker.StateRunning {
		t.adoptedUnstarted = false
	}
	switch {
	case reported.State == worker.StateGranted && t.state == taskUnknown:
		t.state = taskStopping
	case reported.State == worker.StateRunning && t.state == taskUnknown:
		t.state = taskRunning
	case !reported.State.Live():
		if len(reported.Checkpoint) > 0 {
			t.resume = reported.Checkpoint
		}
		r.endTask(t, reported.State, reported.Output, now)
	}
}

// adopt adds a task that a former owner started, because it uses capacity of the
// worker all the same. A lease without a started task is stopped.
func (r *Rack) adopt(n *node, reported worker.Task, sentAt, now time.Time) {
	if _, recorded := n.recentlyRecorded[reported.Task]; recorded {
		return
	}
	index, _ := strconv.Atoi(reported.Labels["index"])
	t := &task{
		spec: TaskSpec{
			ID: reported.Task, Job: reported.Labels["job"], Index: index, Demand: reported.Demand,
			NonIdempotent: reported.Labels["non-idempotent"] != "",
		},
		team:        reported.Labels["team"],
		node:        n,
		state:       taskRunning,
		started:     true,
		adopted:     true,
		finite:      true,
		confirmedAt: sentAt,
	}
	if reported.State == worker.StateGranted {
		t.state, t.adoptedUnstarted = taskStopping, true
	}
	r.tasks[reported.Task] = t
	n.add(t)
	if !reported.State.Live() {
		r.endTask(t, reported.State, reported.Output, now)
	}
}
