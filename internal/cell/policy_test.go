package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// attempts returns the attempts of the queue, of the last version of the tables that had it.
func (s *sim) attempts() int {
	if len(s.tables.Queues) > 0 {
		return s.tables.Queues[0].Attempts
	}
	return s.removedQueue.Attempts
}

// setQueue replaces the queue in the tables; without one, the operators remove it.
func (s *sim) setQueue(queues ...work.Queue) {
	tables := *s.tables
	tables.Version++
	if len(tables.Queues) > 0 {
		s.removedQueue = tables.Queues[0]
	}
	tables.Queues = queues
	tables.BuildIndexes()
	s.tables = &tables
}

// replaceOwner kills the owner, and a successor takes over half a second later.
func (s *sim) replaceOwner() {
	s.owner.kill()
	s.run(s.now + 500*time.Millisecond)
	s.claim()
}

// TestRemovedQueueKeepsItsAttempts guards against a job of a removed queue that is
// abandoned at its first failed run, because a new owner does not know its attempts.
func TestRemovedQueueKeepsItsAttempts(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("a", newStep(2, 2*time.Second))
	s.jobs["a"].spec.Payload = firstRunFails
	s.run(500 * time.Millisecond)
	s.setQueue()
	s.run(time.Second)
	s.replaceOwner()
	s.run(30 * time.Second)
	s.assertState("a", work.StateCompleted)
	assert.Equal(t, s.ackedFailures["a.0.0.0"], 1)
}

// TestRemovedQueueStartsWaitingTasks guards against waiting tasks of a removed queue that
// are never started, because a new owner does not know their service.
func TestRemovedQueueStartsWaitingTasks(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	second := newStep(2, time.Second)
	second.After = []int{0}
	s.submit("a", newStep(2, time.Second), second)
	s.run(500 * time.Millisecond)
	s.setQueue()
	s.replaceOwner()
	s.run(12 * time.Second)
	s.assertState("a", work.StateCompleted)
}

// TestJobAcceptedWhileItsQueueIsRemoved guards against a job that never starts, because
// its owner had applied the removal of the queue before the job was accepted elsewhere.
func TestJobAcceptedWhileItsQueueIsRemoved(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.run(500 * time.Millisecond)
	former := s.tables // of the accepting host
	s.setQueue()
	s.run(time.Second)
	job := &work.Job{
		ID: "a", Team: "team", Queue: "q", Steps: []work.Step{newStep(2, time.Second)}, Accepted: s.now, Policy: former.Policy("q", "team", nil),
	}
	s.jobs["a"] = &simJob{spec: job}
	s.owner.call(func() { s.owner.Accept(job) })
	s.run(6 * time.Second)
	s.assertState("a", work.StateCompleted)
}

// TestChangedPolicyIsKept guards against a successor that governs a job of a removed queue
// by the policy at the time of its acceptance, although the operators changed it since.
func TestChangedPolicyIsKept(t *testing.T) {
	s := newSim(t, 1, 4)
	queue := s.tables.Queues[0]
	once := queue
	once.Attempts = 1
	s.setQueue(once)
	s.claim()
	s.submit("a", newStep(1, 3*time.Second))
	s.jobs["a"].spec.Payload = firstRunFails
	s.run(500 * time.Millisecond)
	s.setQueue(queue) // with more attempts
	s.run(time.Second)
	s.setQueue()
	s.replaceOwner()
	s.run(30 * time.Second)
	s.assertState("a", work.StateCompleted)
	s.setQueue(queue)
	s.run(31 * time.Second)
	s.assertState("a", work.StateCompleted)
}

// TestJobWithoutPolicyWaitsForItsQueue covers a job that a host of a former version
// accepted: nothing is known of its queue, so no failure may end it before the queue is in
// the tables again. The attempts count from then on.
func TestJobWithoutPolicyWaitsForItsQueue(t *testing.T) {
	for _, tc := range []struct {
		name    string
		payload string
		want    work.State
	}{
		{"the first run fails", firstRunFails, work.StateCompleted},
		{"every run fails", "fails", work.StateFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 4)
			s.claim()
			queue := s.tables.Queues[0]
			s.submit("a", newStep(1, 2*time.Second))
			s.jobs["a"].spec.Payload, s.jobs["a"].spec.Policy = tc.payload, nil
			s.run(40 * time.Millisecond)
			s.owner.kill()
			s.removeStoredPolicy("a") // the former version stored none
			s.setQueue()
			s.claim()
			s.run(10 * time.Second)
			s.assertState("a", work.StateRunning)
			s.setQueue(queue)
			s.run(30 * time.Second)
			s.assertState("a", tc.want)
		})
	}
}

// removeStoredPolicy removes the policy from the progress record of a job.
func (s *sim) removeStoredPolicy(id string) {
	record := s.store.records[id]
	p, err := work.DecodeProgress(record.data)
	assert.NilError(s.t, err)
	p.Policy = nil
	record.data, err = work.EncodeProgress(p)
	assert.NilError(s.t, err)
	s.store.records[id] = record
}

// TestRemovedTeamKeepsItsMaximum guards against a team without a limit: the operators
// remove the team while its jobs wait, and another process takes over.
func TestRemovedTeamKeepsItsMaximum(t *testing.T) {
	s := newSim(t, 1, 4)
	s.tables.Teams["team"] = work.Team{Name: "team", Weight: 10, Maximum: resource.Vector{MilliCores: 3000}}
	s.claim()
	s.submit("a", newStep(9, time.Second))
	s.run(500 * time.Millisecond)
	tables := *s.tables
	tables.Teams = map[string]work.Team{}
	tables.BuildIndexes()
	s.tables = &tables
	for s.now < 12*time.Second {
		if s.now == time.Second {
			s.replaceOwner()
		}
		s.run(s.now + 10*time.Millisecond)
		running := 0
		for _, w := range s.workers {
			running += len(w.runs)
		}
		assert.Assert(t, running <= 3, "%d tasks run, the team may have 3", running)
	}
	s.assertState("a", work.StateCompleted)
}
