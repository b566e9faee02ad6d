package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cellOf is a pool of workers with known speeds, and a load whose estimates are wrong.
type cellOf struct {
	rng      *rand.Rand
	model    *Model
	workers  []*Worker
	slowness []float64
	now      time.Duration
}

// newCell returns a pool of count workers with the speeds, kinds and single workers of which are
// given by functions of the worker's number.
func newCell(seed uint64, count int, kind func(i int) string, slowness func(i int) float64) *cellOf {
	c := &cellOf{rng: rand.New(rand.NewPCG(seed, 7)), model: New()}
	for i := range count {
		c.workers = append(c.workers, c.model.AddWorker(kind(i)))
		c.slowness = append(c.slowness, slowness(i))
	}
	return c
}

// runStep runs a step of count tasks on random workers. The estimate is wrong by a factor from
// 0.3 to 2 for the whole step, and tasks differ by up to a quarter.
func (c *cellOf) runStep(count int) {
	const runTime = time.Second
	wrong := math.Exp(math.Log(0.3) + c.rng.Float64()*math.Log(2/0.3))
	step := Step{Queue: "q", Team: "t", Estimate: time.Duration(wrong * float64(runTime))}
	for range count {
		i := c.rng.IntN(len(c.workers))
		took := float64(runTime) * c.slowness[i] * (0.8 + 0.45*c.rng.Float64())
		step.Runs = append(step.Runs, Run{c.workers[i], time.Duration(took)})
	}
	c.now += 50 * time.Millisecond
	c.model.Learn(c.now, step)
}

func oneKind(int) string { return "a" }

// thirdSlow has every third worker of another kind.
func thirdSlow(i int) string { return []string{"slow", "fast", "fast"}[i%3] }

func speedOfKind(i int) float64 { return []float64{1.7, 0.7, 0.7}[i%3] }

func TestLearn(t *testing.T) {
	equal := func(int) float64 { return 1 }
	type want struct{ worker, low, high float64 }
	tests := []struct {
		name     string
		kind     func(int) string
		slowness func(int) float64
		steps    int
		tasks    int
		want     []want
	}{
		{"two kinds, 16 ends", thirdSlow, speedOfKind, 2, 8, []want{{0, 1, 2.3}, {1, 0.6, 1}}},
		{"two kinds, 40 ends", thirdSlow, speedOfKind, 5, 8, []want{{0, 1.5, 2.2}, {1, 0.6, 1}}},
		{"two kinds, 120 ends", thirdSlow, speedOfKind, 15, 8, []want{{0, 1.5, 2.2}, {1, 0.6, 0.9}}},
		{"two kinds, later", thirdSlow, speedOfKind, 1000, 8, []want{{0, 1.7, 2.0}, {1, 0.7, 0.8}}},
		{"two kinds, steps of one task", thirdSlow, speedOfKind, 3000, 1, []want{{0, 1.5, 2.2}, {1, 0.6, 0.9}}},
		{"one slow worker", oneKind, func(i int) float64 { return []float64{1, 1.7}[i/29] }, 200, 8, []want{{29, 1.5, 1.9}, {0, 1, 1}, {28, 1, 1}}},
		{"kinds do not tell the speed", oneKind, func(i int) float64 { return []float64{0.8, 1, 1.25}[i%3] }, 400, 8, []want{{0, 0.72, 0.88}, {2, 1.12, 1.4}}},
		{"few ends of a slow worker", oneKind, func(i int) float64 { return []float64{1, 1.7}[i/29] }, 1, 8, []want{{29, 1, 1}}},
		{"nothing is known", thirdSlow, equal, 0, 0, []want{{0, 1, 1}, {1, 1, 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(1, 30, test.kind, test.slowness)
			for range test.steps {
				c.runStep(test.tasks)
			}
			for _, w := range test.want {
				got := c.workers[int(w.worker)].Slowness()
				assert.Assert(t, got >= w.low && got <= w.high, "worker %v: %.3f", w.worker, got)
			}
		})
	}
}

// TestEqualWorkersAreExactlyEqual guards against placements that follow noise: in a cell of
// equal workers every factor is exactly 1 at any time.
func TestEqualWorkersAreExactlyEqual(t *testing.T) {
	for _, tasks := range []int{1, 3, 8, 30} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			c := newCell(2, 60, thirdSlow, func(int) float64 { return 1 })
			for range 20000 / tasks {
				c.runStep(tasks)
				for i, w := range c.workers {
					assert.Equal(t, w.Slowness(), 1.0, "worker %d at %s", i, c.now)
				}
			}
		})
	}
}

