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

// fakeRacks answers a queue at once: tasks start while there is room.
type fakeRacks struct {
	racks   []rack.Summary
	started int
	pending []func()
}

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

// step answers what is pending and lets time pass.
func (f *fakeRacks) step(q *Queue, now *time.Time) {
	batch := f.pending
	f.pending = nil
	for _, fn := range batch {
		fn()
	}
	*now = now.Add(25 * time.Millisecond)
	q.Tick(*now)
}

func submit(t testing.TB, q *Queue, now time.Time, name string, tasks int, accepted *bool) {
	t.Helper()
	s := Spec{Route: "report", Tasks: tasks, Demand: resource.Vector{MilliCores: 500, MemoryMB: 512}}
	q.Submit(SubmitRequest{Team: "red", ID: "red." + name, Spec: s}, now, func(r Reply) {
		*accepted = r.Refused == ""
	})
}

// TestAcceptedAfterSave checks that nobody hears of a job before it is durable,
// and that nothing of it starts before.
func TestAcceptedAfterSave(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFakeRacks(2, 2)
	q := newTestQueue(&now, f, 100)
	accepted := false
	submit(t, q, now, "a", 3, &accepted)
	assert.Assert(t, !accepted && f.started == 0, "before the write is answered")
	f.step(q, &now)
	assert.Assert(t, accepted)
	f.step(q, &now)
	assert.Equal(t, f.started, 3)

	submit(t, q, now, "b", 2, &accepted)
	q.schedule(now)
	assert.Equal(t, len(f.pending), 1, "the write alone: nothing of a second job in the same segment starts before it")
	f.step(q, &now)
	f.step(q, &now)
	assert.Equal(t, f.started, 5)
}

// TestJobInTwoSegments restores a job that stands in two segments: the start
// that the later owner journalled must not be forgotten.
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
	assert.Equal(t, f.started, 0, "the task was started before")
	assert.Equal(t, q.jobs["red.a"].tasks[0].state, TaskUnknown)
}

// TestLateSegmentIsRecovered finds a late segment of a former owner after the
// recovery has ended: its jobs must not stay uncertain.
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

// TestStaleOwnerTellsNothing checks that an owner whose right lapsed does not
// deny a job that its successor may have accepted.
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

// TestDrainFlushes checks that a queue that is being released still writes what
// it has: otherwise it would never be drained.
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

// TestLimitHolds checks that a team never has more placed than its limit.
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
		assert.Equal(t, int64(f.started), limit, "the whole limit is used")
	}
}

// TestCancellationWave cancels 10,000 jobs and bounds the time of each decision.
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
	t.Logf("a cancellation takes %s at the 99th percentile, the round after the wave %s", took[jobs*99/100], tick)
	assert.Assert(t, took[jobs*99/100] < 5*time.Millisecond)
	assert.Assert(t, tick < 5*time.Millisecond)
	pending := 0
	for _, j := range q.jobs {
		pending += j.pending
	}
	assert.Equal(t, pending, 0)
}

// BenchmarkDecisions measures whole placement decisions of a queue.
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
