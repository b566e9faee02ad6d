package cell

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

type runState int

const (
	runPlanned   runState = iota // its record is being written
	runSent                      // the start was sent and is not answered yet
	runLive                      // the worker has confirmed or listed it
	runUncertain                 // the start was not answered; a stop resolves it
	runInherited                 // recorded by an earlier owner, not yet found on its worker
)

// run is one numbered attempt to execute a task. It occupies its worker until its
// end is listed or it is confirmed that it never started.
type run struct {
	task             *task
	node             *node
	number           int64
	state            runState
	incarnation      int64 // incarnation of the worker for which it was planned
	version          int64 // first version of the job's progress record that has the run
	ticket           string
	demand           resource.Vector // resources that it takes on the worker
	sentAt           time.Duration   // when the start was sent
	resolvedAt       time.Duration   // when a response of the worker last confirmed whether the run exists
	liveSince        time.Duration   // when it was first observed live
	serving          bool            // a long-running task that reports full service
	percent          int
	fromStart        bool          // started by this owner from the beginning of the task
	firstPercent     int           // percent at firstAt
	firstAt          time.Duration // when the progress was first observed
	baselinePercent  int           // percent at baselineAt
	baselineAt       time.Duration // when the progress last increased
	measuredAt       time.Duration // when the speed was last measured
	slowness         float64       // at that time, relative to sibling tasks elsewhere; 0 if unknown
	metric           int           // tail latency in milliseconds of a service task
	throttle         int           // percent that the worker was set to; 100 at the start
	throttleUnknown  bool          // a former owner may have set another percent
	throttleInFlight bool
	throttledAt      time.Duration
	stopping         bool
	stopSentAt       time.Duration
	stopInFlight     bool
	stopReason       string
}

const (
	// startDeadline is how long after it was sent a start may be executed at most. The
	// worker rejects starts that arrive later, so a start without a response can be
	// resolved soon.
	startDeadline = 1500 * time.Millisecond
	// maxDrainingTime is how long after the reading of the worker list a start may be executed
	// at the latest. A worker must get no work two seconds after it has announced a drain.
	maxDrainingTime = 1900 * time.Millisecond
	// stopRetryInterval is the interval between two requests to stop the same run.
	stopRetryInterval = 400 * time.Millisecond
	// runsPerEpoch separates the run numbers of successive owners, so that starts
	// that were sent without a record do not collide with those of a successor.
	runsPerEpoch = 1000
)

// attach reserves the resources of r on its worker and charges them to its team.
func (o *Owner) attach(r *run) {
	spec := r.task.step.spec
	r.task.cancelCopy()
	r.demand = spec.Demand
	if spec.BestEffort {
		r.demand.MilliCores = 0
	}
	r.throttle = 100
	r.task.runs = append(r.task.runs, r)
	r.task.step.job.runs++
	if len(r.task.runs) == 1 {
		r.task.step.tasksRunning++
	}
	r.task.lastRun = max(r.task.lastRun, r.number)
	r.node.runs[runKey{r.task, r.number}] = r
	r.node.used = r.node.used.Add(r.demand)
	o.takeSpare(r)
	team := r.task.step.job.spec.Team
	o.usage[team] = o.usage[team].Add(spec.Demand)
}

// adopt attaches a run of a former owner. Its throttle is not known and counts as the
// lowest, so that it is raised step by step.
func (o *Owner) adopt(r *run) {
	o.attach(r)
	r.throttle, r.throttleUnknown = 0, true
}

// detach frees the resources of r.
func (o *Owner) detach(r *run) {
	key := runKey{r.task, r.number}
	if r.node.runs[key] != r {
		return
	}
	delete(r.node.runs, key)
	r.node.used = r.node.used.Sub(r.demand)
	t := r.task
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	t.step.job.runs--
	if len(t.runs) == 0 {
		t.step.tasksRunning--
		t.lastDetachedAt = o.Now()
	}
	team := t.step.job.spec.Team
	o.usage[team] = o.usage[team].Sub(t.step.spec.Demand)
	o.markDirty(t.step.job)
	o.passDue = true
}

// nextRunNumber returns the number of the next run of a task.
func (o *Owner) nextRunNumber(t *task) int64 {
	return max(t.lastRun+1, (o.Epoch-1)*runsPerEpoch+1)
}

