package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"turmericspread.org/turmericspread/internal/httpserve"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/worker"
)

// Work is the payload of a task. It describes how the task behaves on a stand-in
// worker.
type Work struct {
	SleepMS int64           `json:"sleep-ms"` // duration of the task
	Forever bool            `json:"forever"`  // never finishes; SleepMS is ignored
	Output  string          `json:"output"`
	Fail    bool            `json:"fail"`
	FailOn  string          `json:"fail-on"` // fails on workers whose name has this prefix
	Usage   resource.Vector `json:"usage"`   // resources that the task uses, whatever its demand
}

// WorkerStats holds the counters of the stand-in workers. OverCommits, DoubleRuns
// and DoubleStarts count faults of the scheduler.
type WorkerStats struct {
	Grants        int64 `json:"grants"`
	Starts        int64 `json:"starts"`
	Running       int64 `json:"running"`
	ExpiredLeases int64 `json:"lapsed"`
	Fenced        int64 `json:"fenced"` // requests rejected because of their epoch
	// OverCommits counts rejected grants that exceed the capacity of a worker.
	OverCommits int64 `json:"refused-over-commits"`
	// DoubleRuns counts starts of a task while another attempt of it was running.
	DoubleRuns int64 `json:"double-runs"`
	// DoubleAttempts lists the attempts counted in DoubleRuns and DoubleStarts.
	DoubleAttempts []string `json:"doubles,omitempty"`
	// DoubleStarts counts repeated starts of tasks with the label non-idempotent.
	DoubleStarts int64 `json:"double-starts"`
	// PeakByTeam is the largest number of tasks of each team that ran at a time.
	PeakByTeam map[string]int64 `json:"peak-by-team"`
}

// usageLag is the time after its start at which a task's usage appears in reports.
const usageLag = 2 * time.Second

// standinTask is one attempt to run a task on a worker.
type standinTask struct {
	grant      worker.Grant
	state      worker.State
	work       Work
	expires    time.Time
	started    time.Time
	ended      time.Time
	progress   time.Duration // progress from the checkpoint with which it started
	output     string
	checkpoint []byte
}

// standinWorker is one worker. Its tasks are kept by the ID of the attempt.
type standinWorker struct {
	name     string
	capacity resource.Vector
	epoch    int64 // highest epoch received
	tasks    map[string]*standinTask
	starts   int64 // tasks started
}

// Workers is a stand-in for any number of workers.
type Workers struct {
	// IgnoreEpochs makes the workers accept requests of any epoch, so that only the
	// leases of tasks protect against an outdated owner.
	IgnoreEpochs bool

	mu      sync.Mutex
	workers map[string]*standinWorker
	frozen  map[string]bool // unreachable workers
	stats   WorkerStats
	running map[string]int   // running attempts by taskKey
	started map[string]int64 // starts by taskKey
	teams   map[string]int64 // running tasks by team
}

// NewWorkers returns a stand-in without workers. Add adds them.
func NewWorkers() *Workers {
	return &Workers{
		workers: map[string]*standinWorker{},
		frozen:  map[string]bool{},
		running: map[string]int{},
		started: map[string]int64{},
		teams:   map[string]int64{},
		stats:   WorkerStats{PeakByTeam: map[string]int64{}},
	}
}

// Add adds a worker.
func (s *Workers) Add(name string, capacity resource.Vector) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[name] = &standinWorker{name: name, capacity: capacity, tasks: map[string]*standinTask{}}
}

// Remove stops all tasks on a worker and removes the worker.
func (s *Workers) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.workers[name]
	if !ok {
		return
	}
	for _, task := range w.tasks {
		if task.state.Live() {
			s.endTask(task, worker.StateLeaseExpired, time.Now())
		}
	}
	delete(s.workers, name)
}

// Overused returns an error if the running tasks of a worker use more than its
// capacity.
func (s *Workers) Overused() error { return s.OverusedFor(0) }

// OverusedFor returns an error if the running tasks of a worker use more than its
// capacity and the latest of them started at least d ago.
func (s *Workers) OverusedFor(d time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, w := range s.workers {
		var sum resource.Vector
		lastStart := time.Time{}
		for _, task := range w.tasks {
			if task.state != worker.StateRunning {
				continue
			}
			sum = sum.Add(task.work.Usage)
			if task.started.After(lastStart) {
				lastStart = task.started
			}
		}
		if !w.capacity.Fits(sum) && now.Sub(lastStart) >= d {
			return Error.New("worker %s has %s, its tasks use %s", name, w.capacity, sum)
		}
	}
	return nil
}

// StartsOn returns the number of tasks started on a worker.
func (s *Workers) StartsOn(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[name].starts
}

// RunningByTeam returns the number of running tasks of each team.
func (s *Workers) RunningByTeam() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.teams)
}

// Freeze makes a worker unreachable or reachable again. Its tasks continue to run
// and its leases to expire.
func (s *Workers) Freeze(name string, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen[name] = frozen
}

