// Package cell schedules the jobs of a cell and manages its workers. One process
// owns a cell at a time. The owner adopts runs that are already in progress,
// assigns waiting tasks to workers, records each decision before it acts on it,
// and renews the leases of the workers.
//
// An owner never relies on being the only one. Each of its requests carries a
// fencing token that is higher than that of any predecessor, each write to the
// store is conditional on the ownership row, and a worker is given work only
// after it has responded under the owner's own fencing token.
// docs/design/fencing.md has the argument.
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

	"turmericspread.org/turmericspread/internal/backlog"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// Bounds are the limits of the platform and the settings that the owner relies on.
type Bounds struct {
	MaxLease           time.Duration // longest lease that a worker grants
	StopTimeout        time.Duration // maximum time that a stopped run takes to end
	Retention          time.Duration // how long an ended job can be queried
	RemoteDataSlowdown float64       // slowdown factor of a task that does not run near its data
	StoreGrace         time.Duration // how long a worker may be missing from the list after a store outage
	Maintenance        time.Duration // from the beginning of a machine's upkeep until its new worker joins
	UpkeepRate         float64       // calls for the upkeep of machines that the platform accepts a second
}

// ProgressWrite is a write of one job's progress record.
type ProgressWrite struct {
	Job      string
	Revision int64 // of the record that it replaces; 0 if there is none
	Data     []byte
}

// SaveResult is the outcome of one ProgressWrite.
type SaveResult struct {
	Revision int64 // of the record now known to be in the store
	OK       bool  // whether the write took effect
}

