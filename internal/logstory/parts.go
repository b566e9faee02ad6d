package logstory

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// The parts of the time in which a late job did not wait. Second and later attempts have
// one part for each reason of the former run's end, with the prefix partAttempt.
const (
	partSlowWorker = "slow worker"     // what runs took longer than on a worker of mean speed
	partStalled    = "stalled"         // runs that were stopped because they made no progress
	partCopy       = "copy"            // until the start of the speculative copy that was done
	partLost       = "saved work lost" // runs whose saved progress the next run did not start from
	partMedian     = "median task"     // own length: the median of a step's tasks
	partLongest    = "longest task"    // own length: its last task beyond the median
	partAttempt    = "attempt after "
	partOther      = "other"
)

// Parts divides the time of jobs that is spent on no recorded reason for waiting.
type Parts map[string]time.Duration

// String returns the parts in human-readable form, longest first and the rest last.
func (p Parts) String() string {
	var b strings.Builder
	for _, name := range longestFirst(p) {
		if name != partOther && p[name] != 0 {
			fmt.Fprintf(&b, ", %s %.1f s", name, p[name].Seconds())
		}
	}
	return b.String() + fmt.Sprintf(", %s %.1f s", partOther, p[partOther].Seconds())
}

// longestFirst returns the names of durations, longest duration first.
func longestFirst(durations map[string]time.Duration) []string {
	return slices.SortedFunc(maps.Keys(durations), func(a, b string) int {
		if durations[a] != durations[b] {
			return int(max(-1, min(1, durations[b]-durations[a])))
		}
		return strings.Compare(a, b)
	})
}

// taskRun holds what the log tells of a run.
type taskRun struct {
	task, step  string
	start, end  time.Time
	done        bool
	reason      string  // of the end
	slowness    float64 // of its worker, as known at the start
	fromSaved   bool    // started from saved progress
	saved       bool    // saved progress at its end
	stalled     bool    // made no progress
	copyPlanned bool    // so slow that a speculative copy was requested
}

// runName identifies a run.
type runName struct {
	task   string
	number float64
}

// runEvents holds the events that parts of a job's time are computed from.
var runEvents = map[int]bool{
	event.CellStart.Number: true, event.CellStartRefused.Number: true, event.CellStartUnknown.Number: true,
	event.CellStop.Number: true, event.CellEnd.Number: true, event.CellRunLost.Number: true, event.CellStraggler.Number: true,
	event.CellSecondRun.Number: true,
}

// recordRun applies a line about a run.
func (j *jobTimes) recordRun(line *Line, task, step string) {
	number, _ := line.fields["run"].(float64)
	r := j.runs[runName{task, number}]
	if r == nil {
		r = &taskRun{task: task, step: step, slowness: 1}
		j.runs[runName{task, number}] = r
	}
	switch line.event {
	case event.CellStart.Number:
		r.start = line.time
		r.fromSaved = line.is("resumed")
		if slowness, _ := line.fields["slowness"].(float64); slowness > 0 {
			r.slowness = slowness
		}
	case event.CellStartRefused.Number:
		r.endAt(line.time, "refused")
	case event.CellStartUnknown.Number:
		r.reason = "unanswered"
	case event.CellStop.Number:
		text, _ := line.fields["reason"].(string)
		r.reason = stopReason(text)
	case event.CellStraggler.Number:
		r.stalled, r.copyPlanned = line.is("stalled"), line.is("copy")
	case event.CellSecondRun.Number:
		r.copyPlanned = line.is("copy")
	case event.CellRunLost.Number:
		r.endAt(line.time, "lost")
	case event.CellEnd.Number:
		how, _ := line.fields["how"].(string)
		r.done, r.saved = how == string(work.EndDone), line.is("saved")
		r.endAt(line.time, endReason(how))
	}
}

// endAt records the end of the run. A reason for its stop is kept if no other is given.
func (r *taskRun) endAt(at time.Time, reason string) {
	if r.end.IsZero() {
		r.end = at
	}
	if reason != "" {
		r.reason = reason
	}
}

// endReason returns the short form of the reason of a run's end, or an empty string if the
// reason of its stop tells more.
func endReason(how string) string {
	switch work.EndReason(how) {
	case work.EndStopped:
		return ""
	case work.EndGangBroken, work.EndGangIncomplete:
		return "broken gang"
	}
	return how
}

