package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
)

// fakeRacks stands in for the owners of racks: it starts all tasks of each
// assign request when the test calls step.
type fakeRacks struct {
	racks   []rack.Summary
	started int
	pending []func()
}

// newFakeRacks returns n empty racks with perRack workers each, spread over
// data centres.
func newFakeRacks(n, perRack int) *fakeRacks {
	f := &fakeRacks{}
	for r := range n {
		summary := rack.Summary{Shard: shard.ID(fmt.Sprintf("rack/p%d/r%d", r%19, r)), Place: fmt.Sprintf("p%d", r%19), Ready: true}
		for w := range perRack {
			summary.Workers = append(summary.Workers, fmt.Sprintf("r%d-w%d", r, w))
			summary.Free = append(summary.Free, resource.Vector{MilliCores: 64000, MemoryMB: 131072})
		}
		f.racks = append(f.racks, summary)
	}
	return f
}

// newTestQueue returns the loaded and recovered queue of team red. Writes to
// the store and assign requests stay pending until fakeRacks.step.
func newTestQueue(now *time.Time, f *fakeRacks, limit int64) *Queue {
	tables := config.New()
	tables.Teams["red"] = config.Team{Share: 1, Limit: limit}
	tables.Pools["reports"] = config.Pool{Kind: config.KindBatch, Idempotent: true}
	tables.Routes["report"] = config.Route{Pool: "reports"}
	q := &Queue{
		Team: "red", Epoch: 1, Log: zerolog.Nop(), Checks: invariant.New(zerolog.Nop()),
		Now:              func() time.Time { return *now },
		MayStart:         func(time.Time) bool { return true },
		MayFinish:        func(time.Time) bool { return true },
		StoreFresh:       func(time.Time) bool { return true },
		Tables:           func() *config.Tables { return tables },
		Hosts:            func() []hostlist.Host { return nil },
		Racks:            func() []rack.Summary { return f.racks },
		AllRacks:         func() []shard.ID { return nil },
		RackEpoch:        func(shard.ID) int64 { return 1 },
		WithinShare:      func(_, _ resource.Vector, _ bool) bool { return true },
		ShareToRelease:   func(resource.Vector) float64 { return 0 },
		DominantFraction: func(resource.Vector) float64 { return 0 },
		Load:             func(done func([]Segment, error)) { done(nil, nil) },
		Save: func(seg Segment, done func(SaveResult)) {
			f.pending = append(f.pending, func() { done(SaveResult{Revision: seg.Revision + 1}) })
		},
		Report: func(_ rack.ReportRequest, done func(rack.Report, error)) { done(rack.Report{Complete: true}, nil) },
		Stop:   func(_ rack.TaskRequest, done func(rack.Results, error)) { done(rack.Results{}, nil) },
	}
	q.Assign = func(req rack.AssignRequest, done func(rack.Results, error)) {
		f.pending = append(f.pending, func() {
			results := rack.Results{Epoch: 1}
			for _, spec := range req.Tasks {
				results.Tasks = append(results.Tasks, rack.TaskResult{ID: spec.ID, Outcome: rack.OutcomeStarted})
				f.started++
			}
			done(results, nil)
		})
	}
	q.Tick(*now)
	q.Tick(*now)
	return q
}

// step completes the pending calls and advances the clock.
func (f *fakeRacks) step(q *Queue, now *time.Time) {
	batch := f.pending
	f.pending = nil
	for _, fn := range batch {
		fn()
	}
	*now = now.Add(25 * time.Millisecond)
	q.Tick(*now)
}

// submit submits a job; accepted is set to the outcome once the queue replies.
func submit(t testing.TB, q *Queue, now time.Time, name string, tasks int, accepted *bool) {
	t.Helper()
	s := Spec{Route: "report", Tasks: tasks, Demand: resource.Vector{MilliCores: 500, MemoryMB: 512}}
	q.Submit(SubmitRequest{Team: "red", ID: "red." + name, Spec: s}, now, func(r Reply) {
		*accepted = r.Refused == ""
	})
}

// TestAcceptedAfterSave checks that a job is neither confirmed to its caller
// nor started before the store has it.
func TestAcceptedAfterSave(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFakeRacks(2, 2)
	q := newTestQueue(&now, f, 100)
	accepted := false
	submit(t, q, now, "a", 3, &accepted)
	assert.Assert(t, !accepted && f.started == 0, "before the store has the job")
	f.step(q, &now)
	assert.Assert(t, accepted)
	f.step(q, &now)
	assert.Equal(t, f.started, 3)

	submit(t, q, now, "b", 2, &accepted)
	q.schedule(now)
	assert.Equal(t, len(f.pending), 1, "only the write is in flight: tasks of a second job in the same segment wait for it")
	f.step(q, &now)
	f.step(q, &now)
	assert.Equal(t, f.started, 5)
}

// TestJobInTwoSegments restores a job that is in two segments, as after a
// repeated submission following a takeover. The older record must not hide that
// the later owner journalled the start of a non-idempotent task, because the
// task would run twice.
func TestJobInTwoSegments(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFakeRacks(1, 1)
	policy := config.Pool{Kind: config.KindBatch}
	record := Record{ID: "red.a", Spec: Spec{Route: "report", Tasks: 1, Demand: resource.Vector{MilliCores: 1}}, Policy: policy}
	startedRecord := record
	startedRecord.Tasks = []TaskRecord{{Index: 0, State: TaskRunning, Started: true}}
	q := newTestQueue(&now, f, 10)
	q.loaded, q.recovered = false, false
	q.Load = func(done func([]Segment, error)) {
		done([]Segment{
			{Number: 1, Epoch: 1, Revision: 5, Jobs: []Record{record}},
			{Number: 2, Epoch: 2, Revision: 6, Jobs: []Record{startedRecord}},
		}, nil)
	}
	for range 30 {
		f.step(q, &now)
	}
	assert.Equal(t, f.started, 0, "the task was already started by the later owner")
	assert.Equal(t, q.jobs["red.a"].tasks[0].state, TaskUnknown)
}

