package host

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/peer"
	"turmericspread.org/turmericspread/internal/work"
)

// claim makes this host the owner of the cell, on the condition that the row
// seen is still in place, and loads what is stored.
func (h *Host) claim(ctx context.Context, seen ownerRow, revision int64) {
	pause(ctx, h.claimDelay(seen))
	h.claimNow(ctx, seen, revision)
}

// claimNow claims without waiting for stronger hosts.
func (h *Host) claimNow(ctx context.Context, seen ownerRow, revision int64) {
	row := ownerRow{Name: h.Name, Instance: h.instance, Address: h.PeerAddress, Epoch: seen.Epoch + 1}
	claimed, err := h.writeClaim(ctx, row, revision)
	if err != nil {
		event.ClaimFailed.Log(h.Log).Int64("epoch", row.Epoch).Int64("revision", revision).Err(err).Send()
		return
	}
	event.CellClaimed.Log(h.Log).Int64("epoch", row.Epoch).Str("before", seen.Name).Int64("revision", claimed).Send()
	for ctx.Err() == nil {
		err = h.takeOver(ctx, row, claimed)
		if err == nil {
			return
		}
		event.ClaimFailed.Log(h.Log).Int64("epoch", row.Epoch).Int64("revision", claimed).Err(err).Send()
		item, readErr := h.store.Get(ctx, ownerKey)
		if readErr == nil && item.Revision != claimed {
			return // replaced meanwhile
		}
		pause(ctx, loadRetry)
	}
}

// loadRetry is the pause after a failed try to load the cell.
const loadRetry = 100 * time.Millisecond

// writeClaim writes the ownership row. After a lost answer it reads back what
// became of the write.
func (h *Host) writeClaim(ctx context.Context, row ownerRow, revision int64) (claimed int64, err error) {
	value, err := cbor.Marshal(row)
	if err != nil {
		return 0, err
	}
	claimed, _, err = h.store.Write(ctx, kvstore.Txn{
		Expected: []kvstore.Condition{{Key: ownerKey, Revision: revision}},
		Puts:     []kvstore.Put{{Key: ownerKey, Value: value}},
	})
	if err == nil || kvstore.NothingDone(err) && !errs.Is(err, kvstore.ErrConflict) {
		return claimed, err
	}
	item, readErr := h.store.Get(ctx, ownerKey)
	if readErr == nil && bytes.Equal(item.Value, value) {
		return item.Revision, nil
	}
	return 0, err
}

// takeOver loads the cell and begins to decide about it.
func (h *Host) takeOver(ctx context.Context, row ownerRow, revision int64) (err error) {
	var jobs, progress []kvstore.Item
	var workers, former []work.Worker
	var watchFrom int64
	err = together(
		func() (err error) { jobs, watchFrom, err = h.store.List(ctx, jobPrefix); return err },
		func() (err error) { progress, _, err = h.store.List(ctx, progressPrefix); return err },
		func() (err error) { workers, err = h.listWorkers(ctx); return err },
		func() (err error) { former, err = h.formerWorkers(ctx); return err },
	)
	if err != nil {
		return err
	}
	for h.tables.Load() == nil && ctx.Err() == nil {
		pause(ctx, loadRetry)
	}
	stored := h.decodeStored(jobs, progress)
	ownCtx, cancel := context.WithCancel(ctx)
	callErr := h.loop.Call(ctx, func() {
		h.row, h.rowRev, h.rowKnown = row, revision, true
		h.suspect = suspicion{}
		h.own = h.newOwner(ownCtx, row, revision)
		h.ownCancel = cancel
		h.own.Restore(stored)
		h.own.RestoreWorkers(former)
		h.own.SetWorkers(workers)
		h.own.Tick()
		h.publish()
	})
	if callErr != nil {
		cancel()
		return callErr
	}
	h.spawn(func() { h.followWorkers(ownCtx, revision) })
	h.spawn(func() { h.followJobs(ownCtx, watchFrom) })
	h.spawn(func() { h.markAlive(ownCtx, revision) })
	h.spawn(func() { h.yieldToStronger(ownCtx) })
	return nil
}

