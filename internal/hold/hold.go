// Package hold decides which clients' calls a host holds while the store is away, which it
// turns away, in which order and in which transactions they are written afterwards, and
// when a client that was turned away should come back. It does no input or output and reads
// no clock.
//
// Handled load: an outage of some seconds, during which each client waits three seconds for
// the response to a submission, and the flood of writes when it ends.
//
// # Usage
//
//	q := hold.NewQueue(hold.BoundsFor(memoryMB))
//	held, displaced := q.Add(entry, now)  // the store is away
//	for _, e := range q.Release() { ... } // the store responds, the configuration is confirmed
//	q.Ready(entry)                        // checked and encoded
//	batch := q.NextBatch()                // one transaction
//	q.Remove(entry)                       // the call has ended
package hold

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxBatch bounds the jobs of a transaction, which has at most 32 entries: two conditions
	// and a value for each job.
	MaxBatch = 10
	// maxBatchBytes bounds the values of a transaction. On the slowest links, half a
	// megabyte takes longer than the timeout of a write.
	maxBatchBytes = 128 << 10
	// deadlineClass is the difference up to which two deadlines count as equal: a slow store
	// takes this long for one transaction.
	deadlineClass = 250 * time.Millisecond
)

const (
	// memoryFraction is the part of a machine's memory for held calls: one half for the
	// calls themselves, the other for their bodies.
	memoryFraction = 1.0 / 16
	// defaultMemoryMB replaces the memory of a machine whose memory is not known.
	defaultMemoryMB = 144
	// callBytes is the memory of a held call without its body: a connection with its
	// buffers and a goroutine.
	callBytes = 32 << 10
)

// Bounds bound the calls that are held at a time.
type Bounds struct {
	Calls int
	Bytes int
}

// BoundsFor returns the bounds for a machine with the given memory; 0 means unknown. With
// 144 MB they allow 144 calls: a whole cell receives 81 submissions in the three seconds that
// clients wait.
func BoundsFor(memoryMB int64) Bounds {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	bytes := int(float64(memoryMB<<20) * memoryFraction / 2)
	return Bounds{Calls: max(bytes/callBytes, 1), Bytes: bytes}
}

// state is the progress of a held call.
type state int

const (
	waiting  state = iota // for the store and the configuration
	released              // is checked and encoded by its handler
	ready                 // can be written
	writing               // is part of a transaction in flight
)

// Entry is a call that is held. Its fields must not change while it is in a Queue, except
// by methods of the Queue.
type Entry struct {
	Key      string        // store key that is written; empty: the call is not written in batches
	Deadline time.Duration // until when the client waits, on the caller's clock
	Priority int           // 0 is the highest
	Bytes    int           // memory for the body in all its forms
	Size     int           // bytes of the value that is written
	Sent     bool          // a write may have reached the store: the client cannot be told that nothing was done

	state state
}

// Queue has the held calls of a host. It is not safe for concurrent use.
type Queue struct {
	bounds  Bounds
	entries map[*Entry]bool
	bytes   int
}

// NewQueue returns an empty Queue.
func NewQueue(bounds Bounds) *Queue { return &Queue{bounds: bounds, entries: map[*Entry]bool{}} }

// Len returns the number of held calls.
func (q *Queue) Len() int { return len(q.entries) }

// Waiting returns the number of held calls that wait for the store.
func (q *Queue) Waiting() (n int) {
	for e := range q.entries {
		if e.state == waiting {
			n++
		}
	}
	return n
}

// Add holds e, or makes it wait again if it is held already. When a bound is reached, the
// calls with the least chance are turned away: those whose deadline ends first, and e itself
// if it is one of them. Calls of which a write was sent are not displaced.
func (q *Queue) Add(e *Entry, now time.Duration) (held bool, displaced []*Entry) {
	if q.entries[e] {
		e.state = waiting
		return true, nil
	}
	if e.Deadline <= now || e.Bytes > q.bounds.Bytes {
		return false, nil
	}
	displaced, held = q.makeRoom(e)
	if !held {
		return false, nil
	}
	for _, other := range displaced {
		q.Remove(other)
	}
	e.state = waiting
	q.entries[e] = true
	q.bytes += e.Bytes
	return true, displaced
}

