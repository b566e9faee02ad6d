package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// TestLastTaskOnASlowWorker guards against jobs that are late because one task found no fast
// worker at its start, although there is one soon after: it gets a copy there, or is moved.
func TestLastTaskOnASlowWorker(t *testing.T) {
	const estimate = 3 * time.Second
	for _, tc := range []struct {
		name          string
		edit          func(s *sim, step *work.Step)
		copies, moves int64
		inTime        bool
	}{
		{"copy", func(_ *sim, step *work.Step) { step.Speculative = true }, 1, 0, true},
		{"move", func(s *sim, step *work.Step) {
			s.savesOften, step.Checkpointing, step.Estimate = true, true, 3*estimate
		}, 0, 1, true},
		{"neither is allowed", func(*sim, *work.Step) {}, 0, 0, false},
		{"in time on the slow worker", func(s *sim, step *work.Step) {
			step.Speculative, step.Count = true, 1
			s.after(200*time.Millisecond, func() { s.tables.Queues[0].Target = 3 * time.Second })
		}, 0, 0, true},
		{"no capacity beyond the reserve", func(s *sim, step *work.Step) {
			step.Speculative = true
			s.submitFixed("short", "filler-2", newStep(145, 10*time.Second))
		}, 0, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := learned(t, 1)
			ended := map[string]time.Duration{}
			s.recordEnds(ended)
			step := newStep(10, estimate)
			tc.edit(s, &step)
			s.run(s.now + 100*time.Millisecond)
			free := int64(0)
			for _, n := range s.owner.sortedNodes {
				if n.worker.Kind == "fast" {
					free += n.free().Count(step.Demand)
				}
			}
			s.submitFixed("short", "filler", newStep(int(free)-9, 430*time.Millisecond))
			s.run(s.now + 50*time.Millisecond)
			s.run(s.now + 100*time.Millisecond)
			before, submitted := s.owner.Counters, s.now
			s.submitFixed("short", "job", step)
			s.run(s.now + 40*time.Second)
			c := &s.owner.Counters
			s.assertState("job", work.StateCompleted)
			deadline := s.owner.deadline(s.owner.jobs["job"], 0)
			assert.Equal(t, ended["job"] <= deadline, tc.inTime, "%s after its submission", ended["job"]-submitted)
			t.Logf("ended after %s of %s", ended["job"]-submitted, deadline-submitted)
			assert.Equal(t, c.FasterCopies-before.FasterCopies, tc.copies)
			assert.Equal(t, c.FasterMoves-before.FasterMoves, tc.moves)
		})
	}
}

// TestNoSecondRunsOnEqualWorkers guards against copies and moves in cells where no worker is faster.
func TestNoSecondRunsOnEqualWorkers(t *testing.T) {
	s := unevenCell(t, 1, false)
	for _, w := range s.workers {
		w.slowdown = 0
	}
	for i, queue := range []string{"short", "long"} {
		s.submitRandomly("team", queue, func() float64 { return 3 }, func() []work.Step {
			steps := stepChain(1+s.rng.IntN(2), 12, time.Second)
			for at := range steps {
				steps[at].Demand = resource.Vector{MilliCores: 1000, MemoryMB: 500}
				steps[at].Speculative, steps[at].Checkpointing = i == 0, i == 1
			}
			return steps
		})
	}
	s.run(loadEnd)
	assert.Assert(t, s.owner.Counters.RunsDone > 1000, fmt.Sprint(s.owner.Counters.RunsDone))
	assert.Equal(t, s.owner.Counters.FasterCopies+s.owner.Counters.FasterMoves, int64(0))
}
