package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// newWaveSim returns a simulation whose workers have one lasting task each, so that none
// can be moved, and a wave that is due at once.
func newWaveSim(t *testing.T, maximum, maxAway int, machines ...string) (s *sim) {
	s = newSim(t, 1, 6)
	s.openWave(time.Second, maximum, machines...)
	waves := s.cloud.waves
	s.cloud.waves = nil
	s.claim()
	step := newLastingStep(6)
	step.MaxUnavailable = maxAway
	s.submit("lasting", step)
	s.run(10 * time.Second)
	assert.Equal(t, s.running("lasting", ""), 6)
	s.cloud.waves = waves
	return s
}

// runUntil runs until check is true, for at most d.
func (s *sim) runUntil(d time.Duration, what string, check func() bool) {
	s.t.Helper()
	for until := s.now + d; !check(); s.run(s.now + 10*time.Millisecond) {
		if s.now >= until {
			s.fatalf("not within %s: %s", d, what)
		}
	}
}

// TestTasksLostAfterTheDecision guards against an order that was decided before other tasks of
// the step were lost. The cloud checks it.
func TestTasksLostAfterTheDecision(t *testing.T) {
	s := newWaveSim(t, 1, 1, "m00")
	s.cloud.saveDelay = 4 * time.Second
	s.runUntil(5*time.Second, "the order is decided", func() bool { return s.owner.waves["7"] != nil && len(s.owner.waves["7"].records) == 1 })
	s.workers["w05"].disconnect(15 * time.Second)
	s.run(s.now + 13*time.Second)
	assert.Equal(t, len(s.cloud.begun), 0)
	s.runUntil(20*time.Second, "the wave is completed", func() bool { return s.cloud.states["7"] == WaveCompleted })
}

// TestTasksReturnAfterUpkeep guards against tasks that wait for the lease of a worker that has
// ended.
func TestTasksReturnAfterUpkeep(t *testing.T) {
	s := newWaveSim(t, 1, 1, "m00")
	s.runUntil(10*time.Second, "the upkeep begins", func() bool { return len(s.cloud.begun) == 1 })
	s.runUntil(4*time.Second, "all tasks run", func() bool { return s.running("lasting", "") == 6 })
}

// TestTwoWaves guards against waves that each end a task of one step. The cloud checks it.
func TestTwoWaves(t *testing.T) {
	s := newWaveSim(t, 2, 1, "m00")
	s.cloud.waves = append(s.cloud.waves, work.Wave{Name: "8", Number: "8", Machines: []string{"m01"}, Maximum: 2})
	s.runUntil(30*time.Second, "both are completed", func() bool {
		return s.cloud.states["7"] == WaveCompleted && s.cloud.states["8"] == WaveCompleted
	})
}

// TestUnansweredCallsKeepTheirPlace guards against another machine that takes the place of one
// whose upkeep may have begun.
func TestUnansweredCallsKeepTheirPlace(t *testing.T) {
	s := newSim(t, 1, 6)
	s.openWave(time.Second, 1, machines(6)...)
	s.cloud.errs = func(int) error { return errLost }
	s.claim()
	s.run(20 * time.Second)
	assert.Equal(t, len(s.cloud.called), 1)
	assert.Assert(t, s.cloud.states["7"] == WaveRunning && s.cloud.calls > 5)
}

// TestUpkeepRate guards against more calls than the platform accepts.
func TestUpkeepRate(t *testing.T) {
	s := newSim(t, 1, 12)
	s.openWave(time.Second, 12, machines(12)...)
	s.cloud.rate = 4
	s.cloud.errs = func(int) error { return work.ErrTooManyCalls }
	s.claim()
	s.run(20 * time.Second)
	assert.Assert(t, s.cloud.calls > 20 && s.cloud.calls <= 80, "%d calls", s.cloud.calls)
}

// TestWaveWithoutItsRow guards against an owner that cannot read the row and takes machines in
// their upkeep for ones that are up. The cloud checks it.
func TestWaveWithoutItsRow(t *testing.T) {
	s := newSim(t, 1, 6)
	s.openWave(time.Minute, 2, machines(6)...)
	s.cloud.maintained = 8 * time.Second
	s.claim()
	s.runUntil(10*time.Second, "two machines are down", func() bool { return len(s.cloud.begun) == 2 })
	s.owner.kill()
	s.run(s.now + 3*time.Second)
	s.cloud.row = nil
	s.claim()
	s.run(s.now + time.Minute)
	s.assertWave(6)
}

// TestWorkerReplacedBetweenCalls guards against a worker that joined between two calls, and that
// the second one has ended, which counts as the one after the upkeep. The cloud checks it.
func TestWorkerReplacedBetweenCalls(t *testing.T) {
	s := newSim(t, 1, 6)
	s.openWave(time.Minute, 1, "m00", "m01")
	s.cloud.errs = func(call int) error {
		if call == 1 {
			s.cloud.replace(s.workers["w00"], 10*time.Millisecond, func() {})
		}
		if call <= 5 {
			return errLost
		}
		return nil
	}
	s.claim()
	s.run(40 * time.Second)
	s.assertWave(2)
}
