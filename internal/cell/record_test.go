package cell

import (
	"testing"
	"time"

	"turmericspread.org/turmericspread/internal/work"
)

// TestStartRecordedAsTheStoreFails guards against tasks that are never started: the record of
// a start is confirmed at the moment at which the store becomes unavailable, and the owner may
// start nothing without a record.
func TestStartRecordedAsTheStoreFails(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.run(500 * time.Millisecond)
	s.owner.SuspendUnrecorded(true)
	s.submit("a", newStep(2, time.Second))
	for s.store.records["a"].revision == 0 {
		s.run(s.now + time.Millisecond)
	}
	s.store.down = true
	s.run(s.now + time.Second)
	s.store.down = false
	s.run(s.now + 5*time.Second)
	s.assertState("a", work.StateCompleted)
}
