package cell

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// simWorker is a worker that enforces fencing tokens, deadlines and leases.
type simWorker struct {
	sim          *sim
	worker       work.Worker
	fence        int64
	startedAt    time.Duration // of this incarnation
	leaseEnd     time.Duration // on its own clock
	runs         map[string]*simRun
	highestEnded map[string]int64 // highest run number stopped or ended, by task
	ends         []work.RunResult
	endedAt      map[int64]time.Duration // of each end, by sequence number
	lapsedAt     time.Duration           // when the lease last expired
	lastSequence int64
	unreachable  bool // no call reaches it
	down         bool
	unlisted     bool
	drainingAt   time.Duration // when it began to drain
	staleEntry   *work.Worker  // entry in the store while it is not that of this incarnation
	replaced     bool          // another worker responds at its address
	gone         bool          // its process has ended for good
	fails        bool          // every run fails
	stalls       bool          // no run makes progress
	slowdown     float64       // factor on run times; 0 means 1
	waiters      []func()
	startError   error          // response to every start
	metric       int            // that it reports of each run
	throttles    map[string]int // percent that was last requested, by task
}

type simRun struct {
	ref       work.TaskRef
	run       int64
	serial    int
	demand    resource.Vector
	startedAt time.Duration
	duration  time.Duration // 0 if it never ends
	stuckAt   time.Duration // when it stopped making progress; 0: it did not
	saves     bool          // a stop saves its progress
}

// percent returns the progress of the run.
func (r *simRun) percent(now time.Duration) int {
	if r.duration == 0 {
		return 0
	}
	if r.stuckAt > 0 {
		now = r.stuckAt
	}
	return min(int(100*(now-r.startedAt)/r.duration), 100)
}

// clock runs 2 % slow and starts at 0 in each incarnation.
func (w *simWorker) clock() time.Duration {
	return time.Duration(float64(w.sim.now-w.startedAt) * 0.98)
}

// extendLease extends the lease to the deadline, by at most 6 s. When it expires, all
// runs end.
func (w *simWorker) extendLease(deadline time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+6*time.Second))
	incarnation := w.worker.Born
	at := time.Duration(float64(w.leaseEnd)/0.98) + w.startedAt - w.sim.now + time.Millisecond
	w.sim.after(at, func() {
		if w.worker.Born == incarnation && w.clock() >= w.leaseEnd {
			w.lapsedAt = w.sim.now
			for _, name := range slices.Sorted(maps.Keys(w.runs)) {
				w.endRun(name, w.runs[name], work.EndLeaseExpired)
			}
		}
	})
}

// drainBound is the time after which a draining worker, and one in an evacuated data centre,
// must get no work.
const drainBound = 2 * time.Second

// drain marks the worker as draining.
func (w *simWorker) drain() {
	w.sim.tracef("%s drains", w.worker.ID)
	w.worker.Draining, w.worker.Remaining = true, time.Hour
	w.drainingAt = w.sim.now
}

// firstRunFails is the payload of a job of which the first run of each task fails at its end.
const firstRunFails = "first run fails"

// start handles a start request.
func (w *simWorker) start(request work.StartRequest) (work.RunResponse, error) {
	name := request.Task.String()
	switch {
	case w.replaced:
		return work.RunResponse{}, work.ErrOtherIncarnation
	case w.startError != nil:
		return work.RunResponse{}, w.startError
	case request.Fence < w.fence:
		return work.RunResponse{}, work.ErrFenced
	case request.Deadline < w.clock():
		return work.RunResponse{}, work.ErrDeadlinePassed
	}
	w.fence = request.Fence
	if r, ok := w.runs[name]; ok && r.run == request.Run {
		return work.RunResponse{Clock: w.clock()}, nil
	}
	if request.Run <= w.highestEnded[name] || w.runs[name] != nil {
		return work.RunResponse{}, work.ErrStaleRun
	}
	w.extendLease(request.Deadline)
	w.beginRun(request)
	return work.RunResponse{Clock: w.clock()}, nil
}

