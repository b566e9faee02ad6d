package job

import (
	"cmp"
	"slices"
	"time"
)

// SaveResult describes the outcome of writing a segment.
type SaveResult struct {
	// Revision is the store revision of the written segment.
	Revision int64
	// Conflict is the segment that the store holds instead; nil if the write
	// took effect.
	Conflict *Segment
	// Err is set if the outcome is unknown: the write may have taken effect.
	Err error
}

// segment is a group of jobs that are written to the store under one key.
type segment struct {
	number   int
	revision int64
	jobs     []*job
	bytes    int
	version  int64 // incremented by every change
	saved    int64 // latest version known to be in the store
	writing  bool
	waiters  []saveWaiter
}

// saveWaiter is a callback that runs once the store has the given version of a segment.
type saveWaiter struct {
	version int64
	fn      func()
}

const (
	// maxSegmentJobs and maxSegmentBytes bound a segment; a full segment takes
	// no new jobs.
	maxSegmentJobs  = 64
	maxSegmentBytes = 400 << 10
	// recordBytes and taskBytes estimate the encoded size of a job without its
	// payload and of a task.
	recordBytes = 512
	taskBytes   = maxOutput + 128
	// minSaveInterval is the interval between two rounds of writes, so that one
	// write combines several changes.
	minSaveInterval = 20 * time.Millisecond
	// retention is the time for which an ended job can be queried.
	retention = time.Hour
	// maxParallelSaves bounds the concurrent segment writes of a queue.
	maxParallelSaves = 4
)

// markDirty records a change to the segment, which the next flush writes.
func (s *segment) markDirty() { s.version++ }

// dirty reports whether the segment has changes that are not known to be in the
// store.
func (s *segment) dirty() bool { return s.version > s.saved }

// assignSegment adds a new job to the current segment and opens a new segment
// if the current one is full.
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

// whenSaved calls fn once the store has the present version of the segment.
func (q *Queue) whenSaved(seg *segment, fn func()) {
	if !seg.dirty() {
		fn()
		return
	}
	seg.waiters = append(seg.waiters, saveWaiter{seg.version, fn})
}

// dirtySegments lists the segments with unsaved changes and no write in flight,
// by number.
func (q *Queue) dirtySegments() (list []*segment) {
	for _, seg := range q.segments {
		if seg.dirty() && !seg.writing {
			list = append(list, seg)
		}
	}
	slices.SortFunc(list, func(a, b *segment) int { return cmp.Compare(a.number, b.number) })
	return list
}

// flush writes the segments with unsaved changes, with at most one write in
// flight per segment. It first repeats the notifications that notifySaved
// withheld while the lease was expired.
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

// save writes the present version of a segment.
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

// handleSaveResult processes the outcome of a write. The segment stays dirty
// after an error or a conflict and is written again.
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

// notifySaved calls the waiters whose version is in the store. It calls none
// once the lease of the queue has expired, because a successor may have read
// the store before the write took effect.
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

// merge processes a segment that the store holds instead of the expected one:
// an earlier write of this queue whose response was lost, or a late write of a
// former owner. If a later owner wrote it, this queue stops taking calls.
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
			// Tasks of the job may be running, so recovery starts again.
			q.recovered = false
			clear(q.reportedRacks)
		}
	}
}

// snapshot returns the record of a job to store. It includes only tasks that
// have ended, failed at least once or are marked as started.
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

// dropExpired removes the jobs of segments in which all jobs ended longer ago
// than the retention.
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
