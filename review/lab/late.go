package main

import (
	"sync/atomic"
	"time"
)

// lateStore: the store doesn't answer the writes of one job and executes the first of them seconds
// later. The client, which got 504 or nothing, cancels the job.
func lateStore(program, dir string) int {
	const (
		id       = "5c0e7a21d94b36f8"
		cancelMS = 3000
		lateBy   = 5500 * time.Millisecond // of 1 to 6 s
	)
	c, err := startCell(program, dir, 3, 3, 4*time.Second)
	defer c.stop()
	if err != nil {
		record("case", "couldn't run", "error", err)
		return failed
	}
	// The cell works: another job runs.
	if a := call(c.hosts[1], "POST", "00000000000000a1", map[string]any{"spec": "before", "steps": []any{step(2)}}, 3*time.Second); a.status != 200 {
		return failed
	}
	time.Sleep(time.Second)
	if len(startsOf("00000000000000a1")) != 2 {
		record("case", "couldn't run", "error", "the first job has not begun")
		return failed
	}
	var lost atomic.Int32
	if trouble {
		c.store.mu.Lock()
		c.store.late = func(t *txn) time.Duration {
			if !t.writes("job/" + id) {
				return 0
			}
			lost.Add(1)
			record("store", "write gets no answer", "keys", t.keys(), "executed-after", lateBy)
			return lateBy
		}
		c.store.mu.Unlock()
	}
	job := map[string]any{"spec": "late", "steps": []any{step(2), step(2, 0)}}
	first := call(c.hosts[0], "POST", id, job, time.Second)
	c.store.mu.Lock()
	c.store.late = nil // the store is well again
	c.store.mu.Unlock()
	cancelled := call(c.hosts[1], "DELETE", id, nil, 3*time.Second)
	if trouble && (first.status == 200 || lost.Load() == 0) {
		record("case", "couldn't run", "error", "the write was not lost")
		return failed
	}
	if cancelled.status/100 != 2 && cancelled.status != 410 {
		record("case", "couldn't run", "error", "the cancelling was not acknowledged")
		return failed
	}
	for range 8 {
		time.Sleep(2 * time.Second)
		call(c.hosts[2], "GET", id, nil, time.Second)
	}
	status := held
	for _, at := range startsOf(id) {
		after := at.Sub(cancelled.at)
		record("check", "start", "after-the-cancelling-was-acknowledged", after.Round(time.Millisecond), "allowed-ms", cancelMS)
		if after > cancelMS*time.Millisecond {
			status = broken
		}
	}
	return status
}
