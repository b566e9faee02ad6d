package cell

import "time"

// Predecessor is what a new owner knows of the starts that the former owner made without
// a record.
type Predecessor int

const (
	// PredecessorUnknown means that this process has just started and has never heard from
	// the former owner. Whether the store failed recently decides how long starts wait.
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
// has recorded all its starts and all runs that it has adopted, and no worker of a former
// owner may have others.
func (o *Owner) Recorded() bool {
	if len(o.unrecorded) > 0 {
		return false
	}
	now := o.Now()
	return now >= o.resolveUntil || o.unresolvedCapacity(now).IsZero()
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
	return now-o.ownershipConfirmedAt < confirmationValidity || o.majority
}

// majorityConfirmed reports whether a majority of the workers in the stored directory
// responded under this owner's fencing token to calls sent within confirmationValidity.
// Others may be listed that never respond, such as entries of other writers.
func (o *Owner) majorityConfirmed(now time.Duration) bool {
	known, confirmed := 0, 0
	for _, n := range o.sortedNodes {
		if !n.inDirectory {
			continue
		}
		known++
		if n.responded && now-n.confirmedAt < confirmationValidity {
			confirmed++
		}
	}
	return 2*confirmed > known
}

// noteUnrecorded notes that a run of the job is not in its record yet. The record gets it
// with the job's current version or an earlier one.
func (o *Owner) noteUnrecorded(j *job) { o.unrecorded[j] = j.version }
