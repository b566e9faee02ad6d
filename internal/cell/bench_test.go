package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// BenchmarkPass measures one scheduling pass over a backlog without free capacity.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{48, 200}, {350, 1000}, {3800, 3000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.jobs), func(b *testing.B) {
			s := newSim(&testing.T{}, 1, size.workers)
			for i := range s.tables.Queues {
				s.tables.Queues[i].Advice = &work.Advice{Decide: 20 * time.Millisecond, Valid: time.Second}
			}
			s.claim()
			for i := range size.jobs {
				s.submit(fmt.Sprintf("j%d", i), newStep(6, time.Second))
			}
			s.run(500 * time.Millisecond)
			b.ResetTimer()
			for range b.N {
				s.owner.schedule(s.now)
			}
		})
	}
}

// BenchmarkPassWithPlan is like BenchmarkPass, with a plan of what to delay in each pass. The
// owner plans at most every planInterval.
func BenchmarkPassWithPlan(b *testing.B) {
	s := newSim(&testing.T{}, 1, 350)
	s.claim()
	for i := range 1000 {
		s.submit(fmt.Sprintf("j%d", i), newStep(6, time.Second))
	}
	s.run(500 * time.Millisecond)
	b.ResetTimer()
	for range b.N {
		s.owner.nextPlan = 0
		s.owner.schedule(s.now)
	}
}

// TestPassOverBacklogChecksFewWorkers checks that a pass in a full cell with a long
// backlog skips tasks that fit nowhere, with and without placement advice.
func TestPassOverBacklogChecksFewWorkers(t *testing.T) {
	const workers, jobs, passes = 350, 900, 20
	for _, advised := range []bool{false, true} {
		t.Run(fmt.Sprintf("advised=%t", advised), func(t *testing.T) {
			s := newSim(t, 1, workers)
			if advised {
				s.tables.Queues[0].Advice = &work.Advice{Decide: 20 * time.Millisecond, Valid: time.Second}
			}
			s.claim()
			// Each worker has four cores; these tasks occupy all of them and do not end.
			filler := work.Step{Count: workers, Demand: resource.Vector{MilliCores: 4000, MemoryMB: 500}, Estimate: time.Hour}
			s.submit("filler", filler)
			s.run(20 * time.Second)
			for i := range jobs {
				s.submit(fmt.Sprintf("j%d", i), newStep(6, time.Second))
			}
			s.run(s.now + 2*time.Second)
			before := s.owner.Counters.CandidatesChecked
			for range passes {
				s.owner.schedule(s.now)
			}
			checked := s.owner.Counters.CandidatesChecked - before
			t.Logf("%d workers checked in %d passes over %d steps", checked, passes, jobs)
			assert.Assert(t, checked <= passes*workers, "a pass checks each worker many times")
		})
	}
}

// TestFirstPassChecksAllSteps has more steps waiting than passHeadSteps.
func TestFirstPassChecksAllSteps(t *testing.T) {
	const workers, jobs = 100, 2 * passHeadSteps
	s := newSim(t, 1, workers)
	s.claim()
	s.run(time.Second)
	for i := range jobs {
		job := &work.Job{ID: fmt.Sprintf("j%d", i), Team: "team", Queue: "q", Steps: []work.Step{newStep(1, time.Second)}, Accepted: s.now}
		s.jobs[job.ID] = &simJob{spec: job}
		s.owner.Accept(job)
	}
	s.owner.schedule(s.now)
	for _, j := range s.owner.active {
		assert.Equal(t, len(j.tasks[0].runs), 1, "%s was not checked", j.spec.ID)
	}
}

// TestSlowPassesReachAllSteps has the top-ranked steps use up the time of each pass
// without finding free capacity: a step of another pool, which has free capacity, is
// reached nevertheless.
func TestSlowPassesReachAllSteps(t *testing.T) {
	const blocked, passes = 80, 400
	s := newSim(t, 1, 3)
	// One worker has free cores, the other free memory: no task fits on either, although
	// the pool has both.
	s.workers["w00"].worker.Capacity = resource.Vector{MilliCores: 4000, MemoryMB: 100}
	s.workers["w01"].worker.Capacity = resource.Vector{MilliCores: 100, MemoryMB: 8000}
	s.workers["w02"].worker.Pool = "other"
	s.tables.Queues = append(s.tables.Queues, work.Queue{Name: "low", Service: "other", Attempts: 3, Stretch: 2, Priority: 2})
	s.tables.BuildIndexes()
	s.claim()
	s.run(time.Second)
	accept := func(id, queue string) {
		job := &work.Job{ID: id, Team: "team", Queue: queue, Steps: []work.Step{newStep(1, time.Second)}, Accepted: s.now}
		s.jobs[id] = &simJob{spec: job}
		s.owner.Accept(job)
	}
	for i := range blocked {
		accept(fmt.Sprintf("j%d", i), "q")
	}
	accept("low", "low")
	now := s.now
	s.owner.Now = func() time.Duration {
		now += maxPassTime // each read of the clock finds the time of the pass used up
		return now
	}
	for range passes {
		s.owner.workersListedAt = now
		s.owner.schedule(s.now)
	}
	assert.Equal(t, len(s.owner.jobs["low"].tasks[0].runs), 1, "not assigned in %d passes", passes)
}
