package sched

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
)

func cores(n int64) resource.Vector { return resource.Vector{MilliCores: 1000 * n, MemoryMB: 1000 * n} }

func TestCompare(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, second Rank
	}{
		{"a higher priority comes first", Rank{Priority: 0, Deadline: 9}, Rank{Priority: 1, Deadline: 1}},
		{"within a priority, work within its team's rate comes first", Rank{Deadline: 9}, Rank{OverRate: true, Deadline: 1}},
		{"then the earlier deadline comes first", Rank{Deadline: 1}, Rank{Deadline: 2}},
		{"late work that is not started comes last in its priority", Rank{OverRate: true, Deadline: 9}, Rank{Late: true}},
		{"late work comes before lower priorities", Rank{Late: true, OverRate: true, Deadline: 9}, Rank{Priority: 1, Started: true}},
		{"started work comes first", Rank{Started: true, OverRate: true, Deadline: 9}, Rank{Deadline: 1}},
		{"started work does not overtake a higher priority", Rank{Deadline: 9}, Rank{Priority: 1, Started: true}},
		{"expired work comes last", Rank{Late: true, Priority: 2}, Rank{Expired: true, Started: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Assert(t, Compare(tc.first, tc.second) < 0)
			assert.Assert(t, Compare(tc.second, tc.first) > 0)
			assert.Equal(t, Compare(tc.first, tc.first), 0)
		})
	}
}

func TestChoose(t *testing.T) {
	candidates := []Candidate{
		{Free: cores(8), Rack: "a", MaxTasks: 9},
		{Free: cores(2), Rack: "b", MaxTasks: 9},
		{Free: cores(2), Rack: "a", MaxTasks: 0},
		{Free: cores(1), Rack: "a", MaxTasks: 9, Penalty: 2},
	}
	for _, tc := range []struct {
		name string
		want resource.Vector
		best int
	}{
		{"the tightest fit without a penalty", cores(1), 1},
		{"the only candidate that fits", cores(4), 0},
		{"no candidate fits", cores(9), -1},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, Choose(candidates, tc.want), tc.best) })
	}
}

// TestChooseKeepsAcceleratorsTogether checks that a narrow task takes one of the few free
// accelerators of a worker, even if another worker has less processor time free.
func TestChooseKeepsAcceleratorsTogether(t *testing.T) {
	worker := func(free, accelerators int64) Candidate {
		c := Candidate{Free: cores(free), MaxTasks: 9}
		c.Free.Accelerators = accelerators
		return c
	}
	narrow := cores(1)
	narrow.Accelerators = 1
	assert.Equal(t, Choose([]Candidate{worker(2, 8), worker(9, 1)}, narrow), 1)
}

func TestChooseAll(t *testing.T) {
	candidates := []Candidate{
		{Free: cores(4), Rack: "a", MaxTasks: 9},
		{Free: cores(3), Rack: "b", MaxTasks: 9},
		{Free: cores(3), Rack: "b", MaxTasks: 9},
	}
	for _, tc := range []struct {
		name  string
		count int
		same  bool
		picks []int
	}{
		{"one rack fits all tasks", 6, true, []int{1, 1, 1, 2, 2, 2}},
		{"no rack fits all tasks", 8, true, []int{1, 1, 1, 2, 2, 2, 0, 0}},
		{"all or none", 11, false, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			picks := ChooseAll(candidates, cores(1), tc.count, GangPreference{SameRack: tc.same})
			assert.DeepEqual(t, picks, tc.picks)
		})
	}
	assert.Equal(t, candidates[0].MaxTasks, 9, "the candidates are unchanged")
}

func TestReserve(t *testing.T) {
	r := Reserve{Fraction: 0.2}
	for _, tc := range []struct {
		name       string
		free       int64
		slack      time.Duration
		admits     bool
		timeBudget time.Duration
	}{
		{"free capacity beyond the reserve", 5, 9 * time.Second, true, 10 * time.Second},
		{"the reserve is left free", 2, 9 * time.Second, false, 10 * time.Second},
		{"the reserve is used if time is short", 2, time.Second, true, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, r.Admits(cores(tc.free), cores(10), cores(1), tc.slack, tc.timeBudget), tc.admits)
		})
	}
}

