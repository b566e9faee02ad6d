package cell

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

type runState int

const (
	runPlanned   runState = iota // its record is being written
	runOrdered                   // the start was sent and not answered yet
	runLive                      // the worker has confirmed or listed it
	runUnsettled                 // the start was not answered: a stop will settle it
	runInherited                 // recorded by an earlier owner, not yet found on its worker
)

// run is one start of a task. It occupies its worker until its end is listed or
// it is proved that it never began.
type run struct {
	task     *task
	node     *node
	number   int64
	state    runState
	born     int64 // life of the worker that it was meant for
	version  int64 // of the job's record that has the run first
	ticket   string
	want     resource.Vector // what it takes of the worker's capacity
	ordered  time.Duration   // when the start was sent
	settled  time.Duration   // when a worker's answer last proved what the run is
	since    time.Duration   // when it was first seen live
	atWork   bool            // a long-running task that reports full work
	percent  int
	whole    bool          // this owner has started it, from the beginning
	first    int           // percent when it was first looked at
	firstAt  time.Duration // when that was
	mark     int           // percent at markAt
	markAt   time.Duration // when percent was mark
	looked   time.Duration // when the speed was measured last
	slowness float64       // then, against like tasks elsewhere; 0: not known
	figure   int
	pace     int // percent that the worker was told; 100 at the start
	paceBusy bool
	pacedAt  time.Duration
	stopping bool
	stopSent time.Duration
	stopBusy bool
	reason   string
}

const (
	// startDeadline is how long after its sending a start may still be carried
	// out. Starts that are held up longer are refused by the worker, so an order
	// without an answer is settled soon.
	startDeadline = 1500 * time.Millisecond
	// stopRetry is the time between two orders to stop the same run.
	stopRetry = 400 * time.Millisecond
	// runsPerEpoch separates the run numbers of successive owners: starts that
	// were ordered without a record do not meet those of a successor.
	runsPerEpoch = 1000
)

// attach makes r occupy its worker and counts it for its team.
func (o *Owner) attach(r *run) {
	spec := r.task.step.spec
	r.task.dropCopy()
	r.want = spec.Demand
	if spec.BestEffort {
		r.want.MilliCores = 0
	}
	r.pace = 100
	r.task.runs = append(r.task.runs, r)
	if len(r.task.runs) == 1 {
		r.task.step.running++
	}
	r.task.run = max(r.task.run, r.number)
	r.node.runs[runKey{r.task, r.number}] = r
	r.node.used = r.node.used.Add(r.want)
	team := r.task.step.job.spec.Team
	o.usage[team] = o.usage[team].Add(spec.Demand)
}

// detach frees what r occupied.
func (o *Owner) detach(r *run) {
	key := runKey{r.task, r.number}
	if r.node.runs[key] != r {
		return
	}
	delete(r.node.runs, key)
	r.node.used = r.node.used.Sub(r.want)
	t := r.task
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	if len(t.runs) == 0 {
		t.step.running--
		t.lastAway = o.Now()
	}
	team := t.step.job.spec.Team
	o.usage[team] = o.usage[team].Sub(t.step.spec.Demand)
	o.touch(t.step.job)
	o.changed = true
}

// nextRun returns the number of the next start of a task.
func (o *Owner) nextRun(t *task) int64 {
	return max(t.run+1, (o.Epoch-1)*runsPerEpoch+1)
}

// plan decides to run t on n. The start is sent once the decision is recorded.
func (o *Owner) plan(t *task, n *node, number int64, ticket string) {
	j := t.step.job
	r := &run{task: t, node: n, number: number, state: runPlanned, born: n.born, ticket: ticket}
	o.attach(r)
	j.begun = true
	o.record(j, recordSoon)
	r.version = j.version
	if !o.StoreUp() && n.inDirectory && o.confirmed(o.Now()) {
		// The store is away: nobody can have taken over, and work goes on.
		o.send(r)
	}
}

// sendPlanned sends the starts that are recorded in version or before. When the
// store is away they are sent without a record.
func (o *Owner) sendPlanned(j *job, version int64) {
	if o.deposed {
		return
	}
	if !o.StoreUp() && !o.confirmed(o.Now()) {
		return
	}
	for _, s := range j.steps {
		var due []*run
		for _, t := range s.tasks {
			for _, r := range t.runs {
				if r.state == runPlanned && (r.version <= version || !o.StoreUp()) {
					due = append(due, r)
				}
			}
		}
		o.sendAll(s, due)
	}
}

