package logstory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"turmericspread.org/turmericspread/internal/event"
)

// RunTimes divides the age of jobs into parts that add up to it. It assumes that the
// steps of a job run one after the other.
type RunTimes struct {
	FirstStart time.Duration // from submission to the first start
	NextStep   time.Duration // from the end of a step to the first start of the next
	Spread     time.Duration // from the first to the last start of a step's tasks
	Median     time.Duration // median run time of a step's tasks
	Slowest    time.Duration // rest of a step: its slowest task, and restarts
	Completion time.Duration // from the end of the last task to the end of the job
}

// add adds the times of another job.
func (r *RunTimes) add(other RunTimes) {
	r.FirstStart += other.FirstStart
	r.NextStep += other.NextStep
	r.Spread += other.Spread
	r.Median += other.Median
	r.Slowest += other.Slowest
	r.Completion += other.Completion
}

// String returns the parts in human-readable form.
func (r RunTimes) String() string {
	return fmt.Sprintf("first start %.1f s, next step %.1f s, spread of starts %.1f s, median run %.1f s, slowest run %.1f s, completion %.1f s",
		r.FirstStart.Seconds(), r.NextStep.Seconds(), r.Spread.Seconds(), r.Median.Seconds(), r.Slowest.Seconds(), r.Completion.Seconds())
}

// jobTimes holds the times of one job by the lines about it.
type jobTimes struct {
	queue     string
	accepted  time.Time
	started   bool
	ended     bool
	steps     map[string]*stepTimes // by the name of the step
	taskStart map[string]time.Time  // last start of each task
}

// stepTimes holds the times of one step.
type stepTimes struct {
	firstStart, lastStart, end time.Time
	runs                       []time.Duration // that are done
}

// timelines collects the times of all jobs in a log.
type timelines map[string]*jobTimes

// of returns the times of a job.
func (t timelines) of(id string) *jobTimes {
	j := t[id]
	if j == nil {
		j = &jobTimes{steps: map[string]*stepTimes{}, taskStart: map[string]time.Time{}}
		t[id] = j
	}
	return j
}

// record applies a line.
func (t timelines) record(line *Line) {
	switch line.event {
	case event.CellJobAccepted.Number:
		id, _ := line.fields["job"].(string)
		j := t.of(id)
		j.queue, _ = line.fields["queue"].(string)
		if j.accepted.IsZero() {
			j.accepted = line.time
		}
	case event.CellJobEnded.Number, event.CellJobCancelled.Number:
		id, _ := line.fields["job"].(string)
		t.of(id).ended = true
	case event.CellStart.Number, event.CellEnd.Number:
		task, _ := line.fields["task"].(string)
		id, _, ok := strings.Cut(task, ".")
		if at := strings.LastIndexByte(task, '.'); ok && at > len(id) {
			t.of(id).recordRun(line, task, task[:at])
		}
	}
}

// recordRun applies the start or the end of a run.
func (j *jobTimes) recordRun(line *Line, task, step string) {
	s := j.steps[step]
	if s == nil {
		s = &stepTimes{}
		j.steps[step] = s
	}
	if line.event == event.CellStart.Number {
		if _, again := j.taskStart[task]; !again {
			s.lastStart = line.time
		}
		if s.firstStart.IsZero() {
			s.firstStart = line.time
		}
		j.started, j.taskStart[task] = true, line.time
		return
	}
	if how, _ := line.fields["how"].(string); how == "done" {
		if start, ok := j.taskStart[task]; ok {
			s.runs = append(s.runs, line.time.Sub(start))
		}
		s.end = line.time
	}
}

// split divides the age of a job that ended at the given time; ok is false if the log
// lacks some of its lines.
func (j *jobTimes) split(age time.Duration, ended time.Time) (times RunTimes, ok bool) {
	at := ended.Add(-age)
	steps := slices.SortedFunc(maps.Values(j.steps), func(a, b *stepTimes) int { return a.firstStart.Compare(b.firstStart) })
	for i, s := range steps {
		if s.firstStart.IsZero() || len(s.runs) == 0 {
			return times, false
		}
		wait := &times.NextStep
		if i == 0 {
			wait = &times.FirstStart
		}
		*wait += s.firstStart.Sub(at)
		slices.Sort(s.runs)
		median, spread := s.runs[len(s.runs)/2], s.lastStart.Sub(s.firstStart)
		times.Spread, times.Median = times.Spread+spread, times.Median+median
		times.Slowest += s.end.Sub(s.firstStart) - spread - median
		at = s.end
	}
	times.Completion = ended.Sub(at)
	return times, len(steps) > 0
}
