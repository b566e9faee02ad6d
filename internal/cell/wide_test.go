package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	wideWorkers  = 13
	accelerators = 8 // of each worker
	wideQuery    = 560 * time.Millisecond
)

// newWideSim returns a simulation of workers with accelerators and an adviser that allows
// a third of them. The queue "wide" has the higher priority and expensive queries.
func newWideSim(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed, wideWorkers)
	for _, w := range s.workers {
		w.worker.Capacity = resource.Vector{MilliCores: 32000, MemoryMB: 64000, Accelerators: accelerators}
	}
	s.adviser = simAdviser{hosts: 4, maxPending: 100 * time.Millisecond, allowedFraction: 0.35, validity: 2 * time.Second}
	s.tables = &work.Tables{
		Version: 1, Pools: map[string]work.Pool{"pool": {Name: "pool"}},
		Teams: map[string]work.Team{"team": {Name: "team", Weight: 100}},
		Queues: []work.Queue{
			{
				Name: "wide", Service: "pool", Attempts: 3, Stretch: 2.2, Target: time.Second, Priority: 1,
				Advice: &work.Advice{Decide: wideQuery, Each: 8 * time.Millisecond, Valid: 2 * time.Second},
			},
			{
				Name: "narrow", Service: "pool", Attempts: 3, Stretch: 4, Target: 3 * time.Second, Priority: 2,
				Advice: &work.Advice{Decide: 170 * time.Millisecond, Each: 2 * time.Millisecond, Valid: 2 * time.Second},
			},
		},
	}
	s.tables.BuildIndexes()
	return s
}

// wideStep returns a step of tasks that need all accelerators of a worker.
func wideStep(count int, estimate time.Duration) work.Step {
	return work.Step{Count: count, Demand: resource.Vector{MilliCores: 15000, MemoryMB: 23000, Accelerators: accelerators}, Estimate: estimate}
}

// narrowStep returns a step of tasks that need one accelerator and save their progress.
func narrowStep(count int, estimate time.Duration) work.Step {
	return work.Step{Count: count, Demand: resource.Vector{MilliCores: 2800, MemoryMB: 7000, Accelerators: 1}, Estimate: estimate, Checkpointing: true}
}

// submitTo submits a job to a queue.
func (s *sim) submitTo(id, team, queue string, steps ...work.Step) {
	job := &work.Job{ID: id, Team: team, Queue: queue, Steps: steps, Accepted: s.now, Policy: s.tables.Policy(queue, team, nil)}
	s.jobs[id] = &simJob{spec: job}
	s.owner.call(func() { s.owner.Accept(job) })
}

// hasAllowedFree reports whether a worker that may run the first step of the job has
// capacity for one of its tasks.
func (s *sim) hasAllowedFree(j *job) bool {
	for id, w := range s.workers {
		n := s.owner.nodes[id]
		if n != nil && n.free().Fits(j.spec.Steps[0].Demand) && s.adviser.allows(j.steps[0].name(), w.worker.ID) {
			return true
		}
	}
	return false
}

// TestWideTasksInAUsedPool replays jobs that need whole workers behind narrow ones, with
// queries that cost half a second: none waits long while an allowed worker is free, few
// queries find no allowed worker, and all end in time to be of use.
func TestWideTasksInAUsedPool(t *testing.T) {
	const (
		maxIdleWait      = 5 * time.Second // for which a job may wait although an allowed worker is free
		maxWithoutResult = 0.05            // fraction of queries that name no allowed worker
		poll             = 50 * time.Millisecond
	)
	queries, withoutAllowed := 0, 0
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := newWideSim(t, seed)
			s.claim()
			s.run(time.Second)
			ended := map[string]time.Duration{}
			s.recordEnds(ended)
			s.submitRandomly("team", "wide", func() float64 { return 0.9 }, func() []work.Step { return []work.Step{wideStep(1, 5600*time.Millisecond)} })
			s.submitRandomly("team", "narrow", func() float64 { return 1.2 }, func() []work.Step {
				return []work.Step{narrowStep(4+s.rng.IntN(9), 3*time.Second)}
			})
			idleWait := map[string]time.Duration{}
			for s.now < loadEnd+30*time.Second {
				s.run(s.now + poll)
				for id, j := range s.owner.jobs {
					if j.spec.Queue == "wide" && !planned(j) && s.hasAllowedFree(j) {
						idleWait[id] += poll
					}
				}
			}
			wide, useful := 0, 0
			for id, j := range s.jobs {
				if j.spec.Queue != "wide" {
					continue
				}
				wide++
				assert.Assert(t, idleWait[id] < maxIdleWait, "%s waited %s while an allowed worker was free", id, idleWait[id])
				budget := s.owner.deadline(s.owner.jobs[id], 0) - j.spec.Accepted
				if end, ok := ended[id]; ok && end-j.spec.Accepted <= 3*budget {
					useful++
				}
			}
			a := &s.adviser
			t.Logf("%d of %d wide jobs useful; %d queries, %d without an allowed worker, %.1f workers each, %s of the adviser",
				useful, wide, a.queries, a.withoutAllowed, float64(a.named)/float64(a.queries), a.cost)
			assert.Equal(t, useful, wide, "jobs that are useless to their callers")
			queries, withoutAllowed = queries+a.queries, withoutAllowed+a.withoutAllowed
		})
	}
	assert.Assert(t, float64(withoutAllowed) < maxWithoutResult*float64(queries), "%d of %d queries found no allowed worker", withoutAllowed, queries)
}

