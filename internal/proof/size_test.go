package proof

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/standin"
)

// TestWrongSizes runs tasks that use far more resources than their job declares. The
// scheduler must relieve overused workers, and must reserve the observed usage for
// later tasks of the job.
func TestWrongSizes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		usage resource.Vector
	}{
		{"memory", resource.Vector{MilliCores: 1000, MemoryMB: 6000}},
		{"processors", resource.Vector{MilliCores: 4000, MemoryMB: 512}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, smallCell(1))
				defer c.close()
				c.configure(mustTables(t, basicTables))
				c.submit("red", "wrong", spec("report", 40, 1, standin.Work{SleepMS: 20_000, Usage: tc.usage}))
				time.Sleep(10 * time.Second)
				c.eventually(10*time.Second, func() error { return c.workers.Overused() })
				for range 100 {
					time.Sleep(500 * time.Millisecond)
					assert.NilError(t, c.workers.OverusedFor(maxOveruse))
				}
				c.eventually(10*time.Minute, func() error {
					reply, err := c.proc(0).entry.Get(context.Background(), job.Ref{Team: "red", ID: "red.wrong"})
					if err == nil && reply.Job.State != job.StateDone {
						err = fmt.Errorf("%v", reply.Job.Counts)
					}
					return err
				})
				c.checkGuarantees()
			})
		})
	}
}

// maxOveruse bounds the time for which a worker may be overused. It covers the lag of
// usage in reports and the reaction of the scheduler.
const maxOveruse = 6 * time.Second
