package cell

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/speed"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// minObservedPercent is the observed progress from which the run time of a running task is
	// extrapolated for learning. Runs on slow workers end late or are restarted elsewhere, so
	// ends alone would make slow workers seem faster than they are.
	minObservedPercent = 25
	// maxObservations bounds the runs of a step that are learned from together.
	maxObservations = 64
	// startOverhead is the time from the choice of a worker to the start of the task: the
	// progress record is written in between.
	startOverhead = 60 * time.Millisecond
	// speedLogInterval is the minimum interval between two lines on the speed of one pool.
	speedLogInterval = 5 * time.Second
	// speedLogChange is the relative change of a kind's slowness that is logged.
	speedLogChange = 0.1
)

// poolSpeed is what is learned of the workers of a pool.
type poolSpeed struct {
	*speed.Model
	logged   map[string]float64 // slowness of each kind when it was last logged
	loggedAt time.Duration
	// contestedUntil is until when fast workers are kept free for jobs that need them.
	contestedUntil time.Duration
}

// speedOf returns what is known of the workers of a pool.
func (o *Owner) speedOf(pool string) *poolSpeed {
	p := o.speeds[pool]
	if p == nil {
		p = &poolSpeed{Model: speed.New(), logged: map[string]float64{}}
		o.speeds[pool] = p
	}
	return p
}

// updateSpeed connects a listed worker with what is known of its kind.
func (o *Owner) updateSpeed(n *node) {
	if n.speed == nil || n.speedPool != n.worker.Pool || n.speed.Kind().Name() != n.worker.Kind {
		o.removeSpeed(n)
		n.speedPool = n.worker.Pool
		n.speed = o.speedOf(n.speedPool).AddWorker(n.worker.Kind)
	}
	o.restoreSpeed(n)
}

// removeSpeed drops what is known of a worker.
func (o *Owner) removeSpeed(n *node) {
	if n.speed != nil {
		o.speedOf(n.speedPool).RemoveWorker(n.speed)
		n.speed = nil
	}
}

// slowness returns the lasting factor on run times on the worker.
func (n *node) slowness() float64 {
	if n.speed == nil {
		return 1
	}
	return n.speed.Slowness()
}

// slownessFor returns the slowness by which the worker is chosen for tasks of the step.
// Tasks with a tail latency have no run time that could be compared.
func (n *node) slownessFor(s *step) float64 {
	if n.speed == nil || s.spec.TailLatencyTarget > 0 {
		return 1
	}
	return n.speed.ClassSlowness()
}

// observation is the run time of a task, at its end or extrapolated.
type observation struct {
	node        *node
	incarnation int64
	runTime     time.Duration
}

// observe records the run time of a run, once for each task, and learns from the step's runs
// when all tasks that run or are done are known: with the early ends alone, the tasks that are
// short by themselves would be overrepresented.
func (o *Owner) observe(r *run, runTime time.Duration) {
	t := r.task
	s, spec := t.step, t.step.spec
	if t.observed || spec.Gang || spec.BestEffort || spec.LongRunning {
		return
	}
	t.observed = true
	s.observed++
	now := o.Now()
	if len(t.failedRuns) == 0 && now >= r.node.slowUntil && r.node.speed != nil {
		if spec.Rack != "" && spec.Rack != r.node.worker.Rack {
			runTime = time.Duration(float64(runTime) / max(o.Bounds.RemoteDataSlowdown, 1))
		}
		s.observations = append(s.observations, observation{r.node, r.node.incarnation, runTime})
	}
	if s.observed >= s.tasksDone+s.tasksRunning || len(s.observations) >= maxObservations {
		o.learnSpeeds(s, now)
	}
}

// learnSpeeds learns from the observed runs of a step. One or two runs are kept until they have
// siblings. What comes after the first time tells nothing new about the estimate.
func (o *Owner) learnSpeeds(s *step, now time.Duration) {
	if len(s.observations) < speed.MinSiblings && s.observed < len(s.tasks) {
		return
	}
	pool := s.job.policy.Service
	sample := speed.Step{Queue: s.job.spec.Queue, Team: s.job.spec.Team, Estimate: s.spec.Estimate}
	for _, seen := range s.observations {
		n := seen.node
		if n.speed != nil && n.speedPool == pool && n.incarnation == seen.incarnation {
			sample.Runs = append(sample.Runs, speed.Run{Worker: n.speed, RunTime: seen.runTime})
		}
	}
	if s.speedsLearned {
		sample.Estimate = 0
	}
	s.observations, s.speedsLearned = s.observations[:0], true
	p := o.speedOf(pool)
	p.Learn(now, sample)
	o.logSpeeds(pool, p, now)
}

