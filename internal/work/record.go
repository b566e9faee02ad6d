package work

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// State is the state of a job as known to the owner of its cell.
type State string

// States of a job.
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

// Assignment is a run that was requested from a worker or is about to be.
type Assignment struct {
	_      struct{} `cbor:",toarray"`
	Run    int64
	Worker string
	Born   int64 // incarnation number of the worker
}

// TaskProgress is the stored state of a task that was started at least once.
type TaskProgress struct {
	_          struct{} `cbor:",toarray"`
	Number     int      // index of the task over all occurrences and steps
	Run        int64    // highest run number used so far
	Done       bool
	Failed     []int64 // numbers of the runs that failed
	Checkpoint string
	Runs       []Assignment
}

// Progress is the stored state of a job. Only the owner of the cell writes it.
type Progress struct {
	State State `cbor:"1,keyasint,omitempty"` // set once the state is terminal
	Ended int64 `cbor:"2,keyasint,omitempty"` // Unix milliseconds
	// Started is read only by hosts of earlier builds, which set it as soon as a start was
	// planned. A job whose starts were all refused has not begun.
	Started bool           `cbor:"3,keyasint,omitempty"`
	Tasks   []TaskProgress `cbor:"4,keyasint,omitempty"`
	Epoch   int64          `cbor:"5,keyasint,omitempty"` // epoch of the owner that wrote it
	Version int64          `cbor:"6,keyasint,omitempty"` // increases with each write by the same owner
	Policy  *Policy        `cbor:"7,keyasint,omitempty"` // last known policy; nil: that of the job
	Begun   bool           `cbor:"8,keyasint,omitempty"` // a worker has confirmed a run; unset by earlier builds
}

// HasBegun reports whether a task of the job is known to have begun. Records of earlier builds
// show it only by what a run has left.
func (p *Progress) HasBegun() bool {
	return p.Begun || slices.ContainsFunc(p.Tasks, func(t TaskProgress) bool {
		return t.Done || len(t.Failed) > 0 || t.Checkpoint != ""
	})
}

// MayRun reports whether a task of the job has a run, which may not be confirmed yet.
func (p *Progress) MayRun() bool {
	return slices.ContainsFunc(p.Tasks, func(t TaskProgress) bool { return len(t.Runs) > 0 })
}

// EncodeJob encodes a job for the store.
func EncodeJob(j *Job) (data []byte, err error) {
	defer Error.WrapP(&err)
	return cbor.Marshal(j)
}

// jobDecoding bounds the lists of a job, each element of which takes far more memory decoded than
// encoded: no list of a job is longer than that of its steps.
var jobDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: MaxSteps}.DecMode()
	if err != nil {
		panic(err) // the option is a constant inside the range of the library
	}
	return mode
}()

// DecodeJob decodes a job from the store or from another host.
func DecodeJob(data []byte) (j *Job, err error) {
	defer Error.WrapP(&err)
	j = new(Job)
	if err := jobDecoding.Unmarshal(data, j); err != nil {
		return nil, err
	}
	return j, nil
}

// EncodeProgress encodes the progress of a job for the store.
func EncodeProgress(p *Progress) (data []byte, err error) {
	defer Error.WrapP(&err)
	return cbor.Marshal(p)
}

// DecodeProgress decodes the progress of a job read from the store.
func DecodeProgress(data []byte) (p *Progress, err error) {
	defer Error.WrapP(&err)
	p = new(Progress)
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, err
	}
	return p, nil
}
