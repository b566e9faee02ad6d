package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// TestStragglersAreRestartedElsewhere has workers become slow or stall: their runs are
// restarted elsewhere, and no task runs twice except as a speculative copy.
func TestStragglersAreRestartedElsewhere(t *testing.T) {
	step := newStep(6, time.Second)
	speculative := step
	speculative.Speculative = true
	tests := []struct {
		name    string
		degrade func(w *simWorker)
		step    work.Step
		limit   time.Duration // until the job is completed
	}{
		{"slow", func(w *simWorker) { w.slowdown = 8 }, step, 4 * time.Second},
		{"stalled", func(w *simWorker) { w.stalls = true }, step, 4 * time.Second},
		{"speculative copies of slow tasks", func(w *simWorker) { w.slowdown = 8 }, speculative, 3500 * time.Millisecond},
		{"speculative copies of stalled tasks", func(w *simWorker) { w.stalls = true }, speculative, 3500 * time.Millisecond},
		{"five of eight workers stall", func(w *simWorker) {
			for _, other := range w.sim.workers {
				other.stalls = other.worker.ID < "w05"
			}
		}, step, 20 * time.Second},
		{"speculative copies, five of eight workers stall", func(w *simWorker) {
			for _, other := range w.sim.workers {
				other.stalls = other.worker.ID < "w05"
			}
		}, speculative, 20 * time.Second},
		{"half the usual speed", func(w *simWorker) { w.slowdown = 2 }, step, 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t, 1, 8)
			test.degrade(s.workers["w01"])
			s.claim()
			s.run(100 * time.Millisecond)
			for i := range 3 {
				s.submit(fmt.Sprintf("j%d", i), test.step)
			}
			s.run(test.limit)
			for i := range 3 {
				s.assertState(fmt.Sprintf("j%d", i), work.StateCompleted)
			}
		})
	}
}

// TestNormalRunsAreNotRestarted runs tasks whose run times differ by half on workers of
// the same speed.
func TestNormalRunsAreNotRestarted(t *testing.T) {
	s := newSim(t, 3, 8)
	s.claim()
	for i := range 20 {
		s.submit(fmt.Sprintf("j%d", i), newStep(4, time.Second))
		s.run(s.now + 300*time.Millisecond)
	}
	s.run(s.now + 4*time.Second)
	assert.Equal(t, s.owner.Counters.Stragglers, int64(0))
	assert.Equal(t, len(s.ackedDone), 80)
}