func TestTokenBucket(t *testing.T) {
	var bucket TokenBucket
	withinRate := 0
	for i := range 100 {
		if bucket.Take(time.Duration(i)*100*time.Millisecond, 5) {
			withinRate++
		}
	}
	// Ten seconds at a rate of 5 per second, and a burst of two seconds.
	assert.Assert(t, withinRate >= 55 && withinRate <= 60, "%d of 100", withinRate)
}

func TestThrottle(t *testing.T) {
	for _, tc := range []struct {
		name    string
		percent int
		ratio   float64
		want    int
	}{
		{"over the target: halted", 100, 1.2, 0},
		{"near the target: halved", 100, 0.9, 50},
		{"halved below the minimum: halted", 15, 0.9, 0},
		{"in between: unchanged", 50, 0.7, 50},
		{"relaxed: raised", 50, 0.2, 65},
		{"never above full", 95, 0.2, 100},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, Throttle(tc.percent, tc.ratio), tc.want) })
	}
}

// load is one job of a replayed load: one task on one of several servers.
type load struct {
	arrives, runTime, deadline time.Duration
	rank                       Rank
}

// replay serves a load on a number of servers in the order of compare and returns how
// many jobs met their deadline.
func replay(jobs []load, servers int, compare func(a, b Rank) int) (inTime int) {
	const step = 10 * time.Millisecond
	free := make([]time.Duration, servers)
	waiting := []load{}
	next := 0
	for now := time.Duration(0); next < len(jobs) || len(waiting) > 0; now += step {
		for next < len(jobs) && jobs[next].arrives <= now {
			waiting = append(waiting, jobs[next])
			next++
		}
		for i := range waiting {
			waiting[i].rank.Late = now+waiting[i].runTime > waiting[i].deadline
		}
		slices.SortStableFunc(waiting, func(a, b load) int { return compare(a.rank, b.rank) })
		for i := range free {
			if free[i] > now || len(waiting) == 0 {
				continue
			}
			job := waiting[0]
			waiting = waiting[1:]
			free[i] = now + job.runTime
			if free[i] <= job.deadline {
				inTime++
			}
		}
	}
	return inTime
}

// burstLoad returns jobs that arrive at twice the capacity of ten servers for four
// seconds, and at half of it before and after.
func burstLoad(seed uint64) (jobs []load) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for now := time.Duration(0); now < 12*time.Second; now += 20 * time.Millisecond {
		chance := 0.1
		if now > 3*time.Second && now < 7*time.Second {
			chance = 0.4
		}
		if rng.Float64() > chance {
			continue
		}
		deadline := now + 1750*time.Millisecond
		jobs = append(jobs, load{now, time.Second, deadline, Rank{Deadline: deadline}})
	}
	return jobs
}

// TestLateWorkDoesNotDelayTheRest replays a burst of small urgent jobs: in plain
// deadline order each job waits for jobs that are already late.
func TestLateWorkDoesNotDelayTheRest(t *testing.T) {
	byDeadline := func(a, b Rank) int { return int(a.Deadline - b.Deadline) }
	var ranked, plain, total int
	for seed := range uint64(10) {
		jobs := burstLoad(seed)
		total += len(jobs)
		ranked += replay(jobs, 7, Compare)
		plain += replay(jobs, 7, byDeadline)
	}
	t.Logf("jobs that met the deadline, of %d: late work last %d, plain deadline order %d", total, ranked, plain)
	assert.Assert(t, ranked > plain+total/20)
}

// TestFloodOfOneTeam replays a team that submits far more than usual: the other teams
// are served as if the excess did not exist.
func TestFloodOfOneTeam(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var jobs []load
	others := 0
	var flood TokenBucket
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		deadline := now + 1750*time.Millisecond
		if rng.Float64() < 0.05 {
			jobs = append(jobs, load{now, time.Second, deadline, Rank{Deadline: deadline}})
			others++
		}
		if rng.Float64() < 0.3 {
			rank := Rank{Deadline: deadline, OverRate: !flood.Take(now, 3)}
			jobs = append(jobs, load{now, time.Second, deadline, rank})
		}
	}
	withinRate := slices.DeleteFunc(slices.Clone(jobs), func(j load) bool { return j.rank.OverRate })
	assert.Assert(t, replay(jobs, 10, Compare) >= replay(withinRate, 10, Compare))
	assert.Assert(t, len(withinRate) > others, "the flooding team keeps its own rate")
}

