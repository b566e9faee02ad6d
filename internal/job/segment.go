package job

import (
	"cmp"
	"slices"
	"time"
)

// SaveResult is the outcome of writing a segment.
type SaveResult struct {
	// Revision is that of the written segment.
	Revision int64
	// Conflict is the segment found in its place; nil if the write took effect.
	Conflict *Segment
	// Err means that the write may have taken effect.
	Err error
}

// segment is a number of jobs that are written to the store together.
type segment struct {
	number   int
	revision int64
	jobs     []*job
	bytes    int
	version  int64 // grows with every change
	saved    int64 // version known to be in the store
	writing  bool
	waiters  []saveWaiter
}

type saveWaiter struct {
	version int64
	fn      func()
}

const (
	// segmentJobs and segmentBytes close a segment to new jobs.
	maxSegmentJobs  = 64
	maxSegmentBytes = 400 << 10
	// recordBytes and taskBytes estimate the size of a record without its payload.
	recordBytes = 512
	taskBytes   = maxOutput + 128
	// saveSpacing gathers changes into one write.
	minSaveInterval = 20 * time.Millisecond
	// retention is how long an ended job can be asked for.
	retention = time.Hour
	// parallelSaves bounds the segment writes of a queue under way at a time.
	maxParallelSaves = 4
)

func (s *segment) markDirty() { s.version++ }

func (s *segment) dirty() bool { return s.version > s.saved }

// assignSegment puts a new job into the open segment.
func (q *Queue) assignSegment(j *job) {
	size := recordBytes + len(j.record.Spec.Payload) + len(j.tasks)*taskBytes
	seg := q.segments[q.current]
	if seg == nil || len(seg.jobs) >= maxSegmentJobs || seg.bytes+size > maxSegmentBytes && len(seg.jobs) > 0 {
		q.current++
		seg = &segment{number: q.current}
		q.segments[q.current] = seg
	}
	seg.jobs = append(seg.jobs, j)
	seg.bytes += size
	seg.markDirty()
	j.segment, j.segmentVersion = seg, seg.version
}

// whenSaved calls fn once everything now in the segment is in the store.
func (q *Queue) whenSaved(seg *segment, fn func()) {
	if !seg.dirty() {
		fn()
		return
	}
	seg.waiters = append(seg.waiters, saveWaiter{seg.version, fn})
}

func (q *Queue) dirtySegments() (list []*segment) {
	for _, seg := range q.segments {
		if seg.dirty() && !seg.writing {
			list = append(list, seg)
		}
	}
	slices.SortFunc(list, func(a, b *segment) int { return cmp.Compare(a.number, b.number) })
	return list
}

// flush writes changed segments, at most one write a segment at a time.
func (q *Queue) flush(now time.Time) {
	if !q.loaded || !q.MayFinish(now) || now.Sub(q.lastSave) < minSaveInterval {
		return
	}
	for _, seg := range q.segments {
		if len(seg.waiters) > 0 {
			q.notifySaved(seg)
		}
	}
	for _, seg := range q.dirtySegments() {
		if q.savesInFlight >= maxParallelSaves {
			return
		}
		q.lastSave = now
		q.save(seg)
	}
}

func (q *Queue) save(seg *segment) {
	value := Segment{Number: seg.number, Epoch: q.Epoch, Revision: seg.revision}
	for _, j := range seg.jobs {
		value.Jobs = append(value.Jobs, j.snapshot())
	}
	version := seg.version
	seg.writing = true
	q.savesInFlight++
	q.Save(value, func(result SaveResult) {
		seg.writing = false
		q.savesInFlight--
		q.handleSaveResult(seg, version, result)
	})
}

func (q *Queue) handleSaveResult(seg *segment, version int64, result SaveResult) {
	switch {
	case result.Err != nil:
		return
	case result.Conflict != nil:
		q.merge(seg, *result.Conflict)
		return
	}
	seg.revision, seg.saved = result.Revision, version
	q.notifySaved(seg)
}

// tellSaved calls those who wait for what the store now has. Without the right
// to the queue nobody is told: a successor may have read the store before.
func (q *Queue) notifySaved(seg *segment) {
	if !q.MayFinish(q.Now()) {
		return
	}
	waiting := seg.waiters
	seg.waiters = nil
	for _, w := range waiting {
		if w.version > seg.saved {
			seg.waiters = append(seg.waiters, w)
			continue
		}
		w.fn()
	}
}

// merge takes in a segment found in place of the one last seen: an earlier
// write of this queue whose answer was lost, or a late one of a former owner.
func (q *Queue) merge(seg *segment, found Segment) {
	if found.Epoch > q.Epoch {
		q.draining = true
		return
	}
	seg.revision = found.Revision
	seg.markDirty()
	if found.Epoch == q.Epoch {
		return
	}
	for _, record := range found.Jobs {
		if _, ok := q.jobs[record.ID]; !ok {
			j := q.restoreJob(record)
			j.segment = seg
			seg.jobs = append(seg.jobs, j)
			// What runs of it has to be found out.
			q.recovered = false
			clear(q.reportedRacks)
		}
	}
}

// durable returns what is stored of a job.
func (j *job) snapshot() Record {
	record := j.record
	record.Tasks = nil
	for _, t := range j.tasks {
		if !t.state.Terminal() && !t.started && t.failures == 0 {
			continue
		}
		row := TaskRecord{Index: t.index, State: t.state, Failures: t.failures, Started: t.started}
		if t.state.Terminal() {
			row.Output, row.Truncated, row.Worker = t.output, t.truncated, t.worker
		}
		record.Tasks = append(record.Tasks, row)
	}
	return record
}

// expire drops segments whose jobs ended longer ago than the retention.
func (q *Queue) dropExpired(now time.Time) {
	for _, seg := range q.segments {
		if seg.number == q.current || len(seg.jobs) == 0 || seg.dirty() || seg.writing {
			continue
		}
		old := !slices.ContainsFunc(seg.jobs, func(j *job) bool {
			return j.record.Ended.IsZero() || now.Sub(j.record.Ended) < retention
		})
		if !old {
			continue
		}
		for _, j := range seg.jobs {
			delete(q.jobs, j.record.ID)
		}
		seg.jobs, seg.bytes = nil, 0
		seg.markDirty()
	}
}