// planRun assigns t to n. The start is sent once the decision is recorded.
func (o *Owner) planRun(t *task, n *node, number int64, ticket string) {
	j := t.step.job
	r := &run{task: t, node: n, number: number, state: runPlanned, incarnation: n.incarnation, ticket: ticket}
	o.attach(r)
	o.markDirtyWithin(j, urgentSaveDelay)
	r.version = j.version
	if !o.StoreUp() && n.inDirectory && o.mayStartUnrecorded(o.Now()) {
		// The store is unavailable, so no successor can have taken over: continue
		// without a record.
		o.noteUnrecorded(j)
		o.sendStart(r)
	}
}

// sendPlannedStarts sends the starts that are recorded up to the given version. If
// the store is unavailable, it sends all planned starts, provided that
// mayStartUnrecorded allows it, and otherwise withdraws those that are recorded.
func (o *Owner) sendPlannedStarts(j *job, version int64) {
	if o.ownershipLost {
		return
	}
	storeUp := o.StoreUp()
	unrecorded := !storeUp && o.mayStartUnrecorded(o.Now())
	for _, s := range j.steps {
		var due []*run
		for _, t := range s.tasks {
			for _, r := range slices.Clone(t.runs) {
				switch {
				case r.state != runPlanned:
				case unrecorded || storeUp && r.version <= version:
					due = append(due, r)
				case r.version <= j.savedVersion:
					// The store became unavailable after it had recorded the start. No later
					// write would send it.
					o.detach(r)
				}
			}
		}
		o.sendStarts(s, due)
	}
}

// sendStarts sends the starts of a step. Starts whose worker has since become unusable
// are withdrawn, and with them the rest of a gang, of which nothing was sent yet.
func (o *Owner) sendStarts(s *step, due []*run) {
	now := o.Now()
	sendable := func(r *run) bool {
		// A successor has to find the run, through the worker directory or the record.
		known := r.node.inDirectory || r.version <= r.task.step.job.savedVersion
		return known && !r.stopping && r.node.startable(now) && r.incarnation == r.node.incarnation
	}
	if !o.listIsFresh(now) {
		// The record took so long that workers may have started to drain.
		sendable = func(*run) bool { return false }
	}
	complete := !s.spec.Gang || !slices.ContainsFunc(due, func(r *run) bool { return !sendable(r) })
	for _, r := range due {
		if complete && sendable(r) {
			if r.version > r.task.step.job.savedVersion {
				o.noteUnrecorded(r.task.step.job)
			}
			o.sendStart(r)
		} else {
			o.detach(r)
		}
	}
	if s.waitReason == ReasonRecord {
		o.setWaitReason(s, s.reasonOnceAssigned(), now)
	}
}

