package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"turmericspread.org/turmericspread/internal/event"
	"turmericspread.org/turmericspread/internal/work"
)

// WaveState is what operators are told of a wave.
type WaveState string

// States of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed" // the upkeep of each machine that stays has begun
)

// upkeepPhase is the phase of a machine in a wave, from the order of its upkeep on.
type upkeepPhase int

const (
	upkeepIsOrdered upkeepPhase = iota + 1 // a call may be executed at any moment, or was
	upkeepHasBegun                         // the platform has confirmed it
	upkeepExcluded                         // the platform has no such machine in the wave
)

// wave is a request for the upkeep of machines.
type wave struct {
	request   work.Wave
	seenAt    time.Duration // when an owner first read it, as the time of day
	completed bool
	savedAs   WaveState // in the store, as far as this owner knows
	pressed   bool
	records   map[string]*upkeepRecord // by machine
	called    map[string]bool          // machines without a record for which a call may have been made
	chosen    map[string]time.Duration // since when machines that are next get no work
}

// upkeepRecord is what is known of the upkeep of one machine in one wave.
type upkeepRecord struct {
	phase  upkeepPhase
	worker string // life of the machine that the upkeep ends
	born   int64
	epoch  int64 // of the owner that ordered it

	version   int64 // of the first row that has it
	uncertain bool  // a call was not answered, so it may have been executed
	inFlight  bool
	nextCall  time.Duration
	begunAt   time.Duration // when the platform's confirmation was read
	back      bool          // a new worker of the machine is there
}

// upkeepState is the owner's state of all waves.
type upkeepState struct {
	next         time.Duration           // decision
	restored     map[string]waveRow      // waves in the store at the takeover
	machines     map[string]work.Machine // the platform's list
	machinesAsOf time.Duration           // when its reading began; 0: it was not read
	callsLeft    float64                 // that may be made now, by the platform's limit
	callsLeftAt  time.Duration
	retryAt      map[string]time.Duration // when the upkeep of a busy machine may next be ordered
	marks        map[string]upkeepMark    // of machines that get no work
	version      int64                    // of the row of the waves
	savedVersion int64                    // in the store
	saving       bool                     // a write is in flight
	retrySaveAt  time.Duration            // after a failed write
	foreign      map[string]bool          // machines that a former owner may have called for
}

type upkeepMark int

const (
	markChosen  upkeepMark = iota + 1 // it gets no work
	markOrdered                       // what runs there may end at any moment
)

// waveRow is the stored state of a wave.
type waveRow struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	SeenAt    int64 // milliseconds
	Completed bool
	Machines  []machineRow
}

// machineRow is the stored state of a machine whose upkeep was ordered. Phase is 0 if the order
// was withdrawn.
type machineRow struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Phase  int
	Worker string
	Born   int64
	Epoch  int64
}

// RestoreWaves applies the stored row of the waves. Call it before SetWaves.
func (o *Owner) RestoreWaves(row []byte) (err error) {
	if len(row) == 0 {
		return nil
	}
	var rows []waveRow
	if err := cbor.Unmarshal(row, &rows); err != nil {
		return err
	}
	o.upkeep.restored, o.upkeep.foreign = map[string]waveRow{}, map[string]bool{}
	for _, r := range rows {
		o.upkeep.restored[r.Name] = r
		for _, m := range r.Machines {
			o.upkeep.foreign[m.Name] = true
		}
	}
	return nil
}

// SetWaves sets the requests for the upkeep of machines. Call it before SetWorkers.
func (o *Owner) SetWaves(requests []work.Wave) {
	if o.OrderUpkeep == nil {
		return
	}
	listed := map[string]bool{}
	for _, request := range requests {
		listed[request.Name] = true
		request.Machines = slices.Compact(slices.Sorted(slices.Values(request.Machines)))
		w := o.waves[request.Name]
		if w == nil {
			w = o.openWave(request)
			o.waves[request.Name] = w
		}
		if !slices.Equal(w.request.Machines, request.Machines) {
			w.completed = false
		}
		w.request = request
	}
	for _, name := range slices.Sorted(maps.Keys(o.waves)) {
		if !listed[name] {
			event.WaveWithdrawn.Log(o.Log).Str("wave", name).Bool("completed", o.waves[name].completed).Send()
			delete(o.waves, name)
			o.upkeep.version++
		}
	}
	o.upkeep.restored = nil // a request that is made again later is another one
	o.markMachines()
}

// openWave returns a wave as it was stored, or a new one.
func (o *Owner) openWave(request work.Wave) *wave {
	w := &wave{
		request: request, seenAt: o.WallClock(), records: map[string]*upkeepRecord{}, called: map[string]bool{}, chosen: map[string]time.Duration{},
	}
	row, ok := o.upkeep.restored[request.Name]
	if ok {
		w.seenAt, w.completed = time.Duration(row.SeenAt)*time.Millisecond, row.Completed
		for _, m := range row.Machines {
			if m.Phase == 0 {
				w.called[m.Name] = true
				continue
			}
			w.records[m.Name] = &upkeepRecord{
				phase: upkeepPhase(m.Phase), worker: m.Worker, born: m.Born, epoch: m.Epoch, uncertain: true, begunAt: o.Now(),
			}
		}
	}
	o.upkeep.version++
	event.WaveOpened.Log(o.Log).Str("wave", request.Name).Int("machines", len(request.Machines)).Int("maximum", request.Maximum).
		Dur("within", request.Within).Bool("restored", ok).Int("ordered", len(w.records)).Send()
	return w
}

