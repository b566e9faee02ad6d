package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// longWork is how long the task of the long job works.
	longWork = 150 * time.Second
	// longFor is how long the long job is left alone before the last job comes.
	longFor = 40 * time.Second
)

// longJob submits a job whose only task works for longWork, while a lasting task runs on each
// of seven minions. The rule LOST is checked for a job that comes longFor later and may run on
// two of them.
func longJob(c *Cell, trouble bool) (found broken, err error) {
	return c.afterJob("/settle/2222222222222222", "long", map[string]any{"count": 1, "cpu": 1000, wire["memory"]: 512}, trouble)
}

// loop is like longJob with another lasting job, whose task fails soon after each start.
func loop(c *Cell, trouble bool) (found broken, err error) {
	return c.afterJob("/watch/2222222222222222", "loop", map[string]any{"count": 1, "cpu": 1000, wire["memory"]: 512, "longRunning": true}, trouble)
}

// afterJob submits the given job while a lasting task runs on each of seven minions, and
// checks a job that comes longFor later and may run on two of the minions.
func (c *Cell) afterJob(path, spec string, step map[string]any, trouble bool) (found broken, err error) {
	work := map[string]time.Duration{"lasts": 0, "loop": 0, "long": longWork, "short": 500 * time.Millisecond}
	c.configure("watch", "settle")
	for i, kind := range []string{"b", "a", "a", "b", "a", "a", "a"} {
		m, err := c.addMinion(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), kind, func(_, spec string) time.Duration { return work[spec] })
		if err != nil {
			return nil, err
		}
		m.fails = func(spec string) bool { return spec == "loop" }
	}
	if err := c.addHosts(2); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	cl := newClient(c.hosts[0])
	submit := func(path, spec string, step map[string]any) error {
		step["estimateMs"] = max(work[spec].Milliseconds(), 500)
		status, _, err := cl.call("POST", path, map[string]any{"spec": spec, "steps": []map[string]any{step}})
		if err != nil || status != 200 {
			return fmt.Errorf("POST %s: status %d, %v", path, status, err)
		}
		return nil
	}
	if err := submit("/watch/1111111111111111", "lasts", map[string]any{"count": 7, "cpu": 2000, wire["memory"]: 512, "longRunning": true, wire["apart"]: 1}); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if err := submit(path, spec, step); err != nil {
			return nil, err
		}
	}
	time.Sleep(longFor)
	const job = "3333333333333333"
	if err := submit("/settle/"+job, "short", map[string]any{"count": 1, "cpu": 1000, wire["memory"]: 512, "constraints": "b"}); err != nil {
		return nil, err
	}
	c.log.write("end-of-traffic")
	idle, state := c.watchIdle(cl, "/settle/", job)
	if idle < idleLimit {
		return nil, nil
	}
	return broken{fmt.Sprintf("job %s has had nothing running for %d s, from %d s after the end of the traffic on; its state is %s; seven minions of 32 cores run %d tasks of at most 2 cores",
		job, int(idle.Seconds()), int(finish.Seconds()), state, c.tasksRunning())}, nil
}

// watchIdle waits until the jobs are asked for, and returns for how long the job has had
// nothing running from then on. It returns 0 once the job runs or is completed.
func (c *Cell) watchIdle(cl *client, prefix, job string) (idle time.Duration, state string) {
	time.Sleep(finish)
	begun := time.Now()
	for time.Since(begun) < idleLimit+watched {
		_, state, _ = cl.call("GET", prefix+job, nil)
		running := strings.Contains(state, "completed")
		for _, m := range c.minions {
			running = running || runs(m, job)
		}
		if running {
			return 0, state
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Since(begun), strings.TrimSpace(state)
}

// runs reports whether a task of the job runs on the minion.
func runs(m *Minion, job string) bool {
	for _, task := range m.running() {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

// tasksRunning returns the number of tasks that run on all minions.
func (c *Cell) tasksRunning() (n int) {
	for _, m := range c.minions {
		n += len(m.running())
	}
	return n
}