// sendAll sends the starts of a step. Those whose worker has gone meanwhile are
// taken back, and with them all others of a gang: nothing of it was sent yet.
func (o *Owner) sendAll(s *step, due []*run) {
	now := o.Now()
	sound := func(r *run) bool {
		known := r.node.inDirectory || r.version <= r.task.step.job.saved
		return known && !r.stopping && r.node.usable(now) && r.born == r.node.born
	}
	whole := !s.spec.Gang || !slices.ContainsFunc(due, func(r *run) bool { return !sound(r) })
	for _, r := range due {
		if whole && sound(r) {
			o.send(r)
		} else {
			o.detach(r)
		}
	}
	if s.waiting == ReasonRecord {
		o.waitFor(s, s.recorded(), now)
	}
}

// breakGang stops the other members of a gang that cannot all be present, so
// that they need not wait for the missing one.
func (o *Owner) breakGang(missing *run, reason string) {
	s := missing.task.step
	if !s.spec.Gang {
		return
	}
	for _, t := range s.tasks {
		for _, r := range slices.Clone(t.runs) {
			if r != missing && r.number == missing.number {
				o.stopRun(r, reason)
			}
		}
	}
}

// confirmFor is how long the answer of a worker to this owner's fence proves,
// with those of most other workers, that no successor has begun. A successor
// that saw trouble with the store waits longer than that and startDeadline.
const confirmFor = 2 * time.Second

// confirmed reports whether this owner may start work without a record: most
// workers have answered under its fence within confirmFor, so no successor has
// fenced most of them before.
func (o *Owner) confirmed(now time.Duration) bool {
	listed, heard := 0, 0
	for _, n := range o.order {
		if !n.listed {
			continue
		}
		listed++
		if n.heard && now-n.confirmed < confirmFor {
			heard++
		}
	}
	return 2*heard > listed
}

func (o *Owner) send(r *run) {
	now := o.Now()
	n := r.node
	r.state = runOrdered
	r.ordered = now
	r.whole = r.task.startCheckpoint() == ""
	if s := r.task.step; s.startedAt == 0 {
		s.startedAt = now
		o.OnStepStarted(s.job.spec.Queue, o.WallClock()-s.ready())
	}
	order := work.StartRequest{
		Task: r.task.ref(), Run: r.number, Payload: r.task.step.job.spec.Payload,
		Deadline: n.clockAt(now) + startDeadline, Fence: n.fence(o.Epoch),
		Checkpoint: r.task.startCheckpoint(), Ticket: r.ticket,
	}
	n.extend(now, startDeadline)
	o.Counters.Starts++
	event.CellStart.Log(o.Log).Str("task", order.Task.String()).Int64("run", r.number).Str("worker", n.w.ID).
		Int64("fence", order.Fence).Dur("waited", o.WallClock()-r.task.step.job.spec.Accepted).Send()
	o.Start(n.w, order, func(report work.RunResponse, err error) { o.startDone(r, report, err) })
}

// startCheckpoint returns where a start resumes. All members of a gang must
// carry the same checkpoint.
func (t *task) startCheckpoint() string {
	if !t.step.spec.Gang {
		return t.checkpoint
	}
	return t.step.tasks[0].checkpoint
}

func (o *Owner) startDone(r *run, report work.RunResponse, err error) {
	now := o.Now()
	n := r.node
	if r.state != runOrdered {
		return // listed meanwhile, or the worker's life is over
	}
	switch {
	case err == nil:
		r.state = runLive
		r.settled, r.since = now, now
		n.noteClock(report.Clock, r.ordered, now)
		n.confirmed = max(n.confirmed, r.ordered)
	case errs.Is(err, work.ErrFenced):
		o.fenced(n, n.fence(o.Epoch))
	case work.IsRefusal(err):
		o.Counters.StartsRefused++
		event.CellStartRefused.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", n.w.ID).
			Err(err).Send()
		o.startRefused(r, err, now)
	default:
		o.Counters.StartsUnknown++
		r.state = runUnsettled
		event.CellStartUnknown.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", n.w.ID).
			Err(err).Send()
		o.stopRun(r, "start not answered")
		o.breakGang(r, "a member of the gang did not answer")
	}
}

