package host

import (
	"context"
	"fmt"
	"time"

	"turmericspread.org/turmericspread/internal/carrier"
	"turmericspread.org/turmericspread/internal/cell"
	"turmericspread.org/turmericspread/internal/kvstore"
	"turmericspread.org/turmericspread/internal/work"
)

var (
	// callBuckets are the histogram bounds, in seconds, for calls within the
	// cell. They range from the few milliseconds of a healthy store to the
	// longest timeout.
	callBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}
	// waitBuckets are the histogram bounds, in seconds, for the waiting time of
	// work. Urgent work has to start within 0.25 s, and after an outage some
	// work waits for minutes.
	waitBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300}
)

// observe adds a duration to the histogram with the given name and labels.
func (s *Stats) observe(name string, buckets []float64, d time.Duration) {
	s.set.GetOrCreatePrometheusHistogramExt("turmericspread_"+name, buckets).Update(d.Seconds())
}

// ObserveRequest adds a completed HTTP request to the metrics.
func (h *Host) ObserveRequest(method string, status int, took time.Duration) {
	h.stats.set.GetOrCreateCounter(fmt.Sprintf(`turmericspread_answers_total{method=%q,status="%d"}`, method, status)).Inc()
	h.stats.observe(fmt.Sprintf(`request_seconds{method=%q,status="%dxx"}`, method, status/100), callBuckets, took)
}

// observeStore measures the requests to the store.
func (h *Host) observeStore(do func(context.Context, kvstore.Request) (kvstore.Response, error)) func(context.Context, kvstore.Request) (kvstore.Response, error) {
	return func(ctx context.Context, req kvstore.Request) (resp kvstore.Response, err error) {
		start := time.Now()
		resp, err = do(ctx, req)
		if req.Watch == nil { // a watch is slow by design
			name := fmt.Sprintf(`store_call_seconds{kind=%q,result=%q}`, storeKind(&req), storeResult(resp, err))
			h.stats.observe(name, callBuckets, time.Since(start))
		}
		return resp, err
	}
}

// storeKind returns the metric label for the kind of a request.
func storeKind(req *kvstore.Request) string {
	switch {
	case req.Txn != nil:
		return "write"
	case req.Range != nil:
		return "list"
	}
	return "get"
}

// storeResult returns the metric label for the result of a request.
func storeResult(resp kvstore.Response, err error) string {
	switch {
	case err == nil && resp.Conflict:
		return "conflict"
	case err == nil:
		return "ok"
	case kvstore.NotApplied(err):
		return "refused"
	}
	return "unknown"
}

// observeWorkers measures the calls to workers that this host makes.
func (h *Host) observeWorkers(t carrier.Targets) carrier.Targets {
	record := func(call string, start time.Time, err error) {
		result := "ok"
		switch {
		case work.IsRefusal(err):
			result = "refused"
		case err != nil:
			result = "unknown"
		}
		h.stats.observe(fmt.Sprintf(`worker_call_seconds{call=%q,result=%q}`, call, result), callBuckets, time.Since(start))
	}
	return carrier.Targets{
		Start: func(ctx context.Context, w work.Worker, request work.StartRequest) (response work.RunResponse, err error) {
			defer func(start time.Time) { record("start", start, err) }(time.Now())
			return t.Start(ctx, w, request)
		},
		Stop: func(ctx context.Context, w work.Worker, request work.RunRequest) (response work.RunResponse, err error) {
			defer func(start time.Time) { record("stop", start, err) }(time.Now())
			return t.Stop(ctx, w, request)
		},
		Renew: func(ctx context.Context, w work.Worker, request work.RenewRequest) (response work.RenewResponse, err error) {
			defer func(start time.Time) { record("hold", start, err) }(time.Now())
			return t.Renew(ctx, w, request)
		},
		Throttle: func(ctx context.Context, w work.Worker, request work.RunRequest, percent int) (response work.RunResponse, err error) {
			defer func(start time.Time) { record("pace", start, err) }(time.Now())
			return t.Throttle(ctx, w, request, percent)
		},
	}
}

// observeStart adds the time between the earliest possible and the actual first
// start of a task to the metrics.
func (h *Host) observeStart(queue string, waited time.Duration) {
	h.stats.observe(fmt.Sprintf(`start_wait_seconds{queue=%q}`, queue), waitBuckets, waited)
}

// observeJob adds a finished job to the metrics.
func (h *Host) observeJob(queue string, state work.State, age time.Duration) {
	h.stats.observe(fmt.Sprintf(`job_seconds{queue=%q,state=%q}`, queue, state), waitBuckets, age)
}

// observeWait adds the time that a step waited for one reason to the metrics.
func (h *Host) observeWait(queue string, reason cell.WaitReason, d time.Duration) {
	h.stats.observe(fmt.Sprintf(`step_wait_seconds{queue=%q,reason=%q}`, queue, reason), waitBuckets, d)
}
