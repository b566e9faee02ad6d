package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// pendingCount: one of twelve minions, the only one of its kind, is unhealthy for 6.5 s and refuses
// starts with 503, which has then done nothing. Jobs that need its kind wait for it. Clients ask for the
// number of pending jobs.
func pendingCount(program, dir string) int {
	const (
		jobs      = 4
		unhealthy = 6500 * time.Millisecond
		countable = 5 * time.Second // visible_ms and 2 s
	)
	c, err := startCell(program, dir, 3, 12, 2*time.Second)
	defer c.stop()
	if err != nil {
		record("case", "couldn't run", "error", err)
		return failed
	}
	grey := c.minions[0]
	began := time.Now()
	if trouble {
		grey.setUnhealthy(true)
	}
	var accepted []time.Time
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		s := step(1)
		s["constraints"] = grey.kind
		a := call(c.hosts[i%3], "POST", id, map[string]any{"spec": id, "steps": []any{s}}, 3*time.Second)
		if a.status != 200 {
			record("case", "couldn't run", "error", "a job was not accepted")
			return failed
		}
		accepted, ids = append(accepted, a.at), append(ids, id)
	}
	status := held
	for time.Since(began) < unhealthy-200*time.Millisecond {
		time.Sleep(250 * time.Millisecond)
		for _, h := range c.hosts {
			sent := time.Now()
			waiting := 0
			for i, id := range ids {
				if len(startsOf(id)) == 0 && sent.Sub(accepted[i]) > countable {
					waiting++
				}
			}
			a := call(h, "GET", "", nil, time.Second)
			var out struct {
				Pending int `json:"pending"`
			}
			if a.status != 200 || json.Unmarshal([]byte(a.body), &out) != nil {
				continue
			}
			if 2*out.Pending < waiting {
				record("check", "pending is under half", "host", h.name, "pending", out.Pending, "jobs-not-begun", waiting)
				status = broken
			}
		}
	}
	for _, id := range ids {
		call(c.hosts[0], "GET", id, nil, time.Second)
	}
	if trouble {
		grey.setUnhealthy(false)
	}
	time.Sleep(6 * time.Second)
	for _, id := range ids {
		if len(startsOf(id)) == 0 {
			record("case", "couldn't run", "error", "a job never began")
			return failed
		}
	}
	return status
}
