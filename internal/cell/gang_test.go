package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// newGangStep returns a gang of one task on most of each worker.
func newGangStep(count int, estimate time.Duration) work.Step {
	step := newStep(count, estimate)
	step.Gang, step.Demand.MilliCores = true, 3000
	return step
}

// newGangSim returns a simulation in which a gang of seven waits for the task of the job "long",
// which takes 40 s, on one of seven workers. Jobs of the queue "low" have a lower priority.
func newGangSim(t *testing.T, estimate time.Duration) *sim {
	s := newSim(t, 1, 7)
	s.tables.Queues[0].Target = time.Hour // the gang does not become late
	s.tables.Queues = append(s.tables.Queues, work.Queue{Name: "low", Service: "pool", Attempts: 3, Stretch: 2, Target: time.Second, Priority: 1})
	s.tables.BuildIndexes()
	s.claim()
	long := newStep(1, estimate)
	long.Demand.MilliCores = 3000
	s.submit("long", long)
	s.jobs["long"].spec.Payload = "40s"
	s.run(time.Second)
	s.submit("gang", newGangStep(7, 2*time.Second))
	s.run(3 * time.Second)
	assert.Assert(t, !planned(s.owner.jobs["gang"]))
	return s
}

// submitLow submits a job of one large task of a lower priority.
func (s *sim) submitLow(id string, estimate time.Duration, takes string) {
	step := newStep(1, estimate)
	step.Demand.MilliCores = 2500
	job := &work.Job{ID: id, Team: "team", Queue: "low", Steps: []work.Step{step}, Accepted: s.now, Policy: s.tables.Policy("low", "team", nil), Payload: takes}
	s.jobs[id] = &simJob{spec: job}
	s.owner.call(func() { s.owner.Accept(job) })
}

// TestReservedWorkersServeShortTasks guards against workers that stand empty for a gang that
// cannot start before the last of them is free.
func TestReservedWorkersServeShortTasks(t *testing.T) {
	for _, estimate := range []time.Duration{40 * time.Second, 60 * time.Second, 10 * time.Second, time.Second} {
		t.Run(fmt.Sprintf("estimate %s", estimate), func(t *testing.T) {
			s := newGangSim(t, estimate)
			for i := range 30 {
				id := fmt.Sprintf("j%d", i)
				s.submitLow(id, time.Second, "1s")
				assert.Assert(t, s.startsWithin(id, 3*time.Second), "%s at %s", id, s.now)
				s.run(s.now + 500*time.Millisecond)
			}
			s.run(70 * time.Second)
			s.assertState("gang", work.StateCompleted)
		})
	}
}

// TestGangIsNotStarvedByWrongEstimates guards against a gang that waits for ever, because the
// tasks that run on its workers meanwhile take longer than their estimates.
func TestGangIsNotStarvedByWrongEstimates(t *testing.T) {
	for _, takes := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		t.Run(takes.String(), func(t *testing.T) {
			s := newGangSim(t, 40*time.Second)
			for i := range 400 {
				s.submitLow(fmt.Sprintf("j%d", i), time.Second, takes.String())
				s.run(s.now + 250*time.Millisecond)
				if planned(s.owner.jobs["gang"]) {
					break
				}
			}
			assert.Assert(t, planned(s.owner.jobs["gang"]), "the gang starts at all")
			assert.Assert(t, s.now <= 41*time.Second+3*takes, "it starts at %s", s.now)
		})
	}
}