// TestKindsWithoutCommonSteps guards against kinds that drift together or are forgotten, once
// each of them is given work of its own.
func TestKindsWithoutCommonSteps(t *testing.T) {
	c := newCell(3, 30, thirdSlow, speedOfKind)
	for range 100 {
		c.runStep(8)
	}
	workers, slowness := c.workers, c.slowness
	for n := range 4000 {
		c.workers, c.slowness = nil, nil
		for i := range workers {
			if (i%3 == 0) == (n%4 == 0) {
				c.workers, c.slowness = append(c.workers, workers[i]), append(c.slowness, slowness[i])
			}
		}
		c.runStep(8)
	}
	ratio := workers[0].Slowness() / workers[1].Slowness()
	assert.Assert(t, ratio > 1.9 && ratio < 3.1, "%.2f", ratio)
}

// TestRestartedWorkerStartsAnew checks that a new incarnation counts as its kind.
func TestRestartedWorkerStartsAnew(t *testing.T) {
	c := newCell(1, 30, oneKind, func(i int) float64 { return []float64{1, 1.7}[i/29] })
	for range 200 {
		c.runStep(8)
	}
	assert.Assert(t, c.workers[29].Slowness() > 1.4)
	c.workers[29].Restart()
	assert.Equal(t, c.workers[29].Slowness(), 1.0)
}

// TestNoHerd guards against all urgent work on the worker that seems fastest: workers that differ
// little are equal for the choice, although each has a factor of its own.
func TestNoHerd(t *testing.T) {
	c := newCell(4, 60, oneKind, func(i int) float64 { return []float64{0.8, 1, 1.25}[i%3] })
	for range 1000 {
		c.runStep(8)
	}
	classes := map[float64]int{}
	fastest, best := 1.0, 0
	for i, w := range c.workers {
		if i%3 == 0 {
			classes[w.ClassSlowness()]++
			best = max(best, classes[w.ClassSlowness()])
			fastest = min(fastest, w.ClassSlowness())
		}
	}
	assert.Assert(t, best >= 15 && classes[fastest] >= 5, "classes of the 20 fast workers: %v", classes)
}

// TestKindsAreBounded guards against memory that grows with workers whose labels are unique.
func TestKindsAreBounded(t *testing.T) {
	m := New()
	for i := range 1000 {
		m.RemoveWorker(m.AddWorker(fmt.Sprint(i)))
	}
	assert.Assert(t, len(m.Kinds()) <= maxKinds, "%d", len(m.Kinds()))
}

// TestRange checks that single workers do not decide how fast a pool is.
func TestRange(t *testing.T) {
	m := New()
	kinds := map[float64]*Worker{0.7: m.AddWorker("fast"), 1: m.AddWorker(""), 1.8: m.AddWorker("slow"), 4: m.AddWorker("broken")}
	for slowness, w := range kinds {
		w.kind.log = math.Log(slowness)
	}
	for _, test := range []struct {
		name                      string
		fast, mean, slow, broken  int
		fastest, slowest, epsilon float64
	}{
		{"none", 0, 0, 0, 0, 1, 1, 0},
		{"equal", 0, 9, 0, 0, 1, 1, 0},
		{"a third is slow", 20, 0, 10, 0, 0.7, 1.8, 0.1},
		{"outliers", 2, 20, 0, 2, 1, 1, 0},
		{"outliers beyond a kind", 2, 20, 10, 2, 1, 1.8, 0.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r Range
			for slowness, count := range map[float64]int{0.7: test.fast, 1: test.mean, 1.8: test.slow, 4: test.broken} {
				for range count {
					r.Add(kinds[slowness])
				}
			}
			fastest, slowest := r.Bounds()
			assert.Assert(t, math.Abs(fastest-test.fastest) <= test.epsilon && math.Abs(slowest-test.slowest) <= test.epsilon, "%v %v", fastest, slowest)
		})
	}
}

// TestBias checks the bias of the estimates, and that the margin for the slowest task follows
// from how much the tasks differ.
func TestBias(t *testing.T) {
	c := newCell(5, 30, thirdSlow, speedOfKind)
	for range 2000 {
		c.runStep(8)
	}
	// The estimates are too low by the geometric mean of 0.3 and 2, and the mean worker is
	// 6 % faster than nominal.
	bias := c.model.Bias("q", "t")
	assert.Assert(t, bias > 0.9 && bias < 1.6, "%.3f", bias)
	margin := c.model.SlowestOf("q", 10)
	assert.Assert(t, margin > 1.1 && margin < 1.4, "%.3f", margin)
	assert.Equal(t, c.model.SlowestOf("q", 1), 1.0)
	assert.Equal(t, New().Bias("other", "t"), 1.0)
}