const (
	// yieldPeriod is the time between two looks for a stronger host. The first
	// comes well before traffic does after a cold start.
	yieldPeriod = 3 * time.Second
	// yieldRatio is how much more processor another host must have: a hand-over
	// stands still for some tenths of a second.
	yieldRatio = 1.5
)

// yieldToStronger hands the cell over to a host with clearly more processor:
// after a cold start any host may have claimed it first.
func (h *Host) yieldToStronger(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, yieldPeriod)
		stronger := false
		err := h.loop.Call(ctx, func() {
			list := h.successors()
			stronger = len(list) > 0 && list[0].Power >= yieldRatio*h.Power
		})
		if err == nil && stronger {
			h.handOverOnce(ctx)
		}
	}
}

// together runs functions at the same time and returns their errors: with a
// slow store each answer takes a quarter of a second.
func together(fns ...func() error) (err error) {
	results := make(chan error, len(fns))
	for _, fn := range fns {
		go func() { results <- fn() }()
	}
	var group errs.Group
	for range fns {
		group.Add(<-results)
	}
	return group.Err()
}

func (h *Host) decodeStored(jobs, progress []kvstore.Item) (stored []cell.Stored) {
	byID := map[string]int{}
	for i := range jobs {
		id := strings.TrimPrefix(jobs[i].Key, jobPrefix)
		if strings.HasSuffix(id, cancelSuffix) {
			continue
		}
		job, err := work.DecodeJob(jobs[i].Value)
		if err != nil {
			event.EntryMalformed.Log(h.Log).Str("key", jobs[i].Key).Err(err).Send()
			continue
		}
		byID[id] = len(stored)
		stored = append(stored, cell.Stored{Job: job})
	}
	for i := range jobs {
		id, cancelled := strings.CutSuffix(strings.TrimPrefix(jobs[i].Key, jobPrefix), cancelSuffix)
		if at, ok := byID[id]; ok && cancelled {
			stored[at].Cancelled = true
		}
	}
	for i := range progress {
		at, ok := byID[strings.TrimPrefix(progress[i].Key, progressPrefix)]
		if !ok {
			continue
		}
		p, err := work.DecodeProgress(progress[i].Value)
		if err != nil {
			event.EntryMalformed.Log(h.Log).Str("key", progress[i].Key).Err(err).Send()
			continue
		}
		stored[at].Progress, stored[at].Revision = p, progress[i].Revision
	}
	return stored
}

// release ends this host's ownership.
func (h *Host) release(reason string) {
	if h.own == nil {
		return
	}
	event.CellDeposed.Log(h.Log).Int64("epoch", h.own.Epoch).Str("reason", reason).Send()
	h.own.Deactivate()
	h.own = nil
	h.ownCancel()
}

