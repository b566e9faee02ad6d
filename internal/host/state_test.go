package host

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/work"
)

// TestStoredState guards against a job that is shown as running while there is no owner, although
// its starts were withdrawn, and against one that may run and is shown as queued.
func TestStoredState(t *testing.T) {
	run := []work.Assignment{{Run: 3, Worker: "w"}}
	for _, tc := range []struct {
		name     string
		progress *work.Progress
		want     work.State
	}{
		{"no progress", nil, work.StateQueued},
		{"starts withdrawn", &work.Progress{Tasks: []work.TaskProgress{{Run: 3}}}, work.StateQueued},
		{"starts withdrawn, by an earlier build", &work.Progress{Started: true, Tasks: []work.TaskProgress{{Run: 3}}}, work.StateQueued},
		{"a start recorded", &work.Progress{Started: true, Tasks: []work.TaskProgress{{Run: 3, Runs: run}}}, work.StateRunning},
		{"begun, waits for another run", &work.Progress{Started: true, Begun: true, Tasks: []work.TaskProgress{{Run: 3}}}, work.StateRunning},
		{"a task done, by an earlier build", &work.Progress{Started: true, Tasks: []work.TaskProgress{{Run: 3, Done: true}}}, work.StateRunning},
		{"a run failed, by an earlier build", &work.Progress{Started: true, Tasks: []work.TaskProgress{{Run: 3, Failed: []int64{3}}}}, work.StateRunning},
		{"progress saved, by an earlier build", &work.Progress{Started: true, Tasks: []work.TaskProgress{{Run: 3, Checkpoint: "x"}}}, work.StateRunning},
		{"ended", &work.Progress{State: work.StateFailed}, work.StateFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			items := map[string][]byte{jobPrefix + "a": encodeJob(t, &work.Job{ID: "a", Team: "team"})}
			if tc.progress != nil {
				items[progressPrefix+"a"] = encodeProgress(t, tc.progress)
			}
			h := New()
			h.store = &kvstore.Client{Do: func(_ context.Context, req kvstore.Request) (resp kvstore.Response, err error) {
				if value, ok := items[req.Get]; ok {
					resp.Page.Items = []kvstore.Item{{Key: req.Get, Value: value, Revision: 1}}
				}
				return resp, nil
			}}
			state, team, err := h.readState(context.Background(), "a")
			assert.NilError(t, err)
			assert.Equal(t, state, tc.want)
			assert.Equal(t, team, "team")
		})
	}
}
