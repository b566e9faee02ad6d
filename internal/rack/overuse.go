package rack

import (
	"context"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
)

// learn takes in what a task was reported to use. The larger of what it
// declared and what it uses counts against its worker; the reservation falls
// back when a throttled task uses less.
func (n *node) learn(t *task, usage resource.Vector) {
	t.usage = usage
	t.most = t.most.Max(usage)
	reserved := t.spec.Demand.Max(usage)
	n.used = n.used.Sub(t.reserved).Add(reserved)
	t.reserved = reserved
}

// relieve acts when the tasks of a worker use more than it has: processors are
// throttled, and the task furthest above what it declared is checkpointed and
// stopped when memory runs out.
func (r *Rack) relieve(n *node) {
	over := n.used.Sub(n.host.Capacity)
	if over.MilliCores > 0 {
		r.throttle(n, func(t *task) int64 { return t.reserved.MilliCores - t.spec.Demand.MilliCores })
	}
	if over.MemoryMB > 0 {
		r.evict(n, func(t *task) int64 { return t.reserved.MemoryMB - t.spec.Demand.MemoryMB })
	}
}

// worst returns the running task furthest above what it declared; those that
// may run again go first.
func worst(n *node, excess func(t *task) int64, eligible func(t *task) bool) (found *task) {
	for _, t := range sortedTasks(n) {
		if t.state != taskRunning || excess(t) <= 0 || !eligible(t) {
			continue
		}
		switch {
		case found == nil, found.spec.NonIdempotent && !t.spec.NonIdempotent:
			found = t
		case found.spec.NonIdempotent == t.spec.NonIdempotent && excess(t) > excess(found):
			found = t
		}
	}
	return found
}

func (r *Rack) throttle(n *node, excess func(t *task) int64) {
	t := worst(n, excess, func(t *task) bool { return !t.throttled })
	if t == nil {
		return
	}
	t.throttled = true
	event.TaskThrottled.Log(r.Log).Str("task", t.spec.ID).Str("worker", n.host.Name).Send()
	client, id, limit := n.client, t.spec.ID, t.spec.Demand
	r.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := client.Throttle(ctx, id, limit); err != nil {
			r.Post(func() { t.throttled = false })
		}
	})
}

func (r *Rack) evict(n *node, excess func(t *task) int64) {
	for _, t := range n.tasks {
		if t.state == taskStopping {
			// One at a time: what it frees shows in the next report.
			return
		}
	}
	t := worst(n, excess, func(*task) bool { return true })
	if t == nil {
		return
	}
	event.TaskEvicted.Log(r.Log).Str("task", t.spec.ID).Str("worker", n.host.Name).Send()
	t.save = true
	r.stopTask(t)
}
