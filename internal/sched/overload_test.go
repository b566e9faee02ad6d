package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// job returns a waiting job that needs the given cores for a second.
func oneSecondJob(cores float64, deadline time.Duration) Waiting {
	return Waiting{
		Rank: Rank{Deadline: deadline}, Expiry: 3 * deadline, Path: time.Second, MinPath: time.Second, Work: cores, Value: 1,
	}
}

// TestPlan guards against work that is delayed without a shortage, and against a shortage
// at the cost of other work than that which costs callers least.
func TestPlan(t *testing.T) {
	const deadline = 2 * time.Second
	with := func(w Waiting, change func(w *Waiting)) Waiting {
		change(&w)
		return w
	}
	started := func(w *Waiting) { w.Rank.Started = true }
	overRate := func(w *Waiting) { w.Rank.OverRate = true }
	slow := func(w Waiting) Waiting {
		w.Path = 2100 * time.Millisecond
		return w
	}
	one := oneSecondJob(1, deadline)
	teams := []TeamLoad{{Weight: 10, Used: 4}, {Weight: 1}}
	for _, tc := range []struct {
		name     string
		waiting  []Waiting
		pool     Capacity
		teams    []TeamLoad
		delayed  []int
		expected []Expected
	}{
		{"nothing is delayed if all fits", []Waiting{one, one, one, one}, Capacity{Free: 2}, teams, nil, nil},
		{"capacity that becomes free counts from then on", []Waiting{one, one}, Capacity{Releases: []CoreRelease{{500 * time.Millisecond, 2}}}, teams, nil, nil},
		{"capacity that becomes free too late does not", []Waiting{one}, Capacity{Releases: []CoreRelease{{1500 * time.Millisecond, 2}}}, teams, []int{0}, nil},
		{"one large job is delayed instead of many small ones", []Waiting{oneSecondJob(4, deadline), one, one, one, one}, Capacity{Free: 2}, teams, []int{0}, nil},
		{"a large job that is worth more than the small ones is not",
			[]Waiting{with(oneSecondJob(4, deadline), func(w *Waiting) { w.Value = 5 }), one, one}, Capacity{Free: 2}, teams, []int{1, 2}, nil},
		{"started work is preferred to work that needs less",
			[]Waiting{with(oneSecondJob(3, deadline), started), oneSecondJob(2, deadline)}, Capacity{Free: 2}, teams, []int{1}, nil},
		{"but not to work that needs far less",
			[]Waiting{with(oneSecondJob(3, deadline), started), one}, Capacity{Free: 1.5}, teams, []int{0}, nil},
		{"work over the rate is delayed instead of larger work within it",
			[]Waiting{with(one, overRate), oneSecondJob(4, deadline)}, Capacity{Free: 2}, teams, []int{0}, nil},
		{"a higher priority is never delayed for a lower one",
			[]Waiting{oneSecondJob(4, deadline), with(one, func(w *Waiting) { w.Rank.Priority = 1 })}, Capacity{Free: 2}, teams, []int{1}, nil},
		{"a small team gets its turn whatever the size of its job",
			[]Waiting{one, one, with(oneSecondJob(4, deadline), func(w *Waiting) { w.Team = 1 })}, Capacity{Free: 2}, teams, []int{0, 1}, nil},
		{"expired work takes nothing from the rest",
			[]Waiting{with(oneSecondJob(4, deadline), func(w *Waiting) { w.Rank.Expired = true }), one}, Capacity{Free: 1}, teams, nil, nil},
		{"the excess of a team at its maximum does not delay the others",
			[]Waiting{one, one, one, one, with(oneSecondJob(2, deadline), func(w *Waiting) { w.Team = 1 })}, Capacity{Free: 2},
			[]TeamLoad{{Weight: 1, Used: 4, Limit: &Capacity{Free: 1}}, {Weight: 1, Used: 4}}, []int{2, 3}, nil},
		{"a job whose slowest task cannot be in time is delayed for others",
			[]Waiting{slow(one), one, one, one, one, one}, Capacity{Free: 2}, teams, []int{0, 5}, nil},
		{"but not if there is room", []Waiting{slow(one), one}, Capacity{Free: 2}, teams, nil, nil},
		{"expected work that is worth more for its work comes first", []Waiting{oneSecondJob(2, deadline), one}, Capacity{Free: 2}, teams, []int{0},
			[]Expected{{0, 0.7, 1}}},
		{"a turn is not lost to expected work", []Waiting{with(oneSecondJob(2, deadline), func(w *Waiting) { w.Team = 1 })}, Capacity{Free: 2}, teams, nil,
			[]Expected{{0, 0.7, 1}}},
		{"a turn lasts until the job is done",
			[]Waiting{one, one, with(oneSecondJob(4, deadline), func(w *Waiting) { w.Team, w.Own, w.Rank.Started = 1, 2, true })}, Capacity{Free: 2},
			[]TeamLoad{{Weight: 10, Used: 4}, {Weight: 1, Used: 2}}, []int{0, 1}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			count := Plan(tc.waiting, tc.expected, time.Minute, tc.pool, tc.teams, 0)
			var delayed []int
			for i := range tc.waiting {
				assert.Assert(t, count > 0 || !tc.waiting[i].Rank.Turn, "the order is not that of the deadlines")
				if tc.waiting[i].Rank.Delayed {
					delayed = append(delayed, i)
				}
			}
			assert.DeepEqual(t, delayed, tc.delayed)
			assert.Equal(t, count, len(delayed))
		})
	}
}

