package rack

import (
	"context"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
)

// recordUsage records the reported usage of a task. In each dimension the larger
// of the task's demand and its usage is reserved on the worker, so that the
// reservation shrinks again when a throttled task uses less.
func (n *node) recordUsage(t *task, usage resource.Vector) {
	t.usage = usage
	t.maxUsage = t.maxUsage.Max(usage)
	reserved := t.spec.Demand.Max(usage)
	n.used = n.used.Sub(t.reserved).Add(reserved)
	t.reserved = reserved
}

// relieveOverload acts if the reservations of a worker exceed its capacity. If
// they exceed its cores, it throttles the task that exceeds its demand for cores
// most. If they exceed its memory, it checkpoints and stops the task that exceeds
// its demand for memory most.
func (r *Rack) relieveOverload(n *node) {
	overuse := n.used.Sub(n.host.Capacity)
	if overuse.MilliCores > 0 {
		r.throttle(n, func(t *task) int64 { return t.reserved.MilliCores - t.spec.Demand.MilliCores })
	}
	if overuse.MemoryMB > 0 {
		r.evict(n, func(t *task) int64 { return t.reserved.MemoryMB - t.spec.Demand.MemoryMB })
	}
}

// largestOveruse returns the eligible running task that exceeds its demand most,
// or nil if there is none. Idempotent tasks are preferred because they may run
// again.
func largestOveruse(n *node, overuse func(t *task) int64, eligible func(t *task) bool) (found *task) {
	for _, t := range sortedTasks(n) {
		if t.state != taskRunning || overuse(t) <= 0 || !eligible(t) {
			continue
		}
		switch {
		case found == nil, found.spec.NonIdempotent && !t.spec.NonIdempotent:
			found = t
		case found.spec.NonIdempotent == t.spec.NonIdempotent && overuse(t) > overuse(found):
			found = t
		}
	}
	return found
}

// throttle limits the task with the largest overuse to its demand. A call that
// fails is repeated after a later report.
func (r *Rack) throttle(n *node, overuse func(t *task) int64) {
	t := largestOveruse(n, overuse, func(t *task) bool { return !t.throttled })
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

// evict checkpoints and stops the task with the largest overuse.
func (r *Rack) evict(n *node, overuse func(t *task) int64) {
	for _, t := range n.tasks {
		if t.state == taskStopping {
			// Stop one task at a time, because only the next report shows how
			// much this stop frees.
			return
		}
	}
	t := largestOveruse(n, overuse, func(*task) bool { return true })
	if t == nil {
		return
	}
	event.TaskEvicted.Log(r.Log).Str("task", t.spec.ID).Str("worker", n.host.Name).Send()
	t.checkpointFirst = true
	r.stopTask(t)
}
