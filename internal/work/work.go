// Package work defines the data types for jobs, for the workers that execute
// them, and for the configuration tables that govern them.
//
// A job consists of steps, and a step of tasks. A job can be repeated: each
// repetition is an occurrence with its own due time. A task is executed by
// starting a run of it on a worker. The runs of a task are numbered, and the
// numbers only increase.
//
// # Usage
//
//	job := &work.Job{ID: id, Team: team, Queue: queue, Steps: steps}
//	if err := job.Check(); err != nil {
//		// names the field and the allowed values
//	}
package work

import (
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/resource"
)

// Error is the class of all errors of this package.
var Error = errs.Class("job")

// Limits for submitted jobs.
const (
	// MaxPayload is the maximum payload size in bytes.
	MaxPayload = 4000
	// MaxLabel is the maximum length of a label, a rack or an image in bytes.
	MaxLabel = 1000
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 256
	// MaxJobTasks is the maximum number of tasks over all occurrences of a job.
	// It keeps the progress record small enough for one value of the store.
	MaxJobTasks = 20000
	// MaxOccurrences is the maximum number of repetitions of a job.
	MaxOccurrences = 10000
	// MaxDemand is the maximum demand of a task for one resource. The sum over all tasks
	// of a job cannot overflow.
	MaxDemand = 1 << 40
	// MaxEstimate is the longest useful estimate of a run time. A longer one has to be
	// replaced by it.
	MaxEstimate = 30 * 24 * time.Hour
	// MaxDue is the latest time at which the last occurrence of a job may be due, since
	// 1970.
	MaxDue = 200 * 365 * 24 * time.Hour
)

// Step describes a number of identical tasks.
type Step struct {
	Count             int             `cbor:"1,keyasint"`
	Demand            resource.Vector `cbor:"2,keyasint"`
	Estimate          time.Duration   `cbor:"3,keyasint,omitempty"`  // expected run time of one task
	After             []int           `cbor:"4,keyasint,omitempty"`  // indexes of the steps that must be done first
	Checkpointing     bool            `cbor:"5,keyasint,omitempty"`  // tasks can save their progress and resume from it
	Gang              bool            `cbor:"6,keyasint,omitempty"`  // tasks run all together or not at all
	RackSensitive     bool            `cbor:"7,keyasint,omitempty"`  // slower if the tasks are spread over several racks
	Speculative       bool            `cbor:"8,keyasint,omitempty"`  // a speculative copy of a slow task may run in parallel
	LongRunning       bool            `cbor:"9,keyasint,omitempty"`  // runs until the job is cancelled
	BestEffort        bool            `cbor:"10,keyasint,omitempty"` // uses only processor time that other tasks leave idle
	Label             string          `cbor:"11,keyasint,omitempty"` // label that the worker must have
	Rack              string          `cbor:"12,keyasint,omitempty"` // rack that stores the input data
	MaxPerWorker      int             `cbor:"13,keyasint,omitempty"` // maximum tasks of one occurrence on one worker; 0: unlimited
	Image             string          `cbor:"14,keyasint,omitempty"` // program to run; tasks with the same image behave alike
	TailLatencyTarget time.Duration   `cbor:"15,keyasint,omitempty"` // target for the tail response time of a latency-sensitive service task
	MaxUnavailable    int             `cbor:"16,keyasint,omitempty"` // maximum tasks that the system may interrupt at the same time
}

// Job is the work submitted by a client account. It is immutable once accepted.
type Job struct {
	ID       string        `cbor:"1,keyasint"`
	Team     string        `cbor:"2,keyasint,omitempty"` // client account; empty in queues that need no key
	Queue    string        `cbor:"3,keyasint"`
	Payload  string        `cbor:"4,keyasint,omitempty"`
	Steps    []Step        `cbor:"5,keyasint"`
	Times    int           `cbor:"6,keyasint,omitempty"`  // number of occurrences; 0: one, due immediately
	StartAt  time.Duration `cbor:"7,keyasint,omitempty"`  // due time of the first occurrence, since 1970
	Interval time.Duration `cbor:"8,keyasint,omitempty"`  // time between the due times of two occurrences
	Accepted time.Duration `cbor:"9,keyasint"`            // acceptance time since 1970, by the clock of the accepting host
	Policy   *Policy       `cbor:"10,keyasint,omitempty"` // in force at the acceptance; nil in jobs stored before it existed
}

