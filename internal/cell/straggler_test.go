package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// TestStragglersAreMoved has some workers turn slow or let all stand still: what
// they run is started elsewhere, and nothing runs twice but copies that may.
func TestStragglersAreMoved(t *testing.T) {
	step := tasksOf(6, time.Second)
	copies := step
	copies.Speculative = true
	tests := []struct {
		name  string
		spoil func(w *simWorker)
		step  work.Step
		most  time.Duration // until the job is completed
	}{
		{"slow", func(w *simWorker) { w.slow = 8 }, step, 4 * time.Second},
		{"standing still", func(w *simWorker) { w.hangs = true }, step, 4 * time.Second},
		{"copies of slow tasks", func(w *simWorker) { w.slow = 8 }, copies, 3500 * time.Millisecond},
		{"copies of tasks that stand still", func(w *simWorker) { w.hangs = true }, copies, 3500 * time.Millisecond},
		{"again and again", func(w *simWorker) {
			for _, other := range w.sim.workers {
				other.hangs = other.w.ID < "w05"
			}
		}, step, 20 * time.Second},
		{"copies as well", func(w *simWorker) {
			for _, other := range w.sim.workers {
				other.hangs = other.w.ID < "w05"
			}
		}, copies, 20 * time.Second},
		{"as slow as twice", func(w *simWorker) { w.slow = 2 }, step, 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t, 1, 8)
			test.spoil(s.workers["w01"])
			s.claim()
			s.run(100 * time.Millisecond)
			for i := range 3 {
				s.submit(fmt.Sprintf("j%d", i), test.step)
			}
			s.run(test.most)
			for i := range 3 {
				s.assertState(fmt.Sprintf("j%d", i), work.StateCompleted)
			}
		})
	}
}

// TestSoundRunsAreLeft runs tasks that differ by half to all workers alike.
func TestSoundRunsAreLeft(t *testing.T) {
	s := newSim(t, 3, 8)
	s.claim()
	for i := range 20 {
		s.submit(fmt.Sprintf("j%d", i), tasksOf(4, time.Second))
		s.run(s.now + 300*time.Millisecond)
	}
	s.run(s.now + 4*time.Second)
	assert.Equal(t, s.owner.Counters.Stragglers, int64(0))
	assert.Equal(t, len(s.done), 80)
}
