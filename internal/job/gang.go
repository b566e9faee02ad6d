package job

import (
	"fmt"
	"math/rand/v2"
	"time"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/shard"
)

// gangState describes the progress of starting a gang.
type gangState string

const (
	gangIdle      gangState = ""
	gangReserving gangState = "holding"  // reservation requests are in flight
	gangStarting  gangState = "starting" // all resources are reserved, start requests are in flight
	gangBroken    gangState = "broken"   // a member ended early, the others are being stopped
)

const (
	// minGangBackoff and maxGangBackoff bound the random backoff after a failed
	// reservation, so that gangs contending for the same racks retry at
	// different times.
	minGangBackoff = 100 * time.Millisecond
	maxGangBackoff = 400 * time.Millisecond
)

// notSent reports whether a call to a peer failed before the request was sent.
func notSent(err error) bool { return err != nil && peer.ErrUnreachable.Has(err) }

// scheduleGang reserves resources for all tasks of a gang that have not ended,
// once all of them are pending. Reservations expire, and all of them are released
// if one is refused, so gangs that contend for the same resources cannot deadlock.
func (q *Queue) scheduleGang(j *job, p *plan, now time.Time) {
	if j.gang != gangIdle || j.pending < j.open {
		return
	}
	if !q.admit(j, int64(j.open)) {
		return
	}
	chosen := map[*task]shard.ID{}
	for _, t := range j.tasks {
		if t.state != TaskPending {
			continue
		}
		t.demand = j.demand()
		id, ok := p.chooseRack(t)
		if !ok {
			j.retryAt = now.Add(noCapacityDelay)
			j.reason = fmt.Sprintf("room for %d of the gang's %d tasks", len(chosen), j.open)
			q.ForgetPlan()
			return
		}
		chosen[t] = id
		t.shard = id
		p.reserve(t)
	}
	j.reason = ""
	j.gang = gangReserving
	batches := map[shard.ID][]rack.TaskSpec{}
	for _, t := range j.tasks {
		if id, ok := chosen[t]; ok {
			q.beginAttempt(t, id)
			batches[id] = append(batches[id], t.spec())
		}
	}
	q.reserveGang(j, batches)
}

// reserveGang sends a reservation request to each rack and continues with
// startReservedGang once all racks have responded.
func (q *Queue) reserveGang(j *job, batches map[shard.ID][]rack.TaskSpec) {
	outstanding, reserved := len(batches), 0
	for id, specs := range batches {
		q.callsInFlight++
		req := rack.AssignRequest{Shard: id, Team: q.Team, TeamEpoch: q.Epoch, Reserve: true, Tasks: specs}
		q.Assign(req, func(results rack.Results, _ error) {
			q.callsInFlight--
			outstanding--
			for _, result := range results.Tasks {
				if result.Outcome == rack.OutcomeReserved {
					reserved++
				}
			}
			if outstanding == 0 {
				q.startReservedGang(j, batches, reserved)
			}
		})
	}
}

// startReservedGang starts the gang if all of its tasks have a reservation, and
// releases the reservations otherwise.
func (q *Queue) startReservedGang(j *job, batches map[shard.ID][]rack.TaskSpec, reserved int) {
	total := 0
	for _, specs := range batches {
		total += len(specs)
	}
	if reserved < total || j.record.Cancelled || !q.MayStart(q.Now()) {
		q.releaseReservations(j, batches)
		return
	}
	j.gang = gangStarting
	outstanding, started := len(batches), 0
	for id, specs := range batches {
		q.callsInFlight++
		req := rack.TaskRequest{Shard: id, Team: q.Team, TeamEpoch: q.Epoch, Tasks: specs}
		q.StartReserved(req, func(results rack.Results, err error) {
			q.callsInFlight--
			outstanding--
			q.applyResults(specs, results, err)
			for _, result := range results.Tasks {
				if result.Outcome == rack.OutcomeStarted {
					started++
				}
			}
			if outstanding > 0 {
				return
			}
			j.gang = gangIdle
			if started < total {
				q.breakGang(j, q.Now())
			}
		})
	}
}

// releaseReservations releases the reservations of a gang. A task with only a
// reservation was never started, so it becomes pending again immediately.
func (q *Queue) releaseReservations(j *job, batches map[shard.ID][]rack.TaskSpec) {
	now := q.Now()
	q.addHistory(j, "not all holds of the gang were granted, all are given back")
	for id, specs := range batches {
		req := rack.TaskRequest{Shard: id, Team: q.Team, TeamEpoch: q.Epoch, Tasks: specs}
		q.Stop(req, func(rack.Results, error) {})
		for _, spec := range specs {
			if t, ok := q.tasks[spec.ID]; ok {
				q.requeue(t, now)
			}
		}
	}
	j.gang = gangIdle
	j.retryAt = now.Add(minGangBackoff + rand.N(maxGangBackoff-minGangBackoff))
	j.reason = "another job took the room that the gang was to have"
	if j.record.Cancelled {
		q.cancelTasks(j)
		q.endJobIfComplete(j)
	}
}

// breakGang stops the remaining members of a gang after one has ended early,
// because all members of a gang run together or none does.
func (q *Queue) breakGang(j *job, now time.Time) {
	j.gang = gangBroken
	q.addHistory(j, "a member of the gang ended early, the others are stopped")
	for _, t := range j.tasks {
		if t.state == TaskRunning {
			q.setState(t, TaskStopping)
			q.stop(t)
		}
	}
	q.updateGang(j, now)
}

// updateGang breaks a gang of which only some members run. Once no member runs,
// it makes the gang eligible for a restart, or cancels its pending members if
// one has failed permanently.
func (q *Queue) updateGang(j *job, now time.Time) {
	if j.record.Policy.Kind != config.KindGang || j.record.Cancelled || j.gang == gangReserving || j.gang == gangStarting {
		return
	}
	running, pending, lost := 0, 0, false
	for _, t := range j.tasks {
		switch {
		case t.state.occupies():
			running++
		case t.state == TaskPending:
			pending++
		case t.state == TaskFailed || t.state == TaskUnknown:
			lost = true
		}
	}
	if j.gang != gangBroken && running > 0 && (pending > 0 || lost) {
		q.breakGang(j, now)
		return
	}
	if running > 0 {
		return
	}
	j.gang = gangIdle
	for _, t := range j.tasks {
		if lost && t.state == TaskPending {
			q.setState(t, TaskCancelled)
		}
		if !lost && pending > 0 && t.state == TaskDone {
			// All members of a restarted gang run again.
			t.job.open++
			t.job.pending++
			t.state = TaskPending
		}
	}
	j.retryAt = now.Add(minGangBackoff)
}
