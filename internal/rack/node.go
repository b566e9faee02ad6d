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

// The states of a worker as its owner sees it.
const (
	nodeAdopting    = "adopting"    // not heard since the rack is owned: may be full
	nodeReady       = "ready"       // heard lately
	nodeUnreachable = "unreachable" // silent for longer than silenceLimit
)

// The triggers of a worker's state machine.
const (
	triggerAnswered = "answered"
	triggerSilent   = "silent"
)

const (
	// activePoll is the time between reports of a worker with tasks that end by themselves.
	activePoll = 300 * time.Millisecond
	// firstRenewal is the time from a start to the renewal of its short first lease.
	firstRenewal = 100 * time.Millisecond
	// idlePoll is the time between reports of other workers.
	idlePoll = 2 * time.Second
	// silenceLimit is how long a worker may leave calls unanswered.
	silenceLimit = 4 * time.Second
)

type node struct {
	host       hostlist.Host
	client     Worker
	machine    *stateless.StateMachine
	tasks      map[string]*task
	used       resource.Vector
	gone       map[string]time.Time // tasks recorded by their queue lately
	lastAnswer time.Time
	nextPoll   time.Time
	busy       bool
	health     health
}

func newNode(host hostlist.Host, client Worker, now time.Time) *node {
	machine := stateless.NewStateMachine(nodeAdopting)
	machine.Configure(nodeAdopting).
		Permit(triggerAnswered, nodeReady).
		Ignore(triggerSilent)
	machine.Configure(nodeReady).
		Permit(triggerSilent, nodeUnreachable).
		Ignore(triggerAnswered)
	machine.Configure(nodeUnreachable).
		Permit(triggerAnswered, nodeReady).
		Ignore(triggerSilent)
	return &node{
		host:       host,
		client:     client,
		machine:    machine,
		tasks:      map[string]*task{},
		gone:       map[string]time.Time{},
		lastAnswer: now,
	}
}

func (n *node) state() string { return n.machine.MustState().(string) }

func (n *node) takesWork() bool {
	return n.state() == nodeReady && !n.host.Leaving() && !n.health.quarantined
}

func (n *node) free() resource.Vector { return n.host.Capacity.Sub(n.used) }

func (n *node) add(t *task) {
	n.tasks[t.spec.ID] = t
	t.reserved = t.spec.Demand
	n.used = n.used.Add(t.reserved)
}

func (n *node) remove(t *task) {
	if _, ok := n.tasks[t.spec.ID]; ok {
		delete(n.tasks, t.spec.ID)
		n.used = n.used.Sub(t.reserved)
	}
}

func (n *node) relist() { n.nextPoll = time.Time{} }

func (n *node) renewSoon(now time.Time) {
	if soon := now.Add(firstRenewal); n.nextPoll.After(soon) {
		n.nextPoll = soon
	}
}

func (n *node) forgotten(ids []string, now time.Time) {
	for _, id := range ids {
		n.gone[id] = now
	}
}

// SetHosts takes the rack's rows of the host list. A worker that is dropped
// runs nothing any more.
func (r *Rack) SetHosts(hosts []hostlist.Host, now time.Time) {
	r.init()
	seen := map[string]bool{}
	for _, host := range hosts {
		seen[host.Name] = true
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
		if !seen[name] {
			r.removeNode(n, now)
		}
	}
}

func (r *Rack) removeNode(n *node, now time.Time) {
	for _, t := range sortedTasks(n) {
		if t.live() {
			r.end(t, worker.StateLeaseExpired, "", now)
		}
	}
	delete(r.nodes, n.host.Name)
}

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

// Tick polls workers, renews leases, repeats stops and deliveries.
func (r *Rack) Tick(now time.Time) {
	r.init()
	for _, n := range r.nodes {
		if !n.busy && !now.Before(n.nextPoll) {
			r.poll(n, now)
		}
		r.checkSilence(n, now)
		if n.health.tick(now) {
			event.WorkerReleased.Log(r.Log).Str("worker", n.host.Name).Send()
		}
	}
	for _, t := range r.tasks {
		r.tickTask(t, now)
	}
	for team, due := range r.delivery {
		if !now.Before(due) {
			r.deliver(team, now)
		}
	}
}

func (r *Rack) tickTask(t *task, now time.Time) {
	switch {
	case t.state == taskStopping && !t.stopBusy:
		r.sendStop(t)
	case t.state == taskHeld && now.After(t.leaseEnd):
		r.drop(t)
	}
	if r.lapsed(t, now) {
		r.end(t, worker.StateLeaseExpired, "", now)
	}
}

// lapsed reports whether the lease of a task has provably ended. Whoever holds
// the right to the rack and granted the lease is the only one that renews it.
func (r *Rack) lapsed(t *task, now time.Time) bool {
	if !t.live() || t.adopted || t.state == taskGranting || t.state == taskStarting {
		return false
	}
	return now.After(t.leaseEnd.Add(leaseMargin)) && r.MayStart(now)
}

