package cell

import (
	"maps"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/work"
)

// simWorker is a worker that honours fences, deadlines and leases.
type simWorker struct {
	sim      *sim
	w        work.Worker
	fence    int64
	started  time.Duration // of this life
	lease    time.Duration // on its own clock
	runs     map[string]*simRun
	stopped  map[string]int64 // highest run number stopped or ended by task
	ends     []work.RunResult
	number   int64
	cut      bool // no call reaches it
	down     bool
	unlisted bool
	replaced bool    // another worker answers at its address
	fails    bool    // fails all that it starts
	hangs    bool    // what it starts stands still
	slow     float64 // how many times as long what it starts takes; 0: once
	waiters  []func()
	refuse   error // answer to every start
}

type simRun struct {
	ref    work.TaskRef
	run    int64
	serial int
	want   resource.Vector
	begun  time.Duration
	takes  time.Duration // 0: for ever
}

// percent is how far the run has come.
func (r *simRun) percent(now time.Duration) int {
	if r.takes == 0 {
		return 0
	}
	return min(int(100*(now-r.begun)/r.takes), 100)
}

// clock runs 2 % slow and begins at 0 with each life.
func (w *simWorker) clock() time.Duration {
	return time.Duration(float64(w.sim.now-w.started) * 0.98)
}

func (w *simWorker) extend(deadline time.Duration) {
	w.lease = max(w.lease, min(deadline, w.clock()+6*time.Second))
	life := w.w.Born
	at := time.Duration(float64(w.lease)/0.98) + w.started - w.sim.now + time.Millisecond
	w.sim.at(at, func() {
		if w.w.Born == life && w.clock() >= w.lease {
			for _, name := range slices.Sorted(maps.Keys(w.runs)) {
				w.end(name, w.runs[name], work.EndLeaseExpired)
			}
		}
	})
}

func (w *simWorker) start(order work.StartRequest) (work.RunResponse, error) {
	name := order.Task.String()
	switch {
	case w.replaced:
		return work.RunResponse{}, work.ErrOtherIncarnation
	case w.refuse != nil:
		return work.RunResponse{}, w.refuse
	case order.Fence < w.fence:
		return work.RunResponse{}, work.ErrFenced
	case order.Deadline < w.clock():
		return work.RunResponse{}, work.ErrDeadlinePassed
	}
	w.fence = order.Fence
	if r, ok := w.runs[name]; ok && r.run == order.Run {
		return work.RunResponse{Clock: w.clock()}, nil
	}
	if order.Run <= w.stopped[name] || w.runs[name] != nil {
		return work.RunResponse{}, work.ErrStaleRun
	}
	w.extend(order.Deadline)
	w.begin(order)
	return work.RunResponse{Clock: w.clock()}, nil
}

// begin starts a run and checks the promises that a start must keep.
func (w *simWorker) begin(order work.StartRequest) {
	s := w.sim
	name := order.Task.String()
	job := s.jobs[order.Task.Job]
	step := &job.spec.Steps[order.Task.Step]
	s.note("%s starts %s run %d fence %d", w.w.ID, name, order.Run, order.Fence)
	if s.done[name] {
		s.fail("%s is started again after its end as done was acknowledged", name)
	}
	if s.failed[name] >= s.tables.Queues[0].Attempts && !step.LongRunning {
		s.fail("%s is started beyond its attempts", name)
	}
	for _, other := range s.workers {
		if r, ok := other.runs[name]; ok && !other.down && !step.Speculative {
			s.fail("%s run %d starts on %s while run %d is on %s", name, order.Run, w.w.ID, r.run, other.w.ID)
		}
	}
	var used resource.Vector
	for _, r := range w.runs {
		used = used.Add(r.want)
	}
	if !w.w.Capacity.Fits(used.Add(step.Demand)) {
		s.fail("%s is over its capacity with %s", w.w.ID, name)
	}
	s.serial++
	r := &simRun{ref: order.Task, run: order.Run, serial: s.serial, want: step.Demand, begun: s.now}
	w.runs[name] = r
	life := w.w.Born
	took := time.Duration(float64(step.Estimate) * (0.5 + s.rng.Float64()))
	how := work.EndDone
	if w.slow > 0 {
		took = time.Duration(float64(took) * w.slow)
	}
	if w.fails || job.spec.Payload == "fails" {
		took, how = 50*time.Millisecond, work.EndFailed
	}
	if step.LongRunning && how == work.EndDone {
		r.takes = 1 // at work at once
		return
	}
	if w.hangs {
		return
	}
	r.takes = took
	s.at(took, func() {
		if w.w.Born == life && w.runs[name] == r {
			w.end(name, r, how)
		}
	})
}

