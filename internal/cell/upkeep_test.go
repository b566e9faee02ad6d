package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// machines returns the names of the first count machines.
func machines(count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("m%02d", i))
	}
	return names
}

// assertWave fails unless the wave is completed and each of its machines had its upkeep once.
func (s *sim) assertWave(count int) {
	s.t.Helper()
	if s.cloud.states["7"] != WaveCompleted || len(s.cloud.begun) != count {
		s.fatalf("the wave is %q after the upkeep of %d of %d machines", s.cloud.states["7"], len(s.cloud.begun), count)
	}
}

// TestWave guards against a wave that takes down more machines than allowed, that interrupts work
// although there is time, that ends too many tasks of a lasting step, or that is late. The
// cloud checks each upkeep.
func TestWave(t *testing.T) {
	for _, tc := range []struct {
		name           string
		maximum        int
		within         time.Duration
		tasks, maxAway int  // of a lasting step
		short, long    int  // tasks of a second, and of a minute that save their progress
		interrupts     bool // work has to be interrupted
	}{
		{"idle", 2, 40 * time.Second, 0, 0, 0, 0, false},
		{"short tasks", 3, 40 * time.Second, 0, 0, 200, 0, false},
		{"long tasks that save their progress", 2, 40 * time.Second, 0, 0, 0, 6, false},
		{"lasting tasks that move", 3, 60 * time.Second, 8, 1, 0, 0, false},
		{"lasting tasks that cannot move", 3, 60 * time.Second, 12, 2, 0, 0, true},
		{"all", 2, 60 * time.Second, 6, 1, 100, 4, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 12)
			s.openWave(tc.within, tc.maximum, machines(8)...)
			waves := s.cloud.waves
			s.cloud.waves = nil
			s.claim()
			if tc.tasks > 0 {
				step := newLastingStep(tc.tasks)
				step.MaxUnavailable = tc.maxAway
				s.submit("lasting", step)
			}
			if tc.long > 0 {
				long := newStep(tc.long, time.Minute)
				long.Checkpointing = true
				s.submit("long", long)
			}
			s.run(2 * time.Second)
			if tc.short > 0 {
				s.submit("short", newStep(tc.short, time.Second))
			}
			s.cloud.waves = waves
			s.run(s.now + tc.within)
			s.assertWave(8)
			lost := s.owner.Counters.RunsLost
			assert.Assert(t, tc.interrupts || lost == 0, "%d runs were interrupted", lost)
			s.run(s.now + 90*time.Second)
			assert.Equal(t, s.running("lasting", ""), tc.tasks)
			if tc.short > 0 {
				s.assertState("short", work.StateCompleted)
			}
			if tc.long > 0 {
				s.assertState("long", work.StateCompleted)
			}
		})
	}
}

// TestWaveWithFaults guards against machines that count as up although a call that was not
// answered may have been executed, against calls that alternate between owners, and against a
// wave that stops after a refusal.
func TestWaveWithFaults(t *testing.T) {
	every := func(n int, err error) func(int) error {
		return func(call int) error {
			if call%n == 0 {
				return err
			}
			return nil
		}
	}
	for _, tc := range []struct {
		name  string
		setUp func(s *sim)
	}{
		{"too many calls", func(s *sim) { s.cloud.errs = every(2, work.ErrTooManyCalls) }},
		{"responses are lost", func(s *sim) { s.cloud.loses = func(call int) bool { return call%2 == 1 } }},
		{"calls are lost", func(s *sim) { s.cloud.errs = every(2, errs.New("no response")) }},
		{"busy", func(s *sim) { s.cloud.errs = every(2, work.ErrMachineBusy) }},
		{"the list of machines cannot be read", func(s *sim) { s.cloud.unread = true }},
		{"a worker drains and leaves", func(s *sim) {
			s.workers["w03"].drain()
			s.after(20*time.Second, func() {
				w := s.workers["w03"]
				w.gone, w.down, w.unlisted, w.runs = true, true, true, map[string]*simRun{}
			})
		}},
		{"a worker does not respond", func(s *sim) { s.workers["w02"].disconnect(time.Hour) }},
		{"takeovers", func(s *sim) {
			s.cloud.loses = func(call int) bool { return call%3 == 1 }
			for i := range 4 {
				s.after(time.Duration(3000+8130*i)*time.Millisecond, func() {
					s.owner.kill()
					s.after(time.Second, s.claim)
				})
			}
		}},
		{"everything", func(s *sim) {
			s.cloud.loses = func(int) bool { return s.rng.Float64() < 0.3 }
			s.cloud.errs = func(int) error {
				switch p := s.rng.Float64(); {
				case p < 0.1:
					return errLost
				case p < 0.2:
					return work.ErrTooManyCalls
				}
				return nil
			}
			s.loseResponse = 0.02
			s.store.loseWriteResponse = 0.05
			for range 3 {
				s.after(time.Duration(s.rng.IntN(60))*time.Second, func() {
					s.owner.kill()
					s.after(time.Second, s.claim)
				})
				s.after(time.Duration(s.rng.IntN(60))*time.Second, func() { s.store.down = true; s.after(2*time.Second, func() { s.store.down = false }) })
			}
			for i := range 4 {
				s.after(time.Duration(s.rng.IntN(60))*time.Second, func() {
					if w := s.workers[fmt.Sprintf("w%02d", i+8)]; w != nil {
						w.crash(2 * time.Second)
					}
				})
			}
		}},
		{"a frozen owner", func(s *sim) {
			s.cloud.saveDelay = 100 * time.Millisecond
			for i := range 20 {
				s.after(time.Duration(1000+2015*i)*time.Millisecond, func() {
					if i%4 == 0 {
						s.owner.freeze(3 * time.Second)
						s.after(900*time.Millisecond, s.claim)
					}
				})
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSim(t, seed, 12)
				s.openWave(90*time.Second, 2, machines(8)...)
				s.claim()
				step := newLastingStep(6)
				step.MaxUnavailable = 1
				s.submit("lasting", step)
				for i := range 80 {
					s.after(time.Duration(i)*time.Second/2, func() { s.submit(fmt.Sprintf("j%02d", i), newStep(4, time.Second)) })
				}
				tc.setUp(s)
				s.run(100 * time.Second)
				count := 8
				if s.workers["w03"].worker.Draining {
					count--
				}
				s.assertWave(count)
				for i := range 80 {
					s.assertState(fmt.Sprintf("j%02d", i), work.StateCompleted)
				}
			}
		})
	}
}
