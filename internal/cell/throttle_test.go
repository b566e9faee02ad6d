package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuccessorRaisesAThrottle guards against a best-effort task that is halted for good:
// its owner throttles it for a service task and ends, and the successor takes it for
// unthrottled.
func TestSuccessorRaisesAThrottle(t *testing.T) {
	s := newSim(t, 1, 1)
	s.claim()
	service, filler := newStep(1, time.Second), newStep(1, time.Minute)
	service.LongRunning, service.TailLatencyTarget = true, 100*time.Millisecond
	filler.BestEffort = true
	w := s.workers["w00"]
	w.metric = 200 // beyond the target
	s.submit("a", service)
	s.submit("b", filler)
	s.run(2 * time.Second)
	percent, throttled := w.throttles["b.0.0.0"]
	assert.Assert(t, throttled && percent == 0, "throttled to %d percent", percent)
	w.metric = 10
	s.replaceOwner()
	s.run(s.now + 8*time.Second)
	assert.Equal(t, w.throttles["b.0.0.0"], 100)
}
