package work

import (
	"github.com/fxamacker/cbor/v2"
)

// State is the state of a job as its owner sees it.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Assignment is a run that was ordered, or is about to be.
type Assignment struct {
	_      struct{} `cbor:",toarray"`
	Run    int64
	Worker string
	Born   int64
}

// TaskProgress is the durable state of a task that was ever started.
type TaskProgress struct {
	_          struct{} `cbor:",toarray"`
	Number     int      // of the task over all occurrences and steps
	Run        int64    // highest run number used
	Done       bool
	Failed     []int64 // runs that failed
	Checkpoint string
	Runs       []Assignment
}

// Progress is the durable state of a job, written only by the job's owner.
type Progress struct {
	State   State          `cbor:"1,keyasint,omitempty"` // set once it is terminal
	Ended   int64          `cbor:"2,keyasint,omitempty"` // Unix milliseconds
	Started bool           `cbor:"3,keyasint,omitempty"`
	Tasks   []TaskProgress `cbor:"4,keyasint,omitempty"`
	Epoch   int64          `cbor:"5,keyasint,omitempty"`
	Version int64          `cbor:"6,keyasint,omitempty"` // grows with each write of one owner
}

// EncodeJob returns the stored form of a job.
func EncodeJob(j *Job) (data []byte, err error) {
	defer Error.WrapP(&err)
	return cbor.Marshal(j)
}

// DecodeJob reads the stored form of a job.
func DecodeJob(data []byte) (j *Job, err error) {
	defer Error.WrapP(&err)
	j = new(Job)
	if err := cbor.Unmarshal(data, j); err != nil {
		return nil, err
	}
	return j, nil
}

// EncodeProgress returns the stored form of a job's progress.
func EncodeProgress(p *Progress) (data []byte, err error) {
	defer Error.WrapP(&err)
	return cbor.Marshal(p)
}

// DecodeProgress reads the stored form of a job's progress.
func DecodeProgress(data []byte) (p *Progress, err error) {
	defer Error.WrapP(&err)
	p = new(Progress)
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, err
	}
	return p, nil
}