// Run ends tasks when they finish or their leases expire, until ctx ends.
func (s *Workers) Run(ctx context.Context) {
	const period = 5 * time.Millisecond
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for _, w := range s.workers {
				s.advance(w, now)
			}
			s.mu.Unlock()
		}
	}
}

// Routes registers the handlers of the workers on srv.
func (s *Workers) Routes(srv *server.Hertz) {
	group := srv.Group("/v1/workers/:worker")
	group.POST("/grant", handleWorker(s, s.grant))
	group.POST("/start", handleWorker(s, s.start))
	group.POST("/renew", handleWorker(s, s.renew))
	group.GET("/tasks", handleWorker(s, s.list))
	group.POST("/stop", handleWorker(s, s.stop))
	group.POST("/checkpoint", handleWorker(s, s.checkpoint))
	group.POST("/throttle", handleWorker(s, s.throttle))
	group.POST("/forget", handleWorker(s, s.forget))
	srv.GET("/v1/stats", func(_ context.Context, c *app.RequestContext) { httpserve.JSON(c, 200, s.Stats()) })
	srv.POST("/v1/freeze/:worker", s.handleFreeze)
}

// handleFreeze makes a worker unreachable, or reachable again if the query contains
// off.
func (s *Workers) handleFreeze(_ context.Context, c *app.RequestContext) {
	s.Freeze(c.Param("worker"), c.Query("off") == "")
}

// Stats returns a copy of the counters.
func (s *Workers) Stats() WorkerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.PeakByTeam = map[string]int64{}
	for team, n := range s.stats.PeakByTeam {
		stats.PeakByTeam[team] = n
	}
	for _, n := range s.running {
		stats.Running += int64(n)
	}
	return stats
}

// taskRef is the body of requests that concern a single task. Only a throttle
// request sets Limit.
type taskRef struct {
	Task  string          `json:"task"`
	Limit resource.Vector `json:"limit"`
}

// handleWorker returns a handler that decodes the body, looks up the worker and
// calls fn while it holds s.mu. The results of fn are the status and the body of the
// response. An unreachable worker responds with status 503.
func handleWorker[In any](s *Workers, fn func(w *standinWorker, in In, now time.Time) (int, any)) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		var in In
		if len(c.Request.Body()) > 0 {
			if err := httpserve.Decode(c, &in); err != nil {
				c.SetStatusCode(400)
				return
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		w, ok := s.workers[c.Param("worker")]
		if !ok {
			c.SetStatusCode(404)
			return
		}
		if s.frozen[w.name] {
			c.SetStatusCode(503)
			return
		}
		now := time.Now()
		s.advance(w, now)
		status, out := fn(w, in, now)
		if out == nil {
			out = struct{}{}
		}
		httpserve.JSON(c, status, out)
	}
}

// advance ends tasks that have finished or whose lease has expired, and removes ended
// tasks after the retention period.
func (s *Workers) advance(w *standinWorker, now time.Time) {
	const retention = time.Minute
	for id, task := range w.tasks {
		switch {
		case task.state == worker.StateRunning && task.finishedBy(now):
			state := worker.StateFinished
			if task.work.Fail || task.work.FailOn != "" && strings.HasPrefix(w.name, task.work.FailOn) {
				state = worker.StateFailed
			}
			task.output = task.work.Output
			s.endTask(task, state, now)
		case task.state.Live() && !now.Before(task.expires):
			s.stats.ExpiredLeases++
			s.endTask(task, worker.StateLeaseExpired, now)
		case !task.state.Live() && now.Sub(task.ended) > retention:
			delete(w.tasks, id)
		}
	}
}

// finishedBy reports whether the task has run for its whole duration.
func (t *standinTask) finishedBy(now time.Time) bool {
	return !t.work.Forever && t.progress+now.Sub(t.started) >= time.Duration(t.work.SleepMS)*time.Millisecond
}

// endTask moves a task to a final state. This frees its resources, because only live
// tasks count as used.
func (s *Workers) endTask(task *standinTask, state worker.State, now time.Time) {
	if task.state == worker.StateRunning {
		s.running[taskKey(task.grant)]--
		if s.running[taskKey(task.grant)] == 0 {
			delete(s.running, taskKey(task.grant))
		}
		s.teams[task.grant.Labels["team"]]--
	}
	task.state = state
	task.ended = now
}

// taskKey identifies the task of a grant independently of the attempt.
func taskKey(grant worker.Grant) string {
	return grant.Labels["job"] + "/" + grant.Labels["index"]
}

// used returns the resources of all live tasks.
func (w *standinWorker) used() (sum resource.Vector) {
	for _, task := range w.tasks {
		if task.state.Live() {
			sum = sum.Add(task.grant.Demand)
		}
	}
	return sum
}

// fenced reports whether the worker rejects epoch because it has received a higher
// one. Otherwise it records epoch.
func (s *Workers) fenced(w *standinWorker, epoch int64) bool {
	if s.IgnoreEpochs {
		return false
	}
	if epoch < w.epoch {
		s.stats.Fenced++
		return true
	}
	w.epoch = epoch
	return false
}

