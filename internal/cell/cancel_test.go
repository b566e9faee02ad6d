package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// TestCancelBeforeAccept guards against a job that runs because its owner was notified of the
// cancellation first, and against cancellations without a job that are kept for ever.
func TestCancelBeforeAccept(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.run(time.Second)
	assert.Assert(t, s.owner.Cancel("a"))
	s.run(s.now + time.Second)
	s.submit("a", newStep(4, time.Second))
	s.run(s.now + 2*time.Second)
	s.assertState("a", work.StateCancelled)
	assert.Equal(t, s.starts, 0)
	for i := range maxEarlyCancels {
		assert.Assert(t, s.owner.Cancel(fmt.Sprint(i)))
	}
	assert.Assert(t, !s.owner.Cancel("one too many"))
	assert.Assert(t, s.owner.Cancel("7"), "recorded already")
	s.run(s.now + earlyCancelMemory + 2*time.Second)
	assert.Equal(t, len(s.owner.earlyCancels), 0)
}

// TestCancelledAfterItsEnd guards against a job that is shown as completed and, after a takeover, as
// cancelled, because its cancellation was stored after its end.
func TestCancelledAfterItsEnd(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("a", newStep(4, time.Second))
	s.run(3 * time.Second)
	s.assertState("a", work.StateCompleted)
	s.cancel("a")
	s.run(s.now + time.Second)
	s.assertState("a", work.StateCompleted)
	s.owner.kill()
	s.claim()
	s.run(s.now + time.Second)
	s.assertState("a", work.StateCompleted)
}