// stopReason returns the short form of the reason for a stop.
func stopReason(text string) string {
	for _, c := range []struct{ prefix, short string }{
		{"preempted", "preempted"}, {"slower than", "straggler"}, {"a member of the gang", "broken gang"},
		{"a faster worker is free", "moved"},
		{"its data centre", "evacuated"}, {"its machine", "upkeep"}, {"the worker is draining", "drained"}, {"start not answered", "unanswered"},
	} {
		if strings.HasPrefix(text, c.prefix) {
			return c.short
		}
	}
	return "stopped"
}

// length returns the time that the run would have taken on a worker of mean speed, or, on a
// faster worker, the time that it took.
func (r *taskRun) length() time.Duration {
	return time.Duration(float64(r.end.Sub(r.start)) / max(r.slowness, 1))
}

// divide divides the time of a job, less the recorded waiting, by the last task of each step. The
// steps are followed back from the end of the job, each from the last end before the next one's
// first start. The parts add up to age less waited.
func (j *jobTimes) divide(age, waited time.Duration, ended time.Time) (parts Parts) {
	parts = Parts{}
	var between Parts = map[string]time.Duration{}
	visited := map[string]bool{}
	for before := ended; ; {
		last := j.lastDone(before, visited)
		if last == nil {
			break
		}
		visited[last.step] = true
		length, median := last.length(), j.medianLength(last.step)
		parts[partSlowWorker] += last.end.Sub(last.start) - length
		parts[partMedian] += min(median, length)
		parts[partLongest] += max(length-median, 0)
		before = j.addAttempts(last, parts, between)
	}
	var total time.Duration
	for _, d := range parts {
		total += d
	}
	// What other tasks waited while the last one ran is in waited, too. The time between two
	// attempts is counted first as waiting, then that of the run.
	parts.reduce(total-(age-waited), between)
	parts[partOther] = age - waited
	for name, d := range parts {
		if name != partOther {
			parts[partOther] -= d
		}
	}
	return parts
}

// reduce takes up to excess off the parts: at first the time between two attempts, then own
// length, then all others.
func (p Parts) reduce(excess time.Duration, between Parts) {
	take := func(name string, limit time.Duration) {
		d := max(min(excess, limit, p[name]), 0)
		p[name] -= d
		excess -= d
	}
	for _, name := range longestFirst(between) {
		take(name, between[name])
	}
	for _, name := range append([]string{partLongest, partMedian}, longestFirst(p)...) {
		take(name, p[name])
	}
}

// lastDone returns the last run that was done before the given time, of a step that is not
// visited yet, or nil.
func (j *jobTimes) lastDone(before time.Time, visited map[string]bool) (last *taskRun) {
	for _, r := range j.runs {
		if !r.done || r.start.IsZero() || r.end.After(before) || visited[r.step] {
			continue
		}
		if last == nil || cmp.Or(r.end.Compare(last.end), last.start.Compare(r.start), strings.Compare(last.task, r.task)) > 0 {
			last = r
		}
	}
	return last
}

// medianLength returns the median length of the runs of a step that were done.
func (j *jobTimes) medianLength(step string) time.Duration {
	var lengths []time.Duration
	for _, r := range j.runs {
		if r.step == step && r.done && !r.start.IsZero() {
			lengths = append(lengths, r.length())
		}
	}
	slices.Sort(lengths)
	return lengths[len(lengths)/2]
}

// addAttempts adds the time from the first start of a task to that of its run that was done, by
// what ended the runs before it, and returns the first start. In between it adds the time
// without a run.
func (j *jobTimes) addAttempts(last *taskRun, parts, between Parts) (firstStart time.Time) {
	next := last
	for {
		former := j.formerRun(next)
		if former == nil {
			return next.start
		}
		name := former.partBefore(next)
		parts[name] += next.start.Sub(former.start)
		if !former.end.IsZero() && former.end.Before(next.start) {
			between[name] += next.start.Sub(former.end)
		}
		next = former
	}
}

// formerRun returns the last run of the same task that started before the given one, or nil.
func (j *jobTimes) formerRun(next *taskRun) (former *taskRun) {
	for _, r := range j.runs {
		if r.task == next.task && !r.start.IsZero() && r.start.Before(next.start) && (former == nil || r.start.After(former.start)) {
			former = r
		}
	}
	return former
}

// partBefore returns the part that the time from the start of the run to the start of the next
// one belongs to.
func (r *taskRun) partBefore(next *taskRun) string {
	switch {
	case r.end.After(next.start), r.end.IsZero() && r.copyPlanned:
		return partCopy
	case r.stalled:
		return partStalled
	case (r.saved || r.fromSaved) && !next.fromSaved:
		return partLost
	case r.reason == "":
		return partAttempt + "unknown end"
	}
	return partAttempt + r.reason
}