func (w *simWorker) end(name string, r *simRun, how work.EndReason) {
	delete(w.runs, name)
	w.stopped[name] = max(w.stopped[name], r.run)
	w.number++
	w.ends = append(w.ends, work.RunResult{Sequence: w.number, Task: r.ref, Run: r.run, Reason: how})
	w.sim.note("%s ends %s run %d as %s", w.w.ID, name, r.run, how)
	waiters := w.waiters
	w.waiters = nil
	for _, wake := range waiters {
		wake()
	}
}

func (w *simWorker) stop(order work.RunRequest) (work.RunResponse, error) {
	name := order.Task.String()
	switch {
	case w.replaced:
		return work.RunResponse{}, work.ErrOtherIncarnation
	case order.Fence < w.fence:
		return work.RunResponse{}, work.ErrFenced
	}
	w.fence = order.Fence
	w.stopped[name] = max(w.stopped[name], order.Run)
	if r, ok := w.runs[name]; ok && r.run <= order.Run {
		w.sim.at(time.Duration(w.sim.rng.IntN(900))*time.Millisecond, func() {
			if w.runs[name] == r {
				w.end(name, r, work.EndStopped)
			}
		})
	}
	return work.RunResponse{Clock: w.clock()}, nil
}

func (w *simWorker) holdBegin(order work.RenewRequest) error {
	if w.replaced {
		return work.ErrOtherIncarnation
	}
	if order.Fence < w.fence {
		return work.ErrFenced
	}
	w.fence = order.Fence
	if order.Deadline > 0 {
		w.extend(order.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].Sequence <= order.AckedThrough {
		end := w.ends[0]
		name := end.Task.String()
		switch end.Reason {
		case work.EndDone:
			w.sim.done[name] = true
		case work.EndFailed:
			w.sim.failed[name]++
		}
		w.ends = w.ends[1:]
	}
	return nil
}

func (w *simWorker) report() work.RenewResponse {
	report := work.RenewResponse{Clock: w.clock(), Born: w.w.Born, Ended: slices.Clone(w.ends)}
	for _, r := range w.runs {
		report.Running = append(report.Running, work.RunStatus{Task: r.ref, Run: r.run, Percent: r.percent(w.sim.now)})
	}
	return report
}

// crash ends a life of the worker; it is back under the same id after d.
func (w *simWorker) crash(d time.Duration) {
	w.sim.note("%s crashes for %s", w.w.ID, d)
	w.down = true
	w.runs, w.stopped, w.ends, w.waiters = map[string]*simRun{}, map[string]int64{}, nil, nil
	w.w.Born++
	life := w.w.Born
	w.sim.at(d, func() {
		if w.w.Born != life {
			return
		}
		w.down = false
		w.fence, w.number, w.lease = 0, 0, 0
		w.started = w.sim.now
	})
}

// replace ends the worker; another one is at its address after d.
func (w *simWorker) replace(d time.Duration) {
	w.sim.note("%s is replaced within %s", w.w.ID, d)
	w.down = true
	w.w.Born++
	w.runs, w.stopped, w.ends, w.waiters = map[string]*simRun{}, map[string]int64{}, nil, nil
	w.sim.at(d, func() { w.replaced, w.down = true, false })
	w.sim.at(d+5*time.Second, func() { w.unlisted = true })
}

func (w *simWorker) cutFor(d time.Duration) {
	w.sim.note("%s is cut off for %s", w.w.ID, d)
	w.cut = true
	w.sim.at(d, func() { w.cut = false })
}
