package rack

import (
	"context"
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/worker"
)

// Stop stops tasks. A task is reported stopped once the worker has confirmed
// it; until then its result is OutcomeUnknown and a message about its end follows.
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
				t.save = req.Checkpoint
				r.stopTask(t)
			}
			results.Tasks = append(results.Tasks, TaskResult{ID: spec.ID, Outcome: OutcomeUnknown})
		}
	}
	reply(results)
}

func (r *Rack) stopTask(t *task) {
	switch t.state {
	case taskHeld, taskRunning, taskUnknown:
		t.state = taskStopping
	}
	if t.state == taskStopping && !t.stopBusy {
		r.sendStop(t)
	}
}

func (r *Rack) sendStop(t *task) {
	t.stopBusy = true
	client, id, save := t.node.client, t.spec.ID, t.save
	r.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var saved []byte
		if save {
			// Without a checkpoint the task begins anew.
			saved, _ = client.Checkpoint(ctx, id)
		}
		err := client.Stop(ctx, id)
		r.Post(func() {
			t.stopBusy = false
			if len(saved) > 0 {
				t.resume = saved
			}
			if !t.live() {
				return
			}
			if err == nil {
				r.end(t, worker.StateStopped, "", r.Now())
			}
			if worker.Refused(err) && r.Now().After(t.leaseEnd) {
				r.end(t, worker.StateLeaseExpired, "", r.Now())
			}
		})
	})
}

// end frees the resources of a task that is proved to run no more, and keeps
// the message to its queue.
func (r *Rack) end(t *task, state worker.State, output string, now time.Time) {
	t.node.remove(t)
	if !t.started && !t.adopted {
		delete(r.tasks, t.spec.ID)
		return
	}
	t.state = taskEnded
	t.ended = EndedTask{
		ID: t.spec.ID, Job: t.spec.Job, Index: t.spec.Index,
		Worker: t.node.host.Name, State: state, Output: output, Resume: t.resume, Usage: t.most,
	}
	r.record(t.node, t.spec.Job, state, now)
	event.TaskEnded.Log(r.Log).Str("task", t.spec.ID).Str("state", string(state)).Str("worker", t.node.host.Name).Send()
	// Tasks that end in one report go out together, on the next tick.
	r.delivery[t.team] = now
}

// deliver sends the ended tasks of a team to its queue.
func (r *Rack) deliver(team string, now time.Time) {
	batch := EndedBatch{Team: team, Shard: r.ID}
	for _, id := range slices.Sorted(maps.Keys(r.tasks)) {
		t := r.tasks[id]
		if t.team == team && t.state == taskEnded {
			batch.Tasks = append(batch.Tasks, t.ended)
		}
	}
	if len(batch.Tasks) == 0 {
		delete(r.delivery, team)
		return
	}
	r.delivery[team] = now.Add(deliveryRetry)
	r.Deliver(batch, func(ids []string) { r.recorded(ids) })
}

// recorded forgets ended tasks that their queue has recorded.
func (r *Rack) recorded(ids []string) {
	byNode := map[*node][]string{}
	for _, id := range ids {
		t, ok := r.tasks[id]
		if !ok || t.state != taskEnded {
			continue
		}
		delete(r.tasks, id)
		byNode[t.node] = append(byNode[t.node], id)
	}
	for n, forgotten := range byNode {
		n.forgotten(forgotten, r.Now())
		client := n.client
		r.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_ = client.Forget(ctx, forgotten)
		})
	}
}

// Report lists all tasks of a team and fences its lower epochs. Without the
// right to the rack nothing is told: a successor may run tasks not known here.
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
			// A hold runs nothing, and only the queue that asked for it may start it.
			continue
		}
		report.Tasks = append(report.Tasks, ReportedTask{
			ID: id, Job: t.spec.Job, Index: t.spec.Index,
			Worker: t.node.host.Name, Demand: t.spec.Demand, EndState: t.ended.State,
			Running: t.live() && !t.foundHeld,
		})
	}
	return report
}
