// Package work holds the types that describe jobs of steps, the workers that
// run them and the tables that govern them.
//
// A job has steps, a step has tasks. A job may be repeated: each repetition is
// an occurrence with a due time of its own. A task is started by an order and
// each start has a run number that only rises.
//
// # Usage
//
//	job := &work.Job{ID: id, Team: team, Queue: queue, Steps: steps}
//	if err := job.Check(); err != nil {
//		// names the field and what is allowed
//	}
package work

import (
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/resource"
)

// Error is the class of all errors of this package.
var Error = errs.Class("job")

// Bounds of what a job may ask for.
const (
	// MaxPayload is the largest payload in bytes.
	MaxPayload = 4000
	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 256
	// MaxJobTasks bounds the tasks of all occurrences of a job, so that its
	// progress fits into one value of the store.
	MaxJobTasks = 20000
	// MaxOccurrences is the largest number of repetitions of a job.
	MaxOccurrences = 10000
)

// Step is a number of like tasks.
type Step struct {
	Count             int             `cbor:"1,keyasint"`
	Demand            resource.Vector `cbor:"2,keyasint"`
	Estimate          time.Duration   `cbor:"3,keyasint,omitempty"`  // rough run time of one task
	After             []int           `cbor:"4,keyasint,omitempty"`  // steps that must be done before
	Checkpointing     bool            `cbor:"5,keyasint,omitempty"`  // progress can be saved and resumed
	Gang              bool            `cbor:"6,keyasint,omitempty"`  // tasks run all together or not at all
	RackSensitive     bool            `cbor:"7,keyasint,omitempty"`  // slower when spread over racks
	Speculative       bool            `cbor:"8,keyasint,omitempty"`  // copies may run in parallel
	LongRunning       bool            `cbor:"9,keyasint,omitempty"`  // runs until the job is cancelled
	BestEffort        bool            `cbor:"10,keyasint,omitempty"` // uses only the processor time that others leave
	Label             string          `cbor:"11,keyasint,omitempty"` // label that the worker must have
	Rack              string          `cbor:"12,keyasint,omitempty"` // rack that holds the data
	MaxPerWorker      int             `cbor:"13,keyasint,omitempty"` // tasks of one occurrence on one worker; 0: no bound
	Image             string          `cbor:"14,keyasint,omitempty"` // what runs; tasks of one image behave alike
	TailLatencyTarget time.Duration   `cbor:"15,keyasint,omitempty"` // bound of the tail of response times of a serving task
	MaxUnavailable    int             `cbor:"16,keyasint,omitempty"` // tasks that may be away at a time by the system's doing
}

// Job is what a client account asked to run. It does not change once accepted.
type Job struct {
	ID       string        `cbor:"1,keyasint"`
	Team     string        `cbor:"2,keyasint,omitempty"` // client account; empty on queues open to all
	Queue    string        `cbor:"3,keyasint"`
	Payload  string        `cbor:"4,keyasint,omitempty"`
	Steps    []Step        `cbor:"5,keyasint"`
	Times    int           `cbor:"6,keyasint,omitempty"` // occurrences; 0: one, due at once
	StartAt  time.Duration `cbor:"7,keyasint,omitempty"` // first due time since 1970
	Interval time.Duration `cbor:"8,keyasint,omitempty"` // time between due times
	Accepted time.Duration `cbor:"9,keyasint"`           // since 1970, by the clock of the accepting host
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// TasksPerOccurrence returns the number of tasks of one occurrence.
func (j *Job) TasksPerOccurrence() (n int) {
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// Due returns when an occurrence may start, since 1970; 0 means at once.
func (j *Job) Due(occurrence int) time.Duration {
	if j.Times == 0 {
		return 0
	}
	return j.StartAt + time.Duration(occurrence)*j.Interval
}

// Check refuses jobs that no cell could run. The error names the field.
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

func (j *Job) checkStep(i int) error {
	s := &j.Steps[i]
	switch {
	case s.Count < 1 || s.Count > MaxJobTasks:
		return errs.New("steps[%d]: count: 1 to %d is allowed", i, MaxJobTasks)
	case s.Demand.MilliCores < 0 || s.Demand.MemoryMB < 0 || s.Demand.Accelerators < 0:
		return errs.New("steps[%d]: resources must not be negative", i)
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

// Queue is the policy of the work that comes in by one route.
type Queue struct {
	Name     string
	Host     string // of the request; the longest prefix of the host wins
	Prefix   string
	Service  string // pool of workers that runs the tasks
	Priority int    // 0 comes first and may preempt others
	Attempts int    // failed runs after which a task is given up
	Stretch  float64
	Target   time.Duration // allowance on top of the stretched chain of work
	Public   bool          // takes calls without a key
	Timeout  time.Duration
	Advice   *Advice // nil: any worker of the service may run the queue's steps
}

// Advice tells what a question to the placement adviser costs.
type Advice struct {
	Decide time.Duration // fixed part of an answer's time
	Each   time.Duration // added for each worker named
	Valid  time.Duration // how long a ticket can be used
}

// Pool is a service: a set of workers.
type Pool struct {
	Name    string
	Guards  bool // its workers refuse what does not fit
	Standby bool // its machines are off
}

// Team is a client account.
type Team struct {
	Name    string
	Keys    []string
	Weight  float64
	Maximum resource.Vector // bound of what runs at a time; 0 in a dimension: none
}

// Limits bound what a client's connection may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tables are one version of the operators' configuration.
type Tables struct {
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	Teams   map[string]Team
	Limits  Limits

	byName map[string]*Queue
	byKey  map[string]string
}

// BuildIndexes prepares the look-ups; it is called once, before the tables are shared.
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

// Queue returns the queue called name, or nil.
func (t *Tables) Queue(name string) *Queue { return t.byName[name] }

// TeamByKey returns the team that holds key.
func (t *Tables) TeamByKey(key string) (team string, ok bool) {
	team, ok = t.byKey[key]
	return team, ok
}

// Route returns the queue for a request: of the given host, with the longest
// prefix that the path begins with; nil if there is none.
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