// TestWideTaskPreemptsNarrowOnes has narrow tasks that save their progress occupy all
// workers when a wide task of a higher priority arrives.
func TestWideTaskPreemptsNarrowOnes(t *testing.T) {
	const runTime, wideRunTime = 20 * time.Second, 10 * time.Second
	tests := []struct {
		name     string
		saves    bool
		stretch  float64
		preempts bool
	}{
		{"narrow tasks with progress and time to spare", true, 10, true},
		{"narrow tasks that lose their progress", false, 10, false},
		{"narrow jobs that would be late", true, 1, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newWideSim(t, 1)
			s.tables.Queues[1].Stretch, s.tables.Queues[1].Advice = tc.stretch, nil
			s.adviser.allowedFraction = 1
			s.claim()
			s.run(time.Second)
			narrow := narrowStep(wideWorkers*accelerators, runTime)
			narrow.Checkpointing = tc.saves
			s.submitTo("narrow", "team", "narrow", narrow)
			s.run(3 * time.Second)
			s.submitTo("wide", "team", "wide", wideStep(1, wideRunTime))
			s.run(s.now + wideQuery + s.owner.Bounds.StopTimeout + time.Second)
			assert.Equal(t, planned(s.owner.jobs["wide"]), tc.preempts)
			if tc.preempts {
				assert.Equal(t, s.owner.Counters.Preempted, int64(accelerators), "only the tasks of one worker")
			}
			s.run(s.now + 3*runTime)
			s.assertState("narrow", work.StateCompleted)
			s.assertState("wide", work.StateCompleted)
		})
	}
}

// TestReservationsEndWithTheirStep checks that no capacity stays reserved for work that
// was started, cancelled or is not checked any more.
func TestReservationsEndWithTheirStep(t *testing.T) {
	s := newWideSim(t, 1)
	s.tables.Queues[0].Advice, s.tables.Queues[1].Advice = nil, nil
	s.claim()
	s.run(time.Second)
	filler := narrowStep(wideWorkers*accelerators, 6*time.Second)
	filler.Checkpointing = false
	s.submitTo("filler", "team", "narrow", filler)
	s.run(2 * time.Second)
	for i := range 4 {
		s.submitTo(fmt.Sprint("wide-", i), "team", "wide", wideStep(1, time.Second))
	}
	s.run(3 * time.Second)
	reserved := func() (count int) {
		for _, n := range s.owner.sortedNodes {
			count += len(n.reservations)
		}
		return count
	}
	assert.Equal(t, reserved(), 4)
	s.cancel("wide-0")
	s.run(s.now + reservationValidity + scanInterval)
	assert.Equal(t, reserved(), 3)
	s.run(30 * time.Second)
	assert.Equal(t, reserved(), 0)
	for i := 1; i < 4; i++ {
		s.assertState(fmt.Sprint("wide-", i), work.StateCompleted)
	}
}

