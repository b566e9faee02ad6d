package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// offered is a load on a cell: short urgent jobs of one or two steps, and long
// ones of a lower priority that fill what is left.
type offered struct {
	urgent  float64 // part of the cell's capacity that urgent jobs ask for
	batch   float64 // part that long jobs ask for
	burst   float64 // times the urgent part from burstAt until burstEnd
	flood   float64 // times the rate of one team of four from burstAt until burstEnd
	advised bool    // the adviser has to be asked for each step
	carried bool    // other hosts make the calls to the workers
}

const (
	burstAt, burstEnd = 8 * time.Second, 12 * time.Second
	loadEnd           = 24 * time.Second
	// recovery is how long after a burst the cell may take to be back to normal.
	recovery = 3 * time.Second

	overloadWorkers = 250

	urgentTakes, batchTakes = 600 * time.Millisecond, 3600 * time.Millisecond
	urgentWide, batchWide   = 8, 14
)

// served is what became of the urgent jobs that came within a time.
type served struct{ asked, inAim, done int }

func (s served) share() float64 { return float64(s.inAim) / float64(max(s.asked, 1)) }

// overload plays a load and returns what became of the urgent jobs before,
// during and after the burst.
func overload(t *testing.T, seed uint64, load offered) (before, during, after served) {
	s := newSim(t, seed, overloadWorkers)
	// As measured on the users' machines, with four fifths of a core.
	s.processor = processor{look: 200 * time.Nanosecond, call: 100 * time.Microsecond}
	if load.carried {
		s.processor.call = 15 * time.Microsecond
	}
	s.tables = &work.Tables{
		Version: 1, Pools: map[string]work.Pool{"pool": {Name: "pool"}}, Teams: map[string]work.Team{},
		Queues: []work.Queue{
			{Name: "urgent", Service: "pool", Attempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
			{Name: "batch", Service: "pool", Attempts: 3, Stretch: 4, Target: 3 * time.Second, Priority: 2},
		},
	}
	capacity := float64(len(s.workers)) * 4 // tasks at a time
	urgentRate := load.urgent * capacity / (1.5 * urgentWide * urgentTakes.Seconds())
	batchRate := load.batch * capacity / (2 * batchWide * batchTakes.Seconds())
	for i := range 4 {
		name := fmt.Sprint("team-", i)
		s.tables.Teams[name] = work.Team{Name: name, Weight: urgentRate/4*1.5 + batchRate}
	}
	if load.advised {
		s.tables.Queues[0].Advice = &work.Advice{Decide: 13 * time.Millisecond, Each: 180 * time.Microsecond, Valid: 2 * time.Second}
	}
	s.tables.BuildIndexes()
	s.claim()
	ended := map[string]time.Duration{}
	s.watchEnds(ended)
	for team := range 4 {
		factor := func() (x float64) {
			x = 1
			if s.now >= burstAt && s.now < burstEnd {
				x = max(load.burst, 1)
				if team == 0 {
					x *= max(load.flood, 1)
				}
			}
			return x
		}
		s.arrive(fmt.Sprint("team-", team), "urgent", func() float64 { return urgentRate / 4 * factor() }, func() []work.Step {
			return stepChain(1+s.rng.IntN(2), urgentWide/2+s.rng.IntN(urgentWide+1), urgentTakes)
		})
		s.arrive(fmt.Sprint("team-", team), "batch", func() float64 { return batchRate / 4 }, func() []work.Step {
			return stepChain(2, batchWide, batchTakes)
		})
	}
	s.run(loadEnd + 20*time.Second)
	for id, j := range s.jobs {
		if j.spec.Queue != "urgent" {
			continue
		}
		count := &after
		switch at := j.spec.Accepted; {
		case at < burstAt-time.Second && at > time.Second:
			count = &before
		case at >= burstAt && at < burstEnd:
			count = &during
		case at < burstEnd+recovery:
			continue
		}
		count.asked++
		if end, ok := ended[id]; ok {
			count.done++
			chain := time.Duration(len(j.spec.Steps)) * urgentTakes
			// Runs take up to half as long again as estimated.
			if end-j.spec.Accepted <= 250*time.Millisecond+3*chain/2+chain/4 {
				count.inAim++
			}
		}
	}
	return before, during, after
}

// chainOf returns steps that wait for each other.
func stepChain(steps, count int, estimate time.Duration) (list []work.Step) {
	for i := range steps {
		step := work.Step{Count: count, Demand: resource.Vector{MilliCores: 1000, MemoryMB: 500}, Estimate: estimate}
		if i > 0 {
			step.After = []int{i - 1}
		}
		list = append(list, step)
	}
	return list
}

// arrive submits jobs at random times until loadEnd, at a rate a second.
func (s *sim) arrive(team, queue string, rate func() float64, steps func() []work.Step) {
	number := 0
	var next func()
	next = func() {
		if s.now >= loadEnd {
			return
		}
		number++
		job := &work.Job{ID: fmt.Sprintf("%s-%s-%d", queue, team, number), Team: team, Queue: queue, Steps: steps(), Accepted: s.now}
		s.jobs[job.ID] = &simJob{spec: job}
		s.owner.call(func() { s.owner.Accept(job) })
		s.at(time.Duration(s.rng.ExpFloat64()/rate()*float64(time.Second)), next)
	}
	s.at(time.Duration(s.rng.ExpFloat64()/rate()*float64(time.Second)), next)
}

// watchEnds notes when jobs are over.
func (s *sim) watchEnds(ended map[string]time.Duration) {
	var look func()
	look = func() {
		for id := range s.jobs {
			if _, known := ended[id]; !known {
				if state, _, ok := s.owner.State(id); ok && state == work.StateCompleted {
					ended[id] = s.now
				}
			}
		}
		s.at(20*time.Millisecond, look)
	}
	look()
}

// TestBackToNormalAfterOverload plays bursts and floods on a full cell: urgent
// jobs that come some seconds later are served as they were before.
func TestBackToNormalAfterOverload(t *testing.T) {
	const seeds = 1
	// normal is how much less than before may be in time: some jobs of a few hundred.
	const normal = 0.03
	for _, tc := range []struct {
		name string
		load offered
	}{
		{"a burst of the shortest work", offered{urgent: 0.5, batch: 0.6, burst: 2.5, carried: true}},
		{"the same with an adviser", offered{urgent: 0.5, batch: 0.6, burst: 2.5, advised: true, carried: true}},
		{"a flood of one team", offered{urgent: 0.5, batch: 0.6, flood: 8, advised: true, carried: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var before, during, after served
			var worst []float64
			for seed := range uint64(seeds) {
				b, d, a := overload(t, seed, tc.load)
				before.asked, before.inAim, before.done = before.asked+b.asked, before.inAim+b.inAim, before.done+b.done
				during.asked, during.inAim, during.done = during.asked+d.asked, during.inAim+d.inAim, during.done+d.done
				after.asked, after.inAim, after.done = after.asked+a.asked, after.inAim+a.inAim, after.done+a.done
				worst = append(worst, a.share())
			}
			t.Logf("in aim before %.3f, during %.3f, after %.3f (worst seed %.3f); ever done %d of %d",
				before.share(), during.share(), after.share(), slices.Min(worst), before.done+during.done+after.done,
				before.asked+during.asked+after.asked)
			assert.Assert(t, after.share() >= before.share()-normal, "not back to normal after %s", recovery)
		})
	}
}
