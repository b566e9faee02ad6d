package rack

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/invariant"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/worker"
)

// startCounter is a worker that grants every lease and counts starts.
type startCounter struct {
	Worker
	starts int
}

func (w *startCounter) Grant(context.Context, worker.Grant) error { return nil }

func (w *startCounter) Start(context.Context, worker.Start) error {
	w.starts++
	return nil
}

// TestStartAfterPause pauses the process between the decision to start a task
// and the sending of the order.
func TestStartAfterPause(t *testing.T) {
	const rightLasts = 4 * time.Second
	tests := []struct {
		name    string
		pause   time.Duration
		starts  int
		outcome Outcome
	}{
		{"within the right", time.Second, 1, OutcomeStarted},
		{"just within the right", rightLasts - time.Nanosecond, 1, OutcomeStarted},
		{"until the right ends", rightLasts, 0, OutcomeNoCapacity},
		{"beyond the right", 9 * time.Second, 0, OutcomeNoCapacity},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			right := now.Add(rightLasts)
			w := &startCounter{}
			var calls []func()
			r := &Rack{
				TaskLease: 2 * time.Second,
				Checks:    invariant.New(zerolog.Nop()),
				Now:       func() time.Time { return now },
				Post:      func(fn func()) { fn() },
				Go:        func(fn func()) { calls = append(calls, fn) },
				Connect:   func(hostlist.Host) Worker { return w },
				MayStart:  func(now time.Time) bool { return now.Before(right) },
				LeaseEnd:  func() time.Time { return right },
				TeamEpoch: func(string) int64 { return 0 },
			}
			want := resource.Vector{MilliCores: 1000, MemoryMB: 100}
			r.SetHosts([]hostlist.Host{{Name: "worker-1", Capacity: want}}, now)
			assert.NilError(t, r.nodes["worker-1"].machine.Fire(triggerAnswered))
			var results Results
			r.Assign(AssignRequest{Team: "settlement", Tasks: []TaskSpec{{ID: "task-1", Demand: want}}}, now,
				func(got Results) { results = got })
			calls[0]() // the grant
			now = now.Add(test.pause)
			calls[1]() // the start
			assert.Equal(t, w.starts, test.starts)
			assert.Equal(t, results.Tasks[0].Outcome, test.outcome)
			assert.Equal(t, r.Checks.Broken(), uint64(0))
		})
	}
}