// logSpeeds logs a kind of workers whose slowness has changed notably.
func (o *Owner) logSpeeds(pool string, p *poolSpeed, now time.Duration) {
	if p.loggedAt > 0 && now-p.loggedAt < speedLogInterval {
		return
	}
	for _, k := range p.Kinds() {
		before := cmp.Or(p.logged[k.Name()], 1)
		if ratio := k.Slowness() / before; ratio < 1+speedLogChange && ratio > 1/(1+speedLogChange) {
			continue
		}
		p.logged[k.Name()], p.loggedAt = k.Slowness(), now
		event.CellSpeedLearned.Log(o.Log).Str("pool", pool).Str("kind", k.Name()).Float64("slowness", k.Slowness()).
			Float64("before", before).Int("samples", k.Samples()).Send()
		return
	}
}

// need returns what the waiting tasks of a step need of the speed of their workers, before or
// after its placement query. The estimate and the deadline are corrected by the usual bias of
// the queue and team, and the deadline by the placement queries: the time that callers allow
// follows from the work that the job really is.
func (o *Owner) need(s *step, p *pool, queried bool) sched.Need {
	j := s.job
	model, now := o.speedOf(j.policy.Service), o.Now()
	if s.spec.Estimate <= 0 || s.spec.LongRunning || s.spec.BestEffort {
		return sched.Need{KeepFast: now < model.contestedUntil}
	}
	allowance := o.allowance(s, p, queried)
	if _, slowest := p.speeds.Bounds(); allowance.Pace < slowest*sched.MinMargin {
		model.contestedUntil = now + contestedTime
	}
	need := allowance.Need()
	need.KeepFast = now < model.contestedUntil
	return need
}

// allowance returns the time that is left to the job at a step that has an end.
func (o *Owner) allowance(s *step, p *pool, queried bool) sched.Allowance {
	j := s.job
	model := o.speedOf(j.policy.Service)
	bias := model.Bias(j.spec.Queue, j.spec.Team)
	scale := func(d time.Duration) time.Duration { return time.Duration(bias * float64(d)) }
	var query time.Duration
	if a := j.policy.Advice; a != nil {
		query = a.Decide + budgetedWorkers*a.Each
	}
	if s.chain == 0 {
		s.chain, s.jobChain = chainLength(j.spec, s.number), chainLength(j.spec, -1)
	}
	queries := s.chain
	if queried {
		queries--
	}
	submitted := max(j.spec.Accepted, j.spec.Due(s.occurrence))
	budget := o.deadline(j, s.occurrence) - submitted
	budget = j.policy.Target + scale(budget-j.policy.Target) + time.Duration(max(j.policy.Stretch, 1)*float64(s.jobChain)*float64(query))
	left := submitted + budget - o.WallClock()
	pace := float64(budget-time.Duration(s.jobChain)*(query+startOverhead)) / max(float64(scale(j.criticalPath)), 1)
	fastest, _ := p.speeds.Bounds()
	return sched.Allowance{
		Pace: pace, Left: left, Useful: left + (sched.ExpiryFactor-1)*budget,
		Rest: scale(s.remainingPath - s.spec.Estimate), RunTime: scale(s.spec.Estimate),
		Margin: model.SlowestOf(j.spec.Queue, len(s.tasks)-s.tasksDone), Fastest: fastest,
		Overhead: time.Duration(queries)*query + time.Duration(s.chain)*startOverhead,
	}
}

// contestedTime is how long fast workers are kept free after a step of a job whose whole budget
// is too short for the slowest workers. Without such jobs, work that has time would only use more
// capacity on slow workers.
const contestedTime = 30 * time.Second

// budgetedWorkers is the number of workers of the one placement query that callers allow time
// for in each step.
const budgetedWorkers = 30

// chainLength returns the largest number of steps of a job that follow each other, starting at
// step first, or at any step if first is negative.
func chainLength(spec *work.Job, first int) int {
	counted := work.Job{Steps: slices.Clone(spec.Steps)}
	for i := range counted.Steps {
		counted.Steps[i].Estimate = 1
	}
	return int(criticalPathFrom(&counted, first))
}

// countPlacement counts a placement by the speed of the worker.
func (o *Owner) countPlacement(c *sched.Candidate, need sched.Need) {
	switch {
	case c.Slowness > 1:
		o.Counters.PlacedOnSlower++
	case c.Slowness < 1:
		o.Counters.PlacedOnFaster++
	}
	if !need.InTime(c) {
		o.Counters.PlacedBeyondTime++
	}
}
