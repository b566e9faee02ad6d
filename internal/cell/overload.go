package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// planInterval is the minimum interval between two plans of what to delay. New work is
	// in no plan and keeps the order of the deadlines until the next one.
	planInterval = 50 * time.Millisecond
	// startTime is the usual time from an assignment to the start: the record is written, and
	// the worker called.
	startTime = 30 * time.Millisecond
	// longestSpreads is how many mean deviations the longest task of a step may take longer than
	// usual. At twice the capacity 0 gave 2,044 of 4,560 jobs in time, 1 gave 2,949 of 4,563, 2
	// gave 3,169 of 4,476.
	longestSpreads = 2
	// maxPathFraction bounds the path of a job in relation to its time budget: where many tasks
	// are slow, all jobs would count as late at their submission.
	maxPathFraction = 0.85
	// planFraction is the maximum fraction of time spent on plans.
	planFraction = 0.05
	// maxDelayLogs bounds the log lines on delayed jobs in one second.
	maxDelayLogs = 20
)

// Delay is why a job is put last in its priority.
type Delay int

// The reasons.
const (
	DelayNone     Delay = iota
	DelayShortage       // other jobs can be in time for less work
	DelayHopeless       // it would be useless before the capacity suffices for it
)

// String returns the name of the reason in logs and metrics.
func (d Delay) String() string { return [...]string{"none", "shortage", "hopeless"}[d] }

// orderGroups sorts the waiting steps, and puts work last if the capacity does not suffice
// for all of it.
func (o *Owner) orderGroups(groups []group, pools map[string]*pool, now time.Duration) {
	if now >= o.nextPlan {
		o.planDelays(groups, pools, now)
		took := o.Now() - now
		o.nextPlan = now + max(planInterval, time.Duration(float64(took)/planFraction))
	}
	for i := range groups {
		g := &groups[i]
		g.rank.Delayed, g.rank.Hopeless = g.step.delay != DelayNone && !g.rank.Late, g.step.delay == DelayHopeless
		g.rank.Turn = g.step.turn && !g.rank.Late
		g.step.rank = g.rank
	}
	slices.SortStableFunc(groups, func(a, b group) int { return sched.Compare(a.rank, b.rank) })
}

// plan is the input of sched.Plan for one pool.
type plan struct {
	waiting   []sched.Waiting
	groups    [][]*group // of each entry of waiting
	cores     float64    // demand of all waiting tasks
	capacity  sched.Capacity
	shortage  bool
	teams     []sched.TeamLoad
	teamCores []float64 // demand of the waiting tasks by team
	names     []string  // of the teams
	byName    map[string]int
}

// planDelays marks the steps whose jobs are to be delayed, pool by pool.
func (o *Owner) planDelays(groups []group, pools map[string]*pool, now time.Duration) {
	plans := map[string]*plan{}
	for i := range groups {
		g := &groups[i]
		g.step.delay, g.step.turn = DelayNone, false
		service := g.step.job.policy.Service
		if pools[service] == nil || g.step.spec.LongRunning || g.step.spec.BestEffort {
			continue
		}
		p := plans[service]
		if p == nil {
			p = &plan{byName: map[string]int{}}
			plans[service] = p
		}
		o.addWaiting(p, g)
	}
	short := false
	for service, p := range plans {
		p.capacity.Free = coresOf(pools[service].free)
		p.shortage = p.cores > p.capacity.Free
		for i := range p.teams {
			p.shortage = p.shortage || p.teams[i].Limit != nil && p.teamCores[i] > p.teams[i].Limit.Free
		}
		short = short || p.shortage
		if p.shortage {
			o.recordShortage(service, now)
		}
	}
	if !short {
		o.lastForecast = forecast{}
		return
	}
	o.addReleases(plans, now)
	wall := o.WallClock()
	for service, p := range plans {
		if p.shortage {
			sched.Plan(p.waiting, o.expectedWork(service, now), now-o.shortages[service].since, p.capacity, p.teams, wall)
			o.applyPlan(p, now)
		}
	}
	o.forecastQueues(plans, now)
}