// TestPlanMarksHopelessWork guards against late work that cannot be of use any more, and is
// served before late work that can.
func TestPlanMarksHopelessWork(t *testing.T) {
	late := func(cores float64) Waiting {
		w := oneSecondJob(cores, 500*time.Millisecond)
		w.Rank.Late = true
		return w
	}
	waiting := []Waiting{late(40), late(1), late(1)}
	Plan(waiting, nil, 0, Capacity{Free: 2}, []TeamLoad{{Weight: 1}}, 0)
	assert.DeepEqual(t, []bool{waiting[0].Rank.Hopeless, waiting[1].Rank.Hopeless, waiting[2].Rank.Hopeless}, []bool{true, false, false})
	assert.Assert(t, Compare(waiting[1].Rank, waiting[0].Rank) < 0)
}

// mooreHodgson returns the largest number of jobs that one core can do in time.
func mooreHodgson(waiting []Waiting) (inTime int) {
	byDeadline := slices.SortedFunc(slices.Values(waiting), func(a, b Waiting) int { return int(a.Rank.Deadline - b.Rank.Deadline) })
	var chosen []float64
	sum := 0.0
	for _, w := range byDeadline {
		chosen = append(chosen, w.Work)
		if sum += w.Work; sum > w.Rank.Deadline.Seconds() {
			slices.Sort(chosen)
			sum -= chosen[len(chosen)-1]
			chosen = chosen[:len(chosen)-1]
		}
	}
	return len(chosen)
}

// TestPlanSavesAsManyAsPossible compares the plan for one core and jobs of equal value with
// the optimum, and serves the planned jobs in the order of Compare.
func TestPlanSavesAsManyAsPossible(t *testing.T) {
	best, planned, served := 0, 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var waiting []Waiting
		for range 20 {
			work := 0.05 + rng.ExpFloat64()*0.2
			path := time.Duration(work * float64(time.Second))
			deadline := path + time.Duration(rng.IntN(1500))*time.Millisecond
			waiting = append(waiting, Waiting{Rank: Rank{Deadline: deadline}, Expiry: 3 * deadline, Path: path, MinPath: path, Work: work, Value: 1})
		}
		best += mooreHodgson(waiting)
		planned += len(waiting) - Plan(waiting, nil, 0, Capacity{Free: 1}, []TeamLoad{{Weight: 1}}, 0)
		slices.SortStableFunc(waiting, func(a, b Waiting) int { return Compare(a.Rank, b.Rank) })
		end := 0.0
		for _, w := range waiting {
			if end += w.Work; end <= w.Rank.Deadline.Seconds()*1.02 {
				served++
			}
		}
	}
	t.Logf("in time: optimum %d, planned %d, served %d", best, planned, served)
	assert.Assert(t, float64(planned) <= 1.02*float64(best))
	assert.Assert(t, float64(served) >= 0.95*float64(best))
}

// BenchmarkPlan measures a plan for a long backlog in a cell of 350 workers.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{100, 1000, 3000} {
		rng := rand.New(rand.NewPCG(1, 1))
		teams := make([]TeamLoad, 20)
		for i := range teams {
			teams[i] = TeamLoad{Weight: 1, Used: rng.Float64() * 200, Limit: &Capacity{Free: 300}}
		}
		pool := Capacity{Free: 50}
		for i := range 2000 {
			pool.Releases = append(pool.Releases, CoreRelease{At: time.Duration(i) * time.Millisecond, Cores: 4})
		}
		var waiting []Waiting
		for range size {
			path := time.Duration(300+rng.IntN(3000)) * time.Millisecond
			waiting = append(waiting, Waiting{
				Rank: Rank{Deadline: 2 * path, Priority: rng.IntN(2) * 2, OverRate: rng.IntN(4) == 0}, Expiry: 6 * path, Path: path, MinPath: path,
				Work: rng.ExpFloat64() * 60, Value: 1, Team: rng.IntN(20),
			})
		}
		var expected []Expected
		for i := range 10 {
			expected = append(expected, Expected{Density: float64(i) / 60, Cores: 3})
		}
		b.Run(fmt.Sprintf("jobs=%d", size), func(b *testing.B) {
			for range b.N {
				Plan(waiting, expected, time.Minute, pool, teams, 0)
			}
		})
	}
}
