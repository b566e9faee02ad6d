package proof

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/standin"
)

// outOfService lists the workers that a process excludes from new work, with the
// reasons.
func (c *cell) outOfService() (names []string) {
	for i := range c.procs {
		dump, err := c.proc(i).entry.Dump(context.Background())
		assert.NilError(c.t, err)
		for _, target := range dump.Status.OutOfService {
			names = append(names, target.Name+" "+target.Reason)
		}
	}
	return names
}

// waitForJob waits for at most two minutes until a job has ended.
func (c *cell) waitForJob(team, name string) *job.View {
	c.t.Helper()
	reply, err := c.proc(0).entry.Get(context.Background(), job.Ref{Team: team, ID: team + "." + name, WaitMS: 120_000})
	assert.NilError(c.t, err)
	return reply.Job
}

// TestBadWorkersAndBadJobs checks that a worker on which all tasks fail is
// quarantined, and that a job whose tasks fail on all workers causes no quarantine.
func TestBadWorkersAndBadJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, smallCell(1))
		defer c.close()
		c.configure(mustTables(t, basicTables))
		c.submit("red", "bad", spec("report", 30, 1, standin.Work{SleepMS: 100, Fail: true}))
		bad := c.waitForJob("red", "bad")
		assert.Equal(t, bad.State, job.StateFailed)
		for _, task := range bad.Tasks {
			assert.Equal(t, task.Failures, 4, "first run and three retries")
		}
		assert.Equal(t, len(c.outOfService()), 0, "a bad job must not take a worker out of service: %v", c.outOfService())

		for i := range 8 {
			c.submit("blue", fmt.Sprintf("good%d", i), spec("report", 6, 1, standin.Work{SleepMS: 300, FailOn: "r0-w1"}))
		}
		for i := range 8 {
			assert.Equal(t, c.waitForJob("blue", fmt.Sprintf("good%d", i)).State, job.StateDone)
		}
		time.Sleep(time.Second)
		out := c.outOfService()
		assert.Assert(t, len(out) == 1 && strings.HasPrefix(out[0], "r0-w1 quarantined"), "%v", out)
		c.checkGuarantees()
	})
}
