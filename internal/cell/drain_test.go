package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// TestDrainingWorkerGetsNoWork guards against starts on a worker that has been draining for
// too long, on a host that takes long to read the worker list, with a store that takes
// long to record a start, or with calls that take long to arrive. Workers begin to drain at all moments of a read. The worker checks
// the bound.
func TestDrainingWorkerGetsNoWork(t *testing.T) {
	for _, tc := range []struct {
		name                string
		listDelay, interval time.Duration
		saveDelay           time.Duration
		startDelay          time.Duration // until a start reaches the worker
	}{
		{"a long list", 700 * time.Millisecond, 1200 * time.Millisecond, 0, 0},
		{"slow records and a failed read of the list", 200 * time.Millisecond, 2200 * time.Millisecond, 600 * time.Millisecond, 0},
		{"slow calls and a failed read of the list", 200 * time.Millisecond, 2200 * time.Millisecond, 0, 900 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for offset := time.Duration(0); offset < 2*time.Second; offset += 50 * time.Millisecond {
				s := newSim(t, 1, 4)
				s.listDelay, s.listInterval = tc.listDelay, tc.interval
				s.claim()
				save := s.owner.SaveProgress
				s.owner.SaveProgress = func(batch []ProgressWrite, done func([]SaveResult)) {
					s.after(tc.saveDelay, func() { save(batch, done) })
				}
				start := s.owner.Start
				s.owner.Start = func(w work.Worker, request work.StartRequest, done func(work.RunResponse, error)) {
					s.after(tc.startDelay, func() { start(w, request, done) })
				}
				for i := range 60 {
					s.after(time.Duration(i)*100*time.Millisecond, func() { s.submit(fmt.Sprintf("j%02d", i), newStep(3, 150*time.Millisecond)) })
				}
				s.run(2*time.Second + offset)
				s.workers["w00"].drain()
				s.run(time.Minute)
				for i := range 60 {
					s.assertState(fmt.Sprintf("j%02d", i), work.StateCompleted)
				}
				assert.Assert(t, s.starts >= 180)
			}
		})
	}
}
