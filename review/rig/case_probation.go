package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// greyFor is how long the minion fails all that it starts.
	greyFor = 4 * time.Second
	// finish is the time from the end of the traffic to the check, as on the sheet.
	finish = 14 * time.Second
	// idleLimit is how long a job may have nothing running then.
	idleLimit = 3 * time.Second
	// watched is how long the job is watched after that.
	watched = 12 * time.Second
)

// probation lets one minion of seven fail all that it starts for greyFor, while a lasting
// task runs on it. The rule LOST is checked for a job that comes afterwards and needs that
// minion's label.
func probation(c *Cell, trouble bool) (found broken, err error) {
	var grey atomic.Bool
	work := func(_, spec string) time.Duration {
		if spec == "lasts" {
			return 0
		}
		return 500 * time.Millisecond
	}
	c.configure("watch", "settle")
	for i := range 7 {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		if _, err := c.addMinion(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), kind, work); err != nil {
			return nil, err
		}
	}
	only := c.minions[0]
	only.fails = func(string) bool { return grey.Load() }
	if err := c.addHosts(2); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	cl := newClient(c.hosts[0])
	step := func(count, cpu int, label string, lasts bool) map[string]any {
		return map[string]any{"count": count, "cpu": cpu, wire["memory"]: 512, "estimateMs": 500, "constraints": label, "longRunning": lasts}
	}
	submit := func(path, spec string, steps ...map[string]any) error {
		status, _, err := cl.call("POST", path, map[string]any{"spec": spec, "steps": steps})
		if err != nil || status != 200 {
			return fmt.Errorf("POST %s: status %d, %v", path, status, err)
		}
		return nil
	}
	if err := submit("/watch/1111111111111111", "lasts", step(1, 2000, "b", true)); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if len(only.running()) != 1 {
		return nil, fmt.Errorf("the lasting task does not run")
	}
	if trouble {
		c.log.write("grey", "minion", only.id)
		grey.Store(true)
	}
	if err := submit("/settle/2222222222222222", "short", step(1, 1000, "b", false)); err != nil {
		return nil, err
	}
	time.Sleep(greyFor)
	grey.Store(false)
	c.log.write("sound", "minion", only.id)
	time.Sleep(time.Second)
	const job = "3333333333333333"
	if err := submit("/settle/"+job, "short", step(1, 1000, "b", false)); err != nil {
		return nil, err
	}
	if err := submit("/settle/4444444444444444", "short", step(4, 1000, "", false)); err != nil {
		return nil, err
	}
	c.log.write("end-of-traffic")
	idle, state := c.watchIdle(cl, "/settle/", job)
	if idle < idleLimit {
		return nil, nil
	}
	return broken{fmt.Sprintf("job %s has had nothing running for %d s, from %d s after the end of the traffic on; its state is %s; minion %s runs %v, and 30 of its 32 cores are free",
		job, int(idle.Seconds()), int(finish.Seconds()), state, only.id, only.running())}, nil
}
