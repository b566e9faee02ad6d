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
	queue    string
	accepted time.Time
	lasting  bool // runs until it is cancelled
	ended    bool
	runs     map[runName]*taskRun
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
		j = &jobTimes{runs: map[runName]*taskRun{}}
		t[id] = j
	}
	return j
}

// record applies a line.
func (t timelines) record(line *Line) {
	if runEvents[line.event] {
		task, _ := line.fields["task"].(string)
		id, _, ok := strings.Cut(task, ".")
		if at := strings.LastIndexByte(task, '.'); ok && at > len(id) {
			t.of(id).recordRun(line, task, task[:at])
		}
		return
	}
	switch line.event {
	case event.CellJobAccepted.Number:
		id, _ := line.fields["job"].(string)
		j := t.of(id)
		j.queue, _ = line.fields["queue"].(string)
		j.lasting = line.is("lasting")
		if j.accepted.IsZero() {
			j.accepted = line.time
		}
	case event.CellJobEnded.Number, event.CellJobCancelled.Number:
		id, _ := line.fields["job"].(string)
		t.of(id).ended = true
	}
}

// started reports whether a run of the job was started.
func (j *jobTimes) started() bool {
	for _, r := range j.runs {
		if !r.start.IsZero() {
			return true
		}
	}
	return false
}

// atWork reports whether a run of the job has not ended.
func (j *jobTimes) atWork() bool {
	for _, r := range j.runs {
		if !r.start.IsZero() && r.end.IsZero() {
			return true
		}
	}
	return false
}

// steps returns the times of the job's steps until its end, by their first starts.
func (j *jobTimes) steps(ended time.Time) []*stepTimes {
	byName := map[string]*stepTimes{}
	for _, r := range j.runs {
		if r.start.IsZero() || r.start.After(ended) {
			continue
		}
		s := byName[r.step]
		if s == nil {
			s = &stepTimes{firstStart: r.start}
			byName[r.step] = s
		}
		if r.start.Before(s.firstStart) {
			s.firstStart = r.start
		}
		if r.start.After(s.lastStart) && j.formerRun(r) == nil {
			s.lastStart = r.start
		}
		if !r.done || r.end.After(ended) {
			continue
		}
		s.runs = append(s.runs, r.end.Sub(r.start))
		if r.end.After(s.end) {
			s.end = r.end
		}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b *stepTimes) int { return a.firstStart.Compare(b.firstStart) })
}

// split divides the age of a job that ended at the given time; ok is false if the log
// lacks some of its lines.
func (j *jobTimes) split(age time.Duration, ended time.Time) (times RunTimes, ok bool) {
	at := ended.Add(-age)
	steps := j.steps(ended)
	for i, s := range steps {
		if len(s.runs) == 0 {
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
