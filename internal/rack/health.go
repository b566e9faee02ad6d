package rack

import (
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/worker"
)

// health tells workers that fail everything from jobs that fail everywhere:
// only failures of different jobs, without a success in between, count against
// a worker.
type health struct {
	jobs        map[string]bool // jobs that failed since the last success
	quarantined bool
	probation   bool // the next failure begins another quarantine
	until       time.Time
	backoff     time.Duration
}

const (
	// failedJobs is how many jobs must fail in a row before a worker is quarantined.
	failedJobs    = 3
	probeDelay    = 5 * time.Second
	maxProbeDelay = 5 * time.Minute
)

// record counts the end of a task on a worker.
func (r *Rack) record(n *node, job string, state worker.State, now time.Time) {
	switch state {
	case worker.StateFinished:
		n.health = health{}
	case worker.StateFailed:
		if n.health.fail(job, now) {
			event.WorkerQuarantined.Log(r.Log).Str("worker", n.host.Name).Dur("for", n.health.backoff).Send()
		}
	}
}

// fail counts a failure and reports whether it begins a quarantine.
func (h *health) fail(job string, now time.Time) (begins bool) {
	if h.jobs == nil {
		h.jobs = map[string]bool{}
	}
	h.jobs[job] = true
	if h.quarantined || len(h.jobs) < failedJobs && !h.probation {
		return false
	}
	h.backoff = min(max(probeDelay, 2*h.backoff), maxProbeDelay)
	h.quarantined, h.probation = true, true
	h.until = now.Add(h.backoff)
	return true
}

// tick ends a quarantine; the worker is on probation until a task succeeds.
func (h *health) tick(now time.Time) (ends bool) {
	if !h.quarantined || now.Before(h.until) {
		return false
	}
	h.quarantined = false
	return true
}
