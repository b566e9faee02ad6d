package speed

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestRestoredEqualsSaved guards against knowledge that is lost or changed by a takeover.
func TestRestoredEqualsSaved(t *testing.T) {
	c := newCell(1, 30, thirdSlow, func(i int) float64 { return speedOfKind(i) * []float64{1, 2}[i/29] })
	for range 400 {
		c.runStep(8)
	}
	saved := c.model.Save(c.now)
	data, err := cbor.Marshal(saved)
	assert.NilError(t, err)
	var read Saved
	assert.NilError(t, cbor.Unmarshal(data, &read))
	assert.NilError(t, read.Check())
	m := Restored(time.Hour, 0, &read)
	assert.DeepEqual(t, m.Save(time.Hour), saved)
	for i, before := range c.workers {
		w := m.AddWorker(before.kind.name)
		if f, ok := before.Save(c.now); ok {
			assert.NilError(t, f.CheckWorker())
			w.Restore(time.Hour, 0, f)
		}
		assert.Assert(t, math.Abs(w.Slowness()-before.Slowness()) < 1e-3, "worker %d: %v %v", i, w.Slowness(), before.Slowness())
	}
	assert.Assert(t, c.workers[29].Slowness() > 1.3*c.workers[28].Slowness())
	assert.Assert(t, math.Abs(m.Bias("q", "t")-c.model.Bias("q", "t")) < 1e-3)
	assert.Assert(t, math.Abs(m.SlowestOf("q", 10)-c.model.SlowestOf("q", 10)) < 1e-3)
}

// TestAgeOfRestoredFactors checks that a factor is less certain the older it is, and counts for
// nothing in the end.
func TestAgeOfRestoredFactors(t *testing.T) {
	f := SavedFactor{Mean: 5000, Deviation: 300, Samples: 50}
	for _, tc := range []struct {
		age, ago time.Duration
		known    bool
	}{{0, 0, true}, {time.Minute, time.Minute, true}, {time.Hour, 0, false}, {0, time.Hour, false}, {0, -time.Hour, true}} {
		w := New().AddWorker("")
		f.Age = int64(tc.age / time.Second)
		w.Restore(0, tc.ago, f)
		assert.Equal(t, w.Slowness() != 1, tc.known, "%+v", tc)
	}
}

// TestCheckRejectsAbsurdNumbers guards against a record that makes all placements wrong.
func TestCheckRejectsAbsurdNumbers(t *testing.T) {
	good := SavedFactor{Mean: 5000, Deviation: 300, Samples: 50, Age: 1}
	assert.NilError(t, good.CheckWorker())
	for _, edit := range []func(f *SavedFactor){
		func(f *SavedFactor) { f.Mean = math.MinInt64 },
		func(f *SavedFactor) { f.Mean = 200 * SavedUnits },
		func(f *SavedFactor) { f.Deviation = 0 },
		func(f *SavedFactor) { f.Deviation = 9 * SavedUnits },
		func(f *SavedFactor) { f.Samples = -1 },
		func(f *SavedFactor) { f.Age = math.MaxInt64 },
	} {
		bad := good
		edit(&bad)
		assert.Assert(t, bad.CheckWorker() != nil, "%+v", bad)
		for _, s := range []Saved{
			{Kinds: []SavedKind{{Name: "k", Factor: bad}}},
			{Queues: []SavedQueue{{Name: "q", Bias: bad}}},
			{Queues: []SavedQueue{{Name: "q", Bias: good, Teams: []SavedKind{{Name: "t", Factor: bad}}}}},
		} {
			assert.Assert(t, s.Check() != nil, "%+v", s)
		}
	}
	assert.Assert(t, (&Saved{Queues: []SavedQueue{{Name: "q", Bias: good, Deviation: SavedVariance{Deviation: -1}}}}).Check() != nil)
}