// stopGang stops the other members of a gang after one of them is missing, so that
// they do not wait for it.
func (o *Owner) stopGang(missing *run, reason string) {
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

// confirmationValidity is how long responses of a majority of the workers under
// this owner's fencing token prove that no successor is established.
const confirmationValidity = 2 * time.Second

// mayStartUnrecorded reports whether this owner may start work without a record: no
// successor had fenced a majority of the workers that it queries before the last responses,
// and no other host that was heard from recently has access to the store.
func (o *Owner) mayStartUnrecorded(now time.Duration) bool {
	return !o.suspendUnrecorded && !o.passive(now) && o.PeersLostStore() && o.majorityConfirmed(now)
}

// sendStart sends the start of a planned run. The worker may execute it within
// startDeadline even if its lease is not renewed, so leaseExpiry is postponed
// accordingly.
func (o *Owner) sendStart(r *run) {
	now := o.Now()
	n := r.node
	r.state = runSent
	r.sentAt = now
	r.fromStart = r.task.startCheckpoint() == ""
	if s := r.task.step; s.startedAt == 0 {
		s.startedAt = now
		o.OnStepStarted(s.job.spec.Queue, o.WallClock()-s.runnableSince())
	}
	request := work.StartRequest{
		Task: r.task.ref(), Run: r.number, Payload: r.task.step.job.spec.Payload,
		Deadline: n.clockAt(now) + o.startWindow(now), Fence: n.fence(o.Epoch),
		Checkpoint: r.task.startCheckpoint(), Ticket: r.ticket,
	}
	n.extendLease(now, startDeadline)
	o.Counters.Starts++
	event.CellStart.Log(o.Log).Str("task", request.Task.String()).Int64("run", r.number).Str("worker", n.worker.ID).
		Int64("fence", request.Fence).Dur("waited", o.WallClock()-r.task.step.job.spec.Accepted).Func(r.logStart).Send()
	o.Start(n.addressee(), request, func(response work.RunResponse, err error) { o.handleStartResponse(r, response, err) })
}

// logStart adds what explains the run time later, if it is unusual: the learned slowness of the
// worker, and that the run resumes from saved progress.
func (r *run) logStart(line *zerolog.Event) {
	if slowness := r.node.slowness(); slowness != 1 {
		line.Float64("slowness", slowness)
	}
	if !r.fromStart {
		line.Bool("resumed", true)
	}
}

// startWindow returns how long a start that is sent now may be executed. By then the worker must
// not have been draining for too long, which the list shows as of the time of its reading.
func (o *Owner) startWindow(now time.Duration) time.Duration {
	if !o.StoreUp() {
		return startDeadline
	}
	return min(startDeadline, maxDrainingTime-(now-o.workersListedAt))
}

// startCheckpoint returns the checkpoint from which a start resumes. All members of
// a gang must carry the same one.
func (t *task) startCheckpoint() string {
	if !t.step.spec.Gang {
		return t.checkpoint
	}
	return t.step.tasks[0].checkpoint
}

// handleStartResponse processes the response to a start. A start without a response is
// resolved by a stop.
func (o *Owner) handleStartResponse(r *run, response work.RunResponse, err error) {
	now := o.Now()
	n := r.node
	if r.state != runSent {
		return // listed in the meantime, or the worker's incarnation has ended
	}
	switch {
	case err == nil:
		r.state = runLive
		r.task.step.job.begun = true
		r.resolvedAt, r.liveSince = now, now
		n.recordClock(response.Clock, r.sentAt, now)
		n.confirmedAt = max(n.confirmedAt, r.sentAt)
	case errs.Is(err, work.ErrFenced):
		o.handleFenced(n, n.fence(o.Epoch))
	case work.IsRefusal(err):
		o.Counters.StartsRefused++
		event.CellStartRefused.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", n.worker.ID).
			Err(err).Send()
		o.handleStartRefusal(r, err, now)
	default:
		o.Counters.StartsUnknown++
		r.state = runUncertain
		event.CellStartUnknown.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", n.worker.ID).
			Err(err).Send()
		o.stopRun(r, "start not answered")
		o.stopGang(r, "a member of the gang did not answer")
	}
}

// handleStartRefusal withdraws a run whose start was refused, and delays the next start
// according to the reason.
func (o *Owner) handleStartRefusal(r *run, err error, now time.Duration) {
	n := r.node
	t := r.task
	switch {
	case errs.Is(err, work.ErrInvalidTicket):
		t.step.advice.drop(n.worker.ID)
	case errs.Is(err, work.ErrUnhealthy):
		n.cooldownUntil = now + unhealthyCooldown
	case errs.Is(err, work.ErrOtherIncarnation):
		n.resolved = false
		n.queryNext(now)
	case errs.Is(err, work.ErrRestarted):
		n.queryNext(now)
	case errs.Is(err, work.ErrNoCapacity):
		// The view of the worker is wrong: refresh it before the next start.
		n.cooldownUntil = now + refusalCooldown
	default:
		t.retryAt = now + refusalCooldown
	}
	o.detach(r)
	o.stopGang(r, "a member of the gang was refused")
}

const (
	// unhealthyCooldown is how long a worker that reports unhealthy gets no work.
	unhealthyCooldown = time.Second
	// refusalCooldown is the cooldown after a refusal that contradicts the owner's
	// view.
	refusalCooldown = 100 * time.Millisecond
)

// stopRun requests the stop of a run and retries until the run is resolved.
func (o *Owner) stopRun(r *run, reason string) {
	if r.state == runPlanned {
		if !r.stopping {
			r.stopping, r.stopReason = true, reason
		}
		return
	}
	if !r.stopping {
		r.stopping, r.stopReason = true, reason
		event.CellStop.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", r.node.worker.ID).
			Str("reason", reason).Send()
	}
	o.sendStop(r)
}

// sendStop sends a stop unless one is in flight or the worker has not responded
// under the current fencing token; scanNode retries it. The run stays attached until
// the worker lists its end or no longer lists the run.
func (o *Owner) sendStop(r *run) {
	now := o.Now()
	n := r.node
	if r.stopInFlight || o.ownershipLost || !n.responded {
		return
	}
	r.stopInFlight = true
	r.stopSentAt = now
	o.Counters.Stops++
	request := work.RunRequest{Task: r.task.ref(), Run: r.number, Fence: n.fence(o.Epoch)}
	o.Stop(n.addressee(), request, func(response work.RunResponse, err error) {
		r.stopInFlight = false
		switch {
		case err == nil:
			n.recordClock(response.Clock, now, o.Now())
			if r.resolvedAt == 0 {
				// From now on the worker rejects the start; a renewal that is sent later
				// resolves the rest.
				r.resolvedAt = o.Now()
				n.nextRenewal = min(n.nextRenewal, o.Now())
			}
		case errs.Is(err, work.ErrFenced):
			o.handleFenced(n, request.Fence)
		case errs.Is(err, work.ErrRestarted):
			n.queryNext(o.Now())
		}
	})
}

// handleRunEnd processes the end of a run that a worker lists.
func (o *Owner) handleRunEnd(n *node, t *task, r *run, end work.RunResult) {
	j := t.step.job
	event.CellEnd.Log(o.Log).Str("task", end.Task.String()).Int64("run", end.Run).Str("worker", n.worker.ID).
		Str("how", string(end.Reason)).Int64("number", end.Sequence).Bool("saved", end.Checkpoint != "").Send()
	if end.Checkpoint != "" {
		t.setCheckpoint(end.Checkpoint, o.Now())
	}
	if r != nil {
		o.detach(r)
	} else {
		o.markDirty(j)
	}
	t.lastRun = max(t.lastRun, end.Run)
	j.begun = true
	switch end.Reason {
	case work.EndDone:
		o.Counters.RunsDone++
		o.handleRunDone(n, t, r)
	case work.EndFailed:
		o.Counters.RunsFailed++
		o.recordWorkerFailure(n, t)
		o.recordTaskFailure(t, end.Run, n.worker.ID)
	default:
		o.Counters.RunsEndedOtherwise++
		if end.Reason == work.EndGangIncomplete {
			t.retryAt = o.Now() + refusalCooldown
		}
	}
	o.passDue = true
}

// handleRunDone completes a task and stops its speculative copies. The
// success of one member of a gang completes all of them.
func (o *Owner) handleRunDone(n *node, t *task, r *run) {
	n.health.clear()
	if r != nil && r.fromStart && r.liveSince > 0 {
		o.recordRunTime(r, o.Now()-r.liveSince)
	}
	if t.step.spec.LongRunning {
		return // restarted however it ended
	}
	o.completeTask(t)
	if t.step.spec.Gang {
		for _, member := range t.step.tasks {
			o.completeTask(member)
		}
		return
	}
	for _, duplicate := range slices.Clone(t.runs) {
		o.stopRun(duplicate, "another copy is done")
	}
}

// setCheckpoint sets the checkpoint from which the task resumes, for a gang that of
// all members.
func (t *task) setCheckpoint(checkpoint string, now time.Duration) {
	if !t.step.spec.Gang {
		t.checkpoint, t.savedAt = checkpoint, now
		return
	}
	for _, member := range t.step.tasks {
		member.checkpoint, member.savedAt = checkpoint, now
	}
}

// loseRun frees a run that is confirmed not to continue and has no listed end.
func (o *Owner) loseRun(r *run, reason string) {
	o.Counters.RunsLost++
	event.CellRunLost.Log(o.Log).Str("task", r.task.ref().String()).Int64("run", r.number).Str("worker", r.node.worker.ID).
		Str("reason", reason).Send()
	o.detach(r)
	o.stopGang(r, "a member of the gang was lost")
}
