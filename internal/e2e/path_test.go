package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/standin"
	"turmericspread.org/turmericspread/pkg/client"
)

// smallJob describes a job whose tasks need few resources.
func smallJob(route string, tasks int, payload string) client.Spec {
	return client.Spec{
		Route: route, Tasks: tasks, Want: client.Resources{MilliCores: 500, MemoryMB: 256},
		Payload: json.RawMessage(payload),
	}
}

// TestWholePath checks every kind of work through six entry hosts.
func TestWholePath(t *testing.T) {
	c := newCluster(t, 6)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	t.Run("request", func(t *testing.T) {
		for i := range c.clients {
			body := fmt.Sprintf(`{"lot":%d}`, i)
			answer, err := c.clients[i].Request(ctx, "bid", []byte(body))
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(answer.Body), body), string(answer.Body))
		}
	})
	t.Run("batch", func(t *testing.T) {
		job, err := c.clients[0].Submit(ctx, smallJob("report", 10, `{"sleep-ms":100,"output":"priced"}`))
		assert.NilError(t, err)
		job, err = c.clients[3].Wait(ctx, job.ID)
		assert.NilError(t, err)
		assert.Equal(t, job.State, "done")
		for _, task := range job.Tasks {
			assert.Equal(t, task.Output, "priced")
		}
	})
	t.Run("service and cancel", func(t *testing.T) {
		job, err := c.clients[1].Submit(ctx, smallJob("watch", 4, `{"forever":true}`))
		assert.NilError(t, err)
		c.eventually(5*time.Second, func() error {
			job, err = c.clients[2].Get(ctx, job.ID)
			if err == nil && job.Counts["running"] != 4 {
				err = fmt.Errorf("%v", job.Counts)
			}
			return err
		})
		used := map[string]bool{}
		for _, task := range job.Tasks {
			dataCentre, _, _ := strings.Cut(task.Worker, "-")
			used[dataCentre] = true
		}
		assert.Equal(t, len(used), len(dataCentres), "the tasks of a service must be spread over all data centres")
		_, err = c.clients[4].Cancel(ctx, job.ID)
		assert.NilError(t, err)
		job, err = c.clients[5].Wait(ctx, job.ID)
		assert.NilError(t, err)
		assert.Equal(t, job.State, "cancelled")
		assert.Equal(t, standInStats[standin.WorkerStats](t, c.cell.WorkersAddress).Running, int64(0))
	})
	t.Run("gang", func(t *testing.T) {
		spec := smallJob("match", 12, `{"sleep-ms":300,"output":"matched"}`)
		spec.Want.MilliCores = 20000
		job, err := c.clients[2].Submit(ctx, spec)
		assert.NilError(t, err)
		job, err = c.clients[0].Wait(ctx, job.ID)
		assert.NilError(t, err)
		assert.Equal(t, job.State, "done")
	})
	t.Run("a service task that ends is run again", func(t *testing.T) {
		before := standInStats[standin.WorkerStats](t, c.cell.WorkersAddress).Starts
		job, err := c.clients[1].Submit(ctx, smallJob("watch", 1, `{"sleep-ms":50}`))
		assert.NilError(t, err)
		c.eventually(10*time.Second, func() error {
			if n := standInStats[standin.WorkerStats](t, c.cell.WorkersAddress).Starts - before; n < 3 {
				return fmt.Errorf("%d starts", n)
			}
			return nil
		})
		_, err = c.clients[1].Cancel(ctx, job.ID)
		assert.NilError(t, err)
	})
	t.Run("bad calls", func(t *testing.T) { badCalls(ctx, t, c) })

	c.checkStandIns()
	c.checkInvariants(0, 1, 2, 3, 4, 5)
}

// badCalls checks that every invalid call is rejected with an error of the right
// status and the outcome "not run".
func badCalls(ctx context.Context, t *testing.T, c *cluster) {
	other := &client.Client{Address: c.clients[0].Address, Key: c.keys["weather"]}
	job, err := c.clients[0].Submit(ctx, smallJob("report", 1, `{}`))
	assert.NilError(t, err)
	big := []byte(strings.Repeat("x", 2<<20))
	for _, tc := range []struct {
		name   string
		call   func() error
		status int
	}{
		{"no key", func() error {
			_, err := (&client.Client{Address: other.Address}).Request(ctx, "bid", nil)
			return err
		}, 401},
		{"wrong key", func() error {
			_, err := (&client.Client{Address: other.Address, Key: "tsk-00-11"}).Get(ctx, job.ID)
			return err
		}, 401},
		{"team key for an operator's call", func() error {
			return other.Call(ctx, http.MethodGet, "/v1/dump", nil, nil)
		}, 401},
		{"another team's job", func() error { _, err := other.Get(ctx, job.ID); return err }, 404},
		{"unknown job", func() error { _, err := other.Get(ctx, "weather.none"); return err }, 404},
		{"unknown route of a request", func() error { _, err := other.Request(ctx, "nowhere", nil); return err }, 404},
		{"unknown route of a job", func() error { _, err := other.Submit(ctx, smallJob("nowhere", 1, `{}`)); return err }, 400},
		{"no tasks", func() error { _, err := other.Submit(ctx, smallJob("report", 0, `{}`)); return err }, 400},
		{"unknown field", func() error {
			return other.Call(ctx, http.MethodPost, "/v1/jobs", struct {
				Rout string `json:"rout"`
			}{"report"}, nil)
		}, 400},
		{"impossible size", func() error {
			spec := smallJob("report", 1, `{}`)
			spec.Want.MilliCores = 1_000_000
			_, err := other.Submit(ctx, spec)
			return err
		}, 422},
		{"body beyond the limit", func() error { _, err := other.Request(ctx, "bid", big); return err }, 413},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.call()
			var refused *client.Error
			assert.Assert(t, errors.As(err, &refused), "%v", err)
			assert.Equal(t, refused.Status, tc.status, refused.Reason)
			assert.Equal(t, refused.Outcome, client.OutcomeNotRun, "the error must say that nothing was run")
		})
	}
}

// TestIdleCost bounds the memory of an idle entry process and its calls to the store.
func TestIdleCost(t *testing.T) {
	c := newCluster(t, 6)
	time.Sleep(3 * time.Second)
	const span = 10 * time.Second
	before := standInStats[standin.StoreStats](t, c.cell.StoreAddress)
	time.Sleep(span)
	after := standInStats[standin.StoreStats](t, c.cell.StoreAddress)
	n := float64(len(c.entries)) * span.Seconds()
	reads := float64(after.Reads+after.Watches-before.Reads-before.Watches) / n
	writes := float64(after.Writes-before.Writes) / n
	var resident float64
	for _, p := range c.entries {
		resident = max(resident, p.residentMB(t))
	}
	t.Logf("idle entry process: %.1f MB resident, %.2f store reads/s, %.2f store writes/s", resident, reads, writes)
	assert.Assert(t, resident <= 32, "resident memory %.1f MB", resident)
	assert.Assert(t, reads <= 2, "%.2f store reads/s", reads)
	assert.Assert(t, writes <= 0.5, "%.2f store writes/s", writes)
}
