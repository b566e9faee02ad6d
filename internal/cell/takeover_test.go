package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// TestTakeoverAdoptsRunningTasks kills the owner: its successor lets no lease expire
// and starts no task twice.
func TestTakeoverAdoptsRunningTasks(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("a", newStep(8, 5*time.Second))
	s.run(time.Second)
	s.owner.kill()
	s.run(3 * time.Second)
	s.claim()
	s.run(12 * time.Second)
	s.assertState("a", work.StateCompleted)
	// The trace has the end reason "lapsed" for runs whose lease has expired.
	for _, w := range s.workers {
		for _, line := range s.trace {
			assert.Assert(t, line[len(line)-len("lapsed"):] != "lapsed", "worker %s: %s", w.worker.ID, line)
		}
	}
}

// TestOwnerLostDuringOutage kills the owner during a store outage in which it starts
// work without records. The entries of the workers have expired when the successor
// takes over: it must not start tasks that still run on workers missing from its list.
func TestOwnerLostDuringOutage(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		t.Run(fmt.Sprintf("a worker is unreachable: %v", unreachable), func(t *testing.T) {
			s := newSim(t, 1, 4)
			s.claim()
			s.run(time.Second)
			first := newStep(4, time.Second)
			second := newStep(8, 5*time.Second)
			second.After = []int{0}
			s.submit("a", first, second)
			s.run(1500 * time.Millisecond)
			s.store.down = true
			s.run(4500 * time.Millisecond)
			s.owner.kill()
			s.store.lastFailure = s.now
			s.store.down = false
			s.entriesExpired = true
			if unreachable {
				s.workers["w02"].disconnect(3 * time.Second)
			}
			s.claim()
			s.run(s.now + time.Second)
			s.entriesExpired = false
			s.run(40 * time.Second)
			s.assertState("a", work.StateCompleted)
		})
	}
}

// TestAllProcessesLostInOutage guards against tasks that run twice: all processes are lost
// during an outage of the store in which tasks start without a record, and come back after it.
// A worker that is cut off keeps its runs for a lease, and its entry expires at some time.
func TestAllProcessesLostInOutage(t *testing.T) {
	for _, tc := range []struct {
		name    string
		expires time.Duration // from the beginning of the cut on
		lostFor time.Duration
	}{
		{"the entry has expired before", 0, 2300 * time.Millisecond},
		{"the entry expires after the takeover", 3 * time.Second, 2300 * time.Millisecond},
		{"the processes are back at once", 0, 300 * time.Millisecond},
		{"the processes are back after half a lease", 2 * time.Second, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 4)
			s.claim()
			s.run(time.Second)
			first, second := newStep(4, time.Second), newStep(12, 8*time.Second)
			second.After = []int{0}
			s.submit("a", first, second)
			s.run(1300 * time.Millisecond)
			s.store.down = true
			s.run(3700 * time.Millisecond)
			s.owner.kill()
			w := s.workers["w02"]
			assert.Assert(t, len(w.runs) > 0, "tasks run without a record")
			w.disconnect(20 * time.Second)
			s.after(tc.expires, func() { w.unlisted = true })
			s.after(20*time.Second, func() { w.unlisted = false })
			s.run(s.now + tc.lostFor)
			s.store.lastFailure = s.now
			s.store.down = false
			s.freshProcess = true
			s.claim()
			s.submit("b", newStep(1, time.Second))
			assert.Assert(t, s.startsWithin("b", time.Second), "later work does not wait")
			s.run(60 * time.Second)
			s.assertState("a", work.StateCompleted)
		})
	}
}

// TestChangedAddressIsStoredFirst guards against starts without a record on a worker that a
// successor could not find: the directory in the store has its former address.
func TestChangedAddressIsStoredFirst(t *testing.T) {
	s := newSim(t, 1, 1)
	s.claim()
	s.run(time.Second)
	n := s.owner.nodes["w00"]
	assert.Assert(t, n.inDirectory)
	former, ok := s.owner.WorkerDirectory()
	assert.Assert(t, ok)
	w := s.workers["w00"].worker
	w.Address, w.Born = "elsewhere", w.Born+1
	s.owner.SetWorkers([]work.Worker{w}, s.now)
	assert.Assert(t, !n.inDirectory)
	s.owner.WorkerDirectoryStored(former)
	assert.Assert(t, !n.inDirectory, "a write that was sent before")
	s.owner.WorkerDirectoryStored([]work.Worker{w})
	assert.Assert(t, n.inDirectory)
}

// loseAllProcesses ends all processes during an outage of the store of the given length, while
// a worker is cut off and its entry expires. A process that has just started claims the cell.
func (s *sim) loseAllProcesses(w *simWorker, outage time.Duration) {
	s.tracef("store down for %s, all processes are lost in it", outage)
	s.store.down = true
	s.after(outage*3/4, func() {
		s.owner.kill()
		w.disconnect(8 * time.Second)
		w.unlisted = true
		s.after(8*time.Second, func() { w.unlisted = w.replaced })
	})
	s.after(outage, func() {
		s.store.down, s.store.lastFailure = false, s.now
		s.freshProcess = true
		s.claim()
	})
}