func (r *Rack) checkSilence(n *node, now time.Time) {
	if now.Sub(n.lastAnswer) < silenceLimit || n.state() != nodeReady {
		return
	}
	_ = n.machine.Fire(triggerSilent)
	event.WorkerUnreachable.Log(r.Log).Str("worker", n.host.Name).Send()
}

// poll renews the leases of a worker's tasks and reads its report.
func (r *Rack) poll(n *node, now time.Time) {
	renew := worker.Renew{Epoch: r.Epoch, TTLMS: r.TaskLease.Milliseconds()}
	silent := now.Sub(n.lastAnswer) > r.TaskLease/2
	renewed := map[string]bool{}
	for _, t := range sortedTasks(n) {
		if t.state == taskRunning && !silent {
			renew.Tasks = append(renew.Tasks, t.spec.ID)
			renewed[t.spec.ID] = true
			t.leaseEnd = maxTime(t.leaseEnd, now.Add(callTimeout+r.TaskLease))
		}
	}
	n.busy = true
	client := n.client
	r.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		report, err := client.Renew(ctx, renew)
		r.Post(func() { r.polled(n, renewed, now, report, err) })
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *Rack) polled(n *node, renewed map[string]bool, sentAt time.Time, report worker.Report, err error) {
	now := r.Now()
	n.busy = false
	n.nextPoll = now.Add(idlePoll)
	if r.nodes[n.host.Name] != n {
		return
	}
	if err != nil {
		n.nextPoll = now.Add(activePoll)
		return
	}
	n.lastAnswer = sentAt
	if n.state() == nodeUnreachable {
		event.WorkerReachable.Log(r.Log).Str("worker", n.host.Name).Send()
	}
	r.applyReport(n, renewed, sentAt, report, now)
	_ = n.machine.Fire(triggerAnswered)
	r.relieve(n)
	for _, t := range n.tasks {
		if t.finite || t.state != taskRunning {
			n.nextPoll = now.Add(activePoll)
		}
	}
}

// applyReport compares a report with what is known. Tasks with a call under
// way, or confirmed after the report was asked for, are left alone.
func (r *Rack) applyReport(n *node, renewed map[string]bool, sentAt time.Time, report worker.Report, now time.Time) {
	listed := make(map[string]bool, len(report.Tasks))
	for _, row := range report.Tasks {
		listed[row.Task] = true
		t, ok := r.tasks[row.Task]
		if !ok {
			r.adopt(n, row, sentAt, now)
			continue
		}
		if renewed[row.Task] && row.State.Live() {
			t.leaseEnd = now.Add(r.TaskLease)
		}
		if t.node == n && t.live() && r.settled(t, sentAt) {
			r.applyRow(t, row, now)
		}
	}
	for _, t := range sortedTasks(n) {
		if listed[t.spec.ID] || !r.settled(t, sentAt) {
			continue
		}
		state := worker.StateLeaseExpired
		if t.state == taskUnknown {
			state = StateNotStarted
		}
		r.end(t, state, "", now)
	}
	for id, at := range n.gone {
		if now.Sub(at) > time.Minute {
			delete(n.gone, id)
		}
	}
}

func (r *Rack) settled(t *task, sentAt time.Time) bool {
	return t.state != taskGranting && t.state != taskStarting && sentAt.After(t.confirmed)
}

func (r *Rack) applyRow(t *task, row worker.Task, now time.Time) {
	t.node.learn(t, row.Usage)
	if row.State == worker.StateRunning {
		t.foundHeld = false
	}
	switch {
	case row.State == worker.StateGranted && t.state == taskUnknown:
		t.state = taskStopping
	case row.State == worker.StateRunning && t.state == taskUnknown:
		t.state = taskRunning
	case !row.State.Live():
		if len(row.Checkpoint) > 0 {
			t.resume = row.Checkpoint
		}
		r.end(t, row.State, row.Output, now)
	}
}

// adopt takes over a task that was started under an earlier owner. What a
// worker runs counts against its capacity whoever started it.
func (r *Rack) adopt(n *node, row worker.Task, sentAt, now time.Time) {
	if _, recorded := n.gone[row.Task]; recorded {
		return
	}
	index, _ := strconv.Atoi(row.Labels["index"])
	t := &task{
		spec: TaskSpec{
			ID: row.Task, Job: row.Labels["job"], Index: index, Demand: row.Demand,
			NonIdempotent: row.Labels["non-idempotent"] != "",
		},
		team:      row.Labels["team"],
		node:      n,
		state:     taskRunning,
		started:   true,
		adopted:   true,
		finite:    true,
		confirmed: sentAt,
	}
	if row.State == worker.StateGranted {
		t.state, t.foundHeld = taskStopping, true
	}
	r.tasks[row.Task] = t
	n.add(t)
	if !row.State.Live() {
		r.end(t, row.State, row.Output, now)
	}
}
