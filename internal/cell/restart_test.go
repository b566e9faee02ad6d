package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// TestRestartedWorkerOfAnotherKind guards against tasks that start on a worker by the labels
// or the capacity of its former incarnation: it starts again as another kind, and its entry
// in the store follows later than its first response. The worker checks labels and capacity.
func TestRestartedWorkerOfAnotherKind(t *testing.T) {
	for _, tc := range []struct {
		name string
		next func(w *work.Worker)
	}{
		{"other labels", func(w *work.Worker) { w.Labels = []string{"a"} }},
		{"less capacity", func(w *work.Worker) { w.Capacity = resource.Vector{MilliCores: 1000, MemoryMB: 1000} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 4)
			for _, id := range []string{"w02", "w03"} {
				s.workers[id].worker.Labels = []string{"b"}
			}
			s.claim()
			step := newStep(40, time.Second)
			step.Label = "b"
			s.submit("a", step)
			s.run(2 * time.Second)
			w := s.workers["w03"]
			entry := w.worker
			w.staleEntry = &entry
			w.crash(500 * time.Millisecond)
			tc.next(&w.worker)
			s.after(2500*time.Millisecond, func() { w.staleEntry = nil })
			s.run(40 * time.Second)
			s.assertState("a", work.StateCompleted)
		})
	}
}

// TestReturningWorkerKeepsItsToken guards against an owner that loses the cell to itself: it
// raised the fencing token of a worker, forgot the worker while the list lacked it, and used
// the lower token when the worker was back.
func TestReturningWorkerKeepsItsToken(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("a", newStep(16, time.Second))
	s.run(500 * time.Millisecond)
	w := s.workers["w03"]
	w.unreachable = true // its lease expires
	s.run(9 * time.Second)
	w.unreachable = false
	s.run(10 * time.Second)
	w.unlisted = true
	s.run(30 * time.Second)
	assert.Assert(t, s.owner.nodes["w03"] == nil, "the owner has forgotten the worker")
	w.unlisted = false
	s.run(32 * time.Second)
	assert.Assert(t, !s.owner.ownershipLost)
}
