package rack

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/worker"
)

// grant requests a lease for a task from its worker. Unless reserve is set, the
// task is started once the lease is granted.
func (r *Rack) grant(t *task, reserve bool) {
	grant := worker.Grant{
		Task:   t.spec.ID,
		Epoch:  r.Epoch,
		Demand: t.spec.Demand,
		TTLMS:  t.ttl.Milliseconds(),
		Labels: labelsOf(t),
	}
	client := t.node.client
	r.callWorker(func(ctx context.Context) error { return client.Grant(ctx, grant) }, func(now time.Time, err error) {
		r.grantDone(t, reserve, now, err)
	})
}

// callWorker runs fn on another goroutine with a timeout, and then done on the
// control goroutine.
func (r *Rack) callWorker(fn func(ctx context.Context) error, done func(now time.Time, err error)) {
	r.startCalls++
	r.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := fn(ctx)
		r.Post(func() {
			r.startCalls--
			done(r.Now(), err)
		})
	})
}

// grantDone processes the response to a grant.
func (r *Rack) grantDone(t *task, reserve bool, now time.Time, err error) {
	if r.tasks[t.spec.ID] != t {
		// The worker was removed from the host list while the grant was in flight.
		t.respond(OutcomeNoCapacity)
		return
	}
	switch {
	case err == nil:
		t.confirmedAt = now
		t.leaseEnd = now.Add(t.ttl)
		t.state = taskReserved
		if reserve {
			t.respond(OutcomeReserved)
			return
		}
		r.start(t, now)
	case worker.Refused(err):
		r.discard(t)
		t.node.pollNow()
		t.respond(OutcomeNoCapacity)
	default:
		// The worker may have granted the lease, but the task cannot run because
		// no start was sent.
		t.state = taskStopping
		t.respond(OutcomeNoCapacity)
	}
}

// start starts a task whose lease was granted. The task's lease must expire
// before this process's lease of the rack, so that the worker rejects a start
// that arrives when another process may own the rack.
func (r *Rack) start(t *task, now time.Time) {
	if !r.MayStart(now) || t.leaseEnd.After(r.LeaseEnd()) || !t.node.acceptsWork() && !t.adopted {
		t.state = taskStopping
		t.respond(OutcomeNoCapacity)
		return
	}
	r.Checks.Check(invariant.LeavingTarget, !t.node.host.Leaving(), "worker", t.node.host.Name)
	t.state = taskStarting
	t.started = true
	start := worker.Start{Task: t.spec.ID, Epoch: r.Epoch, Payload: t.spec.Payload, Resume: t.spec.Resume}
	client := t.node.client
	rackLeaseEnd := r.LeaseEnd()
	r.callWorker(func(ctx context.Context) error {
		sent := r.Now()
		if !sent.Before(rackLeaseEnd) {
			// The process was paused after MayStart was checked. The start is
			// not sent.
			return worker.ErrLeaseExpired
		}
		r.Checks.Check(invariant.LeaseBeforeStart, sent.Before(rackLeaseEnd), "task", start.Task)
		return client.Start(ctx, start)
	}, func(now time.Time, err error) { r.startDone(t, now, err) })
}

// startDone processes the response to a start.
func (r *Rack) startDone(t *task, now time.Time, err error) {
	switch {
	case t.state != taskStarting:
		// The worker was removed from the host list while the start was in flight.
		t.respond(OutcomeUnknown)
	case err == nil:
		t.confirmedAt = now
		t.state = taskRunning
		t.node.renewSoon(now)
		t.respond(OutcomeStarted)
		event.TaskStarted.Log(r.Log).Str("task", t.spec.ID).Str("worker", t.node.host.Name).Send()
	case worker.Refused(err):
		r.discard(t)
		t.respond(OutcomeNoCapacity)
	default:
		t.state = taskUnknown
		t.confirmedAt = now
		t.respond(OutcomeUnknown)
		event.TaskUnknown.Log(r.Log).Str("task", t.spec.ID).Str("worker", t.node.host.Name).Err(err).Send()
	}
}

// respond reports the outcome of the current request, at most once.
func (t *task) respond(outcome Outcome) {
	if t.reply != nil {
		t.reply(outcome)
		t.reply = nil
	}
}

// discard removes a task that does not run and frees its reservation.
func (r *Rack) discard(t *task) {
	t.node.remove(t)
	delete(r.tasks, t.spec.ID)
}

// StartReserved starts tasks under their reservations. It calls reply once with
// all results.
func (r *Rack) StartReserved(req TaskRequest, now time.Time, reply func(Results)) {
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
			collect.add(spec.ID, OutcomeNoCapacity, "")
		case t.state != taskReserved:
			collect.add(spec.ID, t.outcome(), t.node.host.Name)
		default:
			t.spec.Payload, t.spec.Resume = spec.Payload, spec.Resume
			t.reply = func(outcome Outcome) { collect.add(t.spec.ID, outcome, t.node.host.Name) }
			r.start(t, now)
		}
	}
}

// labelsOf returns the labels that the worker keeps with a task. A later owner
// of the rack reads them when it adopts the task.
func labelsOf(t *task) map[string]string {
	labels := map[string]string{"team": t.team, "job": t.spec.Job, "index": strconv.Itoa(t.spec.Index)}
	if t.spec.NonIdempotent {
		labels["non-idempotent"] = "true"
	}
	return labels
}

// collector collects the results of one request and calls reply when all are
// there.
type collector struct {
	outstanding int
	results     Results
	reply       func(Results)
}

// newCollector returns a collector of n results. If n is 0, it calls reply immediately.
func newCollector(n int, reply func(Results)) *collector {
	c := &collector{outstanding: n, reply: reply}
	if n == 0 {
		reply(Results{})
	}
	return c
}

// add adds one result. After the last one it replies with all results, by ID.
func (c *collector) add(id string, outcome Outcome, workerName string) {
	c.results.Tasks = append(c.results.Tasks, TaskResult{ID: id, Outcome: outcome, Worker: workerName})
	c.outstanding--
	if c.outstanding == 0 {
		slices.SortFunc(c.results.Tasks, func(a, b TaskResult) int { return strings.Compare(a.ID, b.ID) })
		c.reply(c.results)
	}
}
