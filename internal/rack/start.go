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

func (r *Rack) grant(t *task, hold bool) {
	grant := worker.Grant{
		Task:   t.spec.ID,
		Epoch:  r.Epoch,
		Demand: t.spec.Demand,
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
		t.answer(OutcomeNoCapacity)
		return
	}
	switch {
	case err == nil:
		t.confirmed = now
		t.leaseEnd = now.Add(t.ttl)
		t.state = taskHeld
		if hold {
			t.answer(OutcomeReserved)
			return
		}
		r.start(t, now)
	case worker.Refused(err):
		r.drop(t)
		t.node.relist()
		t.answer(OutcomeNoCapacity)
	default:
		// The lease may stand, but no start was sent: the task cannot run.
		t.state = taskStopping
		t.answer(OutcomeNoCapacity)
	}
}

// start sends the start of a task whose lease was granted. The lease must end
// within the right, so that a late start finds no lease.
func (r *Rack) start(t *task, now time.Time) {
	if !r.MayStart(now) || t.leaseEnd.After(r.LeaseEnd()) || !t.node.takesWork() && !t.adopted {
		t.state = taskStopping
		t.answer(OutcomeNoCapacity)
		return
	}
	r.Checks.Check(invariant.LeavingTarget, !t.node.host.Leaving(), "worker", t.node.host.Name)
	t.state = taskStarting
	t.started = true
	start := worker.Start{Task: t.spec.ID, Epoch: r.Epoch, Payload: t.spec.Payload, Resume: t.spec.Resume}
	client := t.node.client
	right := r.LeaseEnd()
	r.call(func(ctx context.Context) error {
		sent := r.Now()
		if !sent.Before(right) {
			// The process was paused since the decision: nothing is sent.
			return worker.ErrLeaseExpired
		}
		r.Checks.Check(invariant.LeaseBeforeStart, sent.Before(right), "task", start.Task)
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
		t.answer(OutcomeNoCapacity)
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

// StartReserved starts tasks under their holds.
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
		case t.state != taskHeld:
			collect.add(spec.ID, t.outcome(), t.node.host.Name)
		default:
			t.spec.Payload, t.spec.Resume = spec.Payload, spec.Resume
			t.reply = func(outcome Outcome) { collect.add(t.spec.ID, outcome, t.node.host.Name) }
			r.start(t, now)
		}
	}
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
