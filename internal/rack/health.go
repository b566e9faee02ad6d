package rack

import (
	"time"

	"turmericspread.org/turmericspread/internal/worker"
)

// health tells workers that fail everything from jobs that fail everywhere:
// only a run of failures without a success in between counts.
type health struct {
	failures    int
	quarantined bool
	until       time.Time
	backoff     time.Duration
}

const (
	failureLimit  = 5
	probeDelay    = 5 * time.Second
	maxProbeDelay = 5 * time.Minute
)

func (n *node) record(state worker.State, now time.Time) {
	switch state {
	case worker.StateFinished:
		n.health = health{}
	case worker.StateFailed:
		n.health.fail(now)
	}
}

func (h *health) fail(now time.Time) {
	h.failures++
	if h.failures < failureLimit {
		return
	}
	h.backoff = min(max(probeDelay, 2*h.backoff), maxProbeDelay)
	h.quarantined = true
	h.until = now.Add(h.backoff)
}

// tick ends a quarantine on probation: the next failure begins another, longer one.
func (h *health) tick(now time.Time) {
	if h.quarantined && now.After(h.until) {
		h.quarantined = false
		h.failures = failureLimit - 1
	}
}

// afterReport is called once a report has been applied.
func (r *Rack) afterReport(*node, time.Time) {}
