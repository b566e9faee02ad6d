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

// running returns how many tasks of each team run at the workers.
func (c *cell) running() map[string]int64 { return c.workers.RunningByTeam() }

func (c *cell) submit(team, name string, s job.Spec) {
	c.t.Helper()
	reply, err := c.proc(0).entry.Submit(context.Background(), team, team+"."+name, s)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(reply.Refused), "", reply.Reason)
}

// converge waits until each team runs its part of the cell within 5 %, and
// returns how long it took.
func (c *cell) converge(limit time.Duration, want map[string]float64) time.Duration {
	c.t.Helper()
	begin := time.Now()
	c.eventually(limit, func() error {
		got := c.running()
		for team, n := range want {
			if math.Abs(float64(got[team])-n) > 0.05*n {
				return fmt.Errorf("team %s runs %d, its share is %.0f", team, got[team], n)
			}
		}
		return nil
	})
	return time.Since(begin)
}

// TestShares fills a cell and checks how close each team comes to its share,
// how soon after a change, and that urgent work and limits hold in a full cell.
func TestShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opts := smallCell(1)
		opts.perRack = 5
		c := newCell(t, opts)
		defer c.close()
		c.configure(mustTables(t, shareTables))
		const cores = 3 * 5 * 8
		long := spec("report", 400, 1, standin.Work{SleepMS: 600_000})
		c.submit("red", "fill", long)
		c.converge(10*time.Second, map[string]float64{"red": cores})

		c.submit("blue", "fill", long)
		took := c.converge(10*time.Second, map[string]float64{"red": cores / 4, "blue": cores * 3 / 4})
		t.Logf("shares 1:3 within 5 %% after %.1f s", took.Seconds())

		c.reshare("red", 3)
		c.reshare("blue", 1)
		took = c.converge(10*time.Second, map[string]float64{"red": cores * 3 / 4, "blue": cores / 4})
		t.Logf("shares 3:1 within 5 %% after %.1f s", took.Seconds())

		begin := time.Now()
		c.submit("rush", "now", spec("rush", 2, 1, standin.Work{SleepMS: 1000}))
		c.eventually(3400*time.Millisecond, func() error {
			if n := c.running()["rush"]; n != 2 {
				return fmt.Errorf("%d urgent tasks run", n)
			}
			return nil
		})
		t.Logf("urgent work in a full cell started after %.1f s", time.Since(begin).Seconds())

		c.submit("rush", "many", spec("rush", 20, 1, standin.Work{SleepMS: 1000}))
		c.eventually(30*time.Second, func() error {
			reply, err := c.proc(0).entry.Get(context.Background(), job.Ref{Team: "rush", ID: "rush.many"})
			if err == nil && reply.Job.State != job.StateDone {
				err = fmt.Errorf("%v", reply.Job.Counts)
			}
			return err
		})
		assert.Assert(t, c.workers.Stats().PeakByTeam["rush"] <= 3, "the limit of team rush")

		c.limit("red", 5)
		begin = time.Now()
		c.eventually(4*time.Second, func() error {
			if n := c.running()["red"]; n > 5 {
				return fmt.Errorf("%d tasks run", n)
			}
			return nil
		})
		t.Logf("a limit lowered to 5 holds after %.1f s", time.Since(begin).Seconds())
		c.check()
	})
}

func (c *cell) reshare(team string, share float64) {
	c.editTeam(team, func(row *config.Team) { row.Share = share })
}

func (c *cell) limit(team string, limit int64) {
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
