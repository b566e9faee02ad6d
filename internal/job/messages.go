package job

import (
	"encoding/json"
	"time"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/resource"
)

// Spec describes a job as submitted by a caller.
type Spec struct {
	// SubmissionID makes submissions idempotent: a repeated submission with the
	// same ID returns the job of the first one.
	SubmissionID string          `json:"submission-id,omitempty"`
	Route        string          `json:"route"`
	Tasks        int             `json:"tasks"`
	Demand       resource.Vector `json:"want"`
	Payload      json.RawMessage `json:"payload,omitempty"`
}

// State is the state of a job.
type State string

// The states of a job.
const (
	StateQueued     State = "queued"
	StateRunning    State = "running"
	StateCancelling State = "cancelling"
	StateDone       State = "done"
	StateFailed     State = "failed"
	StateCancelled  State = "cancelled"
)

// Terminal reports whether the state of a job is final.
func (s State) Terminal() bool { return s == StateDone || s == StateFailed || s == StateCancelled }

// TaskState is the state of a task of a job.
type TaskState string

// The states of a task.
const (
	TaskPending   TaskState = "pending"
	TaskAssigning TaskState = "placing"
	TaskRunning   TaskState = "running"
	TaskUncertain TaskState = "uncertain" // it may be running; its rack is being queried
	TaskStopping  TaskState = "stopping"
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
	TaskUnknown   TaskState = "unknown" // it may have run and is not idempotent, so it is not restarted
)

// Terminal reports whether the state of a task is final.
func (s TaskState) Terminal() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled || s == TaskUnknown
}

// occupies reports whether a task in this state uses resources and counts
// against the team's limit.
func (s TaskState) occupies() bool {
	return s == TaskAssigning || s == TaskRunning || s == TaskUncertain || s == TaskStopping
}

// TaskView describes one task in a View.
type TaskView struct {
	Index     int       `json:"index"`
	State     TaskState `json:"state"`
	Worker    string    `json:"worker,omitempty"`
	Output    string    `json:"output,omitempty"`
	Truncated bool      `json:"output-truncated,omitempty"`
	Failures  int       `json:"failures,omitempty"`
	Reason    string    `json:"reason,omitempty"`
}

// View describes a job to its team and to operators.
type View struct {
	ID      string            `json:"id"`
	Team    string            `json:"team"`
	Route   string            `json:"route"`
	Pool    string            `json:"pool"`
	Kind    config.Kind       `json:"kind"`
	State   State             `json:"state"`
	Created time.Time         `json:"created"`
	Counts  map[TaskState]int `json:"counts"`
	Tasks   []TaskView        `json:"tasks"`
	Reason  string            `json:"reason,omitempty"`
	// History and Standing are set only in the reply to Explain. Standing lists
	// the reasons why tasks are pending.
	History  []Note   `json:"history,omitempty"`
	Standing []string `json:"standing,omitempty"`
}

// RefusalCode classifies why a call was refused.
type RefusalCode string

// The codes of refusals.
const (
	RefusedNotOwner   RefusalCode = "not-owner"
	RefusedNotFound   RefusalCode = "not-found"
	RefusedBadRequest RefusalCode = "bad-request"
	RefusedImpossible RefusalCode = "impossible"
	RefusedStoreDown  RefusalCode = "store-down"
	RefusedUnknown    RefusalCode = "unknown"
)

// Reply is the response to a call about a job: a view or a refusal.
type Reply struct {
	Job     *View       `json:"job,omitempty"`
	Refused RefusalCode `json:"refused,omitempty"`
	Reason  string      `json:"reason,omitempty"`
}

// SubmitRequest carries a submission to the owner of the team's queue.
type SubmitRequest struct {
	Team string `json:"team"`
	ID   string `json:"id"`
	Spec Spec   `json:"spec"`
}

// Ref identifies a job of a team. WaitMS bounds how long a lookup waits for the
// job to end.
type Ref struct {
	Team   string `json:"team"`
	ID     string `json:"id"`
	WaitMS int64  `json:"wait-ms,omitempty"`
	// Explain requests the job's history and the reasons why its tasks are pending.
	Explain bool `json:"explain,omitempty"`
}

// TaskRecord is the durable part of a task.
type TaskRecord struct {
	Index     int       `json:"index"`
	State     TaskState `json:"state"`
	Output    string    `json:"output,omitempty"`
	Truncated bool      `json:"output-truncated,omitempty"`
	Worker    string    `json:"worker,omitempty"`
	Failures  int       `json:"failures,omitempty"`
	// Started is stored before the start of a non-idempotent task, so that no
	// later owner of the queue starts the task again.
	Started bool `json:"begun,omitempty"`
}

// Record is the durable part of a job. Tasks lists only tasks that have ended,
// failed at least once or have Started set.
type Record struct {
	ID        string       `json:"id"`
	Spec      Spec         `json:"spec"`
	Pool      string       `json:"pool"`
	Policy    config.Pool  `json:"policy"`
	Created   time.Time    `json:"created"`
	Ended     time.Time    `json:"ended,omitzero"`
	Cancelled bool         `json:"cancelled,omitempty"`
	Tasks     []TaskRecord `json:"tasks,omitempty"`
}

// Segment is the value of one store key: a group of jobs that are written together.
type Segment struct {
	Number int      `json:"number"`
	Epoch  int64    `json:"epoch"`
	Jobs   []Record `json:"jobs"`

	Revision int64 `json:"-"`
}

// Summary describes a team's queue to other processes; it is sent in heartbeats.
type Summary struct {
	Team    string          `json:"team"`
	Running int64           `json:"running"`
	Used    resource.Vector `json:"used"`
	// Pending is the demand of the pending tasks that the team's limit lets run
	// in addition to Used.
	Pending resource.Vector `json:"pending"`
	// Urgent is the part of Pending that is urgent.
	Urgent  resource.Vector `json:"urgent,omitzero"`
	Waiting int64           `json:"waiting"`
	// Preemptible is the part of Used that may be stopped for other teams.
	Preemptible resource.Vector `json:"preemptible,omitzero"`
}

const (
	// MaxTasks bounds the tasks of one job.
	MaxTasks = 1000
	// MaxPayload bounds the payload of one job, in bytes.
	MaxPayload = 64 << 10
	// maxOutput bounds the part of a task's output that is kept, in bytes.
	maxOutput = 512
)
