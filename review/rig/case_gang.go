package main

import (
	"fmt"
	"time"
)

// gangWaits submits a job with one long task, a gang that needs all seven minions, and a
// small job of a lower priority. The gang has to wait for the minion of the long task. The
// rule LOST is checked for the small job: six minions are empty.
func gangWaits(c *Cell, trouble bool) (found broken, err error) {
	work := map[string]time.Duration{"long": 40 * time.Second, "gang": 6 * time.Second, "small": time.Second}
	c.configure("settle", "quote")
	for i := range 7 {
		if _, err := c.addMinion(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "a", func(_, spec string) time.Duration { return work[spec] }); err != nil {
			return nil, err
		}
	}
	if err := c.addHosts(2); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	cl := newClient(c.hosts[0])
	submit := func(path, spec string, count, cpu int, gang bool) error {
		status, _, err := cl.call("POST", path, map[string]any{"spec": spec, "steps": []map[string]any{{
			"count": count, "cpu": cpu, wire["memory"]: 7800, "estimateMs": work[spec].Milliseconds(), "gang": gang,
		}}})
		if err != nil || status != 200 {
			return fmt.Errorf("POST %s: status %d, %v", path, status, err)
		}
		return nil
	}
	if err := submit("/settle/1111111111111111", "long", 1, 20000, false); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		if err := submit("/settle/2222222222222222", "gang", 7, 20000, true); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	const job = "3333333333333333"
	if err := submit("/quote/"+job, "small", 1, 16000, false); err != nil {
		return nil, err
	}
	c.log.write("end-of-traffic")
	idle, state := c.watchIdle(cl, "/quote/", job)
	if idle < idleLimit {
		return nil, nil
	}
	return broken{fmt.Sprintf("job %s has had nothing running for %d s, from %d s after the end of the traffic on; its state is %s; %d task of 20 cores runs on seven minions of 32 cores",
		job, int(idle.Seconds()), int(finish.Seconds()), state, c.tasksRunning())}, nil
}
