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
	w           work.Worker
	listed      bool
	former      bool          // in the directory of the former owner
	inDirectory bool          // in the stored directory: work may start there without a record
	missing     time.Duration // since when the list lacks it
	runs        map[runKey]*run
	used        resource.Vector
	promised    resource.Vector // room that questions to the adviser are asked for

	// What is known of the present life of the worker.
	born      int64
	heard     bool  // it has answered under the present fence
	bumps     int64 // raises of the fence within this ownership
	clock     time.Duration
	clockSeen time.Duration // local time at which clock was, at the latest
	letGo     time.Duration // local time at which its lease has ended for sure
	lastHeard time.Duration
	confirmed time.Duration // when the last answered call was sent
	misses    int
	leaveAt   time.Duration // earliest time at which a draining worker leaves

	holdBusy  bool
	nextHold  time.Duration
	processed int64 // number of the last end taken in
	ends      []pendingEnd

	pace      ratio         // of its run times to those of other workers
	pacedAt   time.Duration // when pace was learned last
	slowBy    float64       // slow-down that a straggler told of, beyond 1
	slowUntil time.Duration // until when slowBy holds
	soundAt   time.Duration // when a run last ended in time
	failures  int           // failed runs in a row
	restUntil time.Duration
	probation bool // the next run decides whether it is trusted again
}

// pendingEnd is an end that may be acknowledged once its record is written.
type pendingEnd struct {
	number  int64
	job     *job
	version int64
}

const (
	// fenceBumps separates the fences of successive owners: an owner raises its
	// fence on one worker at most this often.
	fenceBumps = 1 << 16
	// holdWait is how long a worker with work waits for an end before it answers.
	holdWait = 900 * time.Millisecond
	// endPause gathers ends and lets their records be written before the next look.
	endPause = 25 * time.Millisecond
	// probePause is the time between two looks at a worker that does not answer,
	// or whose ends cannot be recorded.
	probePause = 250 * time.Millisecond
	// replacedPause is the time between two looks at a worker whose address has
	// another one, until its entry is gone.
	replacedPause = 2 * time.Second
	// clockDrift bounds how slow a worker's clock may be.
	clockDrift = 1.03
	// leaseMargin covers what is sent before and arrives after a lease is read.
	leaseMargin = 300 * time.Millisecond
	// silentMisses is the number of holds in a row without an answer from which
	// a worker counts as silent.
	silentMisses = 2
	// quarantineFailures in a row, of any tasks, make a worker suspect.
	quarantineFailures = 3
	// quarantineRest is how long a suspect worker gets no work.
	quarantineRest = 8 * time.Second
	// failureRest is the pause after a single failure.
	failureRest = 200 * time.Millisecond
)

func (o *Owner) node(id string) *node {
	n := o.nodes[id]
	if n == nil {
		n = &node{w: work.Worker{ID: id}, runs: map[runKey]*run{}, missing: o.Now()}
		// An earlier owner may have prolonged its lease until a moment ago.
		n.letGo = o.Now() + o.holdSpan()
		o.nodes[id] = n
		at, _ := slices.BinarySearchFunc(o.order, id, compareNode)
		o.order = slices.Insert(o.order, at, n)
	}
	return n
}

func compareNode(n *node, id string) int { return strings.Compare(n.w.ID, id) }

func (o *Owner) removeNode(n *node) {
	delete(o.nodes, n.w.ID)
	if at, ok := slices.BinarySearchFunc(o.order, n.w.ID, compareNode); ok {
		o.order = slices.Delete(o.order, at, at+1)
	}
}

// holdSpan is the longest time for which a worker goes on after a hold is sent.
func (o *Owner) holdSpan() time.Duration {
	return time.Duration(float64(o.Bounds.MaxLease)*clockDrift) + leaseMargin
}

func (n *node) fence(epoch int64) int64 { return epoch*fenceBumps + n.bumps }

// usable reports whether the worker may be given work.
func (n *node) usable(now time.Duration) bool {
	return n.heard && n.listed && n.misses == 0 && !n.w.Draining && now >= n.restUntil
}

// clockAt returns what the worker's clock shows at least, at a local time.
func (n *node) clockAt(now time.Duration) time.Duration { return n.clock + now - n.clockSeen }

// noteClock takes in a reading of the worker's clock from an answer.
func (n *node) noteClock(clock, sent, received time.Duration) {
	if clock == 0 {
		return
	}
	// The reading was made between sending and receipt.
	seen := received
	if estimate := n.clockAt(received); n.clock != 0 && clock < estimate-(received-sent) {
		return
	}
	n.clock, n.clockSeen = clock, seen
}

// extend notes that the worker may go on for d after now.
func (n *node) extend(now, d time.Duration) {
	n.letGo = max(n.letGo, now+time.Duration(float64(d)*clockDrift)+leaseMargin)
}

func (n *node) failed(now time.Duration) {
	n.failures++
	n.restUntil = max(n.restUntil, now+failureRest)
	if n.failures >= quarantineFailures || n.probation {
		n.restUntil = now + quarantineRest
		n.probation = true
	}
}

func (n *node) succeeded() {
	n.failures = 0
	n.probation = false
}

// scanNodes does what is due for each worker.
func (o *Owner) scanNodes(now time.Duration) {
	for _, n := range slices.Clone(o.order) {
		o.scanNode(n, now)
		if !n.listed && len(n.runs) == 0 && !n.holdBusy && now > n.letGo && now > o.settling {
			o.removeNode(n)
		}
	}
	o.evacuate(now)
}

func (o *Owner) scanNode(n *node, now time.Duration) {
	if len(n.runs) > 0 && now >= n.letGo && (n.misses != 0 || !n.heard) {
		o.lapse(n, now)
	}
	for _, r := range runsOf(n) {
		if r.stopping && r.state != runPlanned && !r.stopBusy && now-r.stopSent >= stopRetry {
			o.sendStop(r)
		}
	}
	if n.w.Address != "" && !n.holdBusy && now >= n.nextHold && (n.listed || len(n.runs) > 0 || o.unsettled(n, now)) {
		o.hold(n, now)
	}
}

// lapse frees the runs of a worker whose lease must have ended. Should it turn
// up again it has to answer under a higher fence first.
func (o *Owner) lapse(n *node, now time.Duration) {
	n.bumps++
	n.heard = false
	for _, r := range runsOf(n) {
		o.lost(r, "the worker's lease has ended")
	}
	n.nextHold = max(n.nextHold, now)
}

// runsOf lists the runs of a worker by task and number.
func runsOf(n *node) (list []*run) {
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