// makeRoom returns the calls that must be turned away to hold e, and whether that suffices.
func (q *Queue) makeRoom(e *Entry) (displaced []*Entry, enough bool) {
	calls, bytes := len(q.entries)+1, q.bytes+e.Bytes
	fits := func() bool { return calls <= q.bounds.Calls && bytes <= q.bounds.Bytes }
	if fits() {
		return nil, true
	}
	for _, other := range q.displaceable() {
		if compareChance(other, e) >= 0 {
			break // e has the least chance
		}
		displaced = append(displaced, other)
		calls--
		bytes -= other.Bytes
		if fits() {
			return displaced, true
		}
	}
	return nil, false
}

// displaceable returns the calls that can still be turned away, the one with the least
// chance first.
func (q *Queue) displaceable() (list []*Entry) {
	for e := range q.entries {
		if e.state == waiting && !e.Sent {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, compareChance)
	return list
}

// compareChance orders calls by the chance that the store returns in time for them.
func compareChance(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(b.Priority, a.Priority))
}

// Remove ends the holding of a call.
func (q *Queue) Remove(e *Entry) {
	if q.entries[e] {
		delete(q.entries, e)
		q.bytes -= e.Bytes
	}
}

// Release ends the waiting of all calls and returns those that waited, in the order in which
// they are to be written.
func (q *Queue) Release() (list []*Entry) {
	for e := range q.entries {
		if e.state == waiting {
			e.state = released
			list = append(list, e)
		}
	}
	slices.SortFunc(list, compareUrgency)
	return list
}

// Ready marks a call as writable.
func (q *Queue) Ready(e *Entry) {
	if q.entries[e] {
		e.state = ready
	}
}

// Unchecked reports whether a released call is still being checked by its handler.
func (q *Queue) Unchecked() bool {
	for e := range q.entries {
		if e.state == released {
			return true
		}
	}
	return false
}

// Writable reports whether a call can be written now, which NextBatch would return.
func (q *Queue) Writable() bool {
	inFlight := q.inFlight()
	for e := range q.entries {
		if e.state == ready && !inFlight[e.Key] {
			return true
		}
	}
	return false
}

// inFlight returns the keys of the transactions in flight.
func (q *Queue) inFlight() map[string]bool {
	keys := map[string]bool{}
	for e := range q.entries {
		if e.state == writing {
			keys[e.Key] = true
		}
	}
	return keys
}

// NextBatch returns the calls of the next transaction, the most urgent first, and marks them
// as sent. It is empty if no call is writable. No two transactions in flight have the same
// key: the later one of two submissions of one job finds it stored.
func (q *Queue) NextBatch() (batch []*Entry) {
	var list []*Entry
	inFlight := q.inFlight()
	for e := range q.entries {
		if e.state == ready {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, compareUrgency)
	size := 0
	for _, e := range list {
		if inFlight[e.Key] || len(batch) > 0 && size+e.Size > maxBatchBytes {
			continue
		}
		inFlight[e.Key] = true
		size += e.Size
		e.state = writing
		batch = append(batch, e)
		if len(batch) == MaxBatch {
			break
		}
	}
	return batch
}

// Written ends the transaction of a call. Unless the call has been answered, it is Ready or
// added again.
func (q *Queue) Written(e *Entry) {
	if q.entries[e] {
		e.state = released
	}
}

// InFlight reports whether a transaction with the call is in flight.
func (q *Queue) InFlight(e *Entry) bool { return q.entries[e] && e.state == writing }

// compareUrgency orders calls by their deadline, and those with about the same deadline by
// their priority.
func compareUrgency(a, b *Entry) int {
	return cmp.Or(
		cmp.Compare(a.Deadline/deadlineClass, b.Deadline/deadlineClass),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Deadline, b.Deadline),
		cmp.Compare(a.Key, b.Key),
	)
}