// newOwner connects an owner to the outside.
func (h *Host) newOwner(ctx context.Context, row ownerRow, revision int64) *cell.Owner {
	o := cell.New()
	o.Epoch, o.Log, o.Bounds = row.Epoch, h.Log, h.Bounds
	o.Now, o.Wall = boot, wall
	o.Tables = h.Tables
	o.StoreUp, o.StoreLost = h.storeUp, h.storeLost
	o.TroubleSeen = func() bool { return time.Since(h.store.LastBad()) < troubleMemory }
	o.Advisers = func(cost time.Duration) int {
		hosts := make([]string, max(len(h.members), 1))
		if cost < heavyAdvice {
			return lightPerHost * len(lane(hosts, cost))
		}
		return heavyPerHost * len(lane(hosts, cost))
	}
	o.Deposed = func(reason string) {
		if h.own == o {
			h.release(reason)
		}
	}
	o.Start = func(w work.Worker, order work.StartOrder, done func(work.OrderReport, error)) {
		callTarget(h, ctx, startTimeout, done, func(ctx context.Context) (work.OrderReport, error) {
			return h.Targets.Start(ctx, w, order)
		})
	}
	o.Stop = func(w work.Worker, order work.RunOrder, done func(work.OrderReport, error)) {
		callTarget(h, ctx, startTimeout, done, func(ctx context.Context) (work.OrderReport, error) {
			return h.Targets.Stop(ctx, w, order)
		})
	}
	o.Hold = func(w work.Worker, order work.HoldOrder, done func(work.HoldReport, error)) {
		callTarget(h, ctx, order.Wait+holdTimeout, done, func(ctx context.Context) (work.HoldReport, error) {
			return h.Targets.Hold(ctx, w, order)
		})
	}
	o.Pace = func(w work.Worker, order work.RunOrder, percent int, done func(work.OrderReport, error)) {
		callTarget(h, ctx, startTimeout, done, func(ctx context.Context) (work.OrderReport, error) {
			return h.Targets.Pace(ctx, w, order, percent)
		})
	}
	o.Advise = func(order work.AdviceOrder, cost time.Duration, done func(work.AdviceReport, error)) {
		callTarget(h, ctx, adviceTimeout, done, func(ctx context.Context) (work.AdviceReport, error) {
			return h.advise(ctx, order, cost)
		})
	}
	o.Save = func(batch []cell.Write, done func([]cell.Saved)) { h.saveProgress(ctx, revision, batch, done) }
	o.Forget = func(ids []string, done func(bool)) { h.forget(ctx, revision, ids, done) }
	return o
}

// troubleMemory is how long a failure of the store makes this host suspect that
// the owner before it worked without records: the longest lease of a run.
const troubleMemory = 10 * time.Second

const (
	// startTimeout bounds an order to a worker: it answers within milliseconds.
	startTimeout = 600 * time.Millisecond
	// holdTimeout is added to the time that a worker may wait for an end.
	holdTimeout = 500 * time.Millisecond
	// adviceTimeout bounds a question to the adviser, with its waiting in turn.
	adviceTimeout = 3 * time.Second
	// lightPerHost and heavyPerHost bound the questions that wait at one host.
	// What waits here goes by rank, what waits at the adviser by arrival.
	lightPerHost = 4
	heavyPerHost = 1
)

// callTarget makes a call elsewhere and brings its result to the control goroutine.
func callTarget[T any](h *Host, ctx context.Context, timeout time.Duration, done func(T, error), call func(ctx context.Context) (T, error)) {
	h.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		result, err := call(callCtx)
		cancel()
		h.post(func() { done(result, err) })
	})
}

// saveProgress writes records on the condition that this host owns the cell.
func (h *Host) saveProgress(ctx context.Context, ownerRev int64, batch []cell.Write, done func([]cell.Saved)) {
	txn := kvstore.Txn{Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}}}
	for _, w := range batch {
		key := progressPrefix + w.Job
		txn.Expected = append(txn.Expected, kvstore.Condition{Key: key, Revision: w.Revision})
		txn.Puts = append(txn.Puts, kvstore.Put{Key: key, Value: w.Data})
	}
	h.spawn(func() {
		revision, found, err := h.store.Write(ctx, txn)
		h.post(func() {
			results := make([]cell.Saved, len(batch))
			for i, w := range batch {
				results[i] = cell.Saved{Revision: w.Revision}
			}
			switch {
			case err == nil:
				for i := range results {
					results[i] = cell.Saved{Revision: revision, OK: true}
				}
			case errs.Is(err, kvstore.ErrConflict):
				h.conflict(ownerRev, batch, found, results)
			default:
				event.CellRecordRefused.Log(h.Log).Int("jobs", len(batch)).Err(err).Send()
			}
			done(results)
		})
	})
}

