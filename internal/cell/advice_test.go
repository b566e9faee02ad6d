package cell

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
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

// TestBadAdviceLosesNothing has the adviser answer badly for a while: the job waits with
// its reason, is started once the answers are good, and ends.
func TestBadAdviceLosesNothing(t *testing.T) {
	good := func(request work.AdviceRequest) (list []work.Ticket) {
		for _, id := range request.Workers {
			list = append(list, work.Ticket{Worker: id, Ticket: "ticket"})
		}
		return list
	}
	const delay = 3 * time.Second
	tests := []struct {
		name   string
		answer func(request work.AdviceRequest) (work.AdviceResponse, error)
	}{
		{"no worker is allowed", func(work.AdviceRequest) (work.AdviceResponse, error) {
			return work.AdviceResponse{Valid: time.Second}, nil
		}},
		{"unknown workers", func(work.AdviceRequest) (work.AdviceResponse, error) {
			return work.AdviceResponse{Valid: time.Second, Good: []work.Ticket{{Worker: "nobody", Ticket: "x"}, {}}}, nil
		}},
		{"tickets without validity", func(request work.AdviceRequest) (work.AdviceResponse, error) {
			return work.AdviceResponse{Valid: -time.Second, Good: good(request)}, nil
		}},
		{"too many queries or a malformed answer", func(work.AdviceRequest) (work.AdviceResponse, error) {
			return work.AdviceResponse{}, errLost
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 4)
			s.tables.Queues[0].Advice = &work.Advice{Decide: 20 * time.Millisecond, Valid: time.Second}
			s.claim()
			recovered := false
			s.owner.Advise = func(request work.AdviceRequest, cost time.Duration, done func(work.AdviceResponse, error)) {
				s.after(cost, func() {
					response, err := work.AdviceResponse{Valid: time.Second, Good: good(request)}, error(nil)
					if !recovered {
						response, err = tc.answer(request)
					}
					s.owner.call(func() { done(response, err) })
				})
			}
			s.submit("a", newStep(2, 500*time.Millisecond))
			s.run(delay)
			j := s.owner.jobs["a"]
			assert.Assert(t, !planned(j))
			assert.Assert(t, j.steps[0].waitReason != ReasonNone)
			// What the adviser has said of a step does not change, so another owner asks anew.
			recovered = true
			next := s.owner.Advise
			s.owner.kill()
			s.claim()
			s.owner.Advise = next
			s.run(delay + 10*time.Second)
			s.assertState("a", work.StateCompleted)
		})
	}
}

// TestAdviceIsForOneIncarnation guards against work that never starts because the adviser has
// not allowed the former incarnation of a worker: the next one is of another kind, and is
// allowed. It starts after or while the adviser processes the query, or after its owner has
// forgotten the worker.
func TestAdviceIsForOneIncarnation(t *testing.T) {
	for _, tc := range []struct {
		name      string
		restartAt time.Duration
		downFor   time.Duration
	}{
		{"after the query", 300 * time.Millisecond, 10 * time.Millisecond},
		{"during the query", 110 * time.Millisecond, 10 * time.Millisecond},
		{"after it was forgotten", 300 * time.Millisecond, 20 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 1)
			s.tables.Queues[0].Advice = &work.Advice{Decide: 200 * time.Millisecond, Valid: time.Second}
			s.claim()
			s.run(100 * time.Millisecond)
			former := s.workers["w00"].worker.Born
			s.owner.Advise = func(_ work.AdviceRequest, cost time.Duration, done func(work.AdviceResponse, error)) {
				response := work.AdviceResponse{Valid: time.Second}
				if s.workers["w00"].worker.Born != former {
					response.Good = []work.Ticket{{Worker: "w00", Ticket: "ticket"}}
				}
				s.after(cost, func() { s.owner.call(func() { done(response, nil) }) })
			}
			s.submit("a", newStep(1, 500*time.Millisecond))
			w := s.workers["w00"]
			s.after(tc.restartAt-s.now, func() {
				w.crash(tc.downFor)
				w.unlisted = tc.downFor > time.Second
			})
			s.run(tc.restartAt + tc.downFor)
			w.unlisted = false
			s.run(40 * time.Second)
			s.assertState("a", work.StateCompleted)
		})
	}
}

// TestLateAdviceIsNotUsed delays an answer until its tickets have expired.
func TestLateAdviceIsNotUsed(t *testing.T) {
	s := newSim(t, 1, 4)
	s.tables.Queues[0].Advice = &work.Advice{Decide: 20 * time.Millisecond, Valid: time.Second}
	s.claim()
	queries := 0
	s.owner.Advise = func(request work.AdviceRequest, cost time.Duration, done func(work.AdviceResponse, error)) {
		queries++
		if queries == 1 {
			cost += 2 * time.Second
		}
		s.after(cost, func() {
			s.owner.call(func() {
				done(work.AdviceResponse{Valid: time.Second, Good: []work.Ticket{{Worker: request.Workers[0], Ticket: "ticket"}}}, nil)
			})
		})
	}
	s.submit("a", newStep(1, 500*time.Millisecond))
	s.run(2 * time.Second)
	assert.Assert(t, !planned(s.owner.jobs["a"]))
	s.run(10 * time.Second)
	s.assertState("a", work.StateCompleted)
	assert.Assert(t, queries > 1, "the tickets of the first answer had expired")
}

// TestWaitsAreLogged checks that a step that waits leaves lines, and that a long backlog
// writes only a few.
func TestWaitsAreLogged(t *testing.T) {
	const jobs, waited = 500, 10 * time.Second
	var logged bytes.Buffer
	s := newSim(t, 1, 2)
	s.claim()
	s.owner.Log = zerolog.New(&logged)
	s.submit("filler", newStep(8, time.Hour))
	s.run(500 * time.Millisecond)
	for i := range jobs {
		s.submit(fmt.Sprintf("j%03d", i), newStep(1, time.Second))
	}
	s.run(s.now + waited)
	lines := strings.Count(logged.String(), `"event":1116`)
	t.Logf("%d lines", lines)
	assert.Assert(t, lines > 0)
	assert.Assert(t, lines <= maxWaitLogs*int(waited/waitLogInterval), "%d lines", lines)
	assert.Assert(t, strings.Contains(logged.String(), `"reason":"room"`), logged.String())
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
