package logstory

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"turmericspread.org/turmericspread/internal/event"
)

// QueueWaits sums up the age and the waiting times of a queue's late jobs.
type QueueWaits struct {
	Queue  string
	Jobs   int                      // completed
	Late   int                      // of these, after their time budget
	Age    time.Duration            // of the late jobs, from submission to completion
	Waited map[string]time.Duration // of the late jobs, by reason
	Parts  Parts                    // rest of their age, by what it was spent on
	// Useless counts the completed jobs that took more than three times their budget.
	Useless int
	// Unfinished and NeverStarted name the jobs that the log does not show as ended, and
	// those of them that were never started. Lasting jobs that run are not among them.
	Unfinished, NeverStarted []string
	Runs                     RunTimes // of the late jobs whose lines are complete
	Divided                  int      // number of these jobs
}

// Reasons returns the reasons for waiting, longest total time first.
func (q *QueueWaits) Reasons() (names []string) {
	return longestFirst(q.Waited)
}

// String returns the sums in human-readable form: the age, the recorded reasons for waiting and
// the parts of the rest.
func (q *QueueWaits) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d of %d late, %.1f s of age", q.Queue, q.Late, q.Jobs, q.Age.Seconds())
	for _, reason := range q.Reasons() {
		fmt.Fprintf(&b, ", %s %.1f s", reason, q.Waited[reason].Seconds())
	}
	b.WriteString(q.Parts.String())
	if q.Useless > 0 {
		fmt.Fprintf(&b, "; %d after three times their budget", q.Useless)
	}
	if q.Divided > 0 {
		fmt.Fprintf(&b, "; age of %d by part: %v", q.Divided, q.Runs)
	}
	if len(q.Unfinished) > 0 {
		fmt.Fprintf(&b, "; %d not ended: %s", len(q.Unfinished), strings.Join(q.Unfinished, " "))
	}
	if len(q.NeverStarted) > 0 {
		fmt.Fprintf(&b, "; %d never started: %s", len(q.NeverStarted), strings.Join(q.NeverStarted, " "))
	}
	return b.String()
}

// uselessFactor is the multiple of its time budget after which the result of a job is
// useless to its caller.
const uselessFactor = 3

// LateJobs sums up, by queue, what the jobs waited for that were completed after
// their time budget, and names the jobs that did not end. Queues with the most late jobs
// come first.
func LateJobs(r io.Reader) (list []*QueueWaits, err error) {
	defer Error.WrapP(&err)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	queues := map[string]*QueueWaits{}
	queue := func(name string) *QueueWaits {
		q := queues[name]
		if q == nil {
			q = &QueueWaits{Queue: name, Waited: map[string]time.Duration{}, Parts: Parts{}}
			queues[name] = q
			list = append(list, q)
		}
		return q
	}
	jobs := timelines{}
	var completed []Line
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			continue
		}
		jobs.record(&line)
		if line.event == event.CellJobEnded.Number && line.fields["state"] == "completed" {
			completed = append(completed, line)
		}
	}
	// The logs of hosts may follow each other, so a job's end may be read before its starts.
	for i := range completed {
		name, _ := completed[i].fields["queue"].(string)
		id, _ := completed[i].fields["job"].(string)
		queue(name).add(&completed[i], jobs.of(id))
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		j := jobs[id]
		if j.ended || j.accepted.IsZero() || j.lasting && j.atWork() {
			continue
		}
		q := queue(j.queue)
		q.Unfinished = append(q.Unfinished, id)
		if !j.started() {
			q.NeverStarted = append(q.NeverStarted, id)
		}
	}
	slices.SortStableFunc(list, func(a, b *QueueWaits) int { return b.Late - a.Late })
	return list, scanner.Err()
}

// add counts a completed job. Only late jobs add to the times.
func (q *QueueWaits) add(line *Line, times *jobTimes) {
	q.Jobs++
	age := line.millis("age")
	budget := line.millis("allowed")
	if budget == 0 || age <= budget {
		return
	}
	q.Late++
	q.Age += age
	if age > uselessFactor*budget {
		q.Useless++
	}
	if runs, ok := times.split(age, line.time); ok {
		q.Divided++
		q.Runs.add(runs)
	}
	var waited time.Duration
	for reason, d := range line.waited() {
		q.Waited[reason] += d
		waited += d
	}
	for name, d := range times.divide(age, waited, line.time) {
		q.Parts[name] += d
	}
}

// is reports whether the named field is true.
func (l *Line) is(name string) bool {
	value, _ := l.fields[name].(bool)
	return value
}

// waited returns how long the steps of an ended job waited, by reason.
func (l *Line) waited() (waited map[string]time.Duration) {
	waited = map[string]time.Duration{}
	fields, _ := l.fields["waited"].(map[string]any)
	for reason, value := range fields {
		if ms, ok := value.(float64); ok {
			waited[reason] = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return waited
}

// millis returns the duration in the named field, which is in milliseconds, or 0 if
// there is no such number.
func (l *Line) millis(name string) time.Duration {
	ms, _ := l.fields[name].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Cause returns a sentence on how a job ended and what it waited for longest, or an
// empty string if no line reports the end of the job.
func Cause(lines []Line) string {
	for i := range lines {
		l := &lines[i]
		if l.event != event.CellJobEnded.Number {
			continue
		}
		q := QueueWaits{Age: l.millis("age"), Waited: l.waited()}
		lateness := "in time"
		if budget := l.millis("allowed"); budget > 0 && q.Age > budget {
			lateness = fmt.Sprintf("%.2f s late", (q.Age - budget).Seconds())
		}
		sentence := fmt.Sprintf("The job is %v after %.2f s, %s", l.fields["state"], q.Age.Seconds(), lateness)
		if reasons := q.Reasons(); len(reasons) > 0 {
			return sentence + fmt.Sprintf("; its steps waited longest for: %s, %.2f s.", reasons[0], q.Waited[reasons[0]].Seconds())
		}
		return sentence + "; no wait was noted."
	}
	return ""
}
