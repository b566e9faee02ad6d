package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// TestLongTasksAreNotRestarted guards against sound tasks that are restarted for ever: progress
// comes in whole percent, so a task of more than a minute shows none for a second, and one of
// an hour for half a minute. A wrong estimate may cost a few restarts at the beginning.
func TestLongTasksAreNotRestarted(t *testing.T) {
	for _, tc := range []struct {
		takes, estimate time.Duration
		tasks           int
		restarts        int64 // at most
	}{
		{150 * time.Second, 150 * time.Second, 1, 0},
		{150 * time.Second, 150 * time.Second, 12, 0},
		{150 * time.Second, 1500 * time.Second, 1, 0},
		{150 * time.Second, 50 * time.Second, 1, 0},
		{150 * time.Second, time.Second, 1, 4},
		{time.Hour, time.Hour, 3, 0},
		{time.Hour, time.Second, 1, 10},
		{time.Hour, 0, 1, 10},
	} {
		t.Run(fmt.Sprintf("%d of %s, estimate %s", tc.tasks, tc.takes, tc.estimate), func(t *testing.T) {
			s := newSim(t, 1, 7)
			s.claim()
			s.submit("lasting", newLastingStep(7))
			s.submit("long", newStep(tc.tasks, tc.estimate))
			s.jobs["long"].spec.Payload = tc.takes.String()
			for i := range 40 {
				s.run(s.now + time.Second)
				id := fmt.Sprintf("j%d", i)
				s.submit(id, newStep(2, 200*time.Millisecond))
				assert.Assert(t, s.startsWithin(id, time.Second), "%s", id)
			}
			s.run(s.now + tc.takes + tc.takes/20 + 30*time.Second)
			s.assertState("long", work.StateCompleted)
			assert.Assert(t, s.owner.Counters.Stragglers <= tc.restarts, "%d restarts", s.owner.Counters.Stragglers)
			for _, n := range s.owner.sortedNodes {
				assert.Equal(t, n.slowUntil, time.Duration(0), "%s counts as slow", n.worker.ID)
			}
		})
	}
}

// TestLongTaskIsNotRestartedAfterTakeover guards against the loss of most of a long task whose
// estimate is wrong: a new owner does not know how fast it has progressed.
func TestLongTaskIsNotRestartedAfterTakeover(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("long", newStep(1, 20*time.Second))
	s.jobs["long"].spec.Payload = time.Hour.String()
	s.run(20 * time.Minute)
	s.owner.kill()
	s.run(s.now + time.Second)
	s.claim()
	s.run(s.now + 45*time.Minute)
	s.assertState("long", work.StateCompleted)
	assert.Equal(t, s.owner.Counters.Stragglers, int64(0))
}

// TestStalledRunIsFoundAfterTakeover guards against a run that stands still for ever because its
// new owner expects too little of it.
func TestStalledRunIsFoundAfterTakeover(t *testing.T) {
	for _, at := range []time.Duration{3 * time.Second, 8 * time.Second, time.Minute} {
		t.Run(at.String(), func(t *testing.T) {
			s := newSim(t, 1, 4)
			s.claim()
			s.submit("long", newStep(1, 100*time.Second))
			s.jobs["long"].spec.Payload = "100s"
			s.run(at)
			for _, w := range s.workers {
				for _, r := range w.runs {
					r.stuckAt = s.now
				}
			}
			s.owner.kill()
			s.run(s.now + time.Second)
			s.claim()
			s.run(s.now + at + 6*time.Second)
			assert.Equal(t, s.owner.Counters.Stragglers, int64(1))
			s.run(s.now + 110*time.Second)
			s.assertState("long", work.StateCompleted)
		})
	}
}

// TestExpectedEndBeyondEstimate guards against capacity that is kept for work that waits for a
// long task: the task has exceeded its estimate and seemed to end at any moment.
func TestExpectedEndBeyondEstimate(t *testing.T) {
	s := newSim(t, 1, 1)
	s.claim()
	s.submit("long", newStep(1, 2*time.Second))
	s.jobs["long"].spec.Payload = "500s"
	s.run(14 * time.Second)
	r := s.owner.jobs["long"].tasks[0].runs[0]
	end, ok := s.owner.expectedEnd(r, s.now)
	assert.Assert(t, ok)
	assert.Assert(t, end >= 300*time.Second && end <= 520*time.Second, "%s", end)
}

// TestStalledLongTaskIsRestarted checks that a long task that stands still is found, soon in
// terms of its length, whatever its estimate is.
func TestStalledLongTaskIsRestarted(t *testing.T) {
	for _, tc := range []struct {
		estimate time.Duration
		within   time.Duration // from the start of the task
	}{
		{150 * time.Second, 10 * time.Second},
		{time.Second, 2 * time.Second},
		{time.Hour, 4 * time.Minute},
	} {
		t.Run(tc.estimate.String(), func(t *testing.T) {
			s := newSim(t, 1, 4)
			for id, w := range s.workers {
				w.stalls = id != "w03"
			}
			s.claim()
			s.submit("long", newStep(1, tc.estimate))
			s.jobs["long"].spec.Payload = "150s"
			s.run(tc.within)
			assert.Assert(t, s.owner.Counters.Stragglers > 0, "it is found")
			s.run(s.now + 8*tc.within + 160*time.Second)
			s.assertState("long", work.StateCompleted)
		})
	}
}
