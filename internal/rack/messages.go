package rack

import (
	"encoding/json"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
	"turmericspread.org/turmericspread/internal/worker"
)

// Outcome is what became of one task of a call.
type Outcome string

// The outcomes. Only OutcomeUnknown leaves open whether the task runs; a
// message about its end follows.
const (
	OutcomeStarted    Outcome = "started"
	OutcomeReserved   Outcome = "held"
	OutcomeNoCapacity Outcome = "no-room"
	OutcomeFenced     Outcome = "fenced"
	OutcomeUnknown    Outcome = "unknown"
	OutcomeStopped    Outcome = "stopped"
)

// TaskSpec is one task to place. ID is unique for each attempt.
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

// AssignRequest asks the owner of a rack to run tasks, or only to hold
// resources for them until the lease ends.
type AssignRequest struct {
	Shard     shard.ID   `json:"shard"`
	Team      string     `json:"team"`
	TeamEpoch int64      `json:"team-epoch"`
	Reserve   bool       `json:"hold,omitempty"`
	Tasks     []TaskSpec `json:"tasks"`
}

// TaskRequest names tasks to start under their holds, or to stop.
type TaskRequest struct {
	Shard     shard.ID   `json:"shard"`
	Team      string     `json:"team"`
	TeamEpoch int64      `json:"team-epoch"`
	Tasks     []TaskSpec `json:"tasks"`
	// Checkpoint asks to save the progress of tasks before they are stopped.
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// TaskResult is the outcome of one task.
type TaskResult struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	Worker  string  `json:"worker,omitempty"`
}

// Results answers AssignRequest and TaskRequest. NotOwner means that nothing was done.
type Results struct {
	NotOwner bool         `json:"not-owner,omitempty"`
	Epoch    int64        `json:"epoch,omitempty"`
	Tasks    []TaskResult `json:"tasks,omitempty"`
	// Summary is the state of the rack after the call.
	Summary Summary `json:"summary,omitzero"`
}

// ReportRequest asks for all tasks of a team and fences lower team epochs.
type ReportRequest struct {
	Shard     shard.ID `json:"shard"`
	Team      string   `json:"team"`
	TeamEpoch int64    `json:"team-epoch"`
}

// ReportedTask is one task of a report.
type ReportedTask struct {
	ID       string          `json:"id"`
	Job      string          `json:"job"`
	Index    int             `json:"index"`
	Worker   string          `json:"worker"`
	Demand   resource.Vector `json:"want"`
	EndState worker.State    `json:"ended,omitempty"`
	// Running is false for tasks that ended and for holds of earlier owners.
	Running bool `json:"running,omitempty"`
}

// Report answers ReportRequest. Complete means that no task of the team that
// is not listed may run in the rack.
type Report struct {
	NotOwner bool           `json:"not-owner,omitempty"`
	Epoch    int64          `json:"epoch,omitempty"`
	Complete bool           `json:"complete"`
	Tasks    []ReportedTask `json:"rows,omitempty"`
}

// EndedTask tells a team's queue that a task runs no more. It is repeated until
// the queue has acknowledged it.
type EndedTask struct {
	ID     string       `json:"id"`
	Job    string       `json:"job"`
	Index  int          `json:"index"`
	Worker string       `json:"worker"`
	State  worker.State `json:"state"`
	Output string       `json:"output,omitempty"`
	Resume []byte       `json:"resume,omitempty"`
	// Usage is the most that the task was seen to use.
	Usage resource.Vector `json:"usage,omitzero"`
}

// StateNotStarted is the state of a task whose start was proved not to have happened.
const StateNotStarted worker.State = "not-started"

// EndedBatch carries ended tasks of one team.
type EndedBatch struct {
	Team  string      `json:"team"`
	Shard shard.ID    `json:"shard"`
	Tasks []EndedTask `json:"tasks"`
}

// EndedReply lists the tasks that the queue has recorded.
type EndedReply struct {
	Recorded []string `json:"recorded,omitempty"`
}

// Summary is what other processes learn of a rack from heartbeats.
type Summary struct {
	Shard    shard.ID        `json:"shard"`
	Ready    bool            `json:"ready"`
	Place    string          `json:"place"`
	Capacity resource.Vector `json:"capacity"`
	// Workers lists the workers that take work, Free what is free on each.
	Workers []string          `json:"workers,omitempty"`
	Free    []resource.Vector `json:"free,omitempty"`
}