// Owner schedules the jobs of one cell. Set the exported fields before use.
type Owner struct {
	Epoch  int64
	Log    zerolog.Logger
	Bounds Bounds
	// AdviserFree reports whether a placement query with the given fixed cost would be
	// processed soon. Queries that are not sent yet can be sent in the order of their rank.
	AdviserFree func(cost time.Duration) bool
	// Now reads a monotonic clock that also advances while the host is suspended.
	Now func() time.Duration
	// WallClock returns the time of day as the time since 1970.
	WallClock func() time.Duration
	// Tables returns the current configuration.
	Tables func() *work.Tables
	// StoreUp reports whether the last call to the store was answered.
	StoreUp func() bool
	// SinceStoreFailure returns the time since the store last failed to answer this process, or
	// since the process started if that is shorter. It proves nothing about a former owner.
	SinceStoreFailure func() time.Duration
	// Predecessor is what is known of the starts of the former owner. Set it before Restore.
	Predecessor Predecessor
	// PredecessorAlive means that a former owner may still act. Set it before Restore.
	PredecessorAlive bool
	// PredecessorRecordedUntil is the local time until which a former owner that is alive
	// starts nothing without a record; 0 if that is not known. Set it before Restore.
	PredecessorRecordedUntil time.Duration
	// PeersLostStore reports whether no other host that was heard from recently has access to
	// the store. A host with access may replace this owner.
	PeersLostStore func() bool
	// Isolated reports whether no other host was heard from for long, although there are some.
	Isolated func() bool
	// BacklogLimit returns the bytes that the jobs of the cell may take; 0: unbounded.
	BacklogLimit func() int64
	// OnOwnershipLost is called once when a higher fencing token or another owner is
	// observed.
	OnOwnershipLost func(reason string)

	Start    func(w work.Worker, request work.StartRequest, done func(work.RunResponse, error))
	Stop     func(w work.Worker, request work.RunRequest, done func(work.RunResponse, error))
	Renew    func(w work.Worker, request work.RenewRequest, done func(work.RenewResponse, error))
	Throttle func(w work.Worker, request work.RunRequest, percent int, done func(work.RunResponse, error))
	Advise   func(request work.AdviceRequest, cost time.Duration, done func(work.AdviceResponse, error))
	// SaveProgress writes progress records: either all of a batch take effect or
	// none. If the outcome of a call is uncertain, the results have OK unset and the
	// old revision.
	SaveProgress func(batch []ProgressWrite, done func(results []SaveResult))
	// DeleteJobs removes everything that is stored of jobs that ended long ago.
	DeleteJobs func(ids []string, done func(ok bool))

	// OrderUpkeep orders the upkeep of a machine; nil: there is no platform that offers it.
	OrderUpkeep func(request work.UpkeepRequest, done func(error))
	// SaveWaves writes the row of the waves and the states of some of them by name: either
	// all of it takes effect or nothing. Calls do not overlap.
	SaveWaves func(row []byte, states map[string]WaveState, done func(ok bool))

	// OnStepStarted receives the time from when a step could run to the start of its
	// first task, OnJobEnded the age of a job at its end.
	OnStepStarted func(queue string, waited time.Duration)
	OnJobEnded    func(queue string, state work.State, age time.Duration)
	// OnStepWaited receives how long a step waited for one reason.
	OnStepWaited func(queue string, reason WaitReason, d time.Duration)
	// OnJobDelayed is called when a job is put last in its priority, once for each reason.
	OnJobDelayed func(queue string, reason Delay)

	Counters Counters

	jobs                 map[string]*job
	ledger               backlog.Ledger // of all jobs
	active               []*job         // not terminal, by age
	nodes                map[string]*node
	workersListedAt      time.Duration    // when the reading of the last worker list began
	sortedNodes          []*node          // by ID
	evacuated            map[string]bool  // data centres whose evacuation is requested
	reportedEvacuations  map[string]bool  // those of them that were logged
	nextMoves            time.Duration    // when runs may next be moved out of them
	nextRescue           time.Duration    // when runs on slow workers may next get a second run
	moveTurn             int              // steps that were considered for moves, if there are many
	waves                map[string]*wave // requests for the upkeep of machines, by name
	upkeep               upkeepState
	removedFences        map[string]int64           // increments of the fencing token of removed workers, which may return
	usage                map[string]resource.Vector // resources that runs occupy, by team
	unresolved           resource.Vector            // capacity that unresolved runs of the predecessor may use
	unresolvedByTeam     map[string]resource.Vector // the same by team
	tokenBuckets         map[string]*sched.TokenBucket
	startedAt            time.Duration // when this owner took over
	unestablished        bool          // a former owner that may be alive may act beside this one
	soleFrom             time.Duration // from when no former owner acts any more
	startsRecorded       bool          // no former owner starts anything without a record until then
	passiveUntil         time.Duration // until when this owner starts nothing and extends no leases
	resolveUntil         time.Duration // until when starts wait for workers that have not responded
	dirty                map[*job]bool
	unrecorded           map[*job]int64 // jobs with runs that no record has; version that will have them
	suspendUnrecorded    bool           // nothing may be started without a record
	ownershipConfirmedAt time.Duration  // by the store
	majority             bool           // majorityConfirmed in the last scan
	writesInFlight       int
	passDue              bool // a scheduling pass is due
	nextPass             time.Duration
	nextPlan             time.Duration // of what to delay
	nextFlush            time.Duration
	sweep                int // number of the current sweep: one or more passes over all waiting steps
	nextScan             time.Duration
	nextDelete           time.Duration
	deleting             bool                     // a deletion of old records is in flight
	deleted              map[string]deletedJob    // recently, by ID
	earlyCancels         map[string]time.Duration // by ID: local time of cancellations that came before their jobs
	queueTables          *work.Tables             // from which the jobs took their queues
	runTimeRatios        runningMeans             // measured run time over the estimate, by queue
	speeds               map[string]*poolSpeed    // learned speeds of the workers, by pool
	allowedFractions     runningMeans             // fraction of the queried workers that the adviser allows, by queue
	longestRatios        runningMeans             // run time of the longest task of a step over its estimate, by queue
	longestSpreads       runningMeans             // mean deviation of these ratios, by queue
	meanWork             runningMeans             // core-seconds of a job, by queue
	arrivals             map[arrivalKey]*arrivalRate
	shortages            map[string]shortage // of pools, by service
	lastForecast         forecast
	restoredSpeeds       map[string]restoredSpeed // stored by a former owner, by worker that is not listed yet
	storedSpeeds         savedSpeeds              // record of the speeds in the store
	ownershipLost        bool
	waitLogsSince        time.Duration // start of the interval in which waitLogs lines were written
	waitLogs             int           // lines on waiting steps in this interval
	delayLogsSince       time.Duration // the same for lines on delayed jobs
	delayLogs            int
}

