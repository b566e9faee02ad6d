package main

import (
	"time"
)

// silentMinions: the open connections to the minions go silent for good, without a reset, while new
// ones work. The tasks that last on the minions are watched.
func silentMinions(program, dir string) int {
	const (
		id    = "5c0e7a21d94b36f8"
		tasks = 10
		near  = 3 * time.Second // contactMs
	)
	c, err := startCell(program, dir, 3, 3, 0)
	defer c.stop()
	if err != nil {
		record("case", "couldn't run", "error", err)
		return failed
	}
	s := step(tasks)
	s["longRunning"], s["maxUnavailable"] = true, 1
	if a := call(c.hosts[0], "POST", id, map[string]any{"spec": "lasts", "steps": []any{s}}, 3*time.Second); a.status != 200 {
		record("case", "couldn't run", "error", "the job was not accepted")
		return failed
	}
	time.Sleep(4 * time.Second)
	if len(startsOf(id)) != tasks {
		record("case", "couldn't run", "error", "not all tasks have begun")
		return failed
	}
	at := time.Now()
	if trouble {
		for i, p := range c.proxies {
			record("proxy", "open connections go silent", "minion", c.minions[i].id, "connections", p.silence())
		}
	}
	time.Sleep(12 * time.Second)
	status := held
	startsMu.Lock()
	defer startsMu.Unlock()
	for _, e := range lapses {
		record("check", "lapsed", "task", e.task, "after-the-connections-went-silent", e.at.Sub(at).Round(time.Millisecond), "away-then", e.away)
		if e.at.Sub(at) > near && e.away >= 1 {
			status = broken
		}
	}
	return status
}

// lapse is the end of a task whose lease has expired.
type lapse struct {
	task string
	at   time.Time
	away int // other tasks that had ended with it or before and do not run
}

var lapses []lapse