// conflict tells a lost ownership from records that an earlier write of this
// owner has changed, whose answer was lost.
func (h *Host) conflict(ownerRev int64, batch []cell.Write, found []kvstore.Item, results []cell.Saved) {
	byKey := make(map[string]kvstore.Item, len(found))
	for _, item := range found {
		byKey[item.Key] = item
	}
	if owner, ok := byKey[ownerKey]; ok && owner.Revision != ownerRev {
		h.release("the ownership row has changed")
		return
	}
	for i, w := range batch {
		item, ok := byKey[progressPrefix+w.Job]
		if !ok {
			continue
		}
		results[i].Revision = item.Revision
		results[i].OK = item.Revision != w.Revision && bytes.Equal(item.Value, w.Data)
	}
}

func (h *Host) forget(ctx context.Context, ownerRev int64, ids []string, done func(bool)) {
	txn := kvstore.Txn{Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}}}
	for _, id := range ids {
		txn.Remove = append(txn.Remove, jobPrefix+id, jobPrefix+id+cancelSuffix, progressPrefix+id)
	}
	h.spawn(func() {
		_, _, err := h.store.Write(ctx, txn)
		h.post(func() { done(err == nil) })
	})
}

// workersPeriod is the time between two reads of the list of workers. A worker
// that drains has to be known as such within two seconds.
const workersPeriod = 400 * time.Millisecond

func (h *Host) followWorkers(ctx context.Context, ownerRev int64) {
	var recorded []byte
	for ctx.Err() == nil {
		pause(ctx, workersPeriod)
		workers, err := h.listWorkers(ctx)
		if err != nil {
			continue
		}
		recorded = h.recordWorkers(ctx, ownerRev, workers, recorded)
		h.post(func() {
			if h.own != nil {
				h.own.SetWorkers(workers)
			}
		})
	}
}

// workerRow is what a successor needs to reach a worker whose entry has lapsed.
type workerRow struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
	Pool    string
}

// recordWorkers stores which workers there are, if that has changed. Entries
// that have lapsed while the store was away must not be forgotten, so a list
// read shortly after an outage is not recorded.
func (h *Host) recordWorkers(ctx context.Context, ownerRev int64, workers []work.Worker, before []byte) (after []byte) {
	if time.Since(h.store.LastBad()) < h.Bounds.StoreGrace {
		return before
	}
	rows := make([]workerRow, 0, len(workers))
	for i := range workers {
		if workers[i].Draining {
			continue // nothing is started there any more
		}
		rows = append(rows, workerRow{ID: workers[i].ID, Address: workers[i].Address, Pool: workers[i].Pool})
	}
	value, err := cbor.Marshal(rows)
	if err != nil || bytes.Equal(value, before) {
		return before
	}
	_, _, err = h.store.Write(ctx, kvstore.Txn{
		Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}},
		Puts:     []kvstore.Put{{Key: workersKey, Value: value}},
	})
	if err != nil {
		return before
	}
	return value
}

// formerWorkers reads which workers the former owner knew.
func (h *Host) formerWorkers(ctx context.Context) (workers []work.Worker, err error) {
	item, err := h.store.Get(ctx, workersKey)
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	var rows []workerRow
	if err := cbor.Unmarshal(item.Value, &rows); err != nil {
		event.EntryMalformed.Log(h.Log).Str("key", workersKey).Err(err).Send()
		return nil, nil
	}
	for _, row := range rows {
		workers = append(workers, work.Worker{ID: row.ID, Address: row.Address, Pool: row.Pool})
	}
	return workers, nil
}

func (h *Host) listWorkers(ctx context.Context) (workers []work.Worker, err error) {
	items, _, err := h.store.List(ctx, h.Lists.WorkersPrefix)
	if err != nil {
		return nil, err
	}
	for i := range items {
		w, err := h.Lists.DecodeWorker(items[i].Key, items[i].Value)
		if err != nil {
			event.EntryMalformed.Log(h.Log).Str("key", items[i].Key).Err(err).Send()
			continue
		}
		workers = append(workers, w)
	}
	return workers, nil
}

