package cell

import (
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// throttleNode throttles the best-effort tasks of a worker so that they do not slow
// down its latency-sensitive service tasks.
func (o *Owner) throttleNode(n *node, now time.Duration) {
	worstTail := 0.0
	var bestEffort []*run
	for _, r := range sortedRuns(n) {
		spec := r.task.step.spec
		switch {
		case r.state != runLive || r.stopping:
		case spec.BestEffort:
			bestEffort = append(bestEffort, r)
		case spec.LongRunning && spec.TailLatencyTarget > 0:
			worstTail = max(worstTail, float64(r.metric)/float64(spec.TailLatencyTarget.Milliseconds()))
		}
	}
	if len(bestEffort) == 0 {
		return
	}
	for _, r := range bestEffort {
		if r.throttleInFlight || now-r.throttledAt < throttleInterval && r.throttle < 100 {
			continue
		}
		percent := sched.Throttle(r.throttle, worstTail)
		if percent == r.throttle && !r.throttleUnknown {
			continue
		}
		o.setThrottle(r, percent, worstTail, now)
	}
}

// throttleInterval is the interval between two changes of a task's throttle: the latencies
// that workers report cover the last half second.
const throttleInterval = 500 * time.Millisecond

// setThrottle requests a throttle percent for a run. The run keeps the former
// percent unless the worker confirms the new one.
func (o *Owner) setThrottle(r *run, percent int, worstTail float64, now time.Duration) {
	r.throttleInFlight = true
	r.throttledAt = now
	event.CellThrottle.Log(o.Log).Str("task", r.task.ref().String()).Str("worker", r.node.worker.ID).Int("percent", percent).
		Int("before", r.throttle).Float64("tail-of-target", worstTail).Send()
	request := work.RunRequest{Task: r.task.ref(), Run: r.number, Fence: r.node.fence(o.Epoch)}
	o.Throttle(r.node.addressee(), request, percent, func(_ work.RunResponse, err error) {
		r.throttleInFlight = false
		if err == nil {
			r.throttle, r.throttleUnknown = percent, false
			return
		}
		event.CellThrottleFailed.Log(o.Log).Str("task", request.Task.String()).Err(err).Send()
	})
}
