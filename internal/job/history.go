package job

import (
	"fmt"
	"time"
)

// Note is one human-readable line of a job's history.
type Note struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}

// maxHistory bounds the lines of history kept per job; the oldest are dropped first.
const maxHistory = 64

// addHistory appends a formatted line to the history of a job.
func (q *Queue) addHistory(j *job, format string, args ...any) {
	if len(j.history) >= maxHistory {
		j.history = append(j.history[:0], j.history[1:]...)
	}
	j.history = append(j.history, Note{q.Now(), fmt.Sprintf(format, args...)})
}

// Explain replies with a job's history and the reasons why its tasks are pending.
func (q *Queue) Explain(ref Ref, reply func(Reply)) {
	q.init()
	j, ok := q.jobs[ref.ID]
	switch {
	case !q.Ready() || !q.MayFinish(q.Now()):
		reply(Reply{Refused: RefusedNotOwner})
	case !ok:
		reply(Reply{Refused: RefusedNotFound, Reason: "no such job"})
	default:
		v := j.view()
		v.History = j.history
		v.Standing = q.pendingReasons(j)
		reply(Reply{Job: v})
	}
}

// pendingReasons lists what currently keeps the job's pending tasks from starting.
func (q *Queue) pendingReasons(j *job) (lines []string) {
	limit := q.Tables().Teams[q.Team].Limit
	lines = append(lines, fmt.Sprintf("team %s runs %d of at most %d tasks and uses %s", q.Team, q.running, limit, q.used))
	if j.pending == 0 {
		return append(lines, "no task of the job waits")
	}
	for _, other := range q.activeJobs {
		if other == j {
			break
		}
		if other.pending > 0 && (other.urgent || !j.urgent) {
			lines = append(lines, fmt.Sprintf("job %s goes first with %d pending tasks", other.record.ID, other.pending))
			break
		}
	}
	if !j.accepted() {
		lines = append(lines, "the job is not in the store yet")
	}
	if j.reason != "" {
		lines = append(lines, j.reason)
	}
	fitting := 0
	for _, summary := range q.Racks() {
		for _, free := range summary.Free {
			if j.record.Policy.AllowsPlace(summary.Place) && free.Fits(j.demand()) {
				fitting++
			}
		}
	}
	return append(lines, fmt.Sprintf("%d workers have room for %s", fitting, j.demand()))
}
