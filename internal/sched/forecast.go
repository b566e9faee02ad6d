package sched

import (
	"slices"
	"time"
)

// QueueLoad is the state of a queue in a shortage, as the owner of the cell publishes it.
type QueueLoad struct {
	Queue string
	Mean  float64 // core-seconds of a typical job
	// Ends holds how long the capacity of the pool is needed for other work before a job that
	// is submitted now is done, for each of ProbeSizes. It is a lower bound.
	Ends []time.Duration
	// Heavy are the teams to which Ends applies: they use at least what their weight entitles
	// them to. A job of any other team gets its turn.
	Heavy []string
	// Limited holds the same for teams with a maximum, for the work within it.
	Limited []TeamEnds
}

// TeamEnds holds when new jobs of a team could be done within its maximum.
type TeamEnds struct {
	Team string
	Ends []time.Duration
}

// ProbeSizes are the sizes of the jobs for which a forecast is made, in relation to the
// typical job of a queue.
var ProbeSizes = []float64{0.25, 1, 4, 16}

// ForecastSpan bounds a forecast. A job that does not fit earlier is forecast to end then.
const ForecastSpan = 2 * time.Minute

// NewJob is a job that is about to be submitted.
type NewJob struct {
	Team   string
	Work   float64 // core-seconds
	Budget time.Duration
}

// uselessMargin is the factor on the time after which a job is useless by which it has to be
// forecast to end later. Estimates of run times are off by up to a factor of two, of which
// the owner learns the common part of a queue.
const uselessMargin = 1.5

// Useless reports whether a new job would be useless to its caller by a clear margin, and
// after what time it could be done. It is for work that would only be stored and kept
// waiting: larger or less urgent work than the cell can do while the present load lasts, and
// work of a team whose maximum is in use for long.
func (q *QueueLoad) Useless(job NewJob) (end time.Duration, useless bool) {
	size := -1 // the largest that is not larger than the job
	for i, s := range ProbeSizes {
		if job.Work >= s*q.Mean {
			size = i
		}
	}
	if size < 0 || q.Mean <= 0 {
		return 0, false
	}
	if size < len(q.Ends) && slices.Contains(q.Heavy, job.Team) {
		end = q.Ends[size]
	}
	for i := range q.Limited {
		if l := &q.Limited[i]; l.Team == job.Team && size < len(l.Ends) {
			end = max(end, l.Ends[size])
		}
	}
	return end, float64(end) > uselessMargin*ExpiryFactor*float64(job.Budget)
}

// Probe is a new job whose end is forecast.
type Probe struct {
	Priority int
	Work     float64 // core-seconds
	Value    float64
	Budget   time.Duration
	Team     int  // index of the team's load
	Limit    bool // forecast the end within the team's maximum, not that in the pool
}

// Forecast returns after what time each of the jobs could be done at the earliest, if it is
// submitted now and served in the order of Plan. The expected work is assumed to be
// submitted for the time lasts.
func Forecast(probes []Probe, waiting []Waiting, expected []Expected, lasts time.Duration, pool Capacity, teams []TeamLoad, now time.Duration) (ends []time.Duration) {
	ends = make([]time.Duration, len(probes))
	list := slices.Clone(waiting)
	for i := range list {
		list[i].assess(now)
	}
	grantTurns(list, teams)
	for i := range probes {
		p := &probes[i]
		list = append(list, Waiting{
			Rank: Rank{Priority: p.Priority, Deadline: now + p.Budget}, Work: p.Work, Value: p.Value, Team: p.Team, worth: p.Value, inTime: true, probe: i + 1,
		})
	}
	order := make([]*Waiting, 0, len(list))
	for i := range list {
		if w := &list[i]; !w.Rank.Expired && w.inTime {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, compareCandidates)
	t := newTimeline(pool, teams, now, now+ForecastSpan)
	t.lasts = lasts.Seconds()
	expected = sortedExpected(expected)
	for _, w := range order {
		t.takeExpected(w, &expected)
		if w.probe == 0 {
			t.add(w, w.Path, w.Rank.Deadline)
			continue
		}
		left := t.pool
		if probes[w.probe-1].Limit {
			left = t.teams[w.Team]
		}
		ends[w.probe-1] = t.earliest(w.Work, left)
	}
	return ends
}

// earliest returns after what time an amount of core-seconds is left in total.
func (t *timeline) earliest(work float64, left []float64) time.Duration {
	for i, end := range t.ends {
		if work -= left[i]; work <= nothing {
			return time.Duration(end * float64(time.Second))
		}
	}
	return ForecastSpan
}
