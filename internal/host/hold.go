package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/hold"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/work"
)

// Reasons why a held call is turned away. All of them mean that nothing was written.
var (
	errHoldExpired = notRunError{"the store did not respond before the deadline"}
	errHoldFull    = notRunError{"the store does not respond and too many calls wait for it"}
	errNoTables    = notRunError{"no configuration yet"}
	errStaleTables = notRunError{"configuration cannot be confirmed"}
	errRevoked     = notRunError{"the configuration no longer allows the call"}
	errHostStops   = notRunError{"the host stops"}
)

// notRunError is an ErrNotRun with a reason.
type notRunError struct{ reason string }

func (e notRunError) Error() string { return e.reason }
func (e notRunError) Unwrap() error { return ErrNotRun }

// Call is a client's call that changes something. It is written only while the store
// responds and the configuration is confirmed, and waits for that on its host until its
// context ends. Leave must be called when it has been answered.
type Call struct {
	Priority int // of the queue as last known
	Bytes    int // of the request's body
	// Allowed checks the call by a newer configuration before a write is repeated.
	Allowed func(tables *work.Tables) bool

	entry   hold.Entry
	held    bool // has waited for the store
	since   time.Time
	outcome chan heldOutcome // of the current wait or write
	write   *jobWrite
}

// heldOutcome ends a call's wait for the store or its write.
type heldOutcome struct {
	err   error
	found []kvstore.Item
}

const (
	// heldBodyCopies is the number of copies of a body that a held call may keep: as
	// received, decoded, encoded for the store, and encoded for the transaction.
	heldBodyCopies = 4
	// probeTimeout bounds one probe: a slow store responds within 250 ms. A probe that gets
	// no response delays the next one.
	probeTimeout = 300 * time.Millisecond
	// gatherTime bounds the time from a release to the first transaction, in which the calls
	// are checked and encoded by their handlers, and gatherStep is the least.
	gatherTime = 30 * time.Millisecond
	gatherStep = 2 * time.Millisecond
	// maxHeldWrites bounds the transactions in flight, so that one without a response does
	// not delay all others.
	maxHeldWrites = 4
)

// holder has the held calls of a host.
type holder struct {
	mu       sync.Mutex
	queue    *hold.Queue
	calls    map[*hold.Entry]*Call
	probing  bool
	flushing bool
	slots    chan struct{} // one for each transaction in flight
	episode  holdEpisode
}

// initHolding creates the queue of held calls, whose bounds depend on MemoryMB.
func (h *Host) initHolding() {
	h.holding.queue = hold.NewQueue(hold.BoundsFor(h.MemoryMB))
	h.holding.calls = map[*hold.Entry]*Call{}
	h.holding.slots = make(chan struct{}, maxHeldWrites)
	h.stats.set.NewGauge("turmericspread_held_calls", func() float64 {
		h.holding.mu.Lock()
		defer h.holding.mu.Unlock()
		return float64(h.holding.queue.Len())
	})
}

// CanWrite reports whether the store has responded to the last request of this host,
// directly or through another host, and the configuration is confirmed.
func (h *Host) CanWrite() bool { return h.store.Up() && h.TablesConfirmed() }

// TablesConfirmed reports whether the configuration was confirmed within MaxTablesAge.
func (h *Host) TablesConfirmed() bool { return h.Tables() != nil && h.tablesFresh(h.MaxTablesAge) }

// Await waits until the call can be written, and returns the confirmed configuration. Its
// error is an ErrNotRun: the call itself has written nothing. Calls beyond the bounds are
// turned away at once.
func (h *Host) Await(ctx context.Context, call *Call) (tables *work.Tables, err error) {
	switch {
	case !h.running.Load():
		return nil, errNoTables // Run has not begun
	case ctx.Err() != nil:
		return nil, h.holdExpired()
	case h.CanWrite():
		return h.Tables(), nil
	}
	if !h.startHolding(ctx, call) {
		return nil, errHoldFull
	}
	select {
	case outcome := <-call.outcome:
		err = outcome.err
	case <-ctx.Done():
		err = h.holdExpired()
	case <-h.runCtx.Done():
		err = errHostStops
	}
	if err != nil {
		h.endHolding(call, err)
		return nil, err
	}
	return h.Tables(), nil
}

// holdExpired returns the reason why a call was held until its deadline.
func (h *Host) holdExpired() error {
	switch {
	case h.Tables() == nil:
		return errNoTables
	case h.store.Up():
		return errStaleTables
	}
	return errHoldExpired
}