// addWaiting adds a waiting step. Steps of one occurrence of a job follow each other.
func (o *Owner) addWaiting(p *plan, g *group) {
	s := g.step
	j := s.job
	team, ok := p.byName[j.spec.Team]
	if !ok {
		team = len(p.teams)
		p.byName[j.spec.Team] = team
		p.names = append(p.names, j.spec.Team)
		p.teams, p.teamCores = append(p.teams, o.teamLoad(j)), append(p.teamCores, 0)
	}
	cores := coresOf(s.spec.Demand) * float64(len(s.tasks)-s.tasksDone-s.tasksRunning)
	p.cores += cores
	p.teamCores[team] += cores
	path, minPath := o.expectedPaths(s)
	if n := len(p.groups) - 1; n >= 0 {
		if first := p.groups[n][0].step; first.job == j && first.occurrence == s.occurrence {
			p.groups[n] = append(p.groups[n], g)
			w := &p.waiting[n]
			w.Path, w.MinPath = max(w.Path, path), max(w.MinPath, minPath)
			w.Rank.Late, w.Rank.Expired = w.Rank.Late || g.rank.Late, w.Rank.Expired || g.rank.Expired
			return
		}
	}
	p.groups = append(p.groups, []*group{g})
	submitted := g.rank.Deadline - g.timeBudget
	p.waiting = append(p.waiting, sched.Waiting{
		Rank: g.rank, Expiry: submitted + sched.ExpiryFactor*g.timeBudget, Path: path, MinPath: minPath, Team: team,
		Work: o.remainingWork(s), Value: sched.JobValue(j.work, o.meanWork.of(j.spec.Queue).mean), Own: ownCores(s),
	})
}

// expectedPaths returns how long the longest chain of work from the step on usually takes, and
// how long if all tasks are as fast as the mean of their queue.
func (o *Owner) expectedPaths(s *step) (path, minPath time.Duration) {
	mean, longest := o.runTimeRatio(s.job.spec.Queue), 1.0
	if r := o.longestRatios.of(s.job.spec.Queue); r.count >= minSamples {
		longest = r.mean + longestSpreads*o.longestSpreads.of(s.job.spec.Queue).mean
	}
	expected := func(ratio float64) time.Duration { return time.Duration(float64(s.remainingPath)*ratio) + startTime }
	if j := s.job; j.criticalPath > 0 {
		longest = min(longest, maxPathFraction*float64(timeBudget(j.policy, j.criticalPath))/float64(j.criticalPath))
	}
	return expected(max(longest, mean)), expected(mean)
}

// teamLoad returns what the team of a job uses and may use.
func (o *Owner) teamLoad(j *job) (load sched.TeamLoad) {
	team := j.spec.Team
	load.Weight, load.Used = max(o.Tables().Teams[team].Weight, minWeight), coresOf(o.usage[team])
	if maximum := o.teamMaximum(j); maximum.MilliCores > 0 {
		load.Limit = &sched.Capacity{Free: coresOf(maximum.Sub(o.usage[team]).Sub(o.unresolvedByTeam[team]))}
	}
	return load
}

// minWeight is the weight of a team without one, in jobs a second.
const minWeight = 0.01

// remainingWork returns the expected core-seconds of the tasks without a run in the step's
// occurrence of its job.
func (o *Owner) remainingWork(s *step) (sum float64) {
	first := s.occurrence * len(s.job.spec.Steps)
	for _, s := range s.job.steps[first : first+len(s.job.spec.Steps)] {
		if waiting := len(s.tasks) - s.tasksDone - s.tasksRunning; waiting > 0 && !s.spec.LongRunning && !s.spec.BestEffort {
			sum += float64(waiting) * coresOf(s.spec.Demand) * o.meanRunTime(s).Seconds()
		}
	}
	return sum
}

// ownCores returns the cores that running tasks of the step's occurrence of its job use.
func ownCores(s *step) (sum float64) {
	first := s.occurrence * len(s.job.spec.Steps)
	for _, s := range s.job.steps[first : first+len(s.job.spec.Steps)] {
		if !s.spec.LongRunning {
			sum += float64(s.tasksRunning) * coresOf(s.spec.Demand)
		}
	}
	return sum
}

// arrivalKey identifies work with about the same value for a core-second.
type arrivalKey struct {
	service  string
	priority int
	octave   int // of the value for a core-second
}

// arrivalRate is a mean rate of submitted work, in core-seconds a second. Older work has
// less weight.
type arrivalRate struct {
	rate float64
	at   time.Duration
}

// arrivalSpan is the time after which submitted work counts a third. It is shorter than the
// time in which a cell has to be back to normal after an overload.
const arrivalSpan = 2 * time.Second

// current returns the rate at a time.
func (r *arrivalRate) current(now time.Duration) float64 {
	return r.rate * math.Exp(-(now-r.at).Seconds()/arrivalSpan.Seconds())
}

