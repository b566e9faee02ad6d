package cell

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/backlog"
	"turmericspread.org/turmericspread/internal/work"
)

// heapBytes returns the bytes of all live objects.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestFootprint compares the estimate of the memory of jobs with the heap. It must not run in
// parallel with others.
func TestFootprint(t *testing.T) {
	text := func(n int) string { return strings.Repeat("x", n) }
	for _, tc := range []struct {
		name         string
		steps, count int
		times        int
		payload      int
		label        int
	}{
		{"one task", 1, 1, 0, 0, 0},
		{"long payload", 1, 1, 0, work.MaxPayload, 0},
		{"two steps", 2, 3, 0, 300, 10},
		{"many steps", 64, 4, 0, 300, 10},
		{"long labels", 64, 1, 0, 0, work.MaxLabel},
		{"many tasks", 1, work.MaxJobTasks, 0, 0, 0},
		{"many occurrences", 2, 1, work.MaxJobTasks / 2, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			encoded := &work.Job{ID: "0123456789abcdef", Team: "team", Queue: "queue", Times: tc.times, Payload: text(tc.payload), Policy: &work.Policy{Service: "pool"}}
			for i := range tc.steps {
				s := work.Step{Count: tc.count, Label: text(tc.label)}
				for before := range min(i, 2) {
					s.After = append(s.After, before)
				}
				encoded.Steps = append(encoded.Steps, s)
			}
			estimate := Footprint(encoded)
			n := int(max(8<<20/estimate, 1))
			data, err := work.EncodeJob(encoded)
			assert.NilError(t, err)
			o := New()
			o.Now, o.WallClock, o.Tables = func() time.Duration { return 0 }, func() time.Duration { return 0 }, func() *work.Tables { return &work.Tables{} }
			before := heapBytes()
			for i := range n {
				job, err := work.DecodeJob(data)
				assert.NilError(t, err)
				job.ID = fmt.Sprintf("%016x", i)
				o.Accept(job)
			}
			measured := (heapBytes() - before) / int64(n)
			t.Logf("%d bytes measured, %d estimated", measured, estimate)
			assert.Check(t, measured <= estimate, "%d bytes measured, %d estimated", measured, estimate)
			accepted, _ := o.Backlog()
			assert.Equal(t, accepted, int64(n)*estimate)
			runtime.KeepAlive(o)
		})
	}
}

// TestEndedJobsTakeLittle guards against jobs that keep all their memory until their retention is
// over, and against a ledger that does not follow the jobs.
func TestEndedJobsTakeLittle(t *testing.T) {
	t.Parallel()
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("job", newStep(40, 100*time.Millisecond))
	s.run(s.now + 500*time.Millisecond)
	accepted, _ := s.owner.Backlog()
	assert.Equal(t, accepted, Footprint(s.owner.jobs["job"].spec))
	s.run(s.now + 5*time.Second)
	s.assertState("job", work.StateCompleted)
	s.run(s.now + detailsRetention)
	accepted, _ = s.owner.Backlog()
	assert.Equal(t, accepted, endedFootprint(s.jobs["job"].spec))
	s.assertState("job", work.StateCompleted)
	state, team, ok := s.owner.State("job")
	assert.Assert(t, ok)
	assert.Equal(t, state, work.StateCompleted)
	assert.Equal(t, team, s.jobs["job"].spec.Team)
}

func TestReserve(t *testing.T) {
	t.Parallel()
	s := newSim(t, 1, 1)
	s.claim()
	s.submit("job", newStep(2, time.Second))
	s.run(s.now + 100*time.Millisecond)
	r := backlog.Request{Job: "other", Account: backlog.Account{Team: "team"}, Bytes: 1 << 40}
	assert.Assert(t, s.owner.Reserve(r), "unbounded")
	s.owner.BacklogLimit = func() int64 { return 1 << 20 }
	assert.Assert(t, !s.owner.Reserve(r))
	small := backlog.Request{Job: strings.Repeat("x", 1000), Bytes: -1 << 40, Hold: time.Hour}
	assert.Assert(t, s.owner.Reserve(small))
	_, reserved := s.owner.Backlog()
	assert.Assert(t, reserved >= jobBytes+1000, "the reservation itself is counted: %d", reserved)
	s.run(s.now + maxReservation + 2*time.Second)
	assert.Assert(t, !s.owner.Reserve(r))
	_, reserved = s.owner.Backlog()
	assert.Equal(t, reserved, int64(0), "the reservation has ended")
	r.Job = "job"
	assert.Assert(t, s.owner.Reserve(r), "a job that is known needs no room")
}

// TestLargestJobFits guards against a limit that refuses a job which is inside the limits of jobs
// in a cell without others.
func TestLargestJobFits(t *testing.T) {
	t.Parallel()
	largest := &work.Job{ID: "0123456789abcdef", Team: "team", Queue: "queue", Payload: strings.Repeat("x", work.MaxPayload)}
	text := strings.Repeat("x", work.MaxLabel)
	for i := range work.MaxSteps {
		largest.Steps = append(largest.Steps, work.Step{Count: 1, Label: text, Rack: text, Image: text, After: make([]int, i)})
	}
	largest.Times = work.MaxJobTasks / work.MaxSteps
	assert.NilError(t, largest.Check())
	s := newSim(t, 1, 1)
	s.claim()
	s.run(100 * time.Millisecond)
	s.owner.BacklogLimit = func() int64 { return backlog.Limit(1) }
	assert.Assert(t, s.owner.Reserve(backlog.Request{Job: largest.ID, Account: backlog.AccountOf(largest), Bytes: Footprint(largest)}))
}
