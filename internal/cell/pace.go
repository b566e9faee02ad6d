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
	for _, r := range runsOf(n) {
		spec := r.task.step.spec
		switch {
		case r.state != runLive || r.stopping:
		case spec.BestEffort:
			fills = append(fills, r)
		case spec.LongRunning && spec.TailLatencyTarget > 0:
			worst = max(worst, float64(r.figure)/float64(spec.TailLatencyTarget.Milliseconds()))
		}
	}
	if len(fills) == 0 {
		return
	}
	for _, r := range fills {
		if r.paceBusy || now-r.pacedAt < pacePeriod && r.pace < 100 {
			continue
		}
		percent := sched.Pace(r.pace, worst)
		if percent == r.pace {
			continue
		}
		o.pace(r, percent, worst, now)
	}
}

// pacePeriod is the time between two changes of one task's pace: the figures
// that workers report are of the last half second.
const pacePeriod = 500 * time.Millisecond

func (o *Owner) pace(r *run, percent int, worst float64, now time.Duration) {
	r.paceBusy = true
	r.pacedAt = now
	event.CellThrottle.Log(o.Log).Str("task", r.task.ref().String()).Str("worker", r.node.w.ID).Int("percent", percent).
		Int("before", r.pace).Float64("tail-of-target", worst).Send()
	order := work.RunRequest{Task: r.task.ref(), Run: r.number, Fence: r.node.fence(o.Epoch)}
	o.Throttle(r.node.w, order, percent, func(_ work.RunResponse, err error) {
		r.paceBusy = false
		if err == nil {
			r.pace = percent
			return
		}
		event.CellThrottleFailed.Log(o.Log).Str("task", order.Task.String()).Err(err).Send()
	})
}