// recordArrival counts a new job. Work over the rate of a team is not expected again.
func (o *Owner) recordArrival(j *job) {
	if j.work <= 0 || j.overRate || j.spec.Times > 0 {
		return
	}
	ratio := o.runTimeRatio(j.spec.Queue)
	density := sched.JobValue(j.work, o.meanWork.of(j.spec.Queue).mean) / (j.work * ratio)
	key := arrivalKey{j.policy.Service, j.policy.Priority, int(math.Floor(math.Log2(density)))}
	r := o.arrivals[key]
	if r == nil {
		r = &arrivalRate{}
		o.arrivals[key] = r
	}
	r.rate = r.current(o.Now()) + j.work*ratio/arrivalSpan.Seconds()
	r.at = o.Now()
}

// expectedWork returns the work that is expected to be submitted, at the recent rate.
func (o *Owner) expectedWork(service string, now time.Duration) (list []sched.Expected) {
	for key, r := range o.arrivals {
		rate := r.current(now)
		switch {
		case now-r.at > 10*arrivalSpan:
			delete(o.arrivals, key)
		case key.service == service:
			list = append(list, sched.Expected{Priority: key.priority, Density: math.Exp2(float64(key.octave)), Cores: rate})
		}
	}
	return list
}

// addReleases adds when running tasks are expected to free their cores.
func (o *Owner) addReleases(plans map[string]*plan, now time.Duration) {
	wall := o.WallClock()
	for _, n := range o.sortedNodes {
		p := plans[n.worker.Pool]
		counts := p != nil && n.usable(now)
		for _, r := range n.runs {
			cores := coresOf(r.demand)
			end, ok := o.expectedEnd(r, now)
			if !ok || cores == 0 {
				continue
			}
			release := sched.CoreRelease{At: wall + end - now, Cores: cores}
			if counts {
				p.capacity.Releases = append(p.capacity.Releases, release)
			}
			for _, p := range plans {
				if i, known := p.byName[r.task.step.job.spec.Team]; known && p.teams[i].Limit != nil {
					limit := p.teams[i].Limit
					limit.Releases = append(limit.Releases, release)
				}
			}
		}
	}
	byTime := func(a, b sched.CoreRelease) int { return cmp.Compare(a.At, b.At) }
	for _, p := range plans {
		slices.SortFunc(p.capacity.Releases, byTime)
		for i := range p.teams {
			if limit := p.teams[i].Limit; limit != nil {
				slices.SortFunc(limit.Releases, byTime)
			}
		}
	}
}

// applyPlan copies the marks of a plan to the steps, and counts and logs each job that is
// put last for the first time for a reason.
func (o *Owner) applyPlan(p *plan, now time.Duration) {
	for i := range p.waiting {
		w := &p.waiting[i]
		delay := DelayNone
		switch {
		case w.Rank.Hopeless:
			delay = DelayHopeless
		case w.Rank.Delayed:
			delay = DelayShortage
		}
		for _, g := range p.groups[i] {
			g.step.delay, g.step.turn = delay, w.Rank.Turn
		}
		j := p.groups[i][0].step.job
		if delay <= j.delayLogged {
			continue
		}
		j.delayLogged = delay
		o.OnJobDelayed(j.spec.Queue, delay)
		o.logDelay(w, j, delay, p, now)
	}
}

// logDelay logs why a job is put last.
func (o *Owner) logDelay(w *sched.Waiting, j *job, delay Delay, p *plan, now time.Duration) {
	if now-o.delayLogsSince >= time.Second {
		o.delayLogsSince, o.delayLogs = now, 0
	}
	if o.delayLogs++; o.delayLogs > maxDelayLogs {
		return
	}
	wall := o.WallClock()
	event.CellJobDelayed.Log(o.Log).Str("job", j.spec.ID).Str("queue", j.spec.Queue).Str("team", j.spec.Team).Stringer("reason", delay).
		Float64("core-seconds", w.Work).Float64("value", w.Value).Dur("path", w.Path).Dur("until-deadline", w.Rank.Deadline-wall).
		Dur("until-expiry", w.Expiry-wall).Bool("late", w.Rank.Late).Bool("over-rate", w.Rank.OverRate).Int("waiting", len(p.waiting)).
		Float64("free-cores", p.capacity.Free).Int("running", len(p.capacity.Releases)).Send()
}

// coresOf returns the cores of a resource vector.
func coresOf(v resource.Vector) float64 { return float64(v.MilliCores) / 1000 }

// jobWork returns the estimated core-seconds of one occurrence of a job.
func jobWork(spec *work.Job) (sum float64) {
	for i := range spec.Steps {
		if s := &spec.Steps[i]; !s.LongRunning && !s.BestEffort {
			sum += float64(s.Count) * coresOf(s.Demand) * s.Estimate.Seconds()
		}
	}
	return sum
}
