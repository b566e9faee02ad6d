package cell

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// maxSaveBatch bounds the records of one write: each record needs a condition and
	// a value, and the ownership row needs a condition.
	maxSaveBatch = 14
	// maxWritesInFlight bounds the concurrent writes.
	maxWritesInFlight = 16
	// flushInterval is the interval between two checks for records that are due. A check
	// iterates over all dirty jobs, of which there are many during a store outage.
	flushInterval = 2 * time.Millisecond
	// saveRetryInterval is the time until a failed write is retried.
	saveRetryInterval = 150 * time.Millisecond
	// maxSaveBytes bounds the total size of the values of one write.
	maxSaveBytes = 512 << 10
)

const (
	// urgentSaveDelay is how long the record of a decision that will be executed or
	// shown to callers waits for others to be written with it.
	urgentSaveDelay = 4 * time.Millisecond
	// saveDelay is how long the record of an end waits. The end is not acknowledged
	// until then, and nothing else depends on it.
	saveDelay = 80 * time.Millisecond
)

// markDirty records that a job has to be saved.
func (o *Owner) markDirty(j *job) { o.markDirtyWithin(j, saveDelay) }

// markDirtyWithin records that a job has to be saved within the given time.
func (o *Owner) markDirtyWithin(j *job, within time.Duration) {
	j.version++
	at := o.Now() + within
	if !o.dirty[j] || at < j.saveDueAt {
		j.saveDueAt = at
	}
	o.dirty[j] = true
}

// flush writes the records of dirty jobs in batches.
func (o *Owner) flush() {
	now := o.Now()
	if o.ownershipLost || len(o.dirty) == 0 || o.writesInFlight >= maxWritesInFlight || now < o.nextFlush {
		return
	}
	o.nextFlush = now + flushInterval
	var ready []*job
	due := false
	for j := range o.dirty {
		if !j.saving && now >= j.saveRetryAt {
			ready = append(ready, j)
			due = due || now >= j.saveDueAt
		}
	}
	if !due {
		return
	}
	// Jobs that are not due yet are included in the same writes.
	slices.SortFunc(ready, func(a, b *job) int {
		if c := cmp.Compare(a.saveDueAt, b.saveDueAt); c != 0 {
			return c
		}
		if c := cmp.Compare(a.spec.Accepted, b.spec.Accepted); c != 0 {
			return c
		}
		return cmp.Compare(a.spec.ID, b.spec.ID)
	})
	for len(ready) > 0 && o.writesInFlight < maxWritesInFlight {
		ready = ready[o.saveBatch(ready):]
	}
}

// saveBatch writes the first records of ready in one write and returns how many it took,
// including those that cannot be encoded.
func (o *Owner) saveBatch(ready []*job) (n int) {
	var batch []ProgressWrite
	var jobs []*job
	var versions []int64
	size := 0
	for _, j := range ready {
		data, err := work.EncodeProgress(o.progress(j))
		if err != nil {
			event.CellRecordFailed.Log(o.Log).Str("job", j.spec.ID).Err(err).Send()
			delete(o.dirty, j)
			n++
			continue
		}
		if len(batch) > 0 && (len(batch) >= maxSaveBatch || size+len(data) > maxSaveBytes) {
			break
		}
		size += len(data)
		batch = append(batch, ProgressWrite{Job: j.spec.ID, Revision: j.revision, Data: data})
		jobs = append(jobs, j)
		versions = append(versions, j.version)
		j.saving = true
		delete(o.dirty, j)
		n++
	}
	if len(batch) == 0 {
		return n
	}
	o.writesInFlight++
	o.Counters.ProgressWrites++
	o.SaveProgress(batch, func(results []SaveResult) {
		o.writesInFlight--
		for i, j := range jobs {
			o.handleSaveResult(j, versions[i], results[i])
		}
	})
	return n
}

// handleSaveResult processes the result for one record of a write and sends the
// starts that depend on it. A failed write is retried after saveRetryInterval.
func (o *Owner) handleSaveResult(j *job, version int64, result SaveResult) {
	j.saving = false
	j.revision = result.Revision
	if !result.OK {
		o.Counters.ProgressWritesFailed++
		j.saveRetryAt = o.Now() + saveRetryInterval
		o.dirty[j] = true
		if !o.StoreUp() {
			o.sendPlannedStarts(j, version)
		}
		return
	}
	j.savedVersion = version
	if o.unrecorded[j] <= version {
		delete(o.unrecorded, j)
	}
	if j.version > version {
		o.dirty[j] = true
	}
	o.sendPlannedStarts(j, version)
	if j.state.Terminal() {
		o.passDue = true
	}
}

// progress returns the progress record of a job.
func (o *Owner) progress(j *job) *work.Progress {
	p := &work.Progress{Begun: j.begun, Started: j.started(), Epoch: o.Epoch, Version: j.version, Policy: j.storedPolicy()}
	if j.state.Terminal() {
		p.State, p.Ended = j.state, j.endedAt.Milliseconds()
	}
	for _, t := range j.tasks {
		if t.lastRun == 0 && len(t.runs) == 0 {
			continue
		}
		row := work.TaskProgress{Number: t.number, Run: t.lastRun, Done: t.done, Failed: *t.countedFailures()}
		if !t.done && !j.finished() {
			row.Checkpoint = t.checkpoint
		}
		for _, r := range t.runs {
			row.Runs = append(row.Runs, work.Assignment{Run: r.number, Worker: r.node.worker.ID, Born: r.incarnation})
		}
		p.Tasks = append(p.Tasks, row)
	}
	return p
}
