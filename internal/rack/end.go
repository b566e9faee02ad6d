package rack

import (
	"context"
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/worker"
)

// Stop stops tasks. The outcome of a task that is known to this owner is
// OutcomeUnknown, and an EndedTask follows once its worker has confirmed the
// stop. A task that is not known does not run if the rack is ready; its outcome
// is OutcomeStopped.
func (r *Rack) Stop(req TaskRequest, now time.Time, reply func(Results)) {
	r.init()
	if !r.MayStart(now) {
		reply(Results{NotOwner: true})
		return
	}
	var results Results
	for _, spec := range req.Tasks {
		t, ok := r.tasks[spec.ID]
		switch {
		case !ok && r.Ready():
			results.Tasks = append(results.Tasks, TaskResult{ID: spec.ID, Outcome: OutcomeStopped})
		case ok && t.state == taskEnded:
			results.Tasks = append(results.Tasks, TaskResult{ID: spec.ID, Outcome: OutcomeUnknown})
		default:
			if ok {
				t.checkpointFirst = req.Checkpoint
				r.stopTask(t)
			}
			results.Tasks = append(results.Tasks, TaskResult{ID: spec.ID, Outcome: OutcomeUnknown})
		}
	}
	reply(results)
}

// stopTask sends a stop for a task whose lease was granted. The stop of a task
// with a grant or start in flight has no effect and must be requested again.
func (r *Rack) stopTask(t *task) {
	switch t.state {
	case taskReserved, taskRunning, taskUnknown:
		t.state = taskStopping
	}
	if t.state == taskStopping && !t.stopInFlight {
		r.sendStop(t)
	}
}

// sendStop sends a stop to the worker, after a checkpoint if one is requested.
// If the stop fails, Tick sends it again.
func (r *Rack) sendStop(t *task) {
	t.stopInFlight = true
	client, id, checkpointFirst := t.node.client, t.spec.ID, t.checkpointFirst
	r.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var checkpoint []byte
		if checkpointFirst {
			// If the checkpoint fails, the next attempt starts from the beginning.
			checkpoint, _ = client.Checkpoint(ctx, id)
		}
		err := client.Stop(ctx, id)
		r.Post(func() {
			t.stopInFlight = false
			if len(checkpoint) > 0 {
				t.resume = checkpoint
			}
			if !t.live() {
				return
			}
			if err == nil {
				r.endTask(t, worker.StateStopped, "", r.Now())
			}
			if worker.Refused(err) && r.Now().After(t.leaseEnd) {
				r.endTask(t, worker.StateLeaseExpired, "", r.Now())
			}
		})
	})
}

// endTask frees the resources of a task that is confirmed terminated, and
// schedules the delivery of its EndedTask. A task that was never started is
// removed without one.
func (r *Rack) endTask(t *task, state worker.State, output string, now time.Time) {
	t.node.remove(t)
	if !t.started && !t.adopted {
		delete(r.tasks, t.spec.ID)
		return
	}
	t.state = taskEnded
	t.ended = EndedTask{
		ID: t.spec.ID, Job: t.spec.Job, Index: t.spec.Index,
		Worker: t.node.host.Name, State: state, Output: output, Resume: t.resume, Usage: t.maxUsage,
	}
	r.recordEnd(t.node, t.spec.Job, state, now)
	event.TaskEnded.Log(r.Log).Str("task", t.spec.ID).Str("state", string(state)).Str("worker", t.node.host.Name).Send()
	// The next tick delivers all tasks that ended in one report together.
	r.nextDelivery[t.team] = now
}

// deliver sends the ended tasks of a team to its queue, and schedules a retry in
// case the queue does not record them.
func (r *Rack) deliver(team string, now time.Time) {
	batch := EndedBatch{Team: team, Shard: r.ID}
	for _, id := range slices.Sorted(maps.Keys(r.tasks)) {
		t := r.tasks[id]
		if t.team == team && t.state == taskEnded {
			batch.Tasks = append(batch.Tasks, t.ended)
		}
	}
	if len(batch.Tasks) == 0 {
		delete(r.nextDelivery, team)
		return
	}
	r.nextDelivery[team] = now.Add(deliveryRetryInterval)
	r.Deliver(batch, func(ids []string) { r.handleRecorded(ids) })
}

// handleRecorded removes ended tasks that their queue has recorded, here and at
// their workers.
func (r *Rack) handleRecorded(ids []string) {
	byNode := map[*node][]string{}
	for _, id := range ids {
		t, ok := r.tasks[id]
		if !ok || t.state != taskEnded {
			continue
		}
		delete(r.tasks, id)
		byNode[t.node] = append(byNode[t.node], id)
	}
	for n, recorded := range byNode {
		n.markRecorded(recorded, r.Now())
		client := n.client
		r.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_ = client.Forget(ctx, recorded)
		})
	}
}

// Report returns all started tasks of a team and fences its lower epochs. It
// returns only NotOwner while the rack is draining or this process's lease of
// the rack has expired, because a successor may run tasks that are not known
// here.
func (r *Rack) Report(req ReportRequest, now time.Time) (report Report) {
	r.init()
	if r.draining || !r.MayStart(now) {
		return Report{NotOwner: true}
	}
	r.fences[req.Team] = max(r.fences[req.Team], req.TeamEpoch)
	report.Epoch, report.Complete = r.Epoch, r.Ready()
	for _, id := range slices.Sorted(maps.Keys(r.tasks)) {
		t := r.tasks[id]
		if t.team != req.Team {
			continue
		}
		if t.state == taskGranting || t.state == taskStarting {
			report.Complete = false
		}
		if !t.started {
			// A reserved task does not run, and only the queue that requested the
			// reservation may start it.
			continue
		}
		report.Tasks = append(report.Tasks, ReportedTask{
			ID: id, Job: t.spec.Job, Index: t.spec.Index,
			Worker: t.node.host.Name, Demand: t.spec.Demand, EndState: t.ended.State,
			Running: t.live() && !t.adoptedUnstarted,
		})
	}
	return report
}
