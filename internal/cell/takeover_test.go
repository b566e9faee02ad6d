package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// TestTakeoverAdoptsWhatRuns kills the owner: its successor lets nothing lapse
// and starts nothing twice.
func TestTakeoverAdoptsWhatRuns(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("a", tasksOf(8, 5*time.Second))
	s.run(time.Second)
	s.owner.dead = true
	s.run(3 * time.Second)
	s.claim()
	s.run(12 * time.Second)
	s.assertState("a", work.StateCompleted)
	for _, w := range s.workers {
		for _, line := range s.trace {
			assert.Assert(t, line[len(line)-len("lapsed"):] != "lapsed", "worker %s: %s", w.w.ID, line)
		}
	}
}

// TestOwnerLostDuringOutage kills the owner while the store is away and it
// starts work without records. The entries of the workers have lapsed when the
// successor begins: it must not start what still runs on workers it cannot see.
func TestOwnerLostDuringOutage(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("a worker is cut off: %v", cut), func(t *testing.T) {
			s := newSim(t, 1, 4)
			s.claim()
			s.run(time.Second)
			first := tasksOf(4, time.Second)
			second := tasksOf(8, 5*time.Second)
			second.After = []int{0}
			s.submit("a", first, second)
			s.run(1500 * time.Millisecond)
			s.store.down = true
			s.run(4500 * time.Millisecond)
			s.owner.dead = true
			s.store.lost = s.now
			s.store.down = false
			s.lapsed = true
			if cut {
				s.workers["w02"].cutFor(3 * time.Second)
			}
			s.claim()
			s.run(s.now + time.Second)
			s.lapsed = false
			s.run(40 * time.Second)
			s.assertState("a", work.StateCompleted)
		})
	}
}

// startsWithin runs until a task of the job has started, at most for d.
func (s *sim) startsWithin(job string, d time.Duration) bool {
	for end := s.now + d; s.now < end; s.run(s.now + 10*time.Millisecond) {
		for _, w := range s.workers {
			for _, r := range w.runs {
				if r.ref.Job == job {
					return true
				}
			}
		}
	}
	return false
}

// TestDarkWorkerDoesNotDelayASuccessor loses a worker well before the owner's
// process: nothing can have been started there since, so its successor, a
// process that cannot know of the store's past, waits for nothing.
func TestDarkWorkerDoesNotDelayASuccessor(t *testing.T) {
	s := newSim(t, 1, 4)
	s.fresh = true
	s.claim()
	s.run(time.Second)
	s.workers["w02"].cutFor(time.Minute)
	s.run(s.now + 4*time.Second)
	s.owner.dead = true
	s.submit("a", tasksOf(2, time.Second))
	s.run(s.now + 500*time.Millisecond)
	s.claim()
	assert.Assert(t, s.startsWithin("a", 300*time.Millisecond))
}

// TestNewJobsNeedNotWait loses a worker together with the owner: work of before
// waits for it, jobs that are new cannot be running there.
func TestNewJobsNeedNotWait(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.run(time.Second)
	s.fresh = true
	s.owner.dead = true
	s.submit("a", tasksOf(2, time.Second))
	s.workers["w02"].cutFor(time.Minute)
	s.run(s.now + 500*time.Millisecond)
	s.claim()
	s.submit("b", tasksOf(2, time.Second))
	assert.Assert(t, s.startsWithin("b", 300*time.Millisecond))
	assert.Assert(t, !s.startsWithin("a", time.Second), "w02 may run it")
	s.run(s.now + 15*time.Second)
	s.assertState("a", work.StateCompleted)
}

// TestLaterTroubleIsTheOwnersOwn loses a worker before a takeover and the store
// long after it: the owner knows what itself has started since.
func TestLaterTroubleIsTheOwnersOwn(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.run(time.Second)
	next := tasksOf(2, time.Second)
	next.After = []int{0}
	s.submit("a", tasksOf(1, 3*time.Second), next)
	assert.Assert(t, s.startsWithin("a", 300*time.Millisecond))
	for _, w := range s.workers {
		if len(w.runs) == 0 {
			w.cutFor(time.Minute)
			w.unlisted = true
			break
		}
	}
	s.owner.dead = true
	s.fresh = true
	s.claim()
	s.run(s.now + 1500*time.Millisecond)
	s.store.down = true
	s.submit("b", tasksOf(1, time.Second)) // has a record written, which fails
	s.run(s.now + 7*time.Second)
	ended := 0
	for _, w := range s.workers {
		for _, end := range w.ends {
			if end.Task.Job == "a" {
				ended++
			}
		}
	}
	assert.Equal(t, ended, 3, "both steps have run during the outage")
}

// TestReplacedWorkerFreesItsTasks has a worker crash and another one start at
// its address: what it ran is started elsewhere without a wait for its lease.
func TestReplacedWorkerFreesItsTasks(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("a", tasksOf(12, 2*time.Second))
	s.run(500 * time.Millisecond)
	s.workers["w01"].replace(300 * time.Millisecond)
	s.run(6 * time.Second)
	s.assertState("a", work.StateCompleted)
}

// TestReplacedWorkerDoesNotDelayASuccessor has a worker replaced while there is
// no owner.
func TestReplacedWorkerDoesNotDelayASuccessor(t *testing.T) {
	s := newSim(t, 1, 4)
	s.fresh = true
	s.claim()
	s.run(time.Second)
	s.owner.dead = true
	s.submit("a", tasksOf(2, time.Second))
	s.workers["w02"].replace(300 * time.Millisecond)
	s.run(s.now + 500*time.Millisecond)
	s.claim()
	assert.Assert(t, s.startsWithin("a", 300*time.Millisecond))
}

// TestOldListStopsStarts does not read the list of workers in time, as on a host
// with too little processor: a worker that drains would not be known.
func TestOldListStopsStarts(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.run(time.Second)
	s.listStuck = true
	s.run(s.now + 2*time.Second)
	s.submit("a", tasksOf(2, time.Second))
	assert.Assert(t, !s.startsWithin("a", time.Second))
	s.listStuck = false
	assert.Assert(t, s.startsWithin("a", 500*time.Millisecond))
	s.listStuck = true
	s.store.down = true
	s.run(s.now + 4*time.Second)
	s.submit("b", tasksOf(2, time.Second))
	assert.Assert(t, s.startsWithin("b", time.Second), "without the store work goes on")
}
