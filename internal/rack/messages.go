package rack

import (
	"encoding/json"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/worker"
)

// Outcome is the result of a request for one task.
type Outcome string

// The outcomes. Only with OutcomeUnknown is it uncertain whether the task runs;
// an EndedTask follows once the task has ended.
const (
	OutcomeStarted    Outcome = "started"
	OutcomeReserved   Outcome = "held"
	OutcomeNoCapacity Outcome = "no-room"
	OutcomeFenced     Outcome = "fenced"
	OutcomeUnknown    Outcome = "unknown"
	OutcomeStopped    Outcome = "stopped"
)

// TaskSpec describes one attempt to run a task. ID is unique for each attempt.
type TaskSpec struct {
	ID            string          `json:"id"`
	Job           string          `json:"job"`
	Index         int             `json:"index"`
	Demand        resource.Vector `json:"want"`
	Payload       json.RawMessage `json:"payload,omitempty"`
	Resume        []byte          `json:"resume,omitempty"`
	NonIdempotent bool            `json:"non-idempotent,omitempty"`
	// LongRunning tasks do not end by themselves.
	LongRunning bool `json:"long-running,omitempty"`
	// Avoid lists workers that the task should not run on.
	Avoid []string `json:"avoid,omitempty"`
}

// AssignRequest requests the owner of a rack to run tasks, or only to reserve
// resources for them until the first lease expires.
type AssignRequest struct {
	Shard     shard.ID   `json:"shard"`
	Team      string     `json:"team"`
	TeamEpoch int64      `json:"team-epoch"`
	Reserve   bool       `json:"hold,omitempty"`
	Tasks     []TaskSpec `json:"tasks"`
}

// TaskRequest names tasks to start under their reservations, or to stop.
type TaskRequest struct {
	Shard     shard.ID   `json:"shard"`
	Team      string     `json:"team"`
	TeamEpoch int64      `json:"team-epoch"`
	Tasks     []TaskSpec `json:"tasks"`
	// Checkpoint requests a checkpoint of each task before it is stopped.
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// TaskResult is the outcome of one task.
type TaskResult struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	Worker  string  `json:"worker,omitempty"`
}

// Results is the response to AssignRequest and TaskRequest. NotOwner means that
// the request had no effect.
type Results struct {
	NotOwner bool         `json:"not-owner,omitempty"`
	Epoch    int64        `json:"epoch,omitempty"`
	Tasks    []TaskResult `json:"tasks,omitempty"`
	// Summary is the state of the rack after the request.
	Summary Summary `json:"summary,omitzero"`
}

// ReportRequest requests all tasks of a team and fences lower team epochs.
type ReportRequest struct {
	Shard     shard.ID `json:"shard"`
	Team      string   `json:"team"`
	TeamEpoch int64    `json:"team-epoch"`
}

// ReportedTask is one task in a Report.
type ReportedTask struct {
	ID       string          `json:"id"`
	Job      string          `json:"job"`
	Index    int             `json:"index"`
	Worker   string          `json:"worker"`
	Demand   resource.Vector `json:"want"`
	EndState worker.State    `json:"ended,omitempty"`
	// Running is false for ended tasks and for reservations of former owners.
	Running bool `json:"running,omitempty"`
}

// Report is the response to ReportRequest. Complete means that the rack runs no
// tasks of the team other than those listed.
type Report struct {
	NotOwner bool           `json:"not-owner,omitempty"`
	Epoch    int64          `json:"epoch,omitempty"`
	Complete bool           `json:"complete"`
	Tasks    []ReportedTask `json:"rows,omitempty"`
}

// EndedTask notifies a team's queue that a task has ended. It is sent repeatedly
// until the queue has recorded it.
type EndedTask struct {
	ID     string       `json:"id"`
	Job    string       `json:"job"`
	Index  int          `json:"index"`
	Worker string       `json:"worker"`
	State  worker.State `json:"state"`
	Output string       `json:"output,omitempty"`
	Resume []byte       `json:"resume,omitempty"`
	// Usage is the maximum reported usage of the task.
	Usage resource.Vector `json:"usage,omitzero"`
}

// StateNotStarted is the state of a task whose start was not answered and which,
// according to its worker, was not started.
const StateNotStarted worker.State = "not-started"

// EndedBatch contains ended tasks of one team.
type EndedBatch struct {
	Team  string      `json:"team"`
	Shard shard.ID    `json:"shard"`
	Tasks []EndedTask `json:"tasks"`
}

// EndedReply is the response to EndedBatch. It lists the IDs of the tasks that
// the queue has recorded.
type EndedReply struct {
	Recorded []string `json:"recorded,omitempty"`
}

// Summary describes a rack to other processes. It is sent with heartbeats.
type Summary struct {
	Shard    shard.ID        `json:"shard"`
	Ready    bool            `json:"ready"`
	Place    string          `json:"place"`
	Capacity resource.Vector `json:"capacity"`
	// Workers lists the workers that accept work. Free contains the free capacity
	// of each, in the same order.
	Workers []string          `json:"workers,omitempty"`
	Free    []resource.Vector `json:"free,omitempty"`
}
