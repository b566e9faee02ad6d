package host

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// pagedStore answers listings from functions that return the item with a number. Nothing
// is kept of an item.
type pagedStore struct {
	pageItems int
	items     map[string]func(i int) (kvstore.Item, bool) // by prefix
	fail      string                                      // prefix whose second page fails
}

func (s *pagedStore) do(_ context.Context, req kvstore.Request) (resp kvstore.Response, err error) {
	item := s.items[req.Range.Prefix]
	resp.Page.Revision = 77
	for i := 0; ; i++ {
		it, ok := item(i)
		switch {
		case !ok:
			return resp, nil
		case it.Key <= req.Range.After:
			continue
		case s.fail == req.Range.Prefix && req.Range.After != "":
			return kvstore.Response{}, kvstore.ErrRefused
		case len(resp.Page.Items) == s.pageItems:
			resp.Page.More = true
			return resp, nil
		}
		resp.Page.Items = append(resp.Page.Items, it)
	}
}

func hostOnStore(s *pagedStore) *Host {
	h := New()
	h.store = &kvstore.Client{Do: s.do}
	return h
}

// listed returns a function for pagedStore that lists the given items, which are sorted.
func listed(items ...kvstore.Item) func(i int) (kvstore.Item, bool) {
	return func(i int) (item kvstore.Item, ok bool) {
		if i >= len(items) {
			return item, false
		}
		return items[i], true
	}
}

func encodeJob(t *testing.T, job *work.Job) []byte {
	data, err := work.EncodeJob(job)
	assert.NilError(t, err)
	return data
}

func encodeProgress(t *testing.T, p *work.Progress) []byte {
	data, err := work.EncodeProgress(p)
	assert.NilError(t, err)
	return data
}

// TestLoadJobs reads jobs, cancellations and progress over several pages, in which rows are
// malformed or have no counterpart.
func TestLoadJobs(t *testing.T) {
	step := work.Step{Count: 1, Demand: resource.Vector{MilliCores: 1000}}
	jobItem := func(id string) kvstore.Item {
		return kvstore.Item{Key: jobPrefix + id, Revision: 1, Value: encodeJob(t, &work.Job{ID: id, Team: "team", Steps: []work.Step{step}})}
	}
	progressItem := func(id string, revision int64, p *work.Progress) kvstore.Item {
		return kvstore.Item{Key: progressPrefix + id, Revision: revision, Value: encodeProgress(t, p)}
	}
	ended := &work.Progress{State: work.StateCompleted, Ended: 9, Tasks: []work.TaskProgress{{Done: true}}}
	occupied := &work.Progress{State: work.StateFailed, Tasks: []work.TaskProgress{{Runs: []work.Assignment{{Run: 1, Worker: "w"}}}}}
	s := &pagedStore{pageItems: 2, items: map[string]func(int) (kvstore.Item, bool){
		jobPrefix: listed(
			jobItem("01"), jobItem("02"), kvstore.Item{Key: jobPrefix + "02.cancel", Revision: 1},
			kvstore.Item{Key: jobPrefix + "03", Revision: 1, Value: []byte("odd")}, kvstore.Item{Key: jobPrefix + "03.cancel", Revision: 1},
			jobItem("04"), jobItem("05"), jobItem("06"), jobItem("07"),
		),
		progressPrefix: listed(
			progressItem("00", 1, ended), progressItem("02", 2, &work.Progress{Started: true}), progressItem("03", 3, ended),
			progressItem("04", 4, ended), progressItem("05", 5, occupied), kvstore.Item{Key: progressPrefix + "06", Revision: 6, Value: []byte("odd")},
			progressItem("08", 8, ended), progressItem("09", 9, ended), progressItem("0a", 10, ended),
		),
	}}
	var pages atomic.Int64 // both listings report their pages
	stored, watchFrom, err := hostOnStore(s).loadJobs(context.Background(), func() { pages.Add(1) })
	assert.NilError(t, err)
	assert.Equal(t, watchFrom, int64(77))
	var got []string
	for _, st := range stored {
		state := "none"
		if st.Progress != nil {
			state = fmt.Sprintf("%q started %v", st.Progress.State, st.Progress.Started)
		}
		got = append(got, fmt.Sprintf("%s steps %d cancelled %v revision %d progress %s", st.Job.ID, len(st.Job.Steps), st.Cancelled, st.Revision, state))
	}
	assert.DeepEqual(t, got, []string{
		`01 steps 1 cancelled false revision 0 progress none`,
		`02 steps 1 cancelled true revision 2 progress "" started true`,
		`04 steps 0 cancelled false revision 4 progress "completed" started false`,
		`05 steps 1 cancelled false revision 5 progress "failed" started false`,
		`06 steps 1 cancelled false revision 0 progress none`,
		`07 steps 1 cancelled false revision 0 progress none`,
	})
	for _, prefix := range []string{jobPrefix, progressPrefix} {
		s.fail = prefix
		_, _, err := hostOnStore(s).loadJobs(context.Background(), func() {})
		assert.Assert(t, err != nil, "the second page of %s fails", prefix)
	}
}

