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

// TestStartAfterPause guards against starting a task after the lease of the rack
// has expired. The process is paused between the decision to start the task and
// the sending of the start.
func TestStartAfterPause(t *testing.T) {
	const lease = 4 * time.Second
	tests := []struct {
		name    string
		pause   time.Duration
		starts  int
		outcome Outcome
	}{
		{"within the lease", time.Second, 1, OutcomeStarted},
		{"just within the lease", lease - time.Nanosecond, 1, OutcomeStarted},
		{"until the lease expires", lease, 0, OutcomeNoCapacity},
		{"beyond the lease", 9 * time.Second, 0, OutcomeNoCapacity},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			leaseEnd := now.Add(lease)
			w := &startCounter{}
			var calls []func()
			r := &Rack{
				TaskLease: 2 * time.Second,
				Checks:    invariant.New(zerolog.Nop()),
				Now:       func() time.Time { return now },
				Post:      func(fn func()) { fn() },
				Go:        func(fn func()) { calls = append(calls, fn) },
				Connect:   func(hostlist.Host) Worker { return w },
				MayStart:  func(now time.Time) bool { return now.Before(leaseEnd) },
				LeaseEnd:  func() time.Time { return leaseEnd },
				TeamEpoch: func(string) int64 { return 0 },
			}
			demand := resource.Vector{MilliCores: 1000, MemoryMB: 100}
			r.SetHosts([]hostlist.Host{{Name: "worker-1", Capacity: demand}}, now)
			assert.NilError(t, r.nodes["worker-1"].stateMachine.Fire(triggerResponded))
			var results Results
			r.Assign(AssignRequest{Team: "settlement", Tasks: []TaskSpec{{ID: "task-1", Demand: demand}}}, now,
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