const (
	// watchWait is how long a watch on jobs may be silent.
	watchWait = 5 * time.Second
	// watchPause gathers changes: hosts tell the owner of their jobs at once,
	// the watch finds those whose host has died.
	watchPause = 200 * time.Millisecond
)

// followJobs finds jobs and cancellations that their hosts did not tell of.
func (h *Host) followJobs(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		events, next, err := h.store.Watch(ctx, jobPrefix, after, watchWait)
		switch {
		case err == nil:
			after = next
			for i := range events {
				if !events[i].Removed {
					h.noticeItem(&events[i].Item)
				}
			}
		case ctx.Err() == nil:
			after = h.relistJobs(ctx, after)
		}
		pause(ctx, watchPause)
	}
}

// relistJobs reads all jobs anew: a watch that broke may have missed some.
func (h *Host) relistJobs(ctx context.Context, after int64) (next int64) {
	items, revision, err := h.store.List(ctx, jobPrefix)
	if err != nil {
		return after
	}
	for i := range items {
		h.noticeItem(&items[i])
	}
	return revision
}

func (h *Host) noticeItem(item *kvstore.Item) {
	id, cancelled := strings.CutSuffix(strings.TrimPrefix(item.Key, jobPrefix), cancelSuffix)
	if cancelled {
		h.post(func() {
			if h.own != nil {
				h.own.Cancel(id)
			}
		})
		return
	}
	job, err := work.DecodeJob(item.Value)
	if err != nil {
		event.EntryMalformed.Log(h.Log).Str("key", item.Key).Err(err).Send()
		return
	}
	h.post(func() {
		if h.own != nil {
			h.own.Accept(job)
		}
	})
}

// markAlive changes a key of the store now and then, for hosts that cannot
// reach this one.
func (h *Host) markAlive(ctx context.Context, ownerRev int64) {
	for ctx.Err() == nil {
		_, found, err := h.store.Write(ctx, kvstore.Txn{
			Expected: []kvstore.Condition{{Key: ownerKey, Revision: ownerRev}},
			Puts:     []kvstore.Put{{Key: beatKey, Value: []byte(h.instance)}},
		})
		if errs.Is(err, kvstore.ErrConflict) && len(found) > 0 && found[0].Revision != ownerRev {
			h.post(func() { h.release("the ownership row has changed") })
			return
		}
		pause(ctx, ownerBeatPeriod)
	}
}

// handOver has another host claim the cell, and waits until it has.
func (h *Host) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		owner, handed := h.handOverOnce(ctx)
		if !owner || handed {
			return
		}
		// No successor was heard of yet, or none could claim.
		pause(ctx, handOverRetry)
	}
}

// handOverOnce asks the present candidates in turn. Owner is false if there is
// nothing to hand over.
func (h *Host) handOverOnce(ctx context.Context) (owner, handed bool) {
	var row ownerRow
	var revision int64
	var candidates []memberRow
	err := h.loop.Call(ctx, func() {
		if h.own == nil {
			return
		}
		owner = true
		row, revision = h.row, h.rowRev
		candidates = h.successors()
	})
	if err != nil {
		return false, false
	}
	for _, m := range candidates {
		if ctx.Err() != nil {
			return owner, false
		}
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		reply, err := peer.Call[handOverRequest, handOverReply](callCtx, h.peers, m.Address, callHandOver, &handOverRequest{
			Owner: row, Revision: revision,
		})
		cancel()
		if err == nil && reply.Taken {
			event.CellReleased.Log(h.Log).Str("to", m.Name).Int64("epoch", row.Epoch).Send()
			_ = h.loop.Call(ctx, func() { h.release("handed over to " + m.Name) })
			return owner, true
		}
	}
	return owner, false
}

// handOverRetry is the pause between two rounds of asking for a successor.
const handOverRetry = 100 * time.Millisecond

// handOverTimeout bounds the claim and the loading by one successor.
const handOverTimeout = 1500 * time.Millisecond
