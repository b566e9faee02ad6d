package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// TestDeletionsKeepUp guards against a store that grows for hours, because ended jobs are
// deleted more slowly than jobs arrive. Some deletions fail.
func TestDeletionsKeepUp(t *testing.T) {
	const perSecond, seconds = 40, 20
	s := newSim(t, 1, 40)
	s.claim()
	s.owner.Bounds.Retention = 2 * time.Second
	deleted, calls := map[string]bool{}, 0
	s.owner.DeleteJobs = func(ids []string, done func(bool)) {
		assert.Assert(t, 3*len(ids)+1 <= 32, "a write of the store has at most 32 entries")
		calls++
		ok := calls%5 != 0
		s.after(4*time.Millisecond, func() {
			s.owner.call(func() {
				for _, id := range ids {
					state, _, _ := s.owner.State(id)
					assert.Equal(t, state, work.StateCompleted)
					deleted[id] = deleted[id] || ok
				}
				done(ok)
			})
		})
	}
	for i := range perSecond * seconds {
		s.submit(fmt.Sprintf("%04d", i), newStep(1, 200*time.Millisecond))
		s.run(s.now + time.Second/perSecond)
	}
	known, _ := s.owner.Jobs()
	assert.Assert(t, known <= 5*perSecond, "%d jobs are known, with a retention of two seconds", known)
	s.run(s.now + 8*time.Second)
	known, _ = s.owner.Jobs()
	assert.Equal(t, known, 0)
	accepted, _ := s.owner.Backlog()
	assert.Equal(t, accepted, int64(0), "bytes of jobs that were deleted")
	assert.Equal(t, len(deleted), perSecond*seconds)
}

// TestDeletedJobIsNotAcceptedAgain guards against a job that runs again: it was read from
// the store before it was deleted, and is passed to the owner afterwards. A later job with
// the same ID is another one.
func TestDeletedJobIsNotAcceptedAgain(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.owner.Bounds.Retention = time.Second
	s.owner.DeleteJobs = func(_ []string, done func(bool)) { done(true) }
	s.submit("a", newStep(1, 200*time.Millisecond))
	spec := s.jobs["a"].spec
	s.run(5 * time.Second)
	known, _ := s.owner.Jobs()
	assert.Equal(t, known, 0)
	s.owner.call(func() { s.owner.Accept(spec) })
	s.run(6 * time.Second)
	assert.Equal(t, s.starts, 1)
	s.ackedDone = map[string]bool{}
	s.submit("a", newStep(1, 200*time.Millisecond))
	s.run(7 * time.Second)
	assert.Equal(t, s.starts, 2)
}
