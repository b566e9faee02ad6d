package cell

import (
	"fmt"
	"testing"
	"time"

	"turmericspread.org/turmericspread/internal/work"
)

// split separates the owner and some of the workers from the store and the other workers,
// whose successor takes over after a delay.
func (s *sim) split(withOwner func(id string) bool, delay, length time.Duration) {
	former := s.owner
	former.cut, former.unreachable = true, map[string]bool{}
	others := map[string]bool{}
	for id, w := range s.workers {
		if withOwner(id) {
			others[id] = true
			s.after(min(4500*time.Millisecond, length), func() { w.unlisted = former.cut })
		} else {
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
	s := newSim(t, 1, 8)
	s.connected = true
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
}

// TestIsolatedMajorityStops guards against work that waits for ever: an owner with most of
// the workers never returns. It stops, and its successor goes on with the others.
func TestIsolatedMajorityStops(t *testing.T) {
	s := newSim(t, 1, 8)
	s.connected = true
	s.claim()
	s.submit("a", newStep(64, 4*time.Second))
	s.run(time.Second)
	s.split(func(id string) bool { return id < "w06" }, 1300*time.Millisecond, time.Hour)
	s.run(2 * time.Minute)
	s.assertState("a", work.StateCompleted)
}

// TestRandomSplits is TestRandomFaultsOfConnectedOwners with owners that are separated from
// the store together with some of the workers.
func TestRandomSplits(t *testing.T) {
	const length = 60 * time.Second
	for seed := uint64(1); seed <= uint64(*seedsFlag); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newSim(t, seed, 8)
			s.connected = true
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