// startHolding adds a call to the held ones, and turns away others if it exceeds the bounds.
// It returns false if the call itself is turned away.
func (h *Host) startHolding(ctx context.Context, call *Call) (held bool) {
	b := &h.holding
	b.mu.Lock()
	defer b.mu.Unlock()
	if !call.held {
		deadline := bootClock() + defaultHoldTime
		if at, ok := ctx.Deadline(); ok {
			deadline = bootClock() + time.Until(at)
		}
		call.entry.Deadline, call.entry.Priority, call.entry.Bytes = deadline, call.Priority, heldBodyCopies*call.Bytes
		call.since = time.Now()
	}
	call.outcome = make(chan heldOutcome, 1)
	if !b.probing {
		b.episode = holdEpisode{since: time.Now()}
	}
	held, displaced := b.queue.Add(&call.entry, bootClock())
	for _, e := range displaced {
		b.calls[e].outcome <- heldOutcome{err: errHoldFull}
		delete(b.calls, e)
	}
	if !held {
		h.countHeld(&b.episode.displaced, "displaced")
		return false
	}
	if !call.held {
		call.held = true
		b.calls[&call.entry] = call
		b.episode.held++
	}
	if !b.probing {
		b.probing = true
		h.spawn(func() { h.probeWhileHeld(h.runCtx) })
	}
	return true
}

// defaultHoldTime bounds the holding of a call without a deadline.
const defaultHoldTime = 3 * time.Second

// endHolding removes a call that is turned away.
func (h *Host) endHolding(call *Call, reason error) {
	b := &h.holding
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.Remove(&call.entry)
	delete(b.calls, &call.entry)
	if errs.Is(reason, errHoldFull) {
		h.countHeld(&b.episode.displaced, "displaced")
		return
	}
	h.countHeld(&b.episode.expired, "expired")
}

// Leave ends a call that has been answered.
func (h *Host) Leave(call *Call) {
	if !call.held {
		return
	}
	b := &h.holding
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.Remove(&call.entry)
	delete(b.calls, &call.entry)
}

// probeWhileHeld probes the store until no call waits for it, and releases the calls
// whenever the store responds and the configuration is confirmed.
func (h *Host) probeWhileHeld(ctx context.Context) {
	b := &h.holding
	begin := bootClock()
	for first := true; ctx.Err() == nil; first = false {
		responds, confirmed := h.confirmAfter(ctx, begin, first)
		if confirmed {
			h.releaseHeld()
			begin = bootClock()
		}
		b.mu.Lock()
		h.logHolding()
		if b.queue.Waiting() == 0 {
			b.probing = false
			h.logHoldingEnd()
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		interval := hold.ProbeInterval(h.Members())
		if responds && !confirmed {
			interval *= 2 // that were two reads
		}
		sleep(ctx, interval*9/10+rand.N(interval/5)) // hosts that began together must not stay in step
	}
}

// confirmAfter reports whether the store responds, and whether the configuration was the
// latest at some time after begin. It makes one probe and, if the store responds, one more
// read. A store that rejects this host is read through another one, in the first step, and
// later when another host has confirmed the configuration: then the store responds to that one.
func (h *Host) confirmAfter(ctx context.Context, begin time.Duration, first bool) (responds, confirmed bool) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if h.relay.Probe(probeCtx) == nil {
		// Requests that began in the outage may still fail, so its result counts.
		err := h.checkTables(ctx)
		return true, err == nil && h.confirmedAfter(begin)
	}
	if !h.store.Up() {
		if !first && !h.confirmedAfter(begin) {
			return false, false
		}
		if _, err := h.store.Get(ctx, ownerKey); err != nil {
			return false, false
		}
	}
	refreshCtx, cancel := context.WithTimeout(ctx, maxRefreshWait)
	defer cancel()
	if !h.confirmedAfter(begin) {
		select {
		case <-h.refreshOnce():
		case <-refreshCtx.Done():
		}
	}
	return true, h.CanWrite() && h.confirmedAfter(begin)
}

// confirmedAfter reports whether the configuration is confirmed and was the latest at some
// time after begin.
func (h *Host) confirmedAfter(begin time.Duration) bool {
	return h.TablesConfirmed() && h.TablesAge() <= bootClock()-begin
}

// releaseHeld lets the handlers of the waiting calls check and write them.
func (h *Host) releaseHeld() {
	b := &h.holding
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.queue.Release() {
		b.episode.longest = max(b.episode.longest, time.Since(b.calls[e].since))
		h.countHeld(&b.episode.released, "released")
		b.calls[e].outcome <- heldOutcome{}
	}
}