// grant reserves the resources of a task under a new lease.
func (s *Workers) grant(w *standinWorker, in worker.Grant, now time.Time) (int, any) {
	if s.fenced(w, in.Epoch) {
		return 412, nil
	}
	if _, ok := w.tasks[in.Task]; ok {
		return 409, nil
	}
	if !w.capacity.Sub(w.used()).Fits(in.Demand) {
		s.stats.OverCommits++
		return 507, nil
	}
	s.stats.Grants++
	w.tasks[in.Task] = &standinTask{
		grant:   in,
		state:   worker.StateGranted,
		expires: now.Add(time.Duration(in.TTLMS) * time.Millisecond),
	}
	return 200, nil
}

// start runs a granted task, from the progress in the checkpoint if there is one.
func (s *Workers) start(w *standinWorker, in worker.Start, now time.Time) (int, any) {
	if s.fenced(w, in.Epoch) {
		return 412, nil
	}
	task, ok := w.tasks[in.Task]
	if !ok || task.state != worker.StateGranted {
		return 410, nil
	}
	_ = json.Unmarshal(in.Payload, &task.work)
	task.state, task.started = worker.StateRunning, now
	if len(in.Resume) > 0 {
		var ms int64
		_, _ = fmt.Sscan(string(in.Resume), &ms)
		task.progress = time.Duration(ms) * time.Millisecond
	}
	w.starts++
	s.countStart(task)
	return 200, nil
}

// countStart updates the counters for the start of a task.
func (s *Workers) countStart(task *standinTask) {
	s.stats.Starts++
	name := taskKey(task.grant)
	s.running[name]++
	if s.running[name] > 1 {
		s.stats.DoubleRuns++
		s.stats.DoubleAttempts = append(s.stats.DoubleAttempts, task.grant.Task)
	}
	s.started[name]++
	if task.grant.Labels["non-idempotent"] != "" && s.started[name] > 1 {
		s.stats.DoubleStarts++
		s.stats.DoubleAttempts = append(s.stats.DoubleAttempts, task.grant.Task)
	}
	team := task.grant.Labels["team"]
	s.teams[team]++
	s.stats.PeakByTeam[team] = max(s.stats.PeakByTeam[team], s.teams[team])
}

// renew extends the leases of live tasks and ignores other tasks.
func (s *Workers) renew(w *standinWorker, in worker.Renew, now time.Time) (int, any) {
	if s.fenced(w, in.Epoch) {
		return 412, nil
	}
	for _, id := range in.Tasks {
		if task, ok := w.tasks[id]; ok && task.state.Live() {
			task.expires = now.Add(time.Duration(in.TTLMS) * time.Millisecond)
		}
	}
	return 200, w.report(now)
}

func (s *Workers) list(w *standinWorker, _ struct{}, now time.Time) (int, any) {
	return 200, w.report(now)
}

// report lists the tasks of the worker in the order of their IDs.
func (w *standinWorker) report(now time.Time) worker.Report {
	report := worker.Report{Worker: w.name, Tasks: []worker.Task{}}
	for _, task := range w.tasks {
		row := worker.Task{
			Task: task.grant.Task, State: task.state, Demand: task.grant.Demand,
			Labels: task.grant.Labels, Output: task.output, Checkpoint: task.checkpoint,
		}
		if task.state == worker.StateRunning && now.Sub(task.started) > usageLag {
			row.Usage = task.work.Usage
		}
		report.Tasks = append(report.Tasks, row)
	}
	slices.SortFunc(report.Tasks, func(a, b worker.Task) int { return strings.Compare(a.Task, b.Task) })
	return report
}

func (s *Workers) stop(w *standinWorker, in taskRef, now time.Time) (int, any) {
	task, ok := w.tasks[in.Task]
	if !ok {
		return 410, nil
	}
	if task.state.Live() {
		s.endTask(task, worker.StateStopped, now)
	}
	return 200, nil
}

// checkpoint saves the time for which the task has run, in milliseconds.
func (s *Workers) checkpoint(w *standinWorker, in taskRef, now time.Time) (int, any) {
	task, ok := w.tasks[in.Task]
	if !ok || task.state != worker.StateRunning {
		return 410, nil
	}
	total := task.progress + now.Sub(task.started)
	task.checkpoint = fmt.Append(nil, total.Milliseconds())
	return 200, struct {
		Checkpoint []byte `json:"checkpoint"`
	}{task.checkpoint}
}

// throttle lowers the processor usage of a task to the limit. Other resources are not
// limited.
func (s *Workers) throttle(w *standinWorker, in taskRef, _ time.Time) (int, any) {
	task, ok := w.tasks[in.Task]
	if !ok || task.state != worker.StateRunning {
		return 410, nil
	}
	task.work.Usage.MilliCores = min(task.work.Usage.MilliCores, in.Limit.MilliCores)
	return 200, nil
}

// forget removes the given tasks, except those that are live.
func (s *Workers) forget(w *standinWorker, in struct {
	Tasks []string `json:"tasks"`
}, _ time.Time) (int, any) {
	for _, id := range in.Tasks {
		if task, ok := w.tasks[id]; ok && !task.state.Live() {
			delete(w.tasks, id)
		}
	}
	return 200, nil
}
