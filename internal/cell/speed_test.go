package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	speedLoadStart, speedLoadEnd = 6 * time.Second, 26 * time.Second

	shortRunTime, longRunTime = 850 * time.Millisecond, 3200 * time.Millisecond
)

// unevenCell returns a cell of workers with four cores, of which a third takes 1.7 times as long
// as nominal and the rest 0.7 times, and two classes of work.
func unevenCell(t *testing.T, seed uint64, advised bool) *sim {
	s := newSim(t, seed, 60)
	i := 0
	for id := range 60 {
		w := s.workers[fmt.Sprintf("w%02d", id)]
		w.worker.Kind, w.slowdown = "fast", 0.7
		if i%3 == 0 {
			w.worker.Kind, w.slowdown = "slow", 1.7
		}
		i++
	}
	s.tables.Queues = []work.Queue{
		{Name: "short", Service: "pool", Attempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
		{Name: "long", Service: "pool", Attempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond, Priority: 2},
	}
	if advised {
		s.tables.Queues[0].Advice = &work.Advice{Decide: 31 * time.Millisecond, Each: 440 * time.Microsecond, Valid: 2 * time.Second}
		s.tables.Queues[1].Advice = &work.Advice{Decide: 390 * time.Millisecond, Each: 5600 * time.Microsecond, Valid: 8 * time.Second}
	}
	s.tables.Teams["team"] = work.Team{Name: "team", Weight: 100}
	s.tables.BuildIndexes()
	s.claim()
	return s
}

// unevenLoad runs short urgent and long jobs, and returns how many of each class that were
// submitted after the first seconds were in time.
func unevenLoad(s *sim) (short, long outcome) {
	ended := map[string]time.Duration{}
	s.recordEnds(ended)
	submit := func(queue string, perSecond float64, count int, runTime time.Duration) {
		s.submitRandomly("team", queue, func() float64 { return perSecond }, func() []work.Step {
			steps := stepChain(1+s.rng.IntN(2), count, runTime)
			for i := range steps {
				steps[i].Demand = resource.Vector{MilliCores: 1000, MemoryMB: 500}
			}
			return steps
		})
	}
	submit("short", 5, 8, shortRunTime)
	submit("long", 1.2, 10, longRunTime)
	s.run(loadEnd + 30*time.Second)
	for id, j := range s.jobs {
		if j.spec.Accepted < speedLoadStart || j.spec.Accepted > speedLoadEnd {
			continue
		}
		count, stretch, target := &short, 1.5, 250*time.Millisecond
		if j.spec.Queue == "long" {
			count, stretch, target = &long, 2.2, 1200*time.Millisecond
		}
		count.submitted++
		path := float64(criticalPathFrom(j.spec, -1))
		if end, ok := ended[id]; ok {
			count.completed++
			if end-j.spec.Accepted <= target+time.Duration(stretch*path) {
				count.onTime++
			}
		}
	}
	return short, long
}

// TestUrgentWorkAvoidsSlowWorkers replays a cell whose slow workers make every short job late
// that has a task there, while long jobs have the time for them.
func TestUrgentWorkAvoidsSlowWorkers(t *testing.T) {
	for _, advised := range []bool{false, true} {
		t.Run(fmt.Sprintf("advised=%t", advised), func(t *testing.T) {
			t.Parallel()
			s := unevenCell(t, 1, advised)
			short, long := unevenLoad(s)
			t.Logf("in time: short %d of %d, long %d of %d; %d stragglers, placed slower %d, faster %d, beyond %d", short.onTime, short.submitted, long.onTime,
				long.submitted, s.owner.Counters.Stragglers, s.owner.Counters.PlacedOnSlower, s.owner.Counters.PlacedOnFaster, s.owner.Counters.PlacedBeyondTime)
			assert.Assert(t, short.onTimeFraction() >= 0.8)
			assert.Assert(t, long.onTimeFraction() >= 0.8)
		})
	}
}

// TestEqualWorkersArePlacedAsBefore guards against placements that follow noise: with equal
// workers of two kinds, every task starts where it would without any learning.
func TestEqualWorkersArePlacedAsBefore(t *testing.T) {
	starts := func(seed uint64, advised, learning bool) (list []string) {
		s := unevenCell(t, seed, advised)
		for _, w := range s.workers {
			w.slowdown = 0
		}
		var forget func()
		forget = func() {
			for _, n := range s.owner.sortedNodes {
				n.speed = nil
			}
			s.after(time.Millisecond, forget)
		}
		if !learning {
			forget()
		}
		unevenLoad(s)
		return slices.DeleteFunc(s.trace, func(line string) bool { return !strings.Contains(line, " starts ") })
	}
	for seed := range uint64(3) {
		for _, advised := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed=%d/advised=%t", seed, advised), func(t *testing.T) {
				t.Parallel()
				learned, plain := starts(seed, advised, true), starts(seed, advised, false)
				assert.Assert(t, len(plain) > 1000, "%d", len(plain))
				assert.DeepEqual(t, learned, plain)
			})
		}
	}
}

// TestStragglersOnSlowKinds guards against healthy runs that are stopped because their kind of
// worker is slow, and checks that a worker is found that is slower than its kind.
func TestStragglersOnSlowKinds(t *testing.T) {
	s := unevenCell(t, 1, false)
	round := func(id string) (stragglers int64) {
		before := s.owner.Counters.Stragglers
		job := &work.Job{
			ID: id, Team: "team", Queue: "long", Steps: []work.Step{newStep(150, 3*time.Second)}, Accepted: s.now, Payload: "3s",
			Policy: s.tables.Policy("long", "team", nil),
		}
		s.jobs[id] = &simJob{spec: job}
		s.owner.call(func() { s.owner.Accept(job) })
		s.run(s.now + 12*time.Second)
		s.assertState(id, work.StateCompleted)
		return s.owner.Counters.Stragglers - before
	}
	round("learn")
	learned := s.owner.nodes["w00"].slowness()
	assert.Assert(t, learned > 1.6 && learned < 2, "%.2f", learned)
	for i := range 3 {
		assert.Equal(t, round(fmt.Sprint("healthy-", i)), int64(0))
	}
	s.workers["w00"].slowdown *= 5
	assert.Assert(t, round("degraded") > 0)
}