// multiStepJob is a job whose steps depend on each other.
type multiStepJob struct {
	arrives, deadline   time.Duration
	runTime             time.Duration // of each task
	priority            int
	steps, tasksPerStep int
	waitingTasks        int // tasks of the current step that wait
	running             int
	started             bool
	ended               time.Duration
}

// replayMultiStep serves jobs of several steps on a number of servers.
func replayMultiStep(jobs []*multiStepJob, servers int, until time.Duration, startedFirst bool) {
	const step = 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 3)) // run times differ from the estimate
	type busy struct {
		job  *multiStepJob
		ends time.Duration
	}
	var running []busy
	for now := time.Duration(0); now < until; now += step {
		running = slices.DeleteFunc(running, func(b busy) bool {
			if b.ends > now {
				return false
			}
			j := b.job
			if j.running--; j.running == 0 && j.waitingTasks == 0 {
				if j.steps--; j.steps > 0 {
					j.waitingTasks = j.tasksPerStep
				} else {
					j.ended = now
				}
			}
			return true
		})
		var waiting []*multiStepJob
		for _, j := range jobs {
			if j.arrives <= now && j.waitingTasks > 0 {
				waiting = append(waiting, j)
			}
		}
		rank := func(j *multiStepJob) Rank {
			r := Rank{Priority: j.priority, Started: startedFirst && j.started, Deadline: j.deadline}
			return r.WithLateness(j.arrives, now, time.Duration(j.steps)*j.runTime)
		}
		slices.SortStableFunc(waiting, func(a, b *multiStepJob) int { return Compare(rank(a), rank(b)) })
		for _, j := range waiting {
			for j.waitingTasks > 0 && len(running) < servers {
				j.waitingTasks--
				j.running++
				j.started = true
				running = append(running, busy{j, now + time.Duration(float64(j.runTime)*(0.6+0.9*rng.Float64()))})
			}
		}
	}
}

// TestStartedJobsFinishFirst replays urgent jobs of two steps in a cell filled with
// work of a lower priority: if late work came after everything else, the second steps
// of late jobs would wait until the load ends.
func TestStartedJobsFinishFirst(t *testing.T) {
	const servers, runTime, ends = 40, 600 * time.Millisecond, 14 * time.Second
	load := func(seed uint64) (jobs []*multiStepJob) {
		rng := rand.New(rand.NewPCG(seed, 2))
		for now := time.Duration(0); now < ends; now += 20 * time.Millisecond {
			chance := 0.05 // 2.5 jobs per second; the servers handle four
			if now > 3*time.Second && now < 6*time.Second {
				chance = 0.16
			}
			if rng.Float64() < chance {
				jobs = append(jobs, &multiStepJob{
					arrives: now, deadline: now + 2*runTime*3/2 + 250*time.Millisecond, runTime: runTime, steps: 2, tasksPerStep: 8, waitingTasks: 8,
				})
			}
			if rng.Float64() < 0.02 {
				jobs = append(jobs, &multiStepJob{
					arrives: now, deadline: now + time.Minute, runTime: 3 * time.Second, priority: 2, steps: 1, tasksPerStep: 16, waitingTasks: 16,
				})
			}
		}
		return jobs
	}
	countUseful := func(startedFirst bool) (n, total int) {
		for seed := range uint64(10) {
			jobs := load(seed)
			replayMultiStep(jobs, servers, ends, startedFirst)
			for _, j := range jobs {
				if j.priority > 0 || j.arrives > ends-4*time.Second {
					continue
				}
				total++
				if j.ended > 0 && j.ended <= j.arrives+ExpiryFactor*(j.deadline-j.arrives) {
					n++
				}
			}
		}
		return n, total
	}
	usefulStartedFirst, total := countUseful(true)
	usefulLateLast, _ := countUseful(false)
	t.Logf("of %d urgent jobs, useful to their callers: started work first %d, late work last %d", total, usefulStartedFirst, usefulLateLast)
	assert.Assert(t, usefulStartedFirst > usefulLateLast+total/20)
}
