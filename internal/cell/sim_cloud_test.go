package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"turmericspread.org/turmericspread/internal/work"
)

// simCloud has the upkeep of the workers' machines. It checks each that begins.
type simCloud struct {
	sim        *sim
	waves      []work.Wave
	row        []byte
	states     map[string]WaveState
	down       map[string]time.Duration // machines in their upkeep, by machine, and since when
	done       map[string]bool          // by wave and machine
	begun      []string                 // machines, in the order of their upkeep
	called     map[string]simHolder     // last call for each machine
	calls      int
	errs       func(call int) error // response to a call, which is not executed; nil: executed
	loses      func(call int) bool  // the response is lost
	unread     bool                 // the list of machines cannot be read
	saveDelay  time.Duration
	rate       float64       // calls that it accepts a second
	maintained time.Duration // for which an upkeep lasts
}

type simHolder struct {
	epoch int64
	at    time.Duration
}

// openWave requests the upkeep of machines. Machine mNN is that of worker wNN.
func (s *sim) openWave(within time.Duration, maximum int, machines ...string) {
	c := &s.cloud
	*c = simCloud{sim: s, states: map[string]WaveState{}, down: map[string]time.Duration{}, done: map[string]bool{}, called: map[string]simHolder{}}
	for id, w := range s.workers {
		w.worker.Machine = "m" + strings.TrimPrefix(id, "w")
	}
	c.rate, c.maintained = 60, 2*time.Second
	c.waves = []work.Wave{{Name: "7", Number: "7", Machines: machines, Within: within, Maximum: maximum}}
}

// connect connects an owner to the cloud and the rows of the waves.
func (c *simCloud) connect(o *simOwner) {
	if c.sim == nil {
		return
	}
	o.Bounds.Maintenance, o.Bounds.UpkeepRate = c.maintained, c.rate
	o.OrderUpkeep = func(request work.UpkeepRequest, done func(error)) { c.call(o, request, done) }
	o.SaveWaves = func(row []byte, states map[string]WaveState, done func(bool)) {
		c.sim.after(simLatency+c.saveDelay, func() {
			ok := !c.sim.store.down && !o.cut && c.sim.store.ownerRev == o.rowRevision
			if ok {
				c.row = row
				maps.Copy(c.states, states)
			}
			c.sim.after(simLatency, func() { o.call(func() { done(ok) }) })
		})
	}
	if err := o.RestoreWaves(c.row); err != nil {
		c.sim.fatalf("%v", err)
	}
	c.refresh(o, c.sim.now)
}

// refresh passes the waves and the list of machines to an owner.
func (c *simCloud) refresh(o *simOwner, asOf time.Duration) {
	if c.sim == nil {
		return
	}
	o.SetWaves(c.waves)
	if c.unread || !o.NeedsMachines() {
		return
	}
	var list []work.Machine
	for _, w := range c.sim.workers {
		if _, down := c.down[w.worker.Machine]; !w.gone && !down {
			list = append(list, work.Machine{Name: w.worker.Machine, State: work.MachineUp, Worker: w.worker.ID})
		}
	}
	for name := range c.down {
		list = append(list, work.Machine{Name: name, State: work.MachineInUpkeep})
	}
	o.SetMachines(list, asOf)
}

// call handles a call for the upkeep of a machine.
func (c *simCloud) call(o *simOwner, request work.UpkeepRequest, done func(error)) {
	s := c.sim
	c.calls++
	number := c.calls
	s.after(simLatency, func() {
		before, ok := c.called[request.Machine]
		if epoch := request.Fence / fencesPerEpoch; ok && before.epoch != epoch && s.now-before.at < 3*time.Second {
			s.fatalf("owners of the epochs %d and %d call for %s within %s", before.epoch, epoch, request.Machine, s.now-before.at)
		}
		c.checkCall(request)
		c.called[request.Machine] = simHolder{request.Fence / fencesPerEpoch, s.now}
		var err error
		if c.errs != nil {
			err = c.errs(number)
		}
		if err == nil {
			err = c.begin(request)
		}
		answer := func(err error) { o.call(func() { done(err) }) }
		if c.loses != nil && c.loses(number) {
			s.after(UpkeepTimeout, func() { answer(errLost) })
			return
		}
		s.after(simLatency, func() { answer(err) })
	})
}

