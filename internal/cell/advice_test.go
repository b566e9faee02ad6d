package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// TestQuestionsLeaveOutPromisedRoom has many steps wait that all have to ask
// the adviser, with room for a few: they do not all ask for the same room.
func TestQuestionsLeaveOutPromisedRoom(t *testing.T) {
	const workers, jobs, each = 20, 150, 6
	s := newSim(t, 3, workers)
	s.tables.Queues[0].Advice = &work.Advice{Decide: 40 * time.Millisecond, Valid: 2 * time.Second}
	s.tables.Queues[0].Stretch = 1000 // nothing is late
	s.claim()
	s.owner.MaxAdviceCalls = func(time.Duration) int { return 40 }
	for i := range jobs {
		s.submit(fmt.Sprintf("j%03d", i), tasksOf(each, 400*time.Millisecond))
	}
	s.run(20 * time.Second)
	assert.Equal(t, s.owner.Counters.RunsDone, int64(jobs*each), "all is done")
	asked := s.owner.Counters.AdviceQueries
	t.Logf("%d questions for %d steps", asked, jobs)
	// In a full cell room comes free by single tasks.
	assert.Assert(t, asked <= jobs*each, "more questions than tasks: %d", asked)
	for _, n := range s.owner.sortedNodes {
		assert.Equal(t, n.promised, resource.Vector{}, "%s: room stays promised", n.worker.ID)
	}
}

// TestTicketsCountFromTheQuestion has an answer wait on its way: its tickets are
// not used when they have run out at the workers.
func TestTicketsCountFromTheQuestion(t *testing.T) {
	a := &advice{}
	asked, cost, valid := 10*time.Second, 20*time.Millisecond, 2*time.Second
	a.recordAnswer([]string{"w"}, map[string]int64{"w": 7}, work.AdviceResponse{Good: []work.Ticket{{Worker: "w", Ticket: "x"}}}, asked+cost+valid)
	n := &node{worker: work.Worker{ID: "w"}, incarnation: 7}
	assert.Assert(t, a.hasTicket(n, asked+time.Second))
	assert.Assert(t, !a.hasTicket(n, asked+valid), "run out, with the time that a start takes")
	n.incarnation = 8
	assert.Assert(t, !a.hasTicket(n, asked+time.Second), "another life of the worker")
}

// TestJobSaysWhyItWaited tells waiting for the team's limit from waiting for room.
func TestJobSaysWhyItWaited(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		maximum int64 // of the team, in cores; 0: none
		reason  WaitReason
	}{
		{"no room", 2, 0, ReasonCapacity},
		{"the team's limit", 3, 8, ReasonLimit},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, tc.workers) // of four cores
			s.tables.Teams["team"] = work.Team{Name: "team", Weight: 10, Maximum: resource.Vector{MilliCores: 1000 * tc.maximum}}
			told := map[WaitReason]time.Duration{}
			s.claim()
			s.owner.OnStepWaited = func(_ string, reason WaitReason, d time.Duration) { told[reason] += d }
			s.submit("first", tasksOf(8, 4*time.Second))
			s.run(500 * time.Millisecond)
			s.submit("second", tasksOf(1, time.Second))
			s.run(20 * time.Second)
			second := s.owner.jobs["second"]
			assert.Equal(t, second.state, work.StateCompleted)
			assert.Assert(t, second.waitTimes[tc.reason] > time.Second, "%v", second.waitTimes)
			assert.Equal(t, told[tc.reason], second.waitTimes[tc.reason])
		})
	}
}
