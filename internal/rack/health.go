package rack

import (
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/worker"
)

// health decides whether a worker is quarantined because tasks fail on it. To
// distinguish a broken worker from a job that fails on every worker, it counts
// jobs instead of tasks: several jobs must fail on the worker without a success
// in between.
type health struct {
	failedJobs     map[string]bool // jobs that failed since the last success
	quarantined    bool
	probation      bool // the next failure starts another quarantine
	quarantineEnd  time.Time
	quarantineTime time.Duration
}

const (
	// quarantineAfterJobs is how many jobs must fail on a worker without a
	// success in between before the worker is quarantined.
	quarantineAfterJobs = 3
	// minQuarantine is the time of the first quarantine. Every further failure
	// on probation doubles it, up to maxQuarantine.
	minQuarantine = 5 * time.Second
	maxQuarantine = 5 * time.Minute
)

// recordEnd updates the health of a worker with the end of a task of job.
func (r *Rack) recordEnd(n *node, job string, state worker.State, now time.Time) {
	switch state {
	case worker.StateFinished:
		n.health = health{}
	case worker.StateFailed:
		if n.health.recordFailure(job, now) {
			event.WorkerQuarantined.Log(r.Log).Str("worker", n.host.Name).Dur("for", n.health.quarantineTime).Send()
		}
	}
}

// recordFailure counts a failure and reports whether it starts a quarantine.
func (h *health) recordFailure(job string, now time.Time) (begins bool) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	if h.quarantined || len(h.failedJobs) < quarantineAfterJobs && !h.probation {
		return false
	}
	h.quarantineTime = min(max(minQuarantine, 2*h.quarantineTime), maxQuarantine)
	h.quarantined, h.probation = true, true
	h.quarantineEnd = now.Add(h.quarantineTime)
	return true
}

// tick ends a quarantine whose time is over, and reports whether it did. The
// worker stays on probation until a task succeeds.
func (h *health) tick(now time.Time) (ends bool) {
	if !h.quarantined || now.Before(h.quarantineEnd) {
		return false
	}
	h.quarantined = false
	return true
}
