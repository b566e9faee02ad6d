package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// TestEndsBeyondOneResponse guards against tasks that run again although they are done: a
// worker has more ends than one response lists, because an outage of the store keeps them
// from being recorded. Without and with a successor that takes over after the outage.
func TestEndsBeyondOneResponse(t *testing.T) {
	const tasks = 1400
	for _, tc := range []struct {
		name     string
		replaced bool
	}{{"one owner", false}, {"a successor", true}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 1)
			s.workers["w00"].worker.Capacity = resource.Vector{MilliCores: 150_000, MemoryMB: 150_000}
			s.claim()
			s.submit("a", newStep(tasks, 400*time.Millisecond))
			s.run(time.Second)
			s.store.down = true
			s.run(6 * time.Second)
			s.store.down = false
			if tc.replaced {
				s.replaceOwner()
			}
			s.run(40 * time.Second)
			s.assertState("a", work.StateCompleted)
			assert.Equal(t, s.starts, tasks, "each task is started once")
		})
	}
}
