package work

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/resource"
)

// Worker is one entry of the worker list.
type Worker struct {
	ID        string
	Address   string
	Pool      string
	Place     string // data centre
	Rack      string
	Machine   string // of which the worker is one life; empty: unknown
	Kind      string // label of the kind of machine; empty: unknown
	Labels    []string
	Capacity  resource.Vector
	Draining  bool
	Remaining time.Duration // minimum time until a draining worker leaves
	ColdLeft  time.Duration // remaining time for which it is slow after its start; 0: it is not, or unknown
	// Born is the incarnation number: the start time in Unix milliseconds. In a call it is
	// that of the only incarnation that may execute the call. 0: unknown, or any.
	Born int64
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

// TaskRef identifies a task within the cell.
type TaskRef struct {
	_ struct{} `cbor:",toarray"`

	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name of the task, such as "5c0e7a21d94b36f8.0.1.17".
func (r TaskRef) String() string {
	return r.Job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// StepName returns the name of the task's step, such as "5c0e7a21d94b36f8.0.1".
func (r TaskRef) StepName() string {
	return r.Job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step)
}

// ParseTaskRef parses a task name as returned by TaskRef.String.
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

// EndReason states why a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"  // fault of the task or of the worker
	EndStopped        EndReason = "stopped" // stopped on request
	EndLeaseExpired   EndReason = "lapsed"  // the worker's lease expired
	EndGangBroken     EndReason = "broken"  // another member of the gang ended
	EndGangIncomplete EndReason = "alone"   // the other members of the gang did not start in time
)

// RunStatus describes a run that is still in progress on a worker.
type RunStatus struct {
	_ struct{} `cbor:",toarray"`

	Task       TaskRef
	Run        int64
	Checkpoint string
	Percent    int // progress; 100 for a latency-sensitive service task that is serving
	Metric     int // service task: tail response time in milliseconds; other tasks: processor usage
}

// RunResult describes a run that has ended on a worker.
type RunResult struct {
	_ struct{} `cbor:",toarray"`

	Sequence   int64 // counts up from 1 in each incarnation of the worker
	Task       TaskRef
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// RenewRequest renews the leases of all runs on a worker and requests the list
// of its runs.
type RenewRequest struct {
	_ struct{} `cbor:",toarray"`

	Fence        int64
	Deadline     time.Duration // new end of the leases, on the worker's clock; 0: do not renew
	AckedThrough int64         // results up to this sequence number may be deleted
	Wait         time.Duration // maximum time that the worker may delay the response until a run ends
}

// MaxListedEnds is the maximum number of ended runs in a RenewResponse. If a response has
// that many, later ends may be missing in it.
const MaxListedEnds = 500

// RenewResponse is the response to a RenewRequest.
type RenewResponse struct {
	_ struct{} `cbor:",toarray"`

	Clock   time.Duration // current time on the worker's clock
	Born    int64         // incarnation number of the worker
	Running []RunStatus
	Ended   []RunResult // results that the cell's owner has not acknowledged yet
}

// StartRequest starts one run of a task.
type StartRequest struct {
	_ struct{} `cbor:",toarray"`

	Task       TaskRef
	Run        int64
	Payload    string
	Deadline   time.Duration // on the worker's clock; a request that arrives later is rejected
	Fence      int64
	Checkpoint string
	Ticket     string
}

// RunRequest identifies one run of a task in a request to its worker.
type RunRequest struct {
	_ struct{} `cbor:",toarray"`

	Task  TaskRef
	Run   int64
	Fence int64
}

// RunResponse is the response to a request that was executed.
type RunResponse struct {
	_ struct{} `cbor:",toarray"`

	Clock time.Duration // current time on the worker's clock
}

// Refusals: errors after which the worker has not executed the request.
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
	ErrRestarted        = errs.New("worker: started again, order not sent")
)

// Refusals of the upkeep of a machine, after which it has not begun. ErrFenced and ErrNotSent
// are others.
var (
	ErrMachineBusy    = errs.New("machine: not up, or leaving")
	ErrMachineUnknown = errs.New("machine: there is none")
	ErrOtherWave      = errs.New("machine: not of the wave")
	ErrTooManyCalls   = errs.New("machine: too many calls")
)

// Refusals returns the errors that guarantee that the request was not executed.
// Their order is fixed because carriers transmit a refusal as an index into
// this list.
func Refusals() []error {
	return []error{
		ErrFenced, ErrStaleRun, ErrDeadlinePassed, ErrNoCapacity, ErrInvalidTicket, ErrUnhealthy, ErrOtherIncarnation, ErrMalformed, ErrNotSent,
		ErrRestarted,
	}
}

// IsRefusal reports whether err guarantees that the request was not executed.
func IsRefusal(err error) bool {
	for _, refusal := range Refusals() {
		if errs.Is(err, refusal) {
			return true
		}
	}
	return false
}

// AdviceRequest asks the placement adviser which of the workers may run a step.
type AdviceRequest struct {
	Step    string
	Workers []string
}

// Ticket permits one worker to run the tasks of a step.
type Ticket struct {
	Worker string
	Ticket string
}

// AdviceResponse is the response to an AdviceRequest.
type AdviceResponse struct {
	Good  []Ticket      // one for each worker that may run the step
	Valid time.Duration // validity of the tickets
}
