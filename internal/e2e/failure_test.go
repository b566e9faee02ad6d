package e2e

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/standin"
	"turmericspread.org/turmericspread/pkg/client"
)

// load continuously sends requests and submits jobs through some entry hosts and
// counts the outcomes.
type load struct {
	c            *cluster
	hosts        []int
	stop         chan struct{}
	group        sync.WaitGroup
	done         atomic.Int64
	notRun       atomic.Int64
	unknown      atomic.Int64
	wrongAnswers atomic.Int64
	mu           sync.Mutex
	jobs         []string
}

// startLoad starts callers of the given entry hosts.
func (c *cluster) startLoad(hosts ...int) *load {
	l := &load{c: c, hosts: hosts, stop: make(chan struct{})}
	for _, host := range hosts {
		l.group.Go(func() { l.requests(host) })
		l.group.Go(func() { l.submissions(host) })
	}
	return l
}

func (l *load) running() bool {
	select {
	case <-l.stop:
		return false
	default:
		return true
	}
}

// requests sends requests through an entry host, one after the other.
func (l *load) requests(host int) {
	for i := 0; l.running(); i++ {
		body := fmt.Sprintf(`{"sleep-ms":5,"output":"%d-%d"}`, host, i)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		answer, err := l.c.clients[host].Request(ctx, "bid", []byte(body))
		cancel()
		switch {
		case err == nil && strings.Contains(string(answer.Body), body):
			l.done.Add(1)
		case err == nil:
			l.wrongAnswers.Add(1)
		default:
			l.countError(err)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// countError counts a failed request. Errors that do not come from the cell, such as
// timeouts, count as unknown.
func (l *load) countError(err error) {
	var refused *client.Error
	switch {
	case errors.As(err, &refused) && refused.Outcome == client.OutcomeNotRun:
		l.notRun.Add(1)
	default:
		l.unknown.Add(1)
	}
}

// submissions submits jobs through an entry host and collects the accepted ones.
func (l *load) submissions(host int) {
	for i := 0; l.running(); i++ {
		route := "report"
		if i%3 == 0 {
			route = "settle"
		}
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		job, err := l.c.clients[host].Submit(ctx, smallJob(route, 3, `{"sleep-ms":300,"output":"ok"}`))
		cancel()
		if err == nil {
			l.mu.Lock()
			l.jobs = append(l.jobs, job.ID)
			l.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// finish ends the load and checks through the given entry host that every accepted job
// ends, and that jobs of route report succeed. Jobs of route settle need not succeed,
// because a non-idempotent task may end with an unknown result.
func (l *load) finish(host int) {
	t := l.c.t
	t.Helper()
	close(l.stop)
	l.group.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	states := map[string]int{}
	for _, id := range l.jobs {
		job, err := l.c.clients[host].Wait(ctx, id)
		assert.NilError(t, err, "job %s", id)
		states[job.Route+" "+job.State]++
		if job.Route == "report" {
			assert.Equal(t, job.State, "done", "job %s: %v", id, job.Counts)
		}
	}
	t.Logf("requests: %d done, %d not run, %d unknown; jobs: %v", l.done.Load(), l.notRun.Load(), l.unknown.Load(), states)
	assert.Equal(t, l.wrongAnswers.Load(), int64(0), "requests that received a wrong answer")
}

// ownerOf returns the index of the entry host that owns a shard.
func (c *cluster) ownerOf(shardName string) int {
	c.t.Helper()
	owner := ""
	c.eventually(10*time.Second, func() error {
		for i := range c.entries {
			status, err := c.status(i)
			if err != nil {
				continue
			}
			for _, sh := range status.Shards {
				if string(sh.Shard) == shardName {
					owner = string(sh.Owner)
				}
			}
			return nil
		}
		return fmt.Errorf("no entry host responds")
	})
	name, _, _ := strings.Cut(owner, "/")
	for i, host := range c.cell.Entries {
		if host.Name == name {
			return i
		}
	}
	c.t.Fatalf("shard %s has the owner %q, which is not an entry host of the cell", shardName, owner)
	return 0
}

// others returns the indexes of all entry hosts except the given ones.
func (c *cluster) others(excluded ...int) (list []int) {
	for i := range c.entries {
		skip := false
		for _, n := range excluded {
			skip = skip || i == n
		}
		if !skip {
			list = append(list, i)
		}
	}
	return list
}

// TestKilledOwner kills the owner of a team's queue and the owner of a rack at the same
// time. Other hosts must take over both shards and lose no accepted job.
func TestKilledOwner(t *testing.T) {
	c := newCluster(t, 6)
	queue := c.ownerOf("team/settlement")
	rack := c.ownerOf("rack/klaten/klaten-r1")
	if rack == queue {
		rack = c.ownerOf("rack/boyolali/boyolali-r1")
	}
	survivors := c.others(queue, rack)
	l := c.startLoad(survivors...)
	time.Sleep(2 * time.Second)
	c.entries[queue].signal(t, syscall.SIGKILL)
	c.entries[rack].signal(t, syscall.SIGKILL)
	killed := time.Now()
	c.eventually(15*time.Second, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := c.clients[survivors[0]].Submit(ctx, smallJob("report", 1, `{"sleep-ms":10}`))
		return err
	})
	took := time.Since(killed)
	t.Logf("the queue of the killed owner accepted jobs again after %.1f s", took.Seconds())
	assert.Assert(t, took < 10*time.Second)
	c.eventually(10*time.Second, func() error {
		status, err := c.status(survivors[0])
		if err != nil {
			return err
		}
		return allOwned(status)
	})
	t.Logf("all shards had owners again after %.1f s", time.Since(killed).Seconds())
	time.Sleep(2 * time.Second)
	l.finish(survivors[1])
	c.checkStandIns()
	c.checkInvariants(survivors...)
}

// TestStoreOutage makes the store unavailable for longer than any lease of a shard
// lasts. Requests and tasks must continue, and new jobs must be rejected.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t, 6)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	service, err := c.clients[0].Submit(ctx, smallJob("watch", 6, `{"forever":true}`))
	assert.NilError(t, err)
	spec := smallJob("report", 900, `{"sleep-ms":1500}`)
	spec.Want.MilliCores = 8000
	batch, err := c.clients[0].Submit(ctx, spec)
	assert.NilError(t, err)
	l := c.startLoad(c.others()...)
	time.Sleep(time.Second)
	postToStandIn(t, c.cell.StoreAddress, "/v1/fault", standin.StoreFault{Down: true})
	const outage = 30 * time.Second
	startsBefore := standInStats[standin.WorkerStats](t, c.cell.WorkersAddress).Starts
	doneBefore := l.done.Load()
	time.Sleep(15 * time.Second)
	doneMiddle := l.done.Load()
	time.Sleep(outage - 15*time.Second)
	assert.Assert(t, l.done.Load()-doneMiddle > 100, "requests must be served until the end of the outage")
	_, err = c.clients[1].Submit(ctx, smallJob("report", 1, `{}`))
	assert.ErrorContains(t, err, "not-run")
	workers := standInStats[standin.WorkerStats](t, c.cell.WorkersAddress)
	t.Logf("during a store outage of %s: %d requests done, %d tasks started", outage, l.done.Load()-doneBefore, workers.Starts-startsBefore)
	assert.Assert(t, workers.Starts-startsBefore > 300, "tasks must start during the outage")
	assert.Equal(t, workers.ExpiredLeases, int64(0), "leases that expired during the outage")
	postToStandIn(t, c.cell.StoreAddress, "/v1/fault", standin.StoreFault{})
	time.Sleep(3 * time.Second)
	l.finish(0)
	job, err := c.clients[2].Wait(ctx, batch.ID)
	assert.NilError(t, err)
	assert.Equal(t, job.State, "done")
	job, err = c.clients[3].Get(ctx, service.ID)
	assert.NilError(t, err)
	assert.Equal(t, job.Counts["running"], 6)
	c.checkStandIns()
	c.checkInvariants(c.others()...)
}

// TestPausedOwner pauses the owner of a team's queue until its lease of the shard has
// expired, and resumes it while its successor works. Then it pauses another host for a
// shorter time. An outdated owner must not start work that its successor also starts.
func TestPausedOwner(t *testing.T) {
	c := newCluster(t, 6)
	victim := c.ownerOf("team/settlement")
	other := c.others(victim)
	l := c.startLoad(other...)
	time.Sleep(2 * time.Second)
	c.entries[victim].signal(t, syscall.SIGSTOP)
	time.Sleep(9 * time.Second)
	c.entries[victim].signal(t, syscall.SIGCONT)
	time.Sleep(4 * time.Second)
	c.entries[other[0]].signal(t, syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	c.entries[other[0]].signal(t, syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	l.finish(other[1])
	c.checkStandIns()
	c.checkInvariants(c.others()...)
}

// TestRollingReplacement restarts the entry hosts one after the other, except the two
// through which the load is sent. No request may end with an unknown outcome.
func TestRollingReplacement(t *testing.T) {
	c := newCluster(t, 6)
	l := c.startLoad(0)
	secondLoad := c.startLoad(5)
	for i := 1; i < 5; i++ {
		begin := time.Now()
		c.entries[i].signal(t, syscall.SIGTERM)
		<-c.entries[i].done
		t.Logf("%s stopped in %.2f s", c.entries[i].name, time.Since(begin).Seconds())
		assert.Assert(t, time.Since(begin) < 5*time.Second)
		c.startEntry(i)
		c.awaitOwned(i, 1)
		time.Sleep(500 * time.Millisecond)
	}
	l.finish(1)
	secondLoad.finish(2)
	assert.Equal(t, l.unknown.Load()+secondLoad.unknown.Load(), int64(0), "requests interrupted by planned stops")
	c.checkStandIns()
	c.checkInvariants(c.others()...)
}
