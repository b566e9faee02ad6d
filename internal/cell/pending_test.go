package cell

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// refuseStarts makes all workers return err to each start.
func (s *sim) refuseStarts(err error) {
	for _, w := range s.workers {
		w.startError = err
	}
}

// TestRefusedStartsArePending guards against jobs of which nothing has begun that are missing in
// the pending count, shown as running, or ranked like started work, because their starts were refused.
func TestRefusedStartsArePending(t *testing.T) {
	for _, refusal := range []error{work.ErrUnhealthy, work.ErrNoCapacity, work.ErrInvalidTicket, work.ErrDeadlinePassed} {
		t.Run(refusal.Error(), func(t *testing.T) {
			s := newSim(t, 1, 4)
			s.claim()
			s.run(time.Second)
			s.refuseStarts(refusal)
			s.submit("a", newStep(2, 5*time.Second))
			s.submit("b", newStep(1, 5*time.Second))
			check := func(pending int, state work.State) {
				t.Helper()
				assert.Equal(t, s.owner.Pending("q"), pending)
				s.assertState("a", state)
				s.assertState("b", state)
			}
			for range 30 {
				s.run(s.now + 173*time.Millisecond)
				assert.Equal(t, s.owner.Pending("q"), 2)
			}
			assert.Assert(t, s.owner.Counters.StartsRefused > 3)
			// No start is in flight for a moment after all of them were refused.
			s.refuseStarts(work.ErrUnhealthy)
			s.run(s.now + 500*time.Millisecond)
			check(2, work.StateQueued)
			assert.Assert(t, !s.owner.rank(s.owner.jobs["a"].steps[0]).Started)
			s.owner.kill()
			s.claim()
			s.run(s.now + 500*time.Millisecond)
			check(2, work.StateQueued)
			assert.Assert(t, !s.owner.rank(s.owner.jobs["a"].steps[0]).Started)
			s.refuseStarts(nil)
			s.run(s.now + 1500*time.Millisecond)
			check(0, work.StateRunning)
			assert.Assert(t, s.owner.rank(s.owner.jobs["a"].steps[0]).Started)
			s.run(s.now + 15*time.Second)
			check(0, work.StateCompleted)
		})
	}
}

// TestUnansweredStartsArePending guards against jobs that are missing in the pending count although
// it is not known whether their starts were executed, and against showing them as certainly queued.
func TestUnansweredStartsArePending(t *testing.T) {
	s := newSim(t, 1, 1)
	s.claim()
	s.run(time.Second)
	s.refuseStarts(errors.New("no answer"))
	s.submit("a", newStep(1, time.Second))
	shown := map[work.State]bool{}
	for range 300 {
		s.run(s.now + 5*time.Millisecond)
		assert.Equal(t, s.owner.Pending("q"), 1)
		state, _, _ := s.owner.State("a")
		shown[state] = true
	}
	assert.Assert(t, s.owner.Counters.StartsUnknown > 0)
	assert.Assert(t, shown[work.StateRunning], "an unanswered start may have been executed")
	assert.Equal(t, s.starts, 0)
}

// TestBegunJobsAreNotPending guards against a job that has begun and is counted as pending while it
// waits for another run, also after a takeover.
func TestBegunJobsAreNotPending(t *testing.T) {
	s := newSim(t, 1, 1)
	s.claim()
	s.run(time.Second)
	s.submit("a", newStep(1, time.Minute))
	s.run(2 * time.Second)
	assert.Equal(t, s.starts, 1)
	s.refuseStarts(work.ErrUnhealthy)
	w := s.workers["w00"]
	for name, r := range w.runs {
		w.endRun(name, r, work.EndLeaseExpired)
	}
	s.run(s.now + 3*time.Second)
	assert.Equal(t, len(w.runs), 0)
	assert.Equal(t, s.owner.Pending("q"), 0)
	s.assertState("a", work.StateRunning)
	s.owner.kill()
	s.claim()
	s.run(s.now + 3*time.Second)
	assert.Equal(t, s.owner.Pending("q"), 0)
	s.assertState("a", work.StateRunning)
}

// TestRecordOfEarlierBuild restores the record that an earlier build has written of a job whose
// starts were refused. Guards against taking it for one that has begun.
func TestRecordOfEarlierBuild(t *testing.T) {
	s := newSim(t, 1, 1)
	s.refuseStarts(work.ErrUnhealthy)
	s.submit("a", newStep(1, time.Second))
	s.submit("b", newStep(2, time.Second))
	for id, p := range map[string]*work.Progress{
		"a": {Started: true, Tasks: []work.TaskProgress{{Run: 7}}},
		"b": {Started: true, Tasks: []work.TaskProgress{{Run: 1, Done: true}, {Number: 1, Run: 1}}},
	} {
		data, err := work.EncodeProgress(p)
		assert.NilError(t, err)
		s.store.revision++
		s.store.records[id] = simRecord{s.store.revision, data}
	}
	s.claim()
	s.run(2 * time.Second)
	assert.Equal(t, s.owner.Pending("q"), 1)
	s.assertState("a", work.StateQueued)
	s.assertState("b", work.StateRunning)
}