// recordSent records whether a failed write of a call may have reached the store, and
// reports whether this one or an earlier one may have.
func (h *Host) recordSent(call *Call, cause error) (sent bool) {
	b := &h.holding
	b.mu.Lock()
	defer b.mu.Unlock()
	call.entry.Sent = call.entry.Sent || !kvstore.NotApplied(cause)
	return call.entry.Sent
}

// awaitAgain waits until a write that has failed can be repeated. It returns ErrUnknown if the
// outcome stays unknown, and else an ErrNotRun.
func (h *Host) awaitAgain(ctx context.Context, call *Call, cause error) (err error) {
	sent := h.recordSent(call, cause)
	sleep(ctx, submitRetryInterval)
	tables, err := h.Await(ctx, call)
	if err == nil && !call.Allowed(tables) {
		err = errRevoked
	}
	if err != nil && sent {
		return ErrUnknown
	}
	return err
}

// storeJob writes a job. After a conflict found has the job or its tombstone. Jobs that were held
// are written together.
func (h *Host) storeJob(ctx context.Context, call *Call, write *jobWrite) (found []kvstore.Item, err error) {
	if !call.held {
		_, found, err = h.store.Write(ctx, kvstore.Txn{Expected: write.conditions(), Puts: []kvstore.Put{write.put()}})
		return found, err
	}
	b := &h.holding
	b.mu.Lock()
	call.write = write
	call.entry.Key, call.entry.Size = write.key, write.size()
	call.outcome = make(chan heldOutcome, 1)
	b.queue.Ready(&call.entry)
	if !b.flushing {
		b.flushing = true
		h.spawn(h.flushHeld)
	}
	b.mu.Unlock()
	select {
	case outcome := <-call.outcome:
		return outcome.found, outcome.err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.InFlight(&call.entry) {
		return nil, kvstore.ErrUnknown
	}
	b.queue.Remove(&call.entry)
	return nil, kvstore.ErrUnreachable
}

// flushHeld writes the calls that are ready, in transactions, until there are none.
func (h *Host) flushHeld() {
	b := &h.holding
	h.gatherHeld()
	for {
		b.slots <- struct{}{}
		b.mu.Lock()
		var batch []*Call
		for _, e := range b.queue.NextBatch() {
			batch = append(batch, b.calls[e])
		}
		if len(batch) == 0 {
			b.flushing = false
			b.mu.Unlock()
			<-b.slots
			return
		}
		b.mu.Unlock()
		h.spawn(func() {
			h.writeHeld(batch)
			<-b.slots
		})
	}
}

// gatherHeld waits until the handlers of the released calls have checked them.
func (h *Host) gatherHeld() {
	b := &h.holding
	for waited, unchecked := time.Duration(0), true; unchecked && waited < gatherTime; waited += gatherStep {
		sleep(h.runCtx, gatherStep)
		b.mu.Lock()
		unchecked = b.queue.Unchecked()
		b.mu.Unlock()
	}
}

// writeHeld writes jobs in one transaction. If a condition does not hold, the jobs that are
// stored already or have a tombstone are reported as such, and the others are written anew.
func (h *Host) writeHeld(batch []*Call) {
	var txn kvstore.Txn
	for _, call := range batch {
		txn.Expected = append(txn.Expected, call.write.conditions()...)
		txn.Puts = append(txn.Puts, call.write.put())
	}
	h.stats.set.GetOrCreateCounter("turmericspread_held_writes_total").Inc()
	_, found, err := h.store.Write(h.runCtx, txn)
	existing := map[string]kvstore.Item{} // jobs and tombstones
	if errs.Is(err, kvstore.ErrConflict) {
		for _, item := range found {
			if item.Revision > 0 {
				existing[item.Key] = item
			}
		}
		if len(existing) == 0 {
			err = kvstore.ErrRefused
		}
	}
	b := &h.holding
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, call := range batch {
		item, ok := existing[call.write.key]
		if !ok {
			item, ok = existing[call.write.tombstone]
		}
		switch {
		case ok:
			b.queue.Written(&call.entry)
			call.outcome <- heldOutcome{err: kvstore.ErrConflict, found: []kvstore.Item{item}}
		case len(existing) > 0:
			b.queue.Ready(&call.entry)
		default:
			b.queue.Written(&call.entry)
			call.outcome <- heldOutcome{err: err}
		}
	}
	if !b.flushing && b.queue.Writable() {
		// Jobs whose transaction had a conflict, or whose key was in flight.
		b.flushing = true
		h.spawn(h.flushHeld)
	}
}
