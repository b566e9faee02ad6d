package cell

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

const (
	// saveBatch bounds the records of one write: each needs a condition and a
	// value, and the ownership row needs a condition.
	saveBatch = 14
	// saveParallel bounds the writes under way.
	saveParallel = 16
	// flushPeriod is the time between two looks for records that are due: a look
	// goes through all of them, and while the store is away they are many.
	flushPeriod = 2 * time.Millisecond
	// saveRetry is the time until a write that failed is tried again.
	saveRetry = 150 * time.Millisecond
	// saveBytes bounds the values of one write.
	saveBytes = 512 << 10
)

const (
	// recordSoon is how long the record of a decision that is to be acted upon,
	// or shown, waits for others to be written with it.
	recordSoon = 4 * time.Millisecond
	// recordLater is how long the record of an end waits: until then it is not
	// acknowledged, and nothing else depends on it.
	recordLater = 80 * time.Millisecond
)

// touch notes a change of a job that has to be recorded.
func (o *Owner) touch(j *job) { o.record(j, recordLater) }

// record notes a change that has to be recorded within the given time.
func (o *Owner) record(j *job, within time.Duration) {
	j.version++
	at := o.Now() + within
	if !o.dirty[j] || at < j.recordAt {
		j.recordAt = at
	}
	o.dirty[j] = true
}

// flush writes the records of changed jobs, several in one write.
func (o *Owner) flush() {
	now := o.Now()
	if o.deposed || len(o.dirty) == 0 || o.saves >= saveParallel || now < o.nextFlush {
		return
	}
	o.nextFlush = now + flushPeriod
	var ready []*job
	due := false
	for j := range o.dirty {
		if !j.saving && now >= j.retryAt {
			ready = append(ready, j)
			due = due || now >= j.recordAt
		}
	}
	if !due {
		return
	}
	// Whatever else is ready goes into the same writes.
	slices.SortFunc(ready, func(a, b *job) int {
		if c := cmp.Compare(a.recordAt, b.recordAt); c != 0 {
			return c
		}
		if c := cmp.Compare(a.spec.Accepted, b.spec.Accepted); c != 0 {
			return c
		}
		return cmp.Compare(a.spec.ID, b.spec.ID)
	})
	for len(ready) > 0 && o.saves < saveParallel {
		ready = ready[o.saveSome(ready):]
	}
}

// saveSome writes the first records of ready and returns how many.
func (o *Owner) saveSome(ready []*job) (n int) {
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
		if len(batch) > 0 && (len(batch) >= saveBatch || size+len(data) > saveBytes) {
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
	o.saves++
	o.Counters.ProgressWrites++
	o.SaveProgress(batch, func(results []SaveResult) {
		o.saves--
		for i, j := range jobs {
			o.saveDone(j, versions[i], results[i])
		}
	})
	return n
}

func (o *Owner) saveDone(j *job, version int64, result SaveResult) {
	j.saving = false
	j.revision = result.Revision
	if !result.OK {
		o.Counters.ProgressWritesFailed++
		j.retryAt = o.Now() + saveRetry
		o.dirty[j] = true
		if !o.StoreUp() {
			o.sendPlanned(j, version)
		}
		return
	}
	j.saved = version
	if j.version > version {
		o.dirty[j] = true
	}
	o.sendPlanned(j, version)
	if j.state.Terminal() {
		o.changed = true
	}
}

// progress returns what is stored of a job.
func (o *Owner) progress(j *job) *work.Progress {
	p := &work.Progress{Started: j.begun, Epoch: o.Epoch, Version: j.version}
	if j.state.Terminal() {
		p.State, p.Ended = j.state, j.endedAt.Milliseconds()
	}
	for _, t := range j.tasks {
		if t.run == 0 && len(t.runs) == 0 {
			continue
		}
		row := work.TaskProgress{Number: t.number, Run: t.run, Done: t.done, Failed: *t.failedRuns()}
		if !t.done && !j.over() {
			row.Checkpoint = t.checkpoint
		}
		for _, r := range t.runs {
			row.Runs = append(row.Runs, work.Assignment{Run: r.number, Worker: r.node.w.ID, Born: r.born})
		}
		p.Tasks = append(p.Tasks, row)
	}
	return p
}
