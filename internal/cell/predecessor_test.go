package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// TestOwnerCutOffStartsWithoutARecord guards against tasks that run twice: an owner that is
// cut off from the store starts tasks without a record, and some of its workers cannot be
// reached when a successor takes over, which has seen no failure of the store itself.
func TestOwnerCutOffStartsWithoutARecord(t *testing.T) {
	s := newSim(t, 1, 4)
	s.connected = true
	s.claim()
	s.submit("a", newStep(32, time.Second))
	s.run(500 * time.Millisecond)
	s.owner.cut = true
	s.run(1500 * time.Millisecond)
	assert.Assert(t, s.starts > 16, "the owner goes on without a record")
	s.workers["w01"].disconnect(5500 * time.Millisecond)
	s.workers["w02"].disconnect(5500 * time.Millisecond)
	s.run(1600 * time.Millisecond)
	s.claim()
	s.run(30 * time.Second)
	s.assertState("a", work.StateCompleted)
	assert.Equal(t, s.starts, 32, "each task is started once")
}

// TestLostWorkerDoesNotDelayARecordedSuccession guards against restored work that waits for
// a worker that is gone for good: the store failed some seconds before the takeover, but the
// former owner has recorded all its starts since.
func TestLostWorkerDoesNotDelayARecordedSuccession(t *testing.T) {
	s := newSim(t, 1, 4)
	s.connected = true
	s.claim()
	s.submit("b", newStep(8, 20*time.Second))
	s.run(time.Second)
	s.store.down = true
	s.submit("c", newStep(2, 20*time.Second)) // is started without a record
	s.run(4 * time.Second)
	s.store.down = false
	s.store.lastFailure = s.now
	s.run(7 * time.Second)
	w := s.workers["w03"]
	w.down, w.runs = true, map[string]*simRun{}
	s.submit("a", newStep(2, time.Second))
	s.owner.kill()
	s.run(7300 * time.Millisecond)
	s.claim()
	assert.Assert(t, s.startsWithin("a", 300*time.Millisecond))
}

// TestUnresolvedSuccessionIsNotRecorded kills two owners in a row: the second has not heard
// from a worker on which the first may have started work without a record, so the third
// must not take all starts for recorded.
func TestUnresolvedSuccessionIsNotRecorded(t *testing.T) {
	s := newSim(t, 1, 4)
	s.connected = true
	s.claim()
	s.submit("a", newStep(32, 2*time.Second))
	s.run(500 * time.Millisecond)
	s.owner.cut = true
	s.run(3 * time.Second)
	s.workers["w02"].disconnect(4 * time.Second)
	s.run(3100 * time.Millisecond)
	s.claim()
	s.run(4 * time.Second)
	s.owner.kill()
	assert.Assert(t, !s.owner.recorded)
	s.claim()
	s.run(40 * time.Second)
	s.assertState("a", work.StateCompleted)
	assert.Equal(t, s.starts, 32, "each task is started once")
}

// TestIsolatedOwnerLetsLeasesExpire guards against tasks that run twice: a network partition
// leaves an owner with some of the workers, and the store and the other workers with its
// successor, which restarts the tasks of the workers that it cannot reach.
func TestIsolatedOwnerLetsLeasesExpire(t *testing.T) {
	s := newSim(t, 1, 6)
	s.connected = true
	s.claim()
	s.submit("a", newStep(24, 20*time.Second))
	s.run(time.Second)
	former := s.owner
	former.cut, former.unreachable = true, map[string]bool{"w02": true, "w03": true, "w04": true, "w05": true}
	s.run(2200 * time.Millisecond)
	s.claim()
	s.owner.unreachable = map[string]bool{"w00": true, "w01": true}
	s.run(30 * time.Second)
	s.owner.unreachable = nil
	s.run(90 * time.Second)
	s.assertState("a", work.StateCompleted)
}
