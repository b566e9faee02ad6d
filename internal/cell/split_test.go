package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// simPeers is what an owner and the other hosts know of each other by heartbeats.
type simPeers struct {
	until         time.Duration // until when the owner knows of a host with access to the store
	recordedUntil time.Duration // until when that host knows that all starts are recorded
	heardAt       time.Duration // when the owner last heard from another host
}

// heartbeat models the heartbeats of a host that has access to the store.
func (o *simOwner) heartbeat() {
	const interval, span, margin = 200 * time.Millisecond, 6 * time.Second, 200 * time.Millisecond
	s := o.sim
	switch {
	case o.killed || s.store.ownerRev != o.rowRevision:
		return
	case s.store.down:
		o.peers.recordedUntil = 0
		if !o.cut && !o.frozen {
			o.peers.until, o.peers.heardAt = 0, s.now
		}
	case !o.cut && !o.frozen:
		o.peers = simPeers{until: s.now + span, heardAt: s.now}
		if s.asksPeers && o.Recorded() {
			o.peers.recordedUntil = s.now + span - margin
		}
	}
	s.after(interval, o.heartbeat)
}

// split separates the owner and some of the workers from the store and the other workers,
// whose successor takes over after a delay.
func (s *sim) split(withOwner func(id string) bool, delay, length time.Duration) {
	former := s.owner
	former.cut, former.unreachable = true, map[string]bool{}
	ownerReachesAll := s.ownerReachesRest && s.rng.IntN(3) == 0
	others := map[string]bool{}
	for id, w := range s.workers {
		if withOwner(id) {
			others[id] = true
			s.after(min(4500*time.Millisecond, length), func() { w.unlisted = former.cut })
		} else if !ownerReachesAll {
			former.unreachable[id] = true
		}
	}
	s.tracef("epoch %d is separated with %d of the workers", former.Epoch, len(others))
	s.after(delay, func() {
		if s.owner != former {
			return
		}
		s.claim()
		s.owner.unreachable = others
	})
	s.after(length, func() {
		s.tracef("epoch %d is back", former.Epoch)
		former.cut, former.unreachable = false, nil
		s.owner.unreachable = nil
		for _, w := range s.workers {
			w.unlisted = w.replaced
		}
	})
}

// TestSplitWithMostWorkers guards against tasks that run again after their end was
// acknowledged: an owner that reaches most of the workers, but neither the store nor the
// others, restarts tasks of workers that its successor has reached.
func TestSplitWithMostWorkers(t *testing.T) {
	for _, asksPeers := range []bool{false, true} {
		t.Run(fmt.Sprintf("asks peers: %v", asksPeers), func(t *testing.T) {
			s := newSim(t, 1, 8)
			s.connected, s.asksPeers = true, asksPeers
			s.claim()
			for i := range 60 {
				s.submit(fmt.Sprintf("j%02d", i), newStep(4, 4*time.Second))
			}
			s.run(time.Second)
			s.split(func(id string) bool { return id < "w06" }, 1300*time.Millisecond, 18*time.Second)
			s.run(150 * time.Second)
			for i := range 60 {
				s.assertState(fmt.Sprintf("j%02d", i), work.StateCompleted)
			}
		})
	}
}

// TestForgottenWorkerCountsForTheMajority guards against tasks that run twice: an owner that is
// cut off with half of the workers forgets one of the others, whose entry has expired, and
// takes its half for a majority. Its successor has fenced the other half of the directory.
func TestForgottenWorkerCountsForTheMajority(t *testing.T) {
	s := newSim(t, 1, 6)
	s.connected = true
	s.claim()
	s.submit("a", newStep(96, 5*time.Second))
	s.run(time.Second)
	s.workers["w05"].disconnect(3 * time.Second)
	s.workers["w05"].unlisted = true
	s.owner.kill()
	s.claim()
	s.run(1600 * time.Millisecond)
	assert.Equal(t, len(s.directory), 6)
	s.split(func(id string) bool { return id < "w03" }, 1300*time.Millisecond, 25*time.Second)
	s.after(10*time.Second, func() { s.owner.freeze(12 * time.Second) })
	s.run(120 * time.Second)
	s.assertState("a", work.StateCompleted)
}

// TestIsolatedMajorityStops guards against work that waits for ever: an owner with most of
// the workers never returns. It stops, and its successor goes on with the others.
func TestIsolatedMajorityStops(t *testing.T) {
	s := newSim(t, 1, 8)
	s.connected, s.asksPeers = true, true
	s.claim()
	s.submit("a", newStep(64, 4*time.Second))
	s.run(time.Second)
	s.split(func(id string) bool { return id < "w06" }, 1300*time.Millisecond, time.Hour)
	s.run(2 * time.Minute)
	s.assertState("a", work.StateCompleted)
}