// Counters count the actions of the owner for the metrics.
type Counters struct {
	Starts, StartsRefused, StartsUnknown, Stops, Renewals, RenewalsMissed     int64
	RunsDone, RunsFailed, RunsEndedOtherwise, RunsLost, Preempted, Stragglers int64
	RunsMoved                                                                 int64 // out of evacuated data centres and from machines before their upkeep
	UpkeepCalls, UpkeepsBegun, UpkeepRefused, UpkeepUnknown                   int64
	ProgressWrites, ProgressWritesFailed, AdviceQueries, AdviceQueriesFailed  int64
	// Placements on workers that are slower or faster than the mean of their pool, and ones from
	// which the task is not expected to end in time.
	PlacedOnSlower, PlacedOnFaster, PlacedBeyondTime int64
	FasterCopies, FasterMoves                        int64 // of runs on slow workers
	SpeedsSaved                                      int64 // writes of the learned speeds
	Passes, CandidatesChecked                        int64 // scheduling passes, and workers checked
}

// New returns an Owner without jobs and workers.
func New() *Owner {
	return &Owner{
		Log:              zerolog.Nop(),
		OnStepStarted:    func(string, time.Duration) {},
		OnJobEnded:       func(string, work.State, time.Duration) {},
		OnStepWaited:     func(string, WaitReason, time.Duration) {},
		OnJobDelayed:     func(string, Delay) {},
		PeersLostStore:   func() bool { return true },
		Isolated:         func() bool { return false },
		BacklogLimit:     func() int64 { return 0 },
		jobs:             map[string]*job{},
		nodes:            map[string]*node{},
		usage:            map[string]resource.Vector{},
		tokenBuckets:     map[string]*sched.TokenBucket{},
		dirty:            map[*job]bool{},
		deleted:          map[string]deletedJob{},
		earlyCancels:     map[string]time.Duration{},
		unrecorded:       map[*job]int64{},
		removedFences:    map[string]int64{},
		waves:            map[string]*wave{},
		runTimeRatios:    runningMeans{},
		allowedFractions: runningMeans{},
		speeds:           map[string]*poolSpeed{},
		longestRatios:    runningMeans{},
		longestSpreads:   runningMeans{},
		meanWork:         runningMeans{},
		shortages:        map[string]shortage{},
		arrivals:         map[arrivalKey]*arrivalRate{},
		restoredSpeeds:   map[string]restoredSpeed{},
		sweep:            1, // a new step has 0: not yet checked
	}
}

// scanInterval is the interval between two scans of all workers and jobs for
// time-triggered actions.
const scanInterval = 50 * time.Millisecond

// minPassInterval is the minimum interval between two scheduling passes; changes in
// between are handled together.
const minPassInterval = 8 * time.Millisecond

// Tick performs all actions that are due.
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

// loseOwnership ends all activity: no further requests or writes are sent.
func (o *Owner) loseOwnership(reason string) {
	if o.ownershipLost {
		return
	}
	o.ownershipLost = true
	o.OnOwnershipLost(reason)
}

// Deactivate ends all activity, as for a planned handover.
func (o *Owner) Deactivate() { o.ownershipLost = true }

// State returns the state and the team of a job; ok is false if the job is
// unknown.
func (o *Owner) State(id string) (state work.State, team string, ok bool) {
	j, ok := o.jobs[id]
	if !ok {
		return "", "", false
	}
	return j.visibleState(), j.spec.Team, true
}

// Pending returns the number of accepted jobs of a queue of which no task has begun. A start that
// is not answered counts only once the worker has listed its run.
func (o *Owner) Pending(queue string) (n int) {
	for _, j := range o.active {
		if j.spec.Queue == queue && !j.begun && !j.state.Terminal() && !j.cancelled {
			n++
		}
	}
	return n
}

// Jobs returns the number of known jobs and of those that have not ended.
func (o *Owner) Jobs() (known, open int) { return len(o.jobs), len(o.active) }

// Workers returns the number of known workers and of those that accept work.
func (o *Owner) Workers() (known, usable int) {
	now := o.Now()
	for _, n := range o.sortedNodes {
		if n.usable(now) {
			usable++
		}
	}
	return len(o.nodes), usable
}
