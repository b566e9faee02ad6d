package cell

import (
	"fmt"
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

// TestRestartBehindShortCut guards against done tasks that run again: a worker starts again
// behind a cut that is shorter than the time until its owner takes it for unresponsive, its
// entry follows later, and ends of its new incarnation are acknowledged by the count of the
// former one. It also starts again as another kind, which must get no work by its former
// labels. The workers check each start.
func TestRestartBehindShortCut(t *testing.T) {
	for _, tc := range []struct {
		name   string
		cut    time.Duration
		labels []string
	}{
		{"short", 100 * time.Millisecond, []string{"b"}},
		{"longer", 400 * time.Millisecond, []string{"b"}},
		{"another kind", 400 * time.Millisecond, []string{"a"}},
		{"no renewal is missed", 20 * time.Millisecond, []string{"b"}},
		{"another kind, no renewal is missed", 20 * time.Millisecond, []string{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 4)
			for _, w := range s.workers {
				w.worker.Labels, w.worker.Capacity = []string{"b"}, resource.Vector{MilliCores: 5000, MemoryMB: 64_000}
			}
			s.claim()
			step := newStep(1, 60*time.Millisecond)
			step.Label = "b"
			for i := range 1000 {
				s.after(time.Duration(i)*10*time.Millisecond, func() { s.submit(fmt.Sprintf("j%d", i), step) })
			}
			for i, id := range []string{"w01", "w02", "w03"} {
				w := s.workers[id]
				s.after(time.Duration(2*i+2)*time.Second, func() { w.restartUnseen(tc.cut, 1500*time.Millisecond, tc.labels...) })
			}
			s.run(20 * time.Second)
			for i := range 1000 {
				s.assertState(fmt.Sprintf("j%d", i), work.StateCompleted)
			}
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