func (o *Owner) startRefused(r *run, err error, now time.Duration) {
	n := r.node
	t := r.task
	switch {
	case errs.Is(err, work.ErrInvalidTicket):
		t.step.advice.drop(n.w.ID)
	case errs.Is(err, work.ErrUnhealthy):
		n.restUntil = now + unhealthyRest
	case errs.Is(err, work.ErrOtherIncarnation):
		n.heard = false
		n.nextHold = now
	case errs.Is(err, work.ErrNoCapacity):
		// What is believed of the worker is wrong: look before the next start.
		n.restUntil = now + refusedRest
	default:
		t.retryAt = now + refusedRest
	}
	o.detach(r)
	o.breakGang(r, "a member of the gang was refused")
}

const (
	// unhealthyRest is how long a worker that says it is unhealthy gets no work.
	unhealthyRest = time.Second
	// refusedRest is the pause after a refusal that contradicts what is believed.
	refusedRest = 100 * time.Millisecond
)

// stopRun orders the end of a run, again and again until it is settled.
func (o *Owner) stopRun(r *run, reason string) {
	if r.state == runPlanned {
		if !r.stopping {
			r.stopping, r.reason = true, reason
		}
		return
	}
	if !r.stopping {
		r.stopping, r.reason = true, reason
		event.CellStop.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", r.node.w.ID).
			Str("reason", reason).Send()
	}
	o.sendStop(r)
}

func (o *Owner) sendStop(r *run) {
	now := o.Now()
	n := r.node
	if r.stopBusy || o.deposed || !n.heard {
		return
	}
	r.stopBusy = true
	r.stopSent = now
	o.Counters.Stops++
	order := work.RunRequest{Task: r.task.ref(), Run: r.number, Fence: n.fence(o.Epoch)}
	o.Stop(n.w, order, func(report work.RunResponse, err error) {
		r.stopBusy = false
		switch {
		case err == nil:
			n.noteClock(report.Clock, now, o.Now())
			if r.settled == 0 {
				// From now on the start is refused; a look sent later settles the rest.
				r.settled = o.Now()
				n.nextHold = min(n.nextHold, o.Now())
			}
		case errs.Is(err, work.ErrFenced):
			o.fenced(n, order.Fence)
		}
	})
}

// runEnded takes note of an end that a worker lists.
func (o *Owner) runEnded(n *node, t *task, r *run, end work.RunResult) {
	j := t.step.job
	event.CellEnd.Log(o.Log).Str("task", end.Task.String()).Int64("run", end.Run).Str("worker", n.w.ID).
		Str("how", string(end.Reason)).Int64("number", end.Sequence).Send()
	if end.Checkpoint != "" {
		t.keepCheckpoint(end.Checkpoint)
	}
	if r != nil {
		o.detach(r)
	} else {
		o.touch(j)
	}
	t.run = max(t.run, end.Run)
	switch end.Reason {
	case work.EndDone:
		o.Counters.RunsDone++
		o.doneEnd(n, t, r)
	case work.EndFailed:
		o.Counters.RunsFailed++
		n.failed(o.Now())
		o.taskFailed(t, end.Run, n.w.ID)
	default:
		o.Counters.RunsEndedOtherwise++
		if end.Reason == work.EndGangIncomplete {
			t.retryAt = o.Now() + refusedRest
		}
	}
	o.changed = true
}

// doneEnd ends the copies of a task that is done. One member of a gang stands
// for all of them.
func (o *Owner) doneEnd(n *node, t *task, r *run) {
	n.succeeded()
	if r != nil && r.whole && r.since > 0 {
		o.learn(r, o.Now()-r.since)
	}
	if t.step.spec.LongRunning {
		return // to be started again, however it ended
	}
	o.taskDone(t)
	if t.step.spec.Gang {
		for _, member := range t.step.tasks {
			o.taskDone(member)
		}
		return
	}
	for _, copied := range slices.Clone(t.runs) {
		o.stopRun(copied, "another copy is done")
	}
}

func (t *task) keepCheckpoint(checkpoint string) {
	if !t.step.spec.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range t.step.tasks {
		member.checkpoint = checkpoint
	}
}

// lost frees a run that is proved not to go on, without a listed end.
func (o *Owner) lost(r *run, reason string) {
	o.Counters.RunsLost++
	event.CellRunLost.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", r.node.w.ID).
		Str("reason", reason).Send()
	o.detach(r)
	o.breakGang(r, "a member of the gang was lost")
}