// SetMachines applies the platform's list of machines, whose reading began at the local time asOf.
func (o *Owner) SetMachines(list []work.Machine, asOf time.Duration) {
	o.upkeep.machines = make(map[string]work.Machine, len(list))
	for _, m := range list {
		o.upkeep.machines[m.Name] = m
	}
	o.upkeep.machinesAsOf = asOf
}

// NeedsMachines reports whether the platform's list of machines is used.
func (o *Owner) NeedsMachines() bool {
	for _, w := range o.waves {
		if !w.completed || w.isDown() {
			return true
		}
	}
	return false
}

// isDown reports whether a machine of the wave has its upkeep.
func (w *wave) isDown() bool {
	for _, rec := range w.records {
		if rec.down() {
			return true
		}
	}
	return false
}

// down reports whether the machine may be down for its upkeep.
func (rec *upkeepRecord) down() bool {
	return rec.phase == upkeepIsOrdered || rec.phase == upkeepHasBegun && !rec.back
}

// Upkeep returns the number of waves that are not completed, of their machines whose upkeep has
// not begun, and of machines that are down for it.
func (o *Owner) Upkeep() (open, left, down int) {
	for _, w := range o.waves {
		if !w.completed {
			open++
			left += len(w.request.Machines) - len(w.records)
		}
		for _, rec := range w.records {
			if rec.down() {
				down++
			}
		}
	}
	return open, left, down
}

// markMachines recomputes which machines get no work.
func (o *Owner) markMachines() {
	marks := map[string]upkeepMark{}
	for _, w := range o.waves {
		for name := range w.chosen {
			marks[name] = max(marks[name], markChosen)
		}
		for name, rec := range w.records {
			if rec.down() {
				marks[name] = markOrdered
			}
		}
	}
	if maps.Equal(marks, o.upkeep.marks) {
		return
	}
	o.upkeep.marks = marks
	for _, n := range o.sortedNodes {
		o.markUpkeep(n)
	}
	o.passDue = true
}

// markUpkeep applies the mark of the worker's machine.
func (o *Owner) markUpkeep(n *node) {
	mark := o.upkeep.marks[n.worker.Machine]
	n.upkeep, n.upkeepOrdered = mark != 0, mark == markOrdered
}

// saveWaves writes the row of the waves and their states if they have changed.
func (o *Owner) saveWaves(now time.Duration) {
	if o.upkeep.saving || now < o.upkeep.retrySaveAt || o.upkeep.version == o.upkeep.savedVersion || o.ownershipLost {
		return
	}
	var rows []waveRow
	states := map[string]WaveState{}
	for _, name := range slices.Sorted(maps.Keys(o.waves)) {
		w := o.waves[name]
		if state := w.state(); state != w.savedAs && len(states) < maxStatesPerWrite {
			states[name] = state
		}
		rows = append(rows, w.row())
	}
	data, err := cbor.Marshal(rows)
	if err != nil {
		event.CellRecordFailed.Log(o.Log).Err(err).Send()
		return
	}
	version := o.upkeep.version
	o.upkeep.saving = true
	o.SaveWaves(data, states, func(ok bool) {
		o.upkeep.saving = false
		if !ok {
			o.upkeep.retrySaveAt = o.Now() + saveRetryInterval
			return
		}
		o.upkeep.savedVersion = version
		for name, state := range states {
			if w := o.waves[name]; w != nil {
				w.savedAs = state
			}
		}
		if slices.ContainsFunc(slices.Collect(maps.Values(o.waves)), func(w *wave) bool { return w.savedAs != w.state() }) {
			o.upkeep.version = max(o.upkeep.version, version+1)
		}
		o.upkeep.next = 0 // orders may wait for the row
	})
}

// maxStatesPerWrite bounds the states of one write, because the store bounds the entries of a
// transaction.
const maxStatesPerWrite = 16

func (w *wave) state() WaveState {
	if w.completed {
		return WaveCompleted
	}
	return WaveRunning
}

// row returns the stored form of the wave.
func (w *wave) row() waveRow {
	row := waveRow{Name: w.request.Name, SeenAt: w.seenAt.Milliseconds(), Completed: w.completed}
	for _, name := range slices.Sorted(maps.Keys(w.records)) {
		rec := w.records[name]
		row.Machines = append(row.Machines, machineRow{Name: name, Phase: int(rec.phase), Worker: rec.worker, Born: rec.born, Epoch: rec.epoch})
	}
	for _, name := range slices.Sorted(maps.Keys(w.called)) {
		if w.records[name] == nil {
			row.Machines = append(row.Machines, machineRow{Name: name})
		}
	}
	return row
}