// checkCall fails if a call is made that the row does not have, or for a worker that has been
// draining.
func (c *simCloud) checkCall(request work.UpkeepRequest) {
	var rows []waveRow
	if err := cbor.Unmarshal(c.row, &rows); err != nil {
		c.sim.fatalf("%v", err)
	}
	if !slices.ContainsFunc(rows, func(w waveRow) bool {
		return slices.ContainsFunc(w.Machines, func(m machineRow) bool { return m.Name == request.Machine && m.Phase != 0 })
	}) {
		c.sim.fatalf("the row does not have the order for %s", request.Machine)
	}
	for _, w := range c.sim.workers {
		if w.worker.Machine == request.Machine && w.worker.Draining && c.sim.now > w.drainingAt+drainBound && !w.gone {
			c.sim.fatalf("the upkeep of %s is ordered, which drains", request.Machine)
		}
	}
}

// begin begins the upkeep of a machine, and checks that it may.
func (c *simCloud) begin(request work.UpkeepRequest) error {
	s, key := c.sim, request.Wave+"/"+request.Machine
	at := slices.IndexFunc(c.waves, func(w work.Wave) bool { return w.Number == request.Wave })
	if c.done[key] {
		return nil
	}
	var w *simWorker
	for _, other := range s.workers {
		if other.worker.Machine == request.Machine && !other.gone {
			w = other
		}
	}
	if w == nil || w.worker.Draining || w.down {
		return work.ErrMachineBusy
	}
	if at < 0 || !slices.Contains(c.waves[at].Machines, request.Machine) {
		return work.ErrOtherWave
	}
	if len(c.down) >= c.waves[at].Maximum {
		s.fatalf("the upkeep of %s begins while %d machines are down", request.Machine, len(c.down))
	}
	for _, r := range w.runs {
		c.checkStep(w, r.ref)
	}
	s.tracef("upkeep of %s (%s) begins with %d runs", request.Machine, w.worker.ID, len(w.runs))
	c.done[key], c.down[request.Machine], c.begun = true, s.now, append(c.begun, request.Machine)
	c.replace(w, c.maintained, func() { delete(c.down, request.Machine) })
	return nil
}

// replace ends a worker. Another one of its machine joins after d.
func (c *simCloud) replace(w *simWorker, d time.Duration, joined func()) {
	s, entry := c.sim, w.worker
	w.staleEntry, w.down, w.gone = &entry, true, true
	w.worker.Born++
	w.runs, w.waiters = map[string]*simRun{}, nil
	s.after(min(d, time.Second), func() { w.unlisted = true })
	s.after(d, func() {
		joined()
		next := &simWorker{sim: s, runs: map[string]*simRun{}, highestEnded: map[string]int64{}, throttles: map[string]int{}, startedAt: s.now, worker: w.worker}
		next.worker.ID = fmt.Sprintf("%s-%d", w.worker.ID, s.now/time.Millisecond)
		next.worker.Address = next.worker.ID
		s.workers[next.worker.ID] = next
	})
}

// checkStep fails if the end of a task at work leaves too many of its step away.
func (c *simCloud) checkStep(w *simWorker, ref work.TaskRef) {
	step := &c.sim.jobs[ref.Job].spec.Steps[ref.Step]
	if !step.LongRunning {
		return
	}
	away := step.Count - c.sim.running(ref.Job, "")
	if away >= max(step.MaxUnavailable, 1) {
		c.sim.fatalf("the upkeep of %s ends %s while %d tasks of its step are away", w.worker.Machine, ref, away)
	}
}
