package cell

import (
	"time"

	"turmericspread.org/turmericspread/internal/backlog"
	"turmericspread.org/turmericspread/internal/work"
)

// Bytes that an owner needs for the parts of a job, rounded up. TestFootprint compares their sum
// with the heap.
const (
	// jobBytes is for a job without steps: its own fields, those of its specification and its
	// policy, and its place in the index.
	jobBytes = 1280
	// stepSpecBytes is for the specification of a step without its texts.
	stepSpecBytes = 192
	// stepBytes is for the state of a step in one occurrence.
	stepBytes = 448
	// taskBytes is for the state of a task, of one run of it, and for its row in a progress
	// record that is being written.
	taskBytes = 640
)

// maxReservation bounds how long room stays reserved: the longest deadline of a client is a minute,
// and a write without a response may be applied later.
const maxReservation = 2 * time.Minute

// endedFootprint returns the bytes that an owner needs for a job that has ended.
func endedFootprint(spec *work.Job) int64 {
	return int64(jobBytes + len(spec.ID) + len(spec.Team) + len(spec.Queue))
}

// Footprint returns the bytes that an owner needs for a job that has not ended, at most.
func Footprint(spec *work.Job) int64 {
	n := len(spec.Payload)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		n += stepSpecBytes + len(s.Label) + len(s.Rack) + len(s.Image) + 8*len(s.After)
	}
	return endedFootprint(spec) + int64(n) + int64(spec.Occurrences())*int64(stepBytes*len(spec.Steps)+taskBytes*spec.TasksPerOccurrence())
}

// Reserve reserves room for a job that is about to be stored. A job that is already known needs
// none. At least the reservation itself is counted, and it ends.
func (o *Owner) Reserve(r backlog.Request) (granted bool) {
	limit := o.BacklogLimit()
	if _, ok := o.jobs[r.Job]; ok || limit == 0 {
		return true
	}
	r.Bytes = max(r.Bytes, endedFootprint(&work.Job{ID: r.Job, Team: r.Account.Team, Queue: r.Account.Queue}))
	r.Hold = min(r.Hold, maxReservation)
	return o.ledger.Reserve(r, limit, o.Now())
}

// Expects reports whether a host that observes the limit may have stored the job, or the job is
// known.
func (o *Owner) Expects(spec *work.Job) bool {
	limit := o.BacklogLimit()
	return o.jobs[spec.ID] != nil || limit == 0 || o.ledger.Expects(spec.ID, Footprint(spec), limit)
}

// BacklogReport returns what the hosts have to know of the accepted jobs.
func (o *Owner) BacklogReport() backlog.Report { return o.ledger.Report(o.BacklogLimit(), o.Epoch) }

// Backlog returns the bytes of the accepted jobs and those reserved for others.
func (o *Owner) Backlog() (accepted, reserved int64) { return o.ledger.Used() }

// countJob counts a job that has become known.
func (o *Owner) countJob(j *job) {
	j.bytes = endedFootprint(j.spec)
	if len(j.steps) > 0 {
		j.bytes = Footprint(j.spec)
	}
	o.ledger.Add(j.spec.ID, backlog.AccountOf(j.spec), j.bytes)
}

// detailsRetention is how long the details of an ended job are kept after its end was saved. A
// worker may list the end of a run again until it was acknowledged.
const detailsRetention = 10 * time.Second

// dropDetails removes the steps and tasks of a job that has ended, if its end was saved and
// nothing of it is left on a worker. Its state stays until the retention of ended jobs is over.
func (o *Owner) dropDetails(j *job) {
	if len(j.steps) == 0 || !j.state.Terminal() || j.saving || j.savedVersion < j.version ||
		o.WallClock()-j.endedAt < detailsRetention || !o.hasNoRuns(j) {
		return
	}
	account := backlog.AccountOf(j.spec)
	o.ledger.Remove(account, j.bytes)
	j.spec, j.steps, j.tasks = endedJob(j.spec), nil, nil
	j.bytes = endedFootprint(j.spec)
	o.ledger.Add(j.spec.ID, account, j.bytes)
}

// endedJob returns what is needed of the specification of a job that has ended.
func endedJob(spec *work.Job) *work.Job {
	return &work.Job{ID: spec.ID, Team: spec.Team, Queue: spec.Queue, Accepted: spec.Accepted}
}
