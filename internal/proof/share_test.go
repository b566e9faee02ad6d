package proof

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/job"
	"turmericspread.org/turmericspread/internal/standin"
)

const shareTables = `
[team red]
share = 1
limit = 1000

[team blue]
share = 3
limit = 1000

[team rush]
share = 1
limit = 3

[pool reports]
kind = batch
preemptible = true

[pool rushing]
kind = batch
urgent = true

[route report]
pool = reports

[route rush]
pool = rushing
`

// running returns the number of tasks of each team that run on workers.
func (c *cell) running() map[string]int64 { return c.workers.RunningByTeam() }

// submit submits a job through the first entry host, which must accept it.
func (c *cell) submit(team, name string, s job.Spec) {
	c.t.Helper()
	reply, err := c.proc(0).entry.Submit(context.Background(), team, team+"."+name, s)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(reply.Refused), "", reply.Reason)
}

// awaitShares waits until the number of running tasks of each team is within 5 % of
// the expected number, and returns the time it waited.
func (c *cell) awaitShares(timeout time.Duration, expected map[string]float64) time.Duration {
	c.t.Helper()
	begin := time.Now()
	c.eventually(timeout, func() error {
		got := c.running()
		for team, n := range expected {
			if math.Abs(float64(got[team])-n) > 0.05*n {
				return fmt.Errorf("team %s runs %d tasks, expected %.0f", team, got[team], n)
			}
		}
		return nil
	})
	return time.Since(begin)
}

// TestShares checks in a full cell that each team reaches its fair share in time after
// a change, that urgent work starts in time, and that a team stays within its limit.
func TestShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := smallCell(1)
		opts.workersPerRack = 5
		c := newCell(t, opts)
		defer c.close()
		c.configure(mustTables(t, shareTables))
		const cores = 3 * 5 * 8
		long := spec("report", 400, 1, standin.Work{SleepMS: 600_000})
		c.submit("red", "fill", long)
		c.awaitShares(10*time.Second, map[string]float64{"red": cores})

		c.submit("blue", "fill", long)
		took := c.awaitShares(10*time.Second, map[string]float64{"red": cores / 4, "blue": cores * 3 / 4})
		t.Logf("shares 1:3 within 5 %% after %.1f s", took.Seconds())

		c.setShare("red", 3)
		c.setShare("blue", 1)
		took = c.awaitShares(10*time.Second, map[string]float64{"red": cores * 3 / 4, "blue": cores / 4})
		t.Logf("shares 3:1 within 5 %% after %.1f s", took.Seconds())

		begin := time.Now()
		c.submit("rush", "now", spec("rush", 2, 1, standin.Work{SleepMS: 1000}))
		c.eventually(3400*time.Millisecond, func() error {
			if n := c.running()["rush"]; n != 2 {
				return fmt.Errorf("%d urgent tasks are running", n)
			}
			return nil
		})
		t.Logf("urgent tasks in a full cell started after %.1f s", time.Since(begin).Seconds())

		c.submit("rush", "many", spec("rush", 20, 1, standin.Work{SleepMS: 1000}))
		c.eventually(30*time.Second, func() error {
			reply, err := c.proc(0).entry.Get(context.Background(), job.Ref{Team: "rush", ID: "rush.many"})
			if err == nil && reply.Job.State != job.StateDone {
				err = fmt.Errorf("%v", reply.Job.Counts)
			}
			return err
		})
		assert.Assert(t, c.workers.Stats().PeakByTeam["rush"] <= 3, "team rush must stay within its limit")

		c.setLimit("red", 5)
		begin = time.Now()
		c.eventually(4*time.Second, func() error {
			if n := c.running()["red"]; n > 5 {
				return fmt.Errorf("%d tasks are running", n)
			}
			return nil
		})
		t.Logf("team within its lowered limit of 5 after %.1f s", time.Since(begin).Seconds())
		c.checkGuarantees()
	})
}

func (c *cell) setShare(team string, share float64) {
	c.editTeam(team, func(row *config.Team) { row.Share = share })
}

func (c *cell) setLimit(team string, limit int64) {
	c.editTeam(team, func(row *config.Team) { row.Limit = limit })
}

func (c *cell) editTeam(team string, change func(row *config.Team)) {
	c.t.Helper()
	_, err := c.proc(0).entry.Edit(context.Background(), func(tables *config.Tables) error {
		row := tables.Teams[team]
		change(&row)
		tables.Teams[team] = row
		return nil
	})
	assert.NilError(c.t, err)
}
