package cell

import (
	"time"

	"turmericspread.org/turmericspread/internal/event"
)

// Predecessor is what a new owner knows of the starts that the former owner made without
// a record.
type Predecessor int

const (
	// PredecessorUnknown means that this process has just started and has never heard from
	// the former owner, which may have started work without a record: what this process has
	// seen of the store itself proves nothing about the time before.
	PredecessorUnknown Predecessor = iota
	// PredecessorRecorded means that all its starts are in the records.
	PredecessorRecorded
	// PredecessorUnrecorded means that it may have started work without a record, or may
	// still do so.
	PredecessorUnrecorded
)

// String returns the name in logs.
func (p Predecessor) String() string {
	return [...]string{"unknown", "recorded", "unrecorded"}[p]
}

// Recorded reports whether a successor finds all that may run in the records: this owner
// has recorded all its starts and all runs that it has adopted, no worker of a former
// owner may have others, and no former owner may still make any.
func (o *Owner) Recorded() bool {
	now := o.Now()
	if len(o.unrecorded) > 0 || !o.Sole() && !o.startsRecorded {
		return false
	}
	return now >= o.resolveUntil || o.unresolvedCapacity(now).IsZero()
}

// Sole reports whether no former owner can act any more.
func (o *Owner) Sole() bool { return !o.unestablished && o.Now() >= o.soleFrom }

// passive reports whether a former owner may still act on the same tasks. Until then this
// owner only queries the workers: it starts nothing, extends no lease and acknowledges no
// end, because a former owner restarts the tasks of workers that it cannot reach once it
// takes their leases for expired.
func (o *Owner) passive(now time.Duration) bool { return o.unestablished || now < o.passiveUntil }

// maxPassive is how long a new owner waits for half of the former owner's workers. A former
// owner that other hosts do not reach stops after MaxIsolation, and hosts that have access
// to the store follow the new owner within two seconds.
const maxPassive = MaxIsolation + 2*time.Second

// awaitPredecessor begins a takeover from an owner that may be alive.
func (o *Owner) awaitPredecessor(now time.Duration) {
	o.unestablished = true
	o.resolveUntil = now + maxPassive + o.takeoverSpan()
}

// establish ends the passive phase of a takeover if half of the former owner's workers have
// responded under this owner's fencing token. The former owner acts without the store only
// while a majority of them has confirmed its ownership within confirmationValidity. Once all
// have responded, it can start nothing any more.
func (o *Owner) establish(now time.Duration) {
	if !o.passive(now) {
		return
	}
	former, responded := o.formerResponded()
	switch {
	case o.unestablished && (2*responded >= former || now-o.startedAt >= maxPassive):
		o.beginSoleOwnership(now, former, responded)
	case o.unestablished:
		return
	}
	if responded == former && o.passive(now) {
		o.startsRecorded, o.passiveUntil = true, now
		o.passDue, o.nextPass = true, now
		for _, n := range o.sortedNodes {
			n.nextRenewal = min(n.nextRenewal, now)
		}
	}
}

// formerResponded counts the workers of the stored directory at the takeover, and those of
// them that have responded or were replaced.
func (o *Owner) formerResponded() (former, responded int) {
	for _, n := range o.sortedNodes {
		if n.formerDirectory {
			former++
			if n.responded || !n.fromPredecessor {
				responded++
			}
		}
	}
	return former, responded
}

// beginSoleOwnership records that the former owner stops within confirmationValidity.
func (o *Owner) beginSoleOwnership(now time.Duration, former, responded int) {
	o.unestablished = false
	o.soleFrom = now + confirmationValidity + leaseMargin
	o.startsRecorded = o.Predecessor == PredecessorRecorded || o.PredecessorRecordedUntil >= o.soleFrom
	if o.startsRecorded {
		o.resolveUntil = 0
	} else {
		o.passiveUntil = o.soleFrom
		o.resolveUntil = now + o.takeoverSpan()
	}
	for _, n := range o.sortedNodes {
		n.nextRenewal = min(n.nextRenewal, max(now, o.passiveUntil))
		if !n.responded {
			n.leaseExpiry = max(n.leaseExpiry, now+o.takeoverSpan())
		}
	}
	o.passDue, o.nextPass = true, max(now, o.passiveUntil)
	event.CellEstablished.Log(o.Log).Int64("epoch", o.Epoch).Int("workers", former).Int("responded", responded).
		Bool("recorded", o.startsRecorded).Dur("after", now-o.startedAt).Send()
}

// takeoverSpan is how long a worker that does not respond may continue with what a former
// owner has started or extended there.
func (o *Owner) takeoverSpan() time.Duration {
	span := max(o.maxLeaseSpan(), startDeadline+leaseMargin)
	if o.PredecessorAlive {
		span += confirmationValidity + leaseMargin
	}
	return span
}

// SuspendUnrecorded sets whether starts without a record are suspended. While the owner
// offers the cell to another host, that host may have claimed it already.
func (o *Owner) SuspendUnrecorded(suspend bool) { o.suspendUnrecorded = suspend }

// ConfirmOwnership records that this owner still owned the cell at the local time at: a
// conditional write that was sent then has succeeded.
func (o *Owner) ConfirmOwnership(at time.Duration) {
	o.ownershipConfirmedAt = max(o.ownershipConfirmedAt, at)
}

// mayExtendLeases reports whether this owner may extend the leases of workers: the store or
// a majority of the workers has confirmed its ownership recently. A successor that cannot
// reach a worker relies on its lease to expire.
func (o *Owner) mayExtendLeases(now time.Duration) bool {
	return !o.passive(now) && (now-o.ownershipConfirmedAt < confirmationValidity || o.majority)
}

// MaxIsolation is how long an owner acts without the store and without any other host. A
// successor that reaches less than half of the workers waits for it.
const MaxIsolation = 20 * time.Second

// majorityConfirmed reports whether a majority of the workers in the stored directory
// responded under this owner's fencing token to calls sent within confirmationValidity.
// Others may be listed that never respond, such as entries of other writers. A successor
// finds either the directory that was written last or the one before it.
//
// A worker that has restarted since the store last confirmed the ownership does not count as
// confirmed: it may have lost the fencing token of a successor.
func (o *Owner) majorityConfirmed(now time.Duration) bool {
	if now-o.ownershipConfirmedAt > MaxIsolation && o.Isolated() {
		return false
	}
	var last, saved, lastConfirmed, savedConfirmed int
	for _, n := range o.sortedNodes {
		confirmed := n.responded && now-n.confirmedAt < confirmationValidity && n.incarnatedAt <= o.ownershipConfirmedAt
		if n.lastDirectory {
			last++
			if confirmed {
				lastConfirmed++
			}
		}
		if n.savedDirectory {
			saved++
			if confirmed {
				savedConfirmed++
			}
		}
	}
	return 2*lastConfirmed > last && 2*savedConfirmed > saved
}

// fencedByHalf reports whether half of the workers in the stored directory have rejected
// this owner's fencing token.
func (o *Owner) fencedByHalf() bool {
	known, fenced := 0, 0
	for _, n := range o.sortedNodes {
		if n.savedDirectory {
			known++
			if n.fenced {
				fenced++
			}
		}
	}
	return 2*fenced >= known
}

// noteUnrecorded notes that a run of the job is not in its record yet. The record gets it
// with the job's current version or an earlier one.
func (o *Owner) noteUnrecorded(j *job) { o.unrecorded[j] = j.version }
