package job

import (
	"fmt"
	"time"
)

// Note is one line of a job's history, for people.
type Note struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}

// historyLength bounds the notes kept of a job; the oldest go first.
const maxHistory = 64

// note adds a line to the history of a job.
func (q *Queue) addHistory(j *job, format string, args ...any) {
	if len(j.history) >= maxHistory {
		j.history = append(j.history[:0], j.history[1:]...)
	}
	j.history = append(j.history, Note{q.Now(), fmt.Sprintf(format, args...)})
}

// Explain tells why the tasks of a job wait and where they went.
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

// standing tells what holds the job's pending tasks back at present.
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
	fits := 0
	for _, summary := range q.Racks() {
		for _, free := range summary.Free {
			if j.record.Policy.AllowsPlace(summary.Place) && free.Fits(j.demand()) {
				fits++
			}
		}
	}
	return append(lines, fmt.Sprintf("%d workers have room for %s", fits, j.demand()))
}