// beginRun starts a run and checks the guarantees that each start must keep.
func (w *simWorker) beginRun(request work.StartRequest) {
	s := w.sim
	name := request.Task.String()
	job := s.jobs[request.Task.Job]
	step := &job.spec.Steps[request.Task.Step]
	s.tracef("%s starts %s run %d fence %d", w.worker.ID, name, request.Run, request.Fence)
	if w.worker.Draining && s.now > w.drainingAt+drainBound {
		s.fatalf("%s starts on %s, which has been draining for %s", name, w.worker.ID, s.now-w.drainingAt)
	}
	if since, ok := s.evacuated[w.worker.Place]; ok && s.now > since+drainBound {
		s.fatalf("%s starts on %s, whose data centre has been evacuated for %s", name, w.worker.ID, s.now-since)
	}
	if step.Label != "" && !w.worker.HasLabel(step.Label) {
		s.fatalf("%s starts on %s, which lacks the label %s", name, w.worker.ID, step.Label)
	}
	if s.ackedDone[name] {
		s.fatalf("%s is started again after its end as done was acknowledged", name)
	}
	if s.ackedFailures[name] >= s.attempts() && !step.LongRunning {
		s.fatalf("%s is started after its attempts are used up", name)
	}
	for _, other := range s.workers {
		if r, ok := other.runs[name]; ok && !other.down && !step.Speculative {
			s.fatalf("%s run %d starts on %s while run %d is on %s", name, request.Run, w.worker.ID, r.run, other.worker.ID)
		}
	}
	var used resource.Vector
	for _, r := range w.runs {
		used = used.Add(r.demand)
	}
	if !w.worker.Capacity.Fits(used.Add(step.Demand)) {
		s.fatalf("%s exceeds its capacity with %s", w.worker.ID, name)
	}
	s.serial++
	s.starts++
	r := &simRun{ref: request.Task, run: request.Run, serial: s.serial, demand: step.Demand, startedAt: s.now}
	w.runs[name] = r
	incarnation := w.worker.Born
	runTime := time.Duration(float64(step.Estimate) * (0.5 + s.rng.Float64()))
	if d, err := time.ParseDuration(job.spec.Payload); err == nil {
		runTime = d // whatever the estimate is
	}
	reason := work.EndDone
	if w.slowdown > 0 {
		runTime = time.Duration(float64(runTime) * w.slowdown)
	}
	if w.fails || job.spec.Payload == "fails" {
		runTime, reason = 50*time.Millisecond, work.EndFailed
	}
	if job.spec.Payload == firstRunFails && request.Run == 1 {
		reason = work.EndFailed
	}
	if step.LongRunning && reason == work.EndDone {
		r.duration = 1 // reports full service immediately
		return
	}
	if w.stalls {
		return
	}
	if r.saves = step.Checkpointing; r.saves && request.Checkpoint != "" {
		saved, err := strconv.Atoi(request.Checkpoint)
		if err != nil {
			s.fatalf("%s: checkpoint %q: %v", name, request.Checkpoint, err)
		}
		runTime = runTime * time.Duration(percentTotal-saved) / percentTotal
	}
	r.duration = runTime
	s.after(runTime, func() {
		if w.worker.Born == incarnation && w.runs[name] == r && r.stuckAt == 0 {
			w.endRun(name, r, reason)
		}
	})
}

// endRun ends a run and answers the renewals that wait for an end.
func (w *simWorker) endRun(name string, r *simRun, reason work.EndReason) {
	delete(w.runs, name)
	w.highestEnded[name] = max(w.highestEnded[name], r.run)
	w.lastSequence++
	end := work.RunResult{Sequence: w.lastSequence, Task: r.ref, Run: r.run, Reason: reason}
	if r.saves && reason == work.EndStopped {
		end.Checkpoint = strconv.Itoa(r.percent(w.sim.now))
	}
	w.ends = append(w.ends, end)
	if w.endedAt == nil {
		w.endedAt = map[int64]time.Duration{}
	}
	w.endedAt[end.Sequence] = w.sim.now
	w.sim.tracef("%s ends %s run %d as %s", w.worker.ID, name, r.run, reason)
	waiters := w.waiters
	w.waiters = nil
	for _, wake := range waiters {
		wake()
	}
}