// TestLoadManyEndedJobs guards against a takeover that needs more memory than a host has,
// because the store holds the ended jobs of hours: little may be kept of each.
func TestLoadManyEndedJobs(t *testing.T) {
	const jobs, maxKept = 20000, 512
	id := func(i int) string { return fmt.Sprintf("%016x", i) }
	payload := strings.Repeat("x", 300)
	tasks := make([]work.TaskProgress, 10)
	for i := range tasks {
		tasks[i] = work.TaskProgress{Number: i, Run: 1, Done: true}
	}
	progress := encodeProgress(t, &work.Progress{State: work.StateCompleted, Ended: 9, Started: true, Tasks: tasks})
	steps := []work.Step{{Count: 6}, {Count: 4, After: []int{0}}}
	s := &pagedStore{pageItems: 500}
	s.items = map[string]func(int) (kvstore.Item, bool){
		jobPrefix: func(i int) (item kvstore.Item, ok bool) {
			job := &work.Job{ID: id(i), Team: "team", Queue: "queue", Payload: payload, Steps: steps}
			return kvstore.Item{Key: jobPrefix + id(i), Value: encodeJob(t, job), Revision: 1}, i < jobs
		},
		progressPrefix: func(i int) (item kvstore.Item, ok bool) {
			return kvstore.Item{Key: progressPrefix + id(i), Value: progress, Revision: 1}, i < jobs
		},
	}
	// The listings are made once, so that a page does not count its predecessors.
	for prefix, item := range s.items {
		var list []kvstore.Item
		for i := range jobs {
			it, _ := item(i)
			list = append(list, it)
		}
		s.items[prefix] = listed(list...)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	stored, _, err := hostOnStore(s).loadJobs(context.Background(), func() {})
	assert.NilError(t, err)
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, len(stored), jobs)
	kept := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / jobs
	assert.Assert(t, kept < maxKept, "%d bytes are kept of each job", kept)
	runtime.KeepAlive(stored)
}

// TestListInterval checks that a list that takes long to read is read again before it is
// too old to start work by it.
func TestListInterval(t *testing.T) {
	for _, tc := range []struct {
		workers int
		took    time.Duration
	}{{48, 20 * time.Millisecond}, {350, 300 * time.Millisecond}, {3800, 100 * time.Millisecond}, {3800, 600 * time.Millisecond}} {
		interval := listInterval(tc.workers, tc.took)
		age := interval + 2*tc.took // when the next list is applied
		assert.Assert(t, age < cell.MaxListAge, "%+v: %s", tc, age)
		assert.Assert(t, interval >= minWorkersInterval && interval <= maxWorkersInterval, "%+v: %s", tc, interval)
	}
	assert.Equal(t, listInterval(48, time.Minute), minWorkersInterval)
}
