package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// outageFor is how long the store gives no answer.
	outageFor = 4500 * time.Millisecond
	// killAfter is when all processes lose power, from the beginning of the outage on, and
	// one minion is cut off.
	killAfter = 2400 * time.Millisecond
	// powerlessFor is how long they are dark.
	powerlessFor = 2300 * time.Millisecond
	// minionCutFor is how long the minion is cut off.
	minionCutFor = 5500 * time.Millisecond
	// firstTasks is the number of tasks that run at a time: five on each of six minions.
	firstTasks = 30
)

// outage lets the store fall silent, so that tasks start without a record, and then ends all
// processes while one minion is cut off. The rule TWICE is checked: no task may have two runs
// at the same time.
func outage(c *Cell, trouble bool) (found broken, err error) {
	c.configure("settle")
	for i := range 6 {
		if _, err := c.addMinion(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "a", func(task, spec string) time.Duration {
			if indexOf(task) < firstTasks {
				return 2500 * time.Millisecond
			}
			return 12 * time.Second
		}); err != nil {
			return nil, err
		}
	}
	if err := c.addHosts(2); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	cl := newClient(c.hosts[0])
	status, _, err := cl.call("POST", "/settle/5c0e000000000000", map[string]any{"spec": "settle", "steps": []map[string]any{
		{"count": firstTasks + 24, "cpu": 5500, wire["memory"]: 256, "estimateMs": 6000},
	}})
	if err != nil || status != 200 {
		return nil, fmt.Errorf("POST: status %d, %v", status, err)
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		if err := c.outageAndKill(); err != nil {
			return nil, err
		}
	}
	time.Sleep(25 * time.Second)
	return c.log.overlaps(), nil
}

// outageAndKill makes the three disruptions of the case.
func (c *Cell) outageAndKill() error {
	begun := time.Now()
	c.log.write("store-silent")
	c.store.setSilent(true)
	time.AfterFunc(outageFor, func() {
		c.log.write("store-back")
		c.store.setSilent(false)
	})
	time.Sleep(killAfter)
	m := c.minions[0]
	c.log.write("cut", "minion", m.id)
	m.link.cut()
	time.AfterFunc(minionCutFor, func() {
		c.log.write("healed", "minion", m.id)
		m.link.heal()
	})
	for _, h := range c.hosts {
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	time.Sleep(time.Until(begun.Add(killAfter + powerlessFor)))
	for _, h := range c.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}
