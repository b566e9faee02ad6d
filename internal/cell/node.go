package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

type runKey struct {
	task   *task
	number int64
}

// node is a worker as its owner sees it.
type node struct {
	worker           work.Worker
	listed      bool
	fromPredecessor      bool          // in the directory of the former owner
	inDirectory bool          // in the stored directory: work may start there without a record
	missingSince     time.Duration // since when the list lacks it
	runs        map[runKey]*run
	used        resource.Vector
	promised    resource.Vector // room that questions to the adviser are asked for

	// What is known of the present life of the worker.
	incarnation      int64
	responded     bool  // it has answered under the present fence
	fenceSeq     int64 // raises of the fence within this ownership
	clock     time.Duration
	clockReadAt time.Duration // local time at which clock was, at the latest
	leaseExpiry     time.Duration // local time at which its lease has ended for sure
	lastResponse time.Duration
	confirmedAt time.Duration // when the last answered call was sent
	missedRenewals    int
	leaveAt   time.Duration // earliest time at which a draining worker leaves

	renewing  bool
	nextRenewal  time.Duration
	lastEndProcessed int64 // number of the last end taken in
	unackedEnds      []pendingEnd

	runTimeRatio      runningMean         // of its run times to those of other workers
	ratioUpdatedAt   time.Duration // when pace was learned last
	slowBy    float64       // slow-down that a straggler told of, beyond 1
	slowUntil time.Duration // until when slowBy holds
	lastOnTimeEnd   time.Duration // when a run last ended in time
	consecutiveFailures  int           // failed runs in a row
	cooldownUntil time.Duration
	probation bool // the next run decides whether it is trusted again
}

// pendingEnd is an end that may be acknowledged once its record is written.
type pendingEnd struct {
	sequence  int64
	job     *job
	version int64
}

const (
	// fencesPerEpoch separates the fences of successive owners: an owner raises its
	// fence on one worker at most this often.
	fencesPerEpoch = 1 << 16
	// renewalWait is how long a worker with work waits for an end before it answers.
	renewalWait = 900 * time.Millisecond
	// renewalInterval gathers ends and lets their records be written before the next look.
	renewalInterval = 25 * time.Millisecond
	// probeInterval is the time between two looks at a worker that does not answer,
	// or whose ends cannot be recorded.
	probeInterval = 250 * time.Millisecond
	// replacedProbeInterval is the time between two looks at a worker whose address has
	// another one, until its entry is gone.
	replacedProbeInterval = 2 * time.Second
	// clockDrift bounds how slow a worker's clock may be.
	clockDrift = 1.03
	// leaseMargin covers what is sent before and arrives after a lease is read.
	leaseMargin = 300 * time.Millisecond
	// unresponsiveMisses is the number of holds in a row without an answer from which
	// a worker counts as silent.
	unresponsiveMisses = 2
	// quarantineFailures in a row, of any tasks, make a worker suspect.
	quarantineFailures = 3
	// quarantineCooldown is how long a suspect worker gets no work.
	quarantineCooldown = 8 * time.Second
	// failureCooldown is the pause after a single failure.
	failureCooldown = 200 * time.Millisecond
)

func (o *Owner) node(id string) *node {
	n := o.nodes[id]
	if n == nil {
		n = &node{worker: work.Worker{ID: id}, runs: map[runKey]*run{}, missingSince: o.Now()}
		// An earlier owner may have prolonged its lease until a moment ago.
		n.leaseExpiry = o.Now() + o.maxLeaseSpan()
		o.nodes[id] = n
		at, _ := slices.BinarySearchFunc(o.sortedNodes, id, compareNode)
		o.sortedNodes = slices.Insert(o.sortedNodes, at, n)
	}
	return n
}

func compareNode(n *node, id string) int { return strings.Compare(n.worker.ID, id) }