// stop handles a stop request. A run ends within 900 ms.
func (w *simWorker) stop(request work.RunRequest) (work.RunResponse, error) {
	name := request.Task.String()
	switch {
	case w.replaced:
		return work.RunResponse{}, work.ErrOtherIncarnation
	case request.Fence < w.fence:
		return work.RunResponse{}, work.ErrFenced
	}
	w.fence = request.Fence
	w.highestEnded[name] = max(w.highestEnded[name], request.Run)
	if r, ok := w.runs[name]; ok && r.run <= request.Run {
		w.sim.after(time.Duration(w.sim.rng.IntN(900))*time.Millisecond, func() {
			if w.runs[name] == r {
				w.endRun(name, r, work.EndStopped)
			}
		})
	}
	return work.RunResponse{Clock: w.clock()}, nil
}

// renew handles a lease renewal, which also acknowledges ends.
func (w *simWorker) renew(request work.RenewRequest) error {
	if w.replaced {
		return work.ErrOtherIncarnation
	}
	if request.Fence < w.fence {
		return work.ErrFenced
	}
	w.fence = request.Fence
	if request.Deadline > 0 {
		w.extendLease(request.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].Sequence <= request.AckedThrough {
		end := w.ends[0]
		name := end.Task.String()
		switch {
		case end.Reason == work.EndDone && w.lapsedAt > w.endedAt[end.Sequence]:
			// The lease has expired since, so the task may run elsewhere.
		case end.Reason == work.EndDone:
			w.sim.ackedDone[name] = true
		case end.Reason == work.EndFailed:
			w.sim.ackedFailures[name]++
		}
		w.ends = w.ends[1:]
	}
	return nil
}

// listRuns returns the running tasks and the ends that are not acknowledged.
func (w *simWorker) listRuns() work.RenewResponse {
	response := work.RenewResponse{Clock: w.clock(), Born: w.worker.Born, Ended: slices.Clone(w.ends[:min(len(w.ends), work.MaxListedEnds)])}
	for _, r := range w.runs {
		row := work.RunStatus{Task: r.ref, Run: r.run, Percent: r.percent(w.sim.now), Metric: w.metric}
		if saved := row.Percent / 10 * 10; w.sim.savesOften && r.saves && saved > 0 {
			row.Checkpoint = strconv.Itoa(saved)
		}
		response.Running = append(response.Running, row)
	}
	return response
}

// crash ends an incarnation of the worker; the next one starts under the same ID after d.
func (w *simWorker) crash(d time.Duration) {
	if w.gone {
		return
	}
	w.sim.tracef("%s crashes for %s", w.worker.ID, d)
	w.down = true
	w.runs, w.highestEnded, w.ends, w.waiters = map[string]*simRun{}, map[string]int64{}, nil, nil
	w.worker.Born++
	incarnation := w.worker.Born
	w.sim.after(d, func() {
		if w.worker.Born != incarnation {
			return
		}
		w.down = false
		w.fence, w.lastSequence, w.leaseEnd = 0, 0, 0
		w.startedAt = w.sim.now
	})
}

// isAddressee reports whether this incarnation may execute a call that is addressed to to.
func (w *simWorker) isAddressee(to work.Worker) bool { return to.Born == 0 || to.Born == w.worker.Born }

// restartUnseen starts the worker again behind a cut of the given length, with the given
// labels. Its entry in the store follows after entryDelay.
func (w *simWorker) restartUnseen(cut, entryDelay time.Duration, labels ...string) {
	entry := w.worker
	w.staleEntry = &entry
	w.disconnect(cut)
	w.crash(cut / 2)
	w.worker.Labels = labels
	w.sim.after(cut+entryDelay, func() { w.staleEntry = nil })
}

// replace ends the worker; another one is at its address after d.
func (w *simWorker) replace(d time.Duration) {
	w.sim.tracef("%s is replaced within %s", w.worker.ID, d)
	w.down, w.gone = true, true
	w.worker.Born++
	w.runs, w.highestEnded, w.ends, w.waiters = map[string]*simRun{}, map[string]int64{}, nil, nil
	w.sim.after(d, func() { w.replaced, w.down = true, false })
	w.sim.after(d+5*time.Second, func() { w.unlisted = true })
}

// disconnect makes the worker unreachable for d.
func (w *simWorker) disconnect(d time.Duration) {
	w.sim.tracef("%s is unreachable for %s", w.worker.ID, d)
	w.unreachable = true
	w.sim.after(d, func() { w.unreachable = false })
}
