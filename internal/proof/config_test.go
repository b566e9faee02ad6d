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

// TestWithdrawnKey withdraws a key while one process is cut from the store:
// the key stops working there too, as heartbeats tell of the new version.
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
		c.eventually(4*time.Second, func() error { return c.everywhere(func(tables *config.Tables) bool { return accepts(tables, key) }) })
		c.net.cut(peerAddress(2), storeAddress, true)
		c.net.cut(storeAddress, peerAddress(2), true)
		_, err = c.proc(0).entry.Edit(ctx, func(tables *config.Tables) error {
			delete(tables.Keys, id)
			return nil
		})
		assert.NilError(t, err)
		begin := time.Now()
		c.eventually(3*time.Second, func() error {
			return c.everywhere(func(tables *config.Tables) bool { return !accepts(tables, key) })
		})
		t.Logf("a withdrawn key is refused everywhere after %.2f s", time.Since(begin).Seconds())
	})
}

func accepts(tables *config.Tables, key string) bool {
	_, err := tables.Authenticate(key)
	return err == nil
}

// everywhere names a process whose tables do not satisfy ok.
func (c *cell) everywhere(ok func(tables *config.Tables) bool) error {
	for i := range c.procs {
		if !ok(c.proc(i).entry.Tables()) {
			return fmt.Errorf("not in e%d", i)
		}
	}
	return nil
}

// TestStartDuringOutage starts a process while the store is down: it learns the
// tables from its peers.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, smallCell(1))
		defer c.close()
		c.configure(mustTables(t, basicTables))
		version := c.proc(0).entry.Tables().Version
		c.store.SetFault(standin.StoreFault{Down: true})
		c.kill(1)
		c.boot(1)
		c.eventually(4*time.Second, func() error {
			return c.everywhere(func(tables *config.Tables) bool { return tables.Version == version })
		})
		c.check()
	})
}

// TestRacingOperators lets operators edit at once through different processes
// while answers of the store are lost: every accepted edit is in the end result.
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
		t.Logf("%d edits accepted, the limit grew by %d", sum, limit-1000)
		assert.Equal(t, limit, int64(1000+sum))
		assert.NilError(t, c.everywhere(func(tables *config.Tables) bool { return tables.Teams["red"].Limit == limit }))
		c.check()
	})
}

// TestLeavingWorker checks that a leaving worker gets nothing new.
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
		c.check()
	})
}