// TestLateSegmentIsRecovered checks that the jobs of a segment written late by
// a former owner are recovered if the segment is found after recovery has
// finished. Otherwise their tasks would stay uncertain.
func TestLateSegmentIsRecovered(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFakeRacks(1, 1)
	q := newTestQueue(&now, f, 10)
	late := Record{
		ID: "red.late", Spec: Spec{Route: "report", Tasks: 1, Demand: resource.Vector{MilliCores: 1}},
		Policy: config.Pool{Kind: config.KindBatch, Idempotent: true},
	}
	save, conflicts := q.Save, 0
	q.Save = func(seg Segment, done func(SaveResult)) {
		if conflicts++; conflicts == 1 {
			done(SaveResult{Conflict: &Segment{Number: seg.Number, Epoch: 0, Revision: 9, Jobs: []Record{late}}})
			return
		}
		save(seg, done)
	}
	accepted := false
	submit(t, q, now, "a", 1, &accepted)
	for range 30 {
		f.step(q, &now)
	}
	assert.Assert(t, accepted)
	assert.Equal(t, q.jobs["red.late"].tasks[0].state, TaskRunning)
}

// TestExpiredOwnerDoesNotDenyJob checks that an owner whose lease has expired
// does not reply that a job does not exist, because its successor may have
// accepted the job.
func TestExpiredOwnerDoesNotDenyJob(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newTestQueue(&now, newFakeRacks(1, 1), 10)
	q.MayFinish = func(time.Time) bool { return false }
	var got Reply
	q.Get(Ref{Team: "red", ID: "red.unknown"}, func(r Reply) { got = r })
	assert.Equal(t, got.Refused, RefusedNotOwner)
	q.Explain(Ref{Team: "red", ID: "red.unknown"}, func(r Reply) { got = r })
	assert.Equal(t, got.Refused, RefusedNotOwner)
}

// TestDrainFlushes checks that a queue that is being released still writes its
// unsaved changes. Otherwise it would never be drained.
func TestDrainFlushes(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFakeRacks(2, 2)
	q := newTestQueue(&now, f, 100)
	accepted := false
	submit(t, q, now, "a", 3, &accepted)
	submit(t, q, now, "b", 3, &accepted)
	q.MayStart = func(time.Time) bool { return false }
	for range 10 {
		if q.Drain() {
			return
		}
		f.step(q, &now)
	}
	t.Fatalf("not drained: %d unsaved segments", len(q.dirtySegments()))
}

// TestLimitHolds checks that a team never has more tasks assigned or running
// than its limit.
func TestLimitHolds(t *testing.T) {
	for _, limit := range []int64{0, 1, 2, 3, 7} {
		now := time.Unix(1000, 0)
		f := newFakeRacks(3, 2)
		q := newTestQueue(&now, f, limit)
		accepted := false
		submit(t, q, now, "a", 20, &accepted)
		for range 10 {
			f.step(q, &now)
			assert.Assert(t, q.running <= limit)
		}
		assert.Equal(t, int64(f.started), limit, "the team reaches its limit")
	}
}

// TestCancellationWave cancels 10,000 jobs and bounds the time that each
// cancellation and the next tick block the control goroutine.
func TestCancellationWave(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFakeRacks(50, 8)
	q := newTestQueue(&now, f, 100)
	const jobs = 10_000
	accepted := false
	for i := range jobs {
		submit(t, q, now, fmt.Sprintf("j%d", i), 1, &accepted)
		if i%500 == 0 {
			f.step(q, &now)
		}
	}
	for len(q.dirtySegments()) > 0 || q.savesInFlight > 0 {
		f.step(q, &now)
	}
	var took []time.Duration
	for i := range jobs {
		begin := time.Now()
		q.Cancel(Ref{Team: "red", ID: fmt.Sprintf("red.j%d", i)}, now, func(Reply) {})
		took = append(took, time.Since(begin))
	}
	begin := time.Now()
	q.Tick(now)
	tick := time.Since(begin)
	slices.Sort(took)
	t.Logf("99th percentile of a cancellation: %s, next tick: %s", took[jobs*99/100], tick)
	assert.Assert(t, took[jobs*99/100] < 5*time.Millisecond)
	assert.Assert(t, tick < 5*time.Millisecond)
	pending := 0
	for _, j := range q.jobs {
		pending += j.pending
	}
	assert.Equal(t, pending, 0)
}

// BenchmarkDecisions measures scheduling decisions per second, including the
// handling of the responses.
func BenchmarkDecisions(b *testing.B) {
	for _, racks := range []int{7, 119, 475} {
		b.Run(fmt.Sprintf("workers=%d", racks*8), func(b *testing.B) {
			now := time.Unix(1000, 0)
			f := newFakeRacks(racks, 8)
			q := newTestQueue(&now, f, 1<<30)
			accepted, jobs := false, 0
			for f.started < b.N {
				jobs++
				submit(b, q, now, fmt.Sprintf("j%d", jobs), MaxTasks, &accepted)
				f.step(q, &now)
				f.step(q, &now)
				clear(q.tasks)
			}
			b.ReportMetric(float64(f.started)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}
