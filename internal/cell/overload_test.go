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

// loadProfile describes a load on a cell: short urgent jobs of one or two steps, and
// long jobs of a lower priority that use the remaining capacity.
type loadProfile struct {
	urgent      float64 // fraction of the cell's capacity that urgent jobs demand
	batch       float64 // fraction that long jobs demand
	burst       float64 // factor on the urgent load from burstAt until burstEnd
	flood       float64 // factor on the rate of one of four teams from burstAt until burstEnd
	withAdvice  bool    // each step needs placement advice
	viaCarriers bool    // carriers, which are other hosts, make the calls to the workers
}

const (
	burstAt, burstEnd = 8 * time.Second, 12 * time.Second
	loadEnd           = 24 * time.Second
	// recovery is the maximum time from the end of a burst until the cell serves urgent
	// jobs as before.
	recovery = 3 * time.Second

	overloadWorkers = 250

	urgentRunTime, batchRunTime = 600 * time.Millisecond, 3600 * time.Millisecond
	urgentTasks, batchTasks     = 8, 14
)

// outcome counts the urgent jobs of one period.
type outcome struct{ submitted, onTime, completed int }

func (o outcome) onTimeFraction() float64 { return float64(o.onTime) / float64(max(o.submitted, 1)) }

// runOverload simulates a load and returns the outcome of the urgent jobs before,
// during and after the burst.
func runOverload(t *testing.T, seed uint64, load loadProfile) (before, during, after outcome) {
	s := newSim(t, seed, overloadWorkers)
	// Costs on the users' machines, with 80 % of a core.
	s.processor = processor{perCheck: 200 * time.Nanosecond, perCall: 100 * time.Microsecond}
	if load.viaCarriers {
		s.processor.perCall = 15 * time.Microsecond
	}
	s.tables = &work.Tables{
		Version: 1, Pools: map[string]work.Pool{"pool": {Name: "pool"}}, Teams: map[string]work.Team{},
		Queues: []work.Queue{
			{Name: "urgent", Service: "pool", Attempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
			{Name: "batch", Service: "pool", Attempts: 3, Stretch: 4, Target: 3 * time.Second, Priority: 2},
		},
	}
	capacity := float64(len(s.workers)) * 4 // concurrent tasks
	urgentRate := load.urgent * capacity / (1.5 * urgentTasks * urgentRunTime.Seconds())
	batchRate := load.batch * capacity / (2 * batchTasks * batchRunTime.Seconds())
	for i := range 4 {
		name := fmt.Sprint("team-", i)
		s.tables.Teams[name] = work.Team{Name: name, Weight: urgentRate/4*1.5 + batchRate}
	}
	if load.withAdvice {
		s.tables.Queues[0].Advice = &work.Advice{Decide: 13 * time.Millisecond, Each: 180 * time.Microsecond, Valid: 2 * time.Second}
	}
	s.tables.BuildIndexes()
	s.claim()
	ended := map[string]time.Duration{}
	s.recordEnds(ended)
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
		s.submitRandomly(fmt.Sprint("team-", team), "urgent", func() float64 { return urgentRate / 4 * factor() }, func() []work.Step {
			return stepChain(1+s.rng.IntN(2), urgentTasks/2+s.rng.IntN(urgentTasks+1), urgentRunTime)
		})
		s.submitRandomly(fmt.Sprint("team-", team), "batch", func() float64 { return batchRate / 4 }, func() []work.Step {
			return stepChain(2, batchTasks, batchRunTime)
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
		count.submitted++
		if end, ok := ended[id]; ok {
			count.completed++
			chain := time.Duration(len(j.spec.Steps)) * urgentRunTime
			// Runs take up to 50 % longer than estimated.
			if end-j.spec.Accepted <= 250*time.Millisecond+3*chain/2+chain/4 {
				count.onTime++
			}
		}
	}
	return before, during, after
}

// stepChain returns steps of which each depends on the previous one.
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

// submitRandomly submits jobs at random times until loadEnd, at a rate per second.
func (s *sim) submitRandomly(team, queue string, rate func() float64, steps func() []work.Step) {
	number := 0
	var next func()
	next = func() {
		if s.now >= loadEnd {
			return
		}
		number++
		job := &work.Job{ID: fmt.Sprintf("%s-%s-%d", queue, team, number), Team: team, Queue: queue, Steps: steps(), Accepted: s.now, Policy: s.tables.Policy(queue, team, nil)}
		s.jobs[job.ID] = &simJob{spec: job}
		s.owner.call(func() { s.owner.Accept(job) })
		s.after(time.Duration(s.rng.ExpFloat64()/rate()*float64(time.Second)), next)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate()*float64(time.Second)), next)
}

// recordEnds records when jobs are completed.
func (s *sim) recordEnds(ended map[string]time.Duration) {
	var poll func()
	poll = func() {
		for id := range s.jobs {
			if _, known := ended[id]; !known {
				if state, _, ok := s.owner.State(id); ok && state == work.StateCompleted {
					ended[id] = s.now
				}
			}
		}
		s.after(20*time.Millisecond, poll)
	}
	poll()
}

// TestBackToNormalAfterOverload simulates bursts and floods in a full cell: urgent
// jobs submitted some seconds later are served as before.
func TestBackToNormalAfterOverload(t *testing.T) {
	const seeds = 1
	// tolerance allows for a few jobs out of several hundred.
	const tolerance = 0.03
	for _, tc := range []struct {
		name string
		load loadProfile
	}{
		{"a burst of the shortest jobs", loadProfile{urgent: 0.5, batch: 0.6, burst: 2.5, viaCarriers: true}},
		{"the same burst with placement advice", loadProfile{urgent: 0.5, batch: 0.6, burst: 2.5, withAdvice: true, viaCarriers: true}},
		{"a flood from one team", loadProfile{urgent: 0.5, batch: 0.6, flood: 8, withAdvice: true, viaCarriers: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var before, during, after outcome
			var worst []float64
			for seed := range uint64(seeds) {
				b, d, a := runOverload(t, seed, tc.load)
				before.submitted, before.onTime, before.completed = before.submitted+b.submitted, before.onTime+b.onTime, before.completed+b.completed
				during.submitted, during.onTime, during.completed = during.submitted+d.submitted, during.onTime+d.onTime, during.completed+d.completed
				after.submitted, after.onTime, after.completed = after.submitted+a.submitted, after.onTime+a.onTime, after.completed+a.completed
				worst = append(worst, a.onTimeFraction())
			}
			t.Logf("on time before %.3f, during %.3f, after %.3f (worst seed %.3f); completed %d of %d",
				before.onTimeFraction(), during.onTimeFraction(), after.onTimeFraction(), slices.Min(worst), before.completed+during.completed+after.completed,
				before.submitted+during.submitted+after.submitted)
			assert.Assert(t, after.onTimeFraction() >= before.onTimeFraction()-tolerance, "not back to normal after %s", recovery)
		})
	}
}
