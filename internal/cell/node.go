package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/speed"
	"turmericspread.org/turmericspread/internal/work"
)

type runKey struct {
	task   *task
	number int64
}

// node holds the state that the owner records for a worker.
type node struct {
	worker          work.Worker
	listed          bool
	fromPredecessor bool          // listed in the worker directory of a former owner
	inDirectory     bool          // in the stored worker directory, so work may start there without a record
	formerDirectory bool          // in the stored worker directory at the takeover
	lastDirectory   bool          // in the last worker directory, which may not be stored yet
	savedDirectory  bool          // in the last worker directory that is known to be stored
	missingSince    time.Duration // since when the worker list lacks it
	runs            map[runKey]*run
	used            resource.Vector
	promised        resource.Vector // capacity to which placement queries in flight refer
	reservations    []*reservation  // capacity kept for steps that need most of the worker

	// State of the worker's current incarnation.
	incarnation    int64
	incarnatedAt   time.Duration // when this incarnation was first observed, in a response or in the list
	bornListedAt   time.Duration // when the list first had the incarnation of worker
	responded      bool          // it has responded under the current fencing token
	fenced         bool          // it has rejected this owner's fencing token
	resolved       bool          // all that it runs and all its ends were listed in such a response
	fenceSeq       int64         // increments of the fencing token within this ownership
	clock          time.Duration
	clockReadAt    time.Duration // upper bound of the local time at which clock was read
	leaseExpiry    time.Duration // local time at which its lease must have expired
	lastResponse   time.Duration
	confirmedAt    time.Duration // when the last answered call was sent
	missedRenewals int
	leaveAt        time.Duration // earliest time at which a draining worker leaves
	coldUntil      time.Duration // until when it is slow after its start
	evacuated      bool          // its data centre is evacuated
	upkeep         bool          // its machine is next in a wave, or has its upkeep
	upkeepOrdered  bool          // its machine may have its upkeep at any moment

	renewing         bool
	nextRenewal      time.Duration
	lastEndProcessed int64 // sequence number of the last processed end
	unackedEnds      []pendingEnd

	runTimeRatio   runningMean   // run times on this worker relative to other workers
	ratioUpdatedAt time.Duration // when runTimeRatio was last updated
	slowBy         float64       // slowdown beyond 1 that stragglers indicated
	slowUntil      time.Duration // until when slowBy applies
	lastOnTimeEnd  time.Duration // when a run last ended within the usual time
	cooldownUntil  time.Duration
	health         health

	speed     *speed.Worker // nil until the worker is listed
	speedPool string        // pool to which speed belongs
}

// pendingEnd is an end that may be acknowledged once its record is saved.
type pendingEnd struct {
	sequence int64
	job      *job
	version  int64
}

const (
	// fencesPerEpoch separates the fencing tokens of successive owners. It bounds how
	// often one owner may increment the token of a worker.
	fencesPerEpoch = 1 << 16
	// renewalWait is how long a worker with running tasks waits for one of them to end
	// before it answers a lease renewal.
	renewalWait = 900 * time.Millisecond
	// renewalInterval is the time from a response to the next renewal, so that one
	// response lists several ends and the records of earlier ends are saved first.
	renewalInterval = 25 * time.Millisecond
	// probeInterval is the interval between two renewals sent to a worker that does not
	// respond, or whose ends cannot be recorded.
	probeInterval = 250 * time.Millisecond
	// frequentProbes is the number of consecutive missed renewals up to which a worker is
	// probed at probeInterval. It covers network partitions, which last for seconds.
	frequentProbes = 20
	// silentProbeInterval is the interval between two renewals sent to a worker that has
	// missed more of them. Its entry may have been written by another program.
	silentProbeInterval = 2 * time.Second
	// replacedProbeInterval is the interval between two renewals sent to an address that
	// another worker has taken over, until the entry of the former worker is gone.
	replacedProbeInterval = 2 * time.Second
	// clockDrift bounds the factor by which a lease may last longer than granted,
	// because the clock of a worker may run slow.
	clockDrift = 1.03
	// leaseMargin covers requests that are sent before a lease is checked and arrive
	// after the check.
	leaseMargin = 300 * time.Millisecond
	// unresponsiveMisses is the number of consecutive missed renewals from which a
	// worker counts as unresponsive.
	unresponsiveMisses = 2
)

// node returns the worker called id. An unknown worker is added.
func (o *Owner) node(id string) *node {
	n := o.nodes[id]
	if n == nil {
		n = &node{worker: work.Worker{ID: id}, runs: map[runKey]*run{}, missingSince: o.Now(), fenceSeq: o.removedFences[id]}
		// An earlier owner may have renewed its lease just before.
		n.leaseExpiry = o.Now() + o.takeoverSpan()
		o.nodes[id] = n
		at, _ := slices.BinarySearchFunc(o.sortedNodes, id, compareNode)
		o.sortedNodes = slices.Insert(o.sortedNodes, at, n)
	}
	return n
}

func compareNode(n *node, id string) int { return strings.Compare(n.worker.ID, id) }

