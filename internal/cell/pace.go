package cell

import (
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// paceNode keeps the tasks that fill a worker from disturbing those that serve.
func (o *Owner) paceNode(n *node, now time.Duration) {
	worst := 0.0
	var fills []*run
	for _, r := range sortedRuns(n) {
		spec := r.task.step.spec
		switch {
		case r.state != runLive || r.stopping:
		case spec.BestEffort:
			fills = append(fills, r)
		case spec.LongRunning && spec.TailLatencyTarget > 0:
			worst = max(worst, float64(r.metric)/float64(spec.TailLatencyTarget.Milliseconds()))
		}
	}
	if len(fills) == 0 {
		return
	}
	for _, r := range fills {
		if r.throttleInFlight || now-r.throttledAt < pacePeriod && r.throttle < 100 {
			continue
		}
		percent := sched.Pace(r.throttle, worst)
		if percent == r.throttle {
			continue
		}
		o.pace(r, percent, worst, now)
	}
}

// pacePeriod is the time between two changes of one task's pace: the figures
// that workers report are of the last half second.
const pacePeriod = 500 * time.Millisecond

func (o *Owner) pace(r *run, percent int, worst float64, now time.Duration) {
	r.throttleInFlight = true
	r.throttledAt = now
	event.CellThrottle.Log(o.Log).Str("task", r.task.ref().String()).Str("worker", r.node.worker.ID).Int("percent", percent).
		Int("before", r.throttle).Float64("tail-of-target", worst).Send()
	order := work.RunRequest{Task: r.task.ref(), Run: r.number, Fence: r.node.fence(o.Epoch)}
	o.Throttle(r.node.worker, order, percent, func(_ work.RunResponse, err error) {
		r.throttleInFlight = false
		if err == nil {
			r.throttle = percent
			return
		}
		event.CellThrottleFailed.Log(o.Log).Str("task", order.Task.String()).Err(err).Send()
	})
}