// TestFencedByFewWorkers guards against a cell in which nobody acts: the owner has lost the
// store, and its successor reaches only a few of the workers, which the owner reaches as well.
func TestFencedByFewWorkers(t *testing.T) {
	s := newSim(t, 1, 8)
	s.connected, s.asksPeers = true, true
	s.claim()
	s.submit("a", newStep(128, 2*time.Second))
	s.run(time.Second)
	former := s.owner
	former.cut = true
	s.run(2200 * time.Millisecond)
	s.claim()
	s.owner.unreachable = map[string]bool{"w02": true, "w03": true, "w04": true, "w05": true, "w06": true, "w07": true}
	s.run(8 * time.Second) // the owner waits for the hosts that it does not hear
	assert.Equal(t, s.owner.jobs["a"].steps[0].waitReason, ReasonTakeover)
	before := s.starts
	s.run(16 * time.Second)
	assert.Assert(t, s.starts >= before+24, "the owner goes on with the workers that it reaches: %d starts", s.starts-before)
	former.cut, s.owner.unreachable = false, nil
	s.run(60 * time.Second)
	s.assertState("a", work.StateCompleted)
	assert.Assert(t, former.ownershipLost)
}

// TestRestartedWorkerDoesNotConfirm guards against an owner that acts again beside its
// successor: half of the workers have rejected its token, and one of these restarts without it.
func TestRestartedWorkerDoesNotConfirm(t *testing.T) {
	s := newSim(t, 1, 8)
	s.connected = true
	s.claim()
	s.submit("a", newStep(96, 4*time.Second))
	s.run(time.Second)
	former := s.owner
	s.split(func(id string) bool { return id < "w04" }, 1300*time.Millisecond, 15*time.Second)
	s.run(5 * time.Second)
	s.workers["w04"].crash(100 * time.Millisecond)
	former.unreachable = map[string]bool{"w05": true, "w06": true, "w07": true}
	s.owner.unreachable["w04"] = true
	s.run(90 * time.Second)
	s.assertState("a", work.StateCompleted)
}

// TestNoWaitAfterAllWorkersAreFenced guards against work that stands still although the former
// owner can start nothing any more, because every worker has seen a higher fencing token.
func TestNoWaitAfterAllWorkersAreFenced(t *testing.T) {
	s := newSim(t, 1, 8)
	s.connected = true
	s.claim()
	s.submit("a", newStep(64, 3*time.Second))
	s.run(time.Second)
	s.owner.cut = true
	s.run(2500 * time.Millisecond)
	s.submit("b", newStep(2, time.Second))
	s.claim()
	before := s.starts
	s.run(s.now + time.Second)
	assert.Assert(t, s.starts >= before+3, "accepted work goes on: %d starts", s.starts-before)
	s.run(60 * time.Second)
	s.assertState("a", work.StateCompleted)
	s.assertState("b", work.StateCompleted)
	assert.Equal(t, s.starts, 66, "each task is started once")
}

// TestNoWaitAfterRepeatedCuts cuts off each of three owners soon after its takeover. The third
// successor knows that neither of the former owners starts work without a record.
func TestNoWaitAfterRepeatedCuts(t *testing.T) {
	s := newSim(t, 1, 8)
	s.connected, s.asksPeers = true, true
	s.claim()
	s.submit("a", newStep(96, 3*time.Second))
	s.run(time.Second)
	s.workers["w01"].disconnect(7 * time.Second)
	for range 3 {
		s.owner.cut = true
		s.run(s.now + 1300*time.Millisecond)
		s.claim()
		s.run(s.now + 700*time.Millisecond)
	}
	before := s.starts
	s.run(s.now + time.Second)
	assert.Assert(t, s.starts >= before+3, "accepted work goes on: %d starts", s.starts-before)
	s.run(60 * time.Second)
	s.assertState("a", work.StateCompleted)
	assert.Equal(t, s.starts, 96, "each task is started once")
}

// TestNoWaitAfterAnOwnerThatAsksPeers guards against accepted work that stands still after
// the owner was cut off together with some workers, although the owner can have started
// nothing without a record.
func TestNoWaitAfterAnOwnerThatAsksPeers(t *testing.T) {
	s := newSim(t, 1, 8)
	s.connected, s.asksPeers = true, true
	s.claim()
	s.submit("a", newStep(64, 3*time.Second))
	s.run(time.Second)
	s.owner.cut = true
	s.run(1500 * time.Millisecond)
	s.workers["w01"].disconnect(5500 * time.Millisecond)
	s.run(2200 * time.Millisecond)
	before := s.starts
	s.claim()
	s.run(6 * time.Second)
	assert.Assert(t, s.starts >= before+7*4, "accepted work goes on on the other workers: %d starts", s.starts-before)
	s.run(40 * time.Second)
	s.assertState("a", work.StateCompleted)
	assert.Equal(t, s.starts, 64, "each task is started once")
}

// TestRandomSplits is TestRandomFaultsOfConnectedOwners with owners that are separated from
// the store together with some of the workers.
func TestRandomSplits(t *testing.T) {
	const length = 60 * time.Second
	for seed := uint64(1); seed <= uint64(*seedsFlag); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newSim(t, seed, 8)
			s.connected, s.ownerReachesRest, s.asksPeers = true, true, s.rng.IntN(2) == 0
			for range 3 {
				s.after(time.Duration(s.rng.Int64N(int64(length))), func() {
					if s.owner.cut || s.store.down {
						return
					}
					limit := fmt.Sprintf("w%02d", s.rng.IntN(9))
					s.split(func(id string) bool { return id < limit }, time.Duration(600+s.rng.IntN(1500))*time.Millisecond,
						time.Duration(2000+s.rng.IntN(26000))*time.Millisecond)
				})
			}
			s.playRandomFaults(length)
		})
	}
}