func (o *Owner) removeNode(n *node) {
	delete(o.nodes, n.worker.ID)
	o.forgetAdvice(n.worker.ID)
	o.removeSpeed(n)
	if n.fenceSeq > 0 {
		o.removedFences[n.worker.ID] = n.fenceSeq
	}
	if at, ok := slices.BinarySearchFunc(o.sortedNodes, n.worker.ID, compareNode); ok {
		o.sortedNodes = slices.Delete(o.sortedNodes, at, at+1)
	}
}

// maxLeaseSpan is the maximum time for which a worker continues after a renewal is
// sent.
func (o *Owner) maxLeaseSpan() time.Duration {
	return time.Duration(float64(o.Bounds.MaxLease)*clockDrift) + leaseMargin
}

// fence returns the current fencing token for the worker.
func (n *node) fence(epoch int64) int64 { return epoch*fencesPerEpoch + n.fenceSeq }

// addressee returns the worker for calls that only the incarnation that has responded may
// execute: clocks, ends, fencing tokens, labels and tickets are those of one incarnation.
func (n *node) addressee() (w work.Worker) {
	w = n.worker
	w.Born = n.incarnation
	return w
}

// queryNext makes the next renewal a query, which any incarnation may answer. Until then the
// worker gets no work.
func (n *node) queryNext(now time.Duration) {
	n.responded = false
	n.nextRenewal = now
}

// usable reports whether the worker may be given work.
func (n *node) usable(now time.Duration) bool { return n.available(now) && !n.health.quarantined(now) }

// startable reports whether a run that was assigned to the worker may be started there.
func (n *node) startable(now time.Duration) bool {
	return n.available(now) && (!n.health.quarantined(now) || n.health.trialDue(now))
}

// available reports whether the worker could be given work, unless it is quarantined.
func (n *node) available(now time.Duration) bool {
	return n.responded && n.listed && n.described() && n.missedRenewals == 0 && !n.worker.Draining && !n.vacated() && now >= n.cooldownUntil
}

// vacated reports whether the worker gets no more work because of an operator's request.
func (n *node) vacated() bool { return n.evacuated || n.upkeep }

// described reports whether the list entry is that of the worker's current incarnation.
// After a restart the worker may have other labels and another capacity, and it may
// respond before its entry is read.
func (n *node) described() bool {
	return n.worker.Born == 0 || n.incarnation == 0 || n.worker.Born == n.incarnation
}

// setIncarnation records the incarnation that was observed at the given time.
func (n *node) setIncarnation(incarnation int64, at time.Duration) {
	switch {
	case n.worker.Born == incarnation:
		at = min(at, n.bornListedAt)
	case n.speed != nil:
		n.speed.Restart() // its factor may have been restored for the listed incarnation
	}
	n.incarnation, n.incarnatedAt = incarnation, at
}

// clockAt returns a lower bound of the worker's clock at a local time.
func (n *node) clockAt(now time.Duration) time.Duration { return n.clock + now - n.clockReadAt }

// recordClock applies a reading of the worker's clock from a response.
func (n *node) recordClock(clock, sent, received time.Duration) {
	if clock == 0 {
		return
	}
	// The reading was made between sending and receipt. It is dated at receipt, so that
	// clockAt stays a lower bound.
	readAt := received
	if estimate := n.clockAt(received); n.clock != 0 && clock < estimate-(received-sent) {
		return
	}
	n.clock, n.clockReadAt = clock, readAt
}

// extendLease records that the worker may continue for d after now.
func (n *node) extendLease(now, d time.Duration) {
	n.leaseExpiry = max(n.leaseExpiry, now+time.Duration(float64(d)*clockDrift)+leaseMargin)
}

// scanNodes performs the actions that are due for each worker.
func (o *Owner) scanNodes(now time.Duration) {
	o.majority = o.majorityConfirmed(now)
	o.establish(now)
	for _, n := range slices.Clone(o.sortedNodes) {
		o.scanNode(n, now)
		counted := n.lastDirectory || n.savedDirectory // for the majority
		if !n.listed && !counted && len(n.runs) == 0 && !n.renewing && now > n.leaseExpiry && now > o.resolveUntil {
			o.removeNode(n)
		}
	}
	o.drain(now)
	o.evacuate(now)
	o.rescue(now)
	o.maintain(now)
}

// scanNode frees the runs of the worker if its lease has expired without a response,
// repeats stops that are not resolved, and sends the next renewal when it is due.
func (o *Owner) scanNode(n *node, now time.Duration) {
	if len(n.runs) > 0 && now >= n.leaseExpiry && !o.passive(now) && (n.missedRenewals != 0 || !n.responded) {
		o.expireLease(n, now, "the worker's lease has ended")
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

// expireLease frees the runs of a worker whose lease must have expired or that has ended. If the
// worker returns, it has to respond under a higher fencing token first.
func (o *Owner) expireLease(n *node, now time.Duration, reason string) {
	n.fenceSeq++
	n.responded, n.resolved = false, false
	for _, r := range sortedRuns(n) {
		o.loseRun(r, reason)
	}
	n.nextRenewal = max(n.nextRenewal, now)
}

// sortedRuns returns the runs of a worker sorted by job, task and number.
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
