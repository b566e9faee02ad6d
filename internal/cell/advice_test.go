package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// TestQueriesSkipPromisedCapacity has many steps that need placement advice wait for
// capacity for a few: they do not all query the adviser about the same workers.
func TestQueriesSkipPromisedCapacity(t *testing.T) {
	const workers, jobs, each = 20, 150, 6
	s := newSim(t, 3, workers)
	s.tables.Queues[0].Advice = &work.Advice{Decide: 40 * time.Millisecond, Valid: 2 * time.Second}
	s.tables.Queues[0].Stretch = 1000 // no job is late
	s.claim()
	s.adviser.hosts = 40
	for i := range jobs {
		s.submit(fmt.Sprintf("j%03d", i), newStep(each, 400*time.Millisecond))
	}
	s.run(20 * time.Second)
	assert.Equal(t, s.owner.Counters.RunsDone, int64(jobs*each), "all tasks are done")
	queries := s.owner.Counters.AdviceQueries
	t.Logf("%d queries for %d steps", queries, jobs)
	// In a full cell capacity becomes free one task at a time.
	assert.Assert(t, queries <= jobs*each, "more queries than tasks: %d", queries)
	for _, n := range s.owner.sortedNodes {
		assert.Equal(t, n.promised, resource.Vector{}, "%s: capacity stays promised", n.worker.ID)
	}
}

// TestTicketValidityCountsFromTheQuery delays a response in transit: its tickets are
// not used after they have expired at the workers.
func TestTicketValidityCountsFromTheQuery(t *testing.T) {
	a := &advice{}
	queriedAt, cost, valid := 10*time.Second, 20*time.Millisecond, 2*time.Second
	a.recordResponse([]string{"w"}, map[string]int64{"w": 7}, work.AdviceResponse{Good: []work.Ticket{{Worker: "w", Ticket: "x"}}}, queriedAt+cost+valid)
	n := &node{worker: work.Worker{ID: "w"}, incarnation: 7}
	assert.Assert(t, a.hasTicket(n, queriedAt+time.Second))
	assert.Assert(t, !a.hasTicket(n, queriedAt+valid), "expired, allowing for the time that a start takes")
	n.incarnation = 8
	assert.Assert(t, !a.hasTicket(n, queriedAt+time.Second), "another incarnation of the worker")
}

// TestWaitTimesByReason distinguishes waiting for the team's maximum from waiting
// for free capacity.
func TestWaitTimesByReason(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		maximum int64 // of the team, in cores; 0: none
		reason  WaitReason
	}{
		{"no free capacity", 2, 0, ReasonCapacity},
		{"the team's maximum", 3, 8, ReasonLimit},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, tc.workers) // of four cores
			s.tables.Teams["team"] = work.Team{Name: "team", Weight: 10, Maximum: resource.Vector{MilliCores: 1000 * tc.maximum}}
			reported := map[WaitReason]time.Duration{}
			s.claim()
			s.owner.OnStepWaited = func(_ string, reason WaitReason, d time.Duration) { reported[reason] += d }
			s.submit("first", newStep(8, 4*time.Second))
			s.run(500 * time.Millisecond)
			s.submit("second", newStep(1, time.Second))
			s.run(20 * time.Second)
			second := s.owner.jobs["second"]
			assert.Equal(t, second.state, work.StateCompleted)
			assert.Assert(t, second.waitTimes[tc.reason] > time.Second, "%v", second.waitTimes)
			assert.Equal(t, reported[tc.reason], second.waitTimes[tc.reason])
		})
	}
}
