package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/speed"
	"turmericspread.org/turmericspread/internal/work"
)

// followSpeeds saves the learned speeds as a host does.
func (o *simOwner) followSpeeds() {
	o.sim.after(2*time.Second, func() {
		if o.killed || o.sim.store.ownerRev != o.rowRevision {
			return
		}
		o.call(func() {
			if data, stored := o.SpeedsToSave(); data != nil && !o.sim.store.down {
				o.sim.store.speeds = data
				o.sim.store.speedWrites++
				stored()
			}
		})
		o.followSpeeds()
	})
}

// learned returns an uneven cell after some jobs.
func learned(t *testing.T, seed uint64) *sim {
	s := unevenCell(t, seed, false)
	for i := range 12 {
		s.submitFixed("short", fmt.Sprint("learn-", i), newStep(40, time.Second))
		s.run(s.now + 2*time.Second)
	}
	return s
}

// submitFixed submits a job whose tasks take as long as estimated.
func (s *sim) submitFixed(queue, id string, steps ...work.Step) {
	job := &work.Job{ID: id, Team: "team", Queue: queue, Steps: steps, Accepted: s.now, Payload: steps[0].Estimate.String(), Policy: s.tables.Policy(queue, "team", nil)}
	s.jobs[id] = &simJob{spec: job}
	s.owner.call(func() { s.owner.Accept(job) })
}

// TestTakeoverKeepsSpeeds guards against urgent work on slow workers in the first seconds of a
// new owner. Without the stored record it is placed as if all workers were equal.
func TestTakeoverKeepsSpeeds(t *testing.T) {
	slowStarts := func(keep bool) (slow int) {
		s := learned(t, 1)
		before := s.owner.nodes["w00"].slowness()
		if !keep {
			s.store.speeds = nil
		}
		s.replaceOwner()
		if keep {
			assert.Assert(t, math.Abs(s.owner.nodes["w00"].slowness()/before-1) < 0.1)
		}
		s.submitFixed("short", "urgent", newStep(20, 850*time.Millisecond))
		s.run(s.now + 400*time.Millisecond)
		starts := 0
		for _, n := range s.owner.sortedNodes {
			starts += len(n.runs)
			if n.worker.Kind == "slow" {
				slow += len(n.runs)
			}
		}
		assert.Equal(t, starts, 20)
		return slow
	}
	assert.Equal(t, slowStarts(true), 0)
	assert.Assert(t, slowStarts(false) >= 5)
}

// TestRestoredWorkers checks that a worker's own factor is restored for the incarnation for
// which it was learned, and for no other.
func TestRestoredWorkers(t *testing.T) {
	s := unevenCell(t, 1, false)
	s.workers["w01"].slowdown = 2.5
	for i := range 15 {
		s.submitFixed("short", fmt.Sprint("learn-", i), newStep(80, time.Second))
		s.run(s.now + 2500*time.Millisecond)
	}
	own := func(id string) float64 {
		n := s.owner.nodes[id]
		return n.speed.Slowness() / n.speed.Kind().Slowness()
	}
	learned := own("w01")
	assert.Assert(t, learned > 1.5, "%.2f", learned)
	s.replaceOwner()
	assert.Assert(t, math.Abs(own("w01")/learned-1) < 0.1, "%.2f %.2f", own("w01"), learned)
	s.workers["w01"].worker.Born++
	s.run(s.now + time.Second)
	assert.Equal(t, own("w01"), 1.0, "restarted after the takeover")
	s.run(s.now + 3*time.Second)
	s.replaceOwner()
	assert.Equal(t, own("w01"), 1.0, "restarted before the takeover")
}

// TestWritesOfSpeeds guards against a write every two seconds: once the speeds are learned, few
// changes are notable.
func TestWritesOfSpeeds(t *testing.T) {
	s := unevenCell(t, 1, false)
	s.run(time.Second)
	unevenLoad(s)
	t.Logf("%d writes in %s, %d bytes", s.store.speedWrites, s.now, len(s.store.speeds))
	assert.Assert(t, s.store.speedWrites >= 2 && s.store.speedWrites <= 15, "%d", s.store.speedWrites)
}

// TestUnusableSpeeds guards against a takeover that fails, or placements by nonsense, because
// of a record that is damaged, absurd or of another build.
func TestUnusableSpeeds(t *testing.T) {
	factor := speed.SavedFactor{Mean: 5000, Deviation: 300, Samples: 50}
	record := func(edit func(r *savedSpeeds, f *speed.SavedFactor)) []byte {
		f := factor
		r := savedSpeeds{Version: savedVersion}
		edit(&r, &f)
		r.Pools = []savedPool{{Name: "pool", Workers: []savedWorker{{ID: "w00", Incarnation: 1, Factor: f}}}}
		data, err := cbor.Marshal(&r)
		assert.NilError(t, err)
		return data
	}
	odd, err := cbor.Marshal([]any{1, 1, []any{[]any{"pool", []any{nil, nil}, []any{[]any{"w00", 1, []any{math.NaN(), 300, 50, 0}}}}}})
	assert.NilError(t, err)
	infinite, err := cbor.Marshal([]any{1, 1, []any{[]any{"pool", []any{nil, nil}, []any{[]any{"w00", 1, []any{math.Inf(1), 300, 50, 0}}}}}})
	assert.NilError(t, err)
	good := record(func(*savedSpeeds, *speed.SavedFactor) {})
	for _, test := range []struct {
		name string
		data []byte
		used bool
	}{
		{"plausible", good, true},
		{"from a clock that is ahead", record(func(r *savedSpeeds, _ *speed.SavedFactor) { r.SavedAt = math.MaxInt64 }), true},
		{"none", nil, false},
		{"garbage", []byte("garbage"), false},
		{"cut off", good[:len(good)-3], false},
		{"followed by more", append(good[:len(good):len(good)], 1), false},
		{"another version", record(func(r *savedSpeeds, _ *speed.SavedFactor) { r.Version++ }), false},
		{"not a number", odd, false},
		{"infinite", infinite, false},
		{"out of range", record(func(_ *savedSpeeds, f *speed.SavedFactor) { f.Mean = 1 << 40 }), false},
		{"too certain", record(func(_ *savedSpeeds, f *speed.SavedFactor) { f.Deviation = 0 }), false},
		{"too large", make([]byte, maxSavedRecord+1), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t, 1, 4)
			s.store.speeds = test.data
			s.claim()
			s.run(100 * time.Millisecond)
			assert.Equal(t, s.owner.nodes["w00"].slowness() > 1.5, test.used)
			s.submit("a", newStep(2, time.Second))
			s.run(8 * time.Second)
			s.assertState("a", work.StateCompleted)
		})
	}
}

// TestSizeOfSpeeds checks that a cell whose kinds of workers do not tell their speeds needs a few
// kilobytes.
func TestSizeOfSpeeds(t *testing.T) {
	r := savedSpeeds{Version: savedVersion, SavedAt: 1_800_000_000, Pools: []savedPool{{Name: "pool"}}}
	factor := speed.SavedFactor{Mean: -2231, Deviation: 300, Samples: 500, Age: 100}
	for i := range 350 {
		r.Pools[0].Workers = append(r.Pools[0].Workers, savedWorker{ID: fmt.Sprintf("worker-%05d", i), Incarnation: 1_800_000_000_000, Factor: factor})
	}
	data, err := cbor.Marshal(&r)
	assert.NilError(t, err)
	t.Logf("%d bytes", len(data))
	assert.Assert(t, len(data) < 16<<10, "%d", len(data))
}
