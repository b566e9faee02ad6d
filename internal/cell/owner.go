// Package cell decides about jobs and the workers that run them. One process
// owns a cell at a time: it adopts what runs, places what waits, records what
// it is about to do before it does it, and keeps the workers' leases renewed.
//
// An owner never relies on being the only one. Each of its orders carries a
// fence that is higher than any of its predecessors', each write to the store
// is conditional on the ownership row, and a worker is given work only after it
// has answered under the owner's own fence. docs/design/fencing.md has the
// argument.
//
// # Usage
//
//	o := cell.New()
//	o.Epoch, o.Bounds, o.Tables = epoch, bounds, tables
//	o.Start, o.Stop, o.Renew, o.SaveProgress = ... // ports to the outside
//	o.Restore(jobs)
//	o.SetWorkers(workers)
//	o.Tick()
//
// All methods run on one goroutine, and the ports call back on it.
package cell

import (
	"time"

	"github.com/rs/zerolog"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// Bounds are the platform's and the users' figures that the owner relies on.
type Bounds struct {
	MaxLease           time.Duration // longest lease that a worker grants
	StopTimeout        time.Duration // longest time that a stopped run takes to end
	Retention          time.Duration // how long an ended job can be asked for
	RemoteDataSlowdown float64       // slow-down of a task away from its data
	StoreGrace         time.Duration // how long a worker may be missing from the list after an outage of the store
}

// ProgressWrite is one record to be saved.
type ProgressWrite struct {
	Job      string
	Revision int64 // of the record it replaces; 0: none
	Data     []byte
}

// SaveResult is the outcome of one ProgressWrite.
type SaveResult struct {
	Revision int64 // of the record now known to be in the store
	OK       bool  // the write took effect
}

// Owner is the state of the cell's owner. Set the exported fields before use.
type Owner struct {
	Epoch  int64
	Log    zerolog.Logger
	Bounds Bounds
	// MaxAdviceCalls bounds the questions under way that cost as much as a given one.
	MaxAdviceCalls func(cost time.Duration) int
	// Now reads a steady clock that also counts suspensions.
	Now func() time.Duration
	// WallClock reads the time of day since 1970.
	WallClock func() time.Duration
	// Tables returns the configuration in force.
	Tables func() *work.Tables
	// StoreUp reports whether the store answered the last call.
	StoreUp func() bool
	// SinceStoreFailure returns how long ago the store last failed to answer.
	SinceStoreFailure func() time.Duration
	// StoreFailedRecently reports whether this process itself saw the store fail within
	// the longest lease, so that its predecessor may have worked without it.
	StoreFailedRecently func() bool
	// OnOwnershipLost is called once a higher fence or another owner was seen.
	OnOwnershipLost func(reason string)

	Start    func(w work.Worker, order work.StartRequest, done func(work.RunResponse, error))
	Stop     func(w work.Worker, order work.RunRequest, done func(work.RunResponse, error))
	Renew    func(w work.Worker, order work.RenewRequest, done func(work.RenewResponse, error))
	Throttle func(w work.Worker, order work.RunRequest, percent int, done func(work.RunResponse, error))
	Advise   func(order work.AdviceRequest, cost time.Duration, done func(work.AdviceResponse, error))
	// SaveProgress writes records; all of a batch take effect or none does. A call
	// without an outcome for sure reports OK false and the old revision.
	SaveProgress func(batch []ProgressWrite, done func(results []SaveResult))
	// DeleteJobs removes all that is stored of jobs that ended long ago.
	DeleteJobs func(ids []string, done func(ok bool))

	// OnStepStarted is told how long the first task of a step waited since it could
	// run, OnJobEnded how old a job was when it was over.
	OnStepStarted func(queue string, waited time.Duration)
	OnJobEnded    func(queue string, state work.State, age time.Duration)
	// OnStepWaited is told how long a step waited for one reason.
	OnStepWaited func(queue string, reason WaitReason, d time.Duration)

	Counters Counters

	jobs       map[string]*job
	active     []*job // not terminal, by age
	nodes      map[string]*node
	workersListedAt   time.Duration              // when the list of workers was taken in last
	sortedNodes      []*node                    // by id
	usage      map[string]resource.Vector // by team
	unresolved    resource.Vector            // what runs that are not known may use
	unresolvedByTeam  map[string]resource.Vector // the same by team
	tokenBuckets      map[string]*sched.Allowance
	startedAt     time.Duration // when the owner began
	resolveUntil   time.Duration // until when starts wait for unreached workers
	storeFailedAtStart   bool          // the store had failed shortly before the owner began
	dirty      map[*job]bool
	writesInFlight      int
	passDue    bool // a scheduling pass is due
	nextPass   time.Duration
	nextFlush  time.Duration
	sweep      int // of passes until all waiting steps were looked at
	nextScan   time.Duration
	nextDelete time.Duration
	queueTables   *work.Tables          // from which the jobs have their queues
	queriesInFlight   map[time.Duration]int // questions under way, by the fixed part of their cost
	runTimeRatios     runningMeans                // of measured over expected run times
	allowedFractions     runningMeans                // of workers that the adviser allows
	ownershipLost    bool
}

// Counters count what the owner did; they feed the metrics.
type Counters struct {
	Starts, StartsRefused, StartsUnknown, Stops, Renewals, RenewalsMissed     int64
	RunsDone, RunsFailed, RunsEndedOtherwise, RunsLost, Preempted, Stragglers int64
	ProgressWrites, ProgressWritesFailed, AdviceQueries, AdviceQueriesFailed  int64
	Passes, CandidatesChecked                                                 int64 // scheduling passes, and workers looked at
}

// New returns an Owner without jobs and workers.
func New() *Owner {
	return &Owner{
		Log:           zerolog.Nop(),
		OnStepStarted: func(string, time.Duration) {},
		OnJobEnded:    func(string, work.State, time.Duration) {},
		OnStepWaited:  func(string, WaitReason, time.Duration) {},
		jobs:          map[string]*job{},
		nodes:         map[string]*node{},
		usage:         map[string]resource.Vector{},
		tokenBuckets:         map[string]*sched.Allowance{},
		dirty:         map[*job]bool{},
		runTimeRatios:        runningMeans{},
		allowedFractions:        runningMeans{},
		queriesInFlight:      map[time.Duration]int{},
		sweep:         1, // a new step was looked at in none
	}
}

// scanInterval is the time between two looks at all workers and jobs for what is
// only due by time.
const scanInterval = 50 * time.Millisecond

// minPassInterval bounds how often waiting work is looked at; changes in between
// are handled together.
const minPassInterval = 8 * time.Millisecond

// Tick does what is due.
func (o *Owner) Tick() {
	if o.ownershipLost {
		return
	}
	now := o.Now()
	if now >= o.nextScan {
		o.nextScan = now + scanInterval
		o.scanNodes(now)
		o.scanJobs(now)
	}
	if o.passDue && now >= o.nextPass {
		o.passDue = false
		o.nextPass = now + minPassInterval
		o.schedule(now)
	}
	o.flush()
}

// loseOwnership ends all decisions: nothing is ordered or written any more.
func (o *Owner) loseOwnership(reason string) {
	if o.ownershipLost {
		return
	}
	o.ownershipLost = true
	o.OnOwnershipLost(reason)
}

// Deactivate ends all decisions, as for a planned hand-over.
func (o *Owner) Deactivate() { o.ownershipLost = true }

// State returns a job's state; ok is false if the job is not known here.
func (o *Owner) State(id string) (state work.State, team string, ok bool) {
	j, ok := o.jobs[id]
	if !ok {
		return "", "", false
	}
	return j.visibleState(), j.spec.Team, true
}

// Pending returns the number of a queue's accepted jobs that have not begun.
func (o *Owner) Pending(queue string) (n int) {
	for _, j := range o.active {
		if j.spec.Queue == queue && !j.started && !j.state.Terminal() && !j.cancelled {
			n++
		}
	}
	return n
}

// Jobs returns the number of jobs known and of those not ended.
func (o *Owner) Jobs() (known, open int) { return len(o.jobs), len(o.active) }

// Workers returns the number of workers known and of those that take work.
func (o *Owner) Workers() (known, usable int) {
	now := o.Now()
	for _, n := range o.sortedNodes {
		if n.usable(now) {
			usable++
		}
	}
	return len(o.nodes), usable
}
