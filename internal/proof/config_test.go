package proof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/hostlist"
	"turmericspread.org/turmericspread/internal/standin"
)

// TestWithdrawnKey revokes a key while one process is without access to the store.
// That process must reject the key too, because heartbeats carry the new version of
// the tables.
func TestWithdrawnKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, smallCell(1))
		defer c.close()
		c.configure(mustTables(t, basicTables))
		ctx := context.Background()
		var id, key string
		_, err := c.proc(0).entry.Edit(ctx, func(tables *config.Tables) (err error) {
			id, key, err = tables.Grant("red")
			return err
		})
		assert.NilError(t, err)
		c.eventually(4*time.Second, func() error { return c.onAll(func(tables *config.Tables) bool { return acceptsKey(tables, key) }) })
		c.net.setCut(peerAddress(2), storeAddress, true)
		c.net.setCut(storeAddress, peerAddress(2), true)
		_, err = c.proc(0).entry.Edit(ctx, func(tables *config.Tables) error {
			delete(tables.Keys, id)
			return nil
		})
		assert.NilError(t, err)
		begin := time.Now()
		c.eventually(3*time.Second, func() error {
			return c.onAll(func(tables *config.Tables) bool { return !acceptsKey(tables, key) })
		})
		t.Logf("all processes reject the revoked key after %.2f s", time.Since(begin).Seconds())
	})
}

func acceptsKey(tables *config.Tables, key string) bool {
	_, err := tables.Authenticate(key)
	return err == nil
}

// onAll returns an error that names a process whose tables do not satisfy ok.
func (c *cell) onAll(ok func(tables *config.Tables) bool) error {
	for i := range c.procs {
		if !ok(c.proc(i).entry.Tables()) {
			return fmt.Errorf("condition not met by the tables of e%d", i)
		}
	}
	return nil
}

// TestStartDuringOutage starts a process while the store is unavailable. The process
// must get the tables from its peers.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, smallCell(1))
		defer c.close()
		c.configure(mustTables(t, basicTables))
		version := c.proc(0).entry.Tables().Version
		c.store.SetFault(standin.StoreFault{Down: true})
		c.killProcess(1)
		c.startProcess(1)
		c.eventually(4*time.Second, func() error {
			return c.onAll(func(tables *config.Tables) bool { return tables.Version == version })
		})
		c.checkGuarantees()
	})
}

// TestRacingOperators edits the tables concurrently through different processes while
// the store loses responses. The final tables must contain every accepted edit
// exactly once.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, smallCell(1))
		defer c.close()
		c.configure(mustTables(t, basicTables))
		c.store.SetFault(standin.StoreFault{LoseAnswers: 0.5})
		accepted := make([]int, len(c.procs))
		var group sync.WaitGroup
		for i := range c.procs {
			group.Go(func() {
				for range 10 {
					_, err := c.proc(i).entry.Edit(context.Background(), func(tables *config.Tables) error {
						row := tables.Teams["red"]
						row.Limit++
						tables.Teams["red"] = row
						return nil
					})
					if err == nil {
						accepted[i]++
					}
				}
			})
		}
		group.Wait()
		c.store.SetFault(standin.StoreFault{})
		sum := 0
		for _, n := range accepted {
			sum += n
		}
		time.Sleep(4 * time.Second)
		limit := c.proc(0).entry.Tables().Teams["red"].Limit
		t.Logf("%d edits accepted, limit increased by %d", sum, limit-1000)
		assert.Equal(t, limit, int64(1000+sum))
		assert.NilError(t, c.onAll(func(tables *config.Tables) bool { return tables.Teams["red"].Limit == limit }))
		c.checkGuarantees()
	})
}

// TestLeavingWorker checks that no tasks start on a worker that leaves the cell.
func TestLeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, smallCell(1))
		defer c.close()
		c.configure(mustTables(t, basicTables))
		c.submit("red", "stream", spec("report", 400, 1, standin.Work{SleepMS: 800}))
		time.Sleep(2 * time.Second)
		c.hosts.SetState("r0-w0", hostlist.StateLeaving)
		time.Sleep(3 * time.Second)
		before := c.workers.StartsOn("r0-w0")
		assert.Assert(t, before > 0)
		time.Sleep(4 * time.Second)
		assert.Equal(t, c.workers.StartsOn("r0-w0"), before)
		c.checkGuarantees()
	})
}
