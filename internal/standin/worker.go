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

// Work is what the stand-in workers read from a task's payload.
type Work struct {
	SleepMS int64           `json:"sleep-ms"`
	Forever bool            `json:"forever"`
	Output  string          `json:"output"`
	Fail    bool            `json:"fail"`
	FailOn  string          `json:"fail-on"` // fails on workers whose name starts so
	Usage   resource.Vector `json:"usage"`
}

// WorkerStats counts what the stand-in workers saw. The last three are faults
// of the scheduler.
type WorkerStats struct {
	Grants      int64 `json:"grants"`
	Starts      int64 `json:"starts"`
	Running     int64 `json:"running"`
	Lapsed      int64 `json:"lapsed"`
	Fenced      int64 `json:"fenced"`
	OverCommits int64 `json:"refused-over-commits"`
	DoubleRuns  int64 `json:"double-runs"`
	// Doubles names the attempts that ran besides another of the same task.
	Doubles []string `json:"doubles,omitempty"`
	// DoubleStarts counts tasks labelled non-idempotent that were started twice.
	DoubleStarts int64 `json:"double-starts"`
	// PeakByTeam is the most tasks of each team that ran at one instant.
	PeakByTeam map[string]int64 `json:"peak-by-team"`
}

// usageLag is how long a task's usage takes to show in reports.
const usageLag = 2 * time.Second

type standinTask struct {
	grant      worker.Grant
	state      worker.State
	work       Work
	expires    time.Time
	started    time.Time
	ended      time.Time
	done       time.Duration // progress kept by a checkpoint
	output     string
	checkpoint []byte
}

type standinWorker struct {
	name     string
	capacity resource.Vector
	epoch    int64
	tasks    map[string]*standinTask
	starts   int64
}

// Workers stands in for any number of workers.
type Workers struct {
	// Weak workers know only task leases and ignore epochs.
	Weak bool

	mu      sync.Mutex
	workers map[string]*standinWorker
	frozen  map[string]bool
	stats   WorkerStats
	running map[string]int   // logical task -> workers it runs on
	started map[string]int64 // logical task -> starts
	teams   map[string]int64 // team -> running tasks
}

// NewWorkers returns stand-ins without workers.
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

// Remove stops everything on a worker and forgets it.
func (s *Workers) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.workers[name]
	if !ok {
		return
	}
	for _, task := range w.tasks {
		if task.state.Live() {
			s.end(task, worker.StateLeaseExpired, time.Now())
		}
	}
	delete(s.workers, name)
}

// Overused names a worker whose tasks use more than it has.
func (s *Workers) Overused() error { return s.OverusedFor(0) }

// OverusedFor names a worker whose tasks have used more than it has since
// before the given duration.
func (s *Workers) OverusedFor(d time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, w := range s.workers {
		var sum resource.Vector
		youngest := time.Time{}
		for _, task := range w.tasks {
			if task.state != worker.StateRunning {
				continue
			}
			sum = sum.Add(task.work.Usage)
			if task.started.After(youngest) {
				youngest = task.started
			}
		}
		if !w.capacity.Fits(sum) && now.Sub(youngest) >= d {
			return Error.New("worker %s has %s, its tasks use %s", name, w.capacity, sum)
		}
	}
	return nil
}

// StartsOn returns how many tasks were started on a worker.
func (s *Workers) StartsOn(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[name].starts
}

// RunningByTeam returns how many tasks of each team run.
func (s *Workers) RunningByTeam() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.teams)
}

// Freeze makes a worker unreachable, or reachable again; its tasks and leases go on.
func (s *Workers) Freeze(name string, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen[name] = frozen
}

// Run ends leases and tasks on time until ctx ends.
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

// Routes registers the workers' handlers on srv.
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

func (s *Workers) handleFreeze(_ context.Context, c *app.RequestContext) {
	s.Freeze(c.Param("worker"), c.Query("off") == "")
}

// Stats returns what was counted so far.
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

type taskRef struct {
	Task  string          `json:"task"`
	Limit resource.Vector `json:"limit"`
}

// handleWorker decodes the body, finds the worker and calls fn under the lock.
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

// advance ends tasks that are done and leases that lapsed.
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
			s.end(task, state, now)
		case task.state.Live() && !now.Before(task.expires):
			s.stats.Lapsed++
			s.end(task, worker.StateLeaseExpired, now)
		case !task.state.Live() && now.Sub(task.ended) > retention:
			delete(w.tasks, id)
		}
	}
}

func (t *standinTask) finishedBy(now time.Time) bool {
	return !t.work.Forever && t.done+now.Sub(t.started) >= time.Duration(t.work.SleepMS)*time.Millisecond
}

// end leaves the running state, if any, and frees the task's resources.
func (s *Workers) end(task *standinTask, state worker.State, now time.Time) {
	if task.state == worker.StateRunning {
		s.running[logical(task.grant)]--
		if s.running[logical(task.grant)] == 0 {
			delete(s.running, logical(task.grant))
		}
		s.teams[task.grant.Labels["team"]]--
	}
	task.state = state
	task.ended = now
}

// logical names the task whatever the attempt.
func logical(grant worker.Grant) string {
	return grant.Labels["job"] + "/" + grant.Labels["index"]
}

func (w *standinWorker) used() (sum resource.Vector) {
	for _, task := range w.tasks {
		if task.state.Live() {
			sum = sum.Add(task.grant.Demand)
		}
	}
	return sum
}

func (s *Workers) fenced(w *standinWorker, epoch int64) bool {
	if s.Weak {
		return false
	}
	if epoch < w.epoch {
		s.stats.Fenced++
		return true
	}
	w.epoch = epoch
	return false
}

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
		task.done = time.Duration(ms) * time.Millisecond
	}
	w.starts++
	s.countStart(task)
	return 200, nil
}

func (s *Workers) countStart(task *standinTask) {
	s.stats.Starts++
	name := logical(task.grant)
	s.running[name]++
	if s.running[name] > 1 {
		s.stats.DoubleRuns++
		s.stats.Doubles = append(s.stats.Doubles, task.grant.Task)
	}
	s.started[name]++
	if task.grant.Labels["non-idempotent"] != "" && s.started[name] > 1 {
		s.stats.DoubleStarts++
		s.stats.Doubles = append(s.stats.Doubles, task.grant.Task)
	}
	team := task.grant.Labels["team"]
	s.teams[team]++
	s.stats.PeakByTeam[team] = max(s.stats.PeakByTeam[team], s.teams[team])
}

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
		s.end(task, worker.StateStopped, now)
	}
	return 200, nil
}

func (s *Workers) checkpoint(w *standinWorker, in taskRef, now time.Time) (int, any) {
	task, ok := w.tasks[in.Task]
	if !ok || task.state != worker.StateRunning {
		return 410, nil
	}
	done := task.done + now.Sub(task.started)
	task.checkpoint = fmt.Append(nil, done.Milliseconds())
	return 200, struct {
		Checkpoint []byte `json:"checkpoint"`
	}{task.checkpoint}
}

func (s *Workers) throttle(w *standinWorker, in taskRef, _ time.Time) (int, any) {
	task, ok := w.tasks[in.Task]
	if !ok || task.state != worker.StateRunning {
		return 410, nil
	}
	task.work.Usage.MilliCores = min(task.work.Usage.MilliCores, in.Limit.MilliCores)
	return 200, nil
}

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