// TestTeamReserveForUrgentWork has jobs with ample time that would fill their team's
// maximum: an urgent job of the same team starts at once.
func TestTeamReserveForUrgentWork(t *testing.T) {
	const maxWait = 250 * time.Millisecond // the time beyond the run times in the budget of urgent jobs
	s := newSim(t, 1, 20)                  // of four cores
	s.tables.Teams["team"] = work.Team{Name: "team", Weight: 100, Maximum: resource.Vector{MilliCores: 40000}}
	s.tables.Queues = []work.Queue{
		{Name: "urgent", Service: "pool", Attempts: 3, Stretch: 1.5, Target: maxWait},
		{Name: "batch", Service: "pool", Attempts: 3, Stretch: 10, Target: 3 * time.Second, Priority: 2},
	}
	s.tables.BuildIndexes()
	s.claim()
	s.run(time.Second)
	s.submitTo("batch", "team", "batch", newStep(200, 4*time.Second))
	s.run(2 * time.Second)
	var waits []time.Duration
	s.owner.OnStepStarted = func(queue string, waited time.Duration) {
		if queue == "urgent" {
			waits = append(waits, waited)
		}
	}
	const jobs = 20
	for i := range jobs {
		s.submitTo(fmt.Sprint("urgent-", i), "team", "urgent", newStep(6, 500*time.Millisecond))
		s.run(s.now + 700*time.Millisecond)
	}
	assert.Equal(t, len(waits), jobs)
	for i, waited := range waits {
		assert.Assert(t, waited <= maxWait, "urgent job %d waited %s", i, waited)
	}
	s.run(s.now + 60*time.Second)
	s.assertState("batch", work.StateCompleted)

	gang := newStep(36, time.Second)
	gang.Gang = true
	s.submitTo("gang", "team", "batch", gang)
	s.run(s.now + maxWait)
	assert.Assert(t, planned(s.owner.jobs["gang"]), "a gang that needs most of an idle team's maximum waits")
}

// TestNoReserveWithoutUrgentWork has jobs with ample time fill a pool that no queue of the
// highest priority uses: nothing is kept free for such a queue.
func TestNoReserveWithoutUrgentWork(t *testing.T) {
	s := newWideSim(t, 1)
	s.tables.Queues[1].Advice, s.tables.Queues[1].Stretch = nil, 100
	s.claim()
	s.run(time.Second)
	const tasks = wideWorkers * accelerators
	step := narrowStep(tasks, 10*time.Second)
	step.Demand.MilliCores = 32000 / accelerators
	s.submitTo("narrow", "team", "narrow", step)
	s.run(2 * time.Second)
	assert.Equal(t, s.owner.jobs["narrow"].steps[0].tasksRunning, tasks)
}

// TestNoReservationsWhileTheAdviserFails has a step wait for an adviser that no longer
// answers: work that needs no advice uses the capacity.
func TestNoReservationsWhileTheAdviserFails(t *testing.T) {
	s := newWideSim(t, 1)
	s.tables.Queues[1].Advice = nil
	s.adviser.allowedFraction = 1
	s.claim()
	s.run(time.Second)
	filler := narrowStep(wideWorkers*accelerators, 8*time.Second)
	filler.Checkpointing = false
	s.submitTo("filler", "team", "narrow", filler)
	s.run(2 * time.Second)
	s.submitTo("wide", "team", "wide", wideStep(1, time.Second))
	s.run(3 * time.Second)
	wide := s.owner.jobs["wide"].steps[0]
	assert.Equal(t, len(wide.reservations), 1)
	s.owner.Advise = func(_ work.AdviceRequest, cost time.Duration, done func(work.AdviceResponse, error)) {
		s.after(cost, func() { s.owner.call(func() { done(work.AdviceResponse{}, errLost) }) })
	}
	s.run(20 * time.Second)
	assert.Equal(t, len(wide.reservations), 0)
}

// TestReservationsGatherWholeWorkers replays a pool that narrow tasks keep full. They
// cannot be preempted, so a worker becomes empty only if its capacity is reserved.
func TestReservationsGatherWholeWorkers(t *testing.T) {
	const maxWait = 10 * time.Second // three run times of the narrow tasks
	s := newWideSim(t, 1)
	s.tables.Queues[0].Advice, s.tables.Queues[1].Advice = nil, nil
	s.claim()
	s.run(time.Second)
	s.submitRandomly("team", "narrow", func() float64 { return 6 }, func() []work.Step {
		step := narrowStep(4+s.rng.IntN(9), 3*time.Second)
		step.Checkpointing = false
		return []work.Step{step}
	})
	s.run(6 * time.Second)
	s.owner.OnStepStarted = func(queue string, waited time.Duration) {
		if queue == "wide" {
			assert.Assert(t, waited < maxWait, "a wide step waited %s", waited)
		}
	}
	const jobs = 6
	for i := range jobs {
		s.submitTo(fmt.Sprint("wide-", i), "team", "wide", wideStep(1, time.Second))
		s.run(s.now + 2*time.Second)
	}
	s.run(s.now + maxWait)
	for i := range jobs {
		s.assertState(fmt.Sprint("wide-", i), work.StateCompleted)
	}
}
