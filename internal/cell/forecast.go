package cell

import (
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// forecastInterval is the minimum interval between two forecasts of new jobs.
	forecastInterval = 500 * time.Millisecond
	// forecastValidity is the age up to which a forecast is published.
	forecastValidity = time.Second
)

// forecast is the state of the queues in a shortage.
type forecast struct {
	queues []sched.QueueLoad
	at     time.Duration
}

// shortage is the time in which more work waits for a pool than it has capacity free.
type shortage struct{ since, last time.Duration }

// maxShortageGap is the longest time without a shortage that does not end it: between two passes
// more may become free than is waiting.
const maxShortageGap = 200 * time.Millisecond

// recordShortage records that a pool has a shortage now.
func (o *Owner) recordShortage(service string, now time.Duration) {
	s := o.shortages[service]
	if s.since == 0 || now-s.last > maxShortageGap {
		s.since = now
	}
	s.last = now
	o.shortages[service] = s
}

// QueueLoads returns the state of the queues whose pools have a shortage, and its age. It is
// empty if there is none.
func (o *Owner) QueueLoads() (queues []sched.QueueLoad, age time.Duration) {
	age = o.Now() - o.lastForecast.at
	if age > forecastValidity {
		return nil, 0
	}
	return o.lastForecast.queues, age
}

// forecastQueues forecasts when new jobs would be done, for the queues whose pools have a
// shortage. The present load is expected to last as long again as the shortage has lasted.
func (o *Owner) forecastQueues(plans map[string]*plan, now time.Duration) {
	if now < o.lastForecast.at+forecastInterval {
		return
	}
	o.lastForecast = forecast{at: now}
	tables := o.Tables()
	for i := range tables.Queues {
		q := &tables.Queues[i]
		p, mean := plans[q.Service], o.meanWork.of(q.Name)
		if p != nil && p.shortage && mean.count >= minSamples {
			o.lastForecast.queues = append(o.lastForecast.queues, o.forecastQueue(q, p, mean.mean, now))
		}
	}
}

// forecastQueue forecasts when new jobs of one queue would be done.
func (o *Owner) forecastQueue(q *work.Queue, p *plan, mean float64, now time.Duration) (load sched.QueueLoad) {
	load = sched.QueueLoad{Queue: q.Name, Mean: mean}
	ratio := o.runTimeRatio(q.Name)
	// A team without limit stands for all that use at least their share.
	teams := slices.Concat(p.teams, []sched.TeamLoad{{Weight: minWeight}})
	limited := []int{len(p.teams)}
	for i := range p.teams {
		if t := &p.teams[i]; t.Limit != nil && p.teamCores[i] > t.Limit.Free {
			limited = append(limited, i)
		}
	}
	var probes []sched.Probe
	for _, team := range limited {
		for _, size := range sched.ProbeSizes {
			probes = append(probes, sched.Probe{
				Priority: q.Priority, Work: size * mean * ratio, Value: sched.JobValue(size, 1), Budget: q.Target, Team: team, Limit: team < len(p.teams),
			})
		}
	}
	ends := sched.Forecast(probes, p.waiting, o.expectedWork(q.Service, now), now-o.shortages[q.Service].since, p.capacity, teams, o.WallClock())
	sizes := len(sched.ProbeSizes)
	load.Ends = ends[:sizes]
	for i, team := range limited[1:] {
		load.Limited = append(load.Limited, sched.TeamEnds{Team: p.names[team], Ends: ends[(i+1)*sizes : (i+2)*sizes]})
	}
	for i, heavy := range sched.Heavy(p.teams) {
		if heavy {
			load.Heavy = append(load.Heavy, p.names[i])
		}
	}
	return load
}

// runTimeRatio returns the usual run time of the tasks of a queue in relation to their
// estimates. It is never zero, even if all tasks end at once.
func (o *Owner) runTimeRatio(queue string) float64 {
	const lowest = 0.05
	if r := o.runTimeRatios.of(queue); r.count >= minSamples {
		return max(r.mean, lowest)
	}
	return 1
}

// NewJobOf describes a job that is about to be submitted. It is false for jobs that may wait without a loss: those
// with tasks that run until they are cancelled, and those with due times.
func NewJobOf(spec *work.Job) (job sched.NewJob, ok bool) {
	if spec.Policy == nil || spec.Times > 0 {
		return job, false
	}
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return job, false
		}
	}
	path := criticalPathFrom(spec, -1)
	return sched.NewJob{Team: spec.Team, Work: jobWork(spec), Budget: timeBudget(spec.Policy, path)}, true
}
