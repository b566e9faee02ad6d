package work

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/resource"
)

// Worker is one entry of the list of workers.
type Worker struct {
	ID        string
	Address   string
	Pool      string
	Place     string // data centre
	Rack      string
	Labels    []string
	Capacity  resource.Vector
	Draining  bool
	Remaining time.Duration // least time until a draining worker leaves
	Born      int64         // start of this life in Unix milliseconds; 0: unknown
}

// HasLabel reports whether the worker carries label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// TaskRef names a task within the cell.
type TaskRef struct {
	_ struct{} `cbor:",toarray"`

	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name of the task, as in "5c0e7a21d94b36f8.0.1.17".
func (r TaskRef) String() string {
	return r.Job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// StepName returns the name of the task's step, as in "5c0e7a21d94b36f8.0.1".
func (r TaskRef) StepName() string {
	return r.Job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step)
}

// ParseTaskRef reads the name of a task.
func ParseTaskRef(name string) (ref TaskRef, err error) {
	defer Error.WrapP(&err)
	parts := strings.Split(name, ".")
	const fields = 4
	if len(parts) != fields {
		return TaskRef{}, errs.New("task name %q: four parts expected", name)
	}
	ref.Job = parts[0]
	for i, out := range []*int{&ref.Occurrence, &ref.Step, &ref.Index} {
		if *out, err = strconv.Atoi(parts[i+1]); err != nil {
			return TaskRef{}, errs.New("task name %q: %v", name, err)
		}
	}
	return ref, nil
}

// EndReason tells how a run ended.
type EndReason string

// The ways in which a run ends.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"  // by the task's or the worker's fault
	EndStopped        EndReason = "stopped" // by an order
	EndLeaseExpired   EndReason = "lapsed"  // the worker's lease ran out
	EndGangBroken     EndReason = "broken"  // another member of the gang ended
	EndGangIncomplete EndReason = "alone"   // the other members of the gang did not come in time
)

// RunStatus is a run that a worker lists as running.
type RunStatus struct {
	_ struct{} `cbor:",toarray"`

	Task       TaskRef
	Run        int64
	Checkpoint string
	Percent    int // of the work done; 100 for a serving task at work
	Metric     int // tail in milliseconds of a serving task, else processor use
}

// RunResult is a run that a worker lists as ended.
type RunResult struct {
	_ struct{} `cbor:",toarray"`

	Sequence   int64 // counts from 1 in each life of the worker
	Task       TaskRef
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// RenewRequest renews everything that runs on a worker and asks what does.
type RenewRequest struct {
	_ struct{} `cbor:",toarray"`

	Fence        int64
	Deadline     time.Duration // on the worker's clock; 0: renew nothing
	AckedThrough int64         // ends up to this number may be forgotten
	Wait         time.Duration // how long the worker may wait for an end
}

// RenewResponse is the answer to a RenewRequest.
type RenewResponse struct {
	_ struct{} `cbor:",toarray"`

	Clock   time.Duration // of the worker
	Born    int64
	Running []RunStatus
	Ended   []RunResult
}

// StartRequest starts one run of a task.
type StartRequest struct {
	_ struct{} `cbor:",toarray"`

	Task       TaskRef
	Run        int64
	Payload    string
	Deadline   time.Duration // on the worker's clock; a later arrival is refused
	Fence      int64
	Checkpoint string
	Ticket     string
}

// RunRequest addresses one run.
type RunRequest struct {
	_ struct{} `cbor:",toarray"`

	Task  TaskRef
	Run   int64
	Fence int64
}

// RunResponse is the answer to an order that was carried out.
type RunResponse struct {
	_ struct{} `cbor:",toarray"`

	Clock time.Duration
}

// Refusals: the worker answered and did nothing.
var (
	ErrFenced           = errs.New("worker: a higher fence was seen")
	ErrStaleRun         = errs.New("worker: run number too low")
	ErrDeadlinePassed   = errs.New("worker: the order's deadline has passed")
	ErrNoCapacity       = errs.New("worker: no room")
	ErrInvalidTicket    = errs.New("worker: ticket not valid")
	ErrUnhealthy        = errs.New("worker: unhealthy, nothing was done")
	ErrOtherIncarnation = errs.New("worker: another incarnation answers")
	ErrMalformed        = errs.New("worker: order refused as malformed")
	ErrNotSent          = errs.New("worker: order not sent")
)

// Refusals lists the errors after which nothing was done, in a fixed order.
func Refusals() []error {
	return []error{
		ErrFenced, ErrStaleRun, ErrDeadlinePassed, ErrNoCapacity, ErrInvalidTicket, ErrUnhealthy, ErrOtherIncarnation, ErrMalformed, ErrNotSent,
	}
}

// IsRefusal reports whether err says that the worker answered and did nothing.
func IsRefusal(err error) bool {
	for _, refusal := range Refusals() {
		if errs.Is(err, refusal) {
			return true
		}
	}
	return false
}

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	Step    string
	Workers []string
}

// Ticket permits one worker to run the tasks of a step.
type Ticket struct {
	Worker string
	Ticket string
}

// AdviceResponse is the answer to an AdviceRequest.
type AdviceResponse struct {
	Good  []Ticket
	Valid time.Duration
}
