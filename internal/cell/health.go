package cell

import (
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
)

// health is what failed runs show about a worker. A worker that fails runs of several tasks in a
// row is quarantined, and on probation afterwards. Neither needs any run to end: both are over
// after a time.
type health struct {
	suspicions      []suspicion   // failures of different tasks in a row, by age
	quarantineUntil time.Duration // until when the worker gets no work
	probationUntil  time.Duration // until when it gets one run at a time
}

// suspicion is a failure of a task that has failed on one worker only.
type suspicion struct {
	task *task
	at   time.Duration
}

const (
	// quarantineFailures is the number of different tasks whose runs have failed in a row
	// after which a worker is quarantined.
	quarantineFailures = 3
	// quarantineTime is how long a quarantined worker gets no work.
	quarantineTime = 8 * time.Second
	// soleQuarantineTime is how long it gets no work of steps that no other worker can run.
	soleQuarantineTime = 4 * time.Second
	// probationTime is the length of the probation after a quarantine.
	probationTime = 8 * time.Second
	// trialTime is how long a run on probation is observed before the next one may start
	// beside it.
	trialTime = time.Second
	// suspicionTime is how long a failure counts if no run is done on the worker.
	suspicionTime = time.Minute
	// failureCooldown is how long a worker gets no work after a single failure.
	failureCooldown = 200 * time.Millisecond
)

// quarantined reports whether the worker gets no work because of its failures.
func (h *health) quarantined(now time.Duration) bool { return now < h.quarantineUntil }

// trialDue reports whether a quarantined worker may be given a run that no other worker can
// execute.
func (h *health) trialDue(now time.Duration) bool {
	return now >= h.quarantineUntil-quarantineTime+soleQuarantineTime
}

// onProbation reports whether the worker gets one run at a time.
func (h *health) onProbation(now time.Duration) bool { return now < h.probationUntil }

// retrialDue reports whether a worker on probation may be given a task that has failed on it.
// Another one has the first chance to show whether the worker or the task is at fault.
func (h *health) retrialDue(now time.Duration) bool {
	if h.quarantined(now) {
		return h.trialDue(now - trialTime)
	}
	return now >= h.quarantineUntil+trialTime
}

// clear ends the suspicions and the probation after a run that was done: the tasks that have
// failed before are at fault if they fail again.
func (h *health) clear() {
	for _, s := range h.suspicions {
		s.task.failedOnSound = true
	}
	*h = health{quarantineUntil: h.quarantineUntil}
}

// suspectTask returns the task by which failures of t are told apart: a gang fails as a whole.
func (t *task) suspectTask() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// recordWorkerFailure records a failed run of t on a worker, which then gets no work for
// failureCooldown. A task that has failed on two workers, or repeatedly on one where another was
// done meanwhile, is itself at fault, so its failures show nothing about them.
func (o *Owner) recordWorkerFailure(n *node, t *task) {
	now := o.Now()
	t = t.suspectTask()
	n.cooldownUntil = max(n.cooldownUntil, now+failureCooldown)
	switch {
	case t.atFault:
		return
	case t.failedOn != nil && (t.failedOn != n || t.failedOnSound):
		t.atFault = true
		o.withdrawSuspicion(t.failedOn, t)
		return
	}
	t.failedOn = n
	h := &n.health
	h.suspicions = slices.DeleteFunc(h.suspicions, func(s suspicion) bool { return s.task == t || now-s.at >= suspicionTime })
	h.suspicions = append(h.suspicions, suspicion{t, now})
	if len(h.suspicions) < quarantineFailures && !h.onProbation(now) {
		return
	}
	if len(h.suspicions) > quarantineFailures {
		h.suspicions = h.suspicions[1:]
	}
	h.quarantineUntil = now + quarantineTime
	h.probationUntil = h.quarantineUntil + probationTime
	event.WorkerQuarantined.Log(o.Log).Str("worker", n.worker.ID).Int("tasks", len(h.suspicions)).Dur("for", quarantineTime).Send()
}

// withdrawSuspicion withdraws what a failure of t has shown about a worker. If the other failures
// do not justify its quarantine, it is released.
func (o *Owner) withdrawSuspicion(n *node, t *task) {
	h := &n.health
	h.suspicions = slices.DeleteFunc(h.suspicions, func(s suspicion) bool { return s.task == t })
	if len(h.suspicions) >= quarantineFailures || !h.onProbation(o.Now()) {
		return
	}
	h.quarantineUntil, h.probationUntil = 0, 0
	o.passDue = true
	event.WorkerReleased.Log(o.Log).Str("worker", n.worker.ID).Str("task", t.ref().String()).Send()
}

// trialsAllowed returns how many runs a worker on probation may be given now: one, unless
// another one has just started.
func (n *node) trialsAllowed(now time.Duration) int {
	for _, r := range n.runs {
		if r.liveSince == 0 || now-r.liveSince < trialTime {
			return 0
		}
	}
	return 1
}