// startsWithin runs until a task of the job has started, for at most d.
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

// TestUnresponsiveWorkerDoesNotDelayASuccessor loses a worker well before the owner's
// process. Nothing can have been started there since, so the successor, a new process
// that has no record of earlier store failures, does not wait.
func TestUnresponsiveWorkerDoesNotDelayASuccessor(t *testing.T) {
	s := newSim(t, 1, 4)
	s.freshProcess = true
	s.claim()
	s.run(time.Second)
	s.workers["w02"].disconnect(time.Minute)
	s.run(s.now + 4*time.Second)
	s.owner.kill()
	s.submit("a", newStep(2, time.Second))
	s.run(s.now + 500*time.Millisecond)
	s.claim()
	assert.Assert(t, s.startsWithin("a", 300*time.Millisecond))
}

// TestNewJobsNeedNotWait loses a worker together with the owner: earlier jobs wait for
// the worker, new jobs do not, because they cannot be running there.
func TestNewJobsNeedNotWait(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.run(time.Second)
	s.freshProcess = true
	s.owner.kill()
	s.submit("a", newStep(2, time.Second))
	s.workers["w02"].disconnect(time.Minute)
	s.run(s.now + 500*time.Millisecond)
	s.claim()
	s.submit("b", newStep(2, time.Second))
	assert.Assert(t, s.startsWithin("b", 300*time.Millisecond))
	assert.Assert(t, !s.startsWithin("a", time.Second), "w02 may run it")
	s.run(s.now + 15*time.Second)
	s.assertState("a", work.StateCompleted)
}

// TestLaterStoreOutageDoesNotBlockStarts loses a worker before a takeover and the store
// long after it: the owner has recorded what it has started itself since the takeover.
func TestLaterStoreOutageDoesNotBlockStarts(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.run(time.Second)
	second := newStep(2, time.Second)
	second.After = []int{0}
	s.submit("a", newStep(1, 3*time.Second), second)
	assert.Assert(t, s.startsWithin("a", 300*time.Millisecond))
	for _, w := range s.workers {
		if len(w.runs) == 0 {
			w.disconnect(time.Minute)
			w.unlisted = true
			break
		}
	}
	s.owner.kill()
	s.freshProcess = true
	s.claim()
	s.run(s.now + 1500*time.Millisecond)
	s.store.down = true
	s.submit("b", newStep(1, time.Second)) // causes a record to be written, which fails
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

// TestReplacedWorkerFreesItsTasks has a worker crash and another one start at its
// address: its tasks are restarted elsewhere without waiting for its lease to expire.
func TestReplacedWorkerFreesItsTasks(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("a", newStep(12, 2*time.Second))
	s.run(500 * time.Millisecond)
	s.workers["w01"].replace(300 * time.Millisecond)
	s.run(6 * time.Second)
	s.assertState("a", work.StateCompleted)
}

// TestReplacedWorkerDoesNotDelayASuccessor has a worker replaced while there is no
// owner.
func TestReplacedWorkerDoesNotDelayASuccessor(t *testing.T) {
	s := newSim(t, 1, 4)
	s.freshProcess = true
	s.claim()
	s.run(time.Second)
	s.owner.kill()
	s.submit("a", newStep(2, time.Second))
	s.workers["w02"].replace(300 * time.Millisecond)
	s.run(s.now + 500*time.Millisecond)
	s.claim()
	assert.Assert(t, s.startsWithin("a", 300*time.Millisecond))
}

// TestStaleWorkerListBlocksStarts delays the reading of the worker list, as on a
// host with too little processor time: a draining worker would not be recognized.
func TestStaleWorkerListBlocksStarts(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.run(time.Second)
	s.listStale = true
	s.run(s.now + 2*time.Second)
	s.submit("a", newStep(2, time.Second))
	assert.Assert(t, !s.startsWithin("a", time.Second))
	s.listStale = false
	assert.Assert(t, s.startsWithin("a", 500*time.Millisecond))
	s.listStale = true
	s.store.down = true
	s.run(s.now + 4*time.Second)
	s.submit("b", newStep(2, time.Second))
	assert.Assert(t, s.startsWithin("b", time.Second), "work continues without the store")
}

// TestSilentEntriesDoNotStopWorkInAnOutage lists more workers that never respond than
// others, as entries of another program do: they say nothing about a successor, so the
// owner must still start work while the store is unavailable.
func TestSilentEntriesDoNotStopWorkInAnOutage(t *testing.T) {
	s := newSim(t, 1, 12)
	for i := 4; i < 12; i++ {
		s.workers[fmt.Sprintf("w%02d", i)].down = true
	}
	s.claim()
	second := newStep(2, time.Second)
	second.After = []int{0}
	s.submit("a", newStep(2, time.Second), second)
	s.run(500 * time.Millisecond)
	s.store.down = true
	s.run(6 * time.Second)
	ended := 0
	for _, w := range s.workers {
		ended += len(w.ends)
	}
	assert.Equal(t, ended, 4, "both steps have run during the outage")
}
