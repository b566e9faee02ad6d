package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// newLastingStep returns a step of tasks that last, at most one of them on a worker.
func newLastingStep(count int) work.Step {
	step := newStep(count, 500*time.Millisecond)
	step.LongRunning, step.MaxPerWorker = true, 1
	return step
}

// TestProbationEndsBesideLastingTask guards against work that never starts: a worker that has
// failed its runs for a while keeps a lasting task, so it never runs a single task.
func TestProbationEndsBesideLastingTask(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spell time.Duration // in which the worker fails all that it starts
		tasks int           // that fail meanwhile
	}{
		{"one task", 4 * time.Second, 1},
		{"several tasks", 4 * time.Second, 6},
		{"a short spell", 700 * time.Millisecond, 6},
		{"a long spell", 20 * time.Second, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 4)
			only := s.workers["w02"]
			only.worker.Labels = []string{"b"}
			s.claim()
			lasting, short := newLastingStep(1), newStep(1, 500*time.Millisecond)
			lasting.Label, short.Label = "b", "b"
			s.submit("lasting", lasting)
			s.run(3 * time.Second)
			only.fails = true
			for i := range tc.tasks {
				s.after(time.Duration(i)*tc.spell/time.Duration(tc.tasks), func() { s.submit(fmt.Sprintf("bad%d", i), short) })
			}
			s.run(s.now + tc.spell)
			only.fails = false
			s.run(s.now + time.Second)
			s.submit("good", short)
			// A job may stand still for 3 s once the cell has been sound for 4 s.
			assert.Assert(t, s.startsWithin("good", 6*time.Second))
			// A backlog runs beside the lasting task again.
			for i := range 20 {
				s.submit(fmt.Sprintf("later%d", i), short)
			}
			s.run(s.now + 15*time.Second)
			for i := range 20 {
				s.assertState(fmt.Sprintf("later%d", i), work.StateCompleted)
			}
		})
	}
}

// TestFailingTaskBlamesNoWorker guards against a cell in which no worker gets work any more: a
// task that fails wherever it runs is restarted for ever, beside a lasting task on each worker.
func TestFailingTaskBlamesNoWorker(t *testing.T) {
	for _, tasks := range []int{1, 6} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) {
			s := newSim(t, 1, 7)
			s.claim()
			s.submit("lasting", newLastingStep(7))
			s.run(3 * time.Second)
			loop := newStep(tasks, 500*time.Millisecond)
			loop.LongRunning = true
			s.submit("loop", loop)
			s.jobs["loop"].spec.Payload = "fails"
			for i := range 40 {
				s.run(s.now + time.Second)
				id := fmt.Sprintf("j%d", i)
				s.submit(id, newStep(2, 200*time.Millisecond))
				assert.Assert(t, s.startsWithin(id, time.Second), "%s", id)
			}
			assert.Assert(t, s.ackedFailures["loop.0.0.0"] > 20, "the task is restarted for ever")
		})
	}
}

// TestFailingTasksLeaveTheOnlyWorker guards against work that never starts because tasks that
// always fail, and may run on the same single worker only, come first in each of its trials.
func TestFailingTasksLeaveTheOnlyWorker(t *testing.T) {
	s := newSim(t, 1, 4)
	s.workers["w02"].worker.Labels = []string{"b"}
	s.claim()
	loop, short := newStep(4, 500*time.Millisecond), newStep(1, 200*time.Millisecond)
	loop.LongRunning, loop.Label, short.Label = true, "b", "b"
	loop.Demand.MilliCores = 500
	s.submit("loop", loop)
	s.jobs["loop"].spec.Payload = "fails"
	s.run(2 * time.Second)
	for i := range 30 {
		id := fmt.Sprintf("j%d", i)
		s.submit(id, short)
		limit := time.Second
		if i == 0 {
			limit = 5 * time.Second // until the tasks are known to be at fault
		}
		assert.Assert(t, s.startsWithin(id, limit), "%s at %s", id, s.now)
		s.run(s.now + time.Second)
	}
	assert.Assert(t, s.ackedFailures["loop.0.0.0"] > 10, "the tasks are restarted for ever")
}

// TestLowPriorityGetsTheTrial guards against work of a lower priority that waits for the whole
// quarantine because all workers of its service are quarantined: none of them counts as free.
func TestLowPriorityGetsTheTrial(t *testing.T) {
	s := newSim(t, 1, 1)
	s.tables.Queues = append(s.tables.Queues, work.Queue{Name: "low", Service: "pool", Attempts: 3, Stretch: 100, Target: time.Minute, Priority: 1})
	s.tables.BuildIndexes()
	s.claim()
	s.workers["w00"].fails = true
	s.run(100 * time.Millisecond)
	for i := range 3 {
		s.submitLow(fmt.Sprintf("bad%d", i), 500*time.Millisecond, "500ms")
		s.run(s.now + 300*time.Millisecond)
	}
	s.run(2 * time.Second)
	s.workers["w00"].fails = false
	s.submitLow("good", 500*time.Millisecond, "500ms")
	assert.Assert(t, s.startsWithin("good", soleQuarantineTime+500*time.Millisecond))
}

// TestProbationEndsWithoutWork guards against a worker that stays on probation for ever because
// all that waits needs several runs on it at a time.
func TestProbationEndsWithoutWork(t *testing.T) {
	s := newSim(t, 1, 1)
	s.claim()
	s.workers["w00"].fails = true
	for i := range 3 {
		s.submit(fmt.Sprintf("bad%d", i), newStep(1, 500*time.Millisecond))
	}
	s.run(2 * time.Second)
	s.workers["w00"].fails = false
	gang := newStep(4, 500*time.Millisecond)
	gang.Gang = true
	s.submit("gang", gang)
	s.run(25 * time.Second)
	s.assertState("gang", work.StateCompleted)
}

// TestProbationKeepsTheSpread guards against more tasks of a step on a worker than allowed:
// a worker on probation that has one already gets no other.
func TestProbationKeepsTheSpread(t *testing.T) {
	s := newSim(t, 1, 1)
	s.claim()
	s.submit("lasting", newLastingStep(2))
	s.run(time.Second)
	n := s.owner.nodes["w00"]
	n.health.probationUntil = s.now + time.Minute
	s.run(10 * time.Second)
	assert.Equal(t, len(s.workers["w00"].runs), 1)
}