func (o *Owner) removeNode(n *node) {
	delete(o.nodes, n.worker.ID)
	if at, ok := slices.BinarySearchFunc(o.sortedNodes, n.worker.ID, compareNode); ok {
		o.sortedNodes = slices.Delete(o.sortedNodes, at, at+1)
	}
}

// maxLeaseSpan is the longest time for which a worker goes on after a hold is sent.
func (o *Owner) maxLeaseSpan() time.Duration {
	return time.Duration(float64(o.Bounds.MaxLease)*clockDrift) + leaseMargin
}

func (n *node) fence(epoch int64) int64 { return epoch*fencesPerEpoch + n.fenceSeq }

// usable reports whether the worker may be given work.
func (n *node) usable(now time.Duration) bool {
	return n.responded && n.listed && n.missedRenewals == 0 && !n.worker.Draining && now >= n.cooldownUntil
}

// clockAt returns what the worker's clock shows at least, at a local time.
func (n *node) clockAt(now time.Duration) time.Duration { return n.clock + now - n.clockReadAt }

// recordClock takes in a reading of the worker's clock from an answer.
func (n *node) recordClock(clock, sent, received time.Duration) {
	if clock == 0 {
		return
	}
	// The reading was made between sending and receipt.
	seen := received
	if estimate := n.clockAt(received); n.clock != 0 && clock < estimate-(received-sent) {
		return
	}
	n.clock, n.clockReadAt = clock, seen
}

// extendLease notes that the worker may go on for d after now.
func (n *node) extendLease(now, d time.Duration) {
	n.leaseExpiry = max(n.leaseExpiry, now+time.Duration(float64(d)*clockDrift)+leaseMargin)
}

func (n *node) recordFailure(now time.Duration) {
	n.consecutiveFailures++
	n.cooldownUntil = max(n.cooldownUntil, now+failureCooldown)
	if n.consecutiveFailures >= quarantineFailures || n.probation {
		n.cooldownUntil = now + quarantineCooldown
		n.probation = true
	}
}

func (n *node) recordSuccess() {
	n.consecutiveFailures = 0
	n.probation = false
}

// scanNodes does what is due for each worker.
func (o *Owner) scanNodes(now time.Duration) {
	for _, n := range slices.Clone(o.sortedNodes) {
		o.scanNode(n, now)
		if !n.listed && len(n.runs) == 0 && !n.renewing && now > n.leaseExpiry && now > o.resolveUntil {
			o.removeNode(n)
		}
	}
	o.evacuate(now)
}

func (o *Owner) scanNode(n *node, now time.Duration) {
	if len(n.runs) > 0 && now >= n.leaseExpiry && (n.missedRenewals != 0 || !n.responded) {
		o.expireLease(n, now)
	}
	for _, r := range sortedRuns(n) {
		if r.stopping && r.state != runPlanned && !r.stopInFlight && now-r.stopSentAt >= stopRetryInterval {
			o.sendStop(r)
		}
	}
	if n.worker.Address != "" && !n.renewing && now >= n.nextRenewal && (n.listed || len(n.runs) > 0 || o.mayRunUnknown(n, now)) {
		o.renew(n, now)
	}
}

// expireLease frees the runs of a worker whose lease must have ended. Should it turn
// up again it has to answer under a higher fence first.
func (o *Owner) expireLease(n *node, now time.Duration) {
	n.fenceSeq++
	n.responded = false
	for _, r := range sortedRuns(n) {
		o.loseRun(r, "the worker's lease has ended")
	}
	n.nextRenewal = max(n.nextRenewal, now)
}

// sortedRuns lists the runs of a worker by task and number.
func sortedRuns(n *node) (list []*run) {
	for _, r := range n.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int {
		if c := strings.Compare(a.task.step.job.spec.ID, b.task.step.job.spec.ID); c != 0 {
			return c
		}
		if c := cmp.Compare(a.task.number, b.task.number); c != 0 {
			return c
		}
		return cmp.Compare(a.number, b.number)
	})
	return list
}