// Occurrences returns how many times the steps are executed.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// TasksPerOccurrence returns the number of tasks of one occurrence.
func (j *Job) TasksPerOccurrence() (n int) {
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// Due returns the earliest start time of an occurrence, since 1970; 0 means at
// once.
func (j *Job) Due(occurrence int) time.Duration {
	if j.Times == 0 {
		return 0
	}
	return j.StartAt + time.Duration(occurrence)*j.Interval
}

// Check returns an error that names the invalid field if no cell could run the
// job.
func (j *Job) Check() (err error) {
	defer Error.WrapP(&err)
	switch {
	case len(j.Payload) > MaxPayload:
		return errs.New("payload: at most %d bytes are allowed", MaxPayload)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return errs.New("steps: 1 to %d are allowed", MaxSteps)
	case j.Times < 0 || j.Times > MaxOccurrences:
		return errs.New("occurrences: 0 to %d are allowed", MaxOccurrences)
	case j.Times > 0 && (j.StartAt < 0 || j.Interval < 0):
		return errs.New("occurrences: due times must not be negative")
	case j.Times > 0 && (j.StartAt > MaxDue || j.Interval > (MaxDue-j.StartAt)/time.Duration(j.Times)):
		return errs.New("occurrences: the last one is due later than %d years after 1970", MaxDue/(365*24*time.Hour))
	}
	for i := range j.Steps {
		if err := j.checkStep(i); err != nil {
			return err
		}
	}
	if n := j.TasksPerOccurrence() * j.Occurrences(); n > MaxJobTasks {
		return errs.New("steps: %d tasks over all occurrences, at most %d are allowed", n, MaxJobTasks)
	}
	return nil
}

// checkStep validates the step with index i.
func (j *Job) checkStep(i int) error {
	s := &j.Steps[i]
	switch {
	case s.Count < 1 || s.Count > MaxJobTasks:
		return errs.New("steps[%d]: count: 1 to %d is allowed", i, MaxJobTasks)
	case s.Demand.MilliCores < 0 || s.Demand.MemoryMB < 0 || s.Demand.Accelerators < 0:
		return errs.New("steps[%d]: resources must not be negative", i)
	case !(resource.Vector{MilliCores: MaxDemand, MemoryMB: MaxDemand, Accelerators: MaxDemand}).Fits(s.Demand):
		return errs.New("steps[%d]: resources: at most %d of each are allowed", i, int64(MaxDemand))
	case max(len(s.Label), len(s.Rack), len(s.Image)) > MaxLabel:
		return errs.New("steps[%d]: a label, rack or image has more than %d bytes", i, MaxLabel)
	case len(s.After) > i:
		return errs.New("steps[%d]: after: more entries than earlier steps", i)
	case s.Estimate < 0 || s.TailLatencyTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return errs.New("steps[%d]: times and bounds must not be negative", i)
	}
	for _, before := range s.After {
		if before < 0 || before >= i {
			return errs.New("steps[%d]: after: %d is not an earlier step", i, before)
		}
	}
	return nil
}

// Queue is the policy for the work submitted through one route.
type Queue struct {
	Name     string
	Host     string // HTTP host of the request; the longest matching path prefix wins
	Prefix   string
	Service  string        // name of the pool of workers that runs the tasks
	Priority int           // 0 is the highest; jobs of a higher priority may preempt others
	Attempts int           // failed runs after which a task fails permanently
	Stretch  float64       // slowdown factor: allowed total time relative to the critical path
	Target   time.Duration // time budget added to the critical path times Stretch
	Public   bool          // accepts requests without a key
	Timeout  time.Duration
	Advice   *Advice // cost of placement queries; nil: any worker of the service may run the steps
}

// Advice describes the cost of a query to the placement adviser.
type Advice struct {
	Decide time.Duration // fixed part of the response time
	Each   time.Duration // additional response time for each worker in the query
	Valid  time.Duration // validity of a ticket
}

// Pool is the set of workers that provide one service.
type Pool struct {
	Name    string
	Guards  bool // its workers reject tasks that exceed their free capacity
	Standby bool // its machines are switched off
}

// Team describes a client account.
type Team struct {
	Name    string
	Keys    []string        // keys that identify the team in requests
	Weight  float64         // rate of the team's token bucket in jobs per second; 0: unlimited
	Maximum resource.Vector // maximum resources in use at the same time; 0 in a dimension: unlimited
}

// Limits bound the size and the timing of HTTP requests from clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tables hold one version of the operators' configuration.
type Tables struct {
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	Teams   map[string]Team
	Limits  Limits

	byName map[string]*Queue
	byKey  map[string]string
}

// BuildIndexes builds the lookup maps. It must be called once, before the
// tables are shared between goroutines.
func (t *Tables) BuildIndexes() {
	t.byName = make(map[string]*Queue, len(t.Queues))
	for i := range t.Queues {
		t.byName[t.Queues[i].Name] = &t.Queues[i]
	}
	t.byKey = map[string]string{}
	for _, team := range t.Teams {
		for _, key := range team.Keys {
			t.byKey[key] = team.Name
		}
	}
}

// Queue returns the queue with the given name, or nil.
func (t *Tables) Queue(name string) *Queue { return t.byName[name] }

// TeamByKey returns the name of the team that the key belongs to.
func (t *Tables) TeamByKey(key string) (team string, ok bool) {
	team, ok = t.byKey[key]
	return team, ok
}

// Route returns the queue for a request: among the queues of the given HTTP
// host the one with the longest prefix of the path, or nil if no queue matches.
func (t *Tables) Route(host, path string) (best *Queue) {
	for i := range t.Queues {
		q := &t.Queues[i]
		if q.Host != host || len(path) < len(q.Prefix) || path[:len(q.Prefix)] != q.Prefix {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}
