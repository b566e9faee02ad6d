package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
)

func TestFits(t *testing.T) {
	free := []resource.Vector{
		{MilliCores: 8000, MemoryMB: 16000},
		{MilliCores: 2000, MemoryMB: 4000},
		{MilliCores: 32000, MemoryMB: 64000, Accelerators: 4},
	}
	for _, tc := range []struct {
		name        string
		want        resource.Vector
		best, first int
	}{
		{"the tightest worker is taken", resource.Vector{MilliCores: 1500, MemoryMB: 1000}, 1, 0},
		{"an accelerator is not wasted on other work", resource.Vector{MilliCores: 8000, MemoryMB: 8000}, 0, 0},
		{"only one has accelerators", resource.Vector{MilliCores: 1000, Accelerators: 1}, 2, 2},
		{"nothing fits", resource.Vector{MilliCores: 64000}, -1, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, BestFit(free, tc.want), tc.best)
			assert.Equal(t, firstFit(free, tc.want), tc.first)
		})
	}
}

// firstFit returns the first index that want fits into, or -1.
func firstFit(free []resource.Vector, want resource.Vector) int {
	for i, v := range free {
		if v.Fits(want) {
			return i
		}
	}
	return -1
}

func randomFit(rng *rand.Rand) func([]resource.Vector, resource.Vector) int {
	return func(free []resource.Vector, want resource.Vector) int {
		var fits []int
		for i, v := range free {
			if v.Fits(want) {
				fits = append(fits, i)
			}
		}
		if len(fits) == 0 {
			return -1
		}
		return fits[rng.IntN(len(fits))]
	}
}

// pack places tasks of mixed sizes until one in ten is refused and returns the
// part of the dominant resource that is used.
func pack(seed uint64, workers int, fit func([]resource.Vector, resource.Vector) int) float64 {
	rng := rand.New(rand.NewPCG(seed, 4))
	var total resource.Vector
	free := make([]resource.Vector, workers)
	for i := range free {
		free[i] = resource.Vector{MilliCores: 32000, MemoryMB: 65536}
		if i%8 == 0 {
			free[i].Accelerators = 4
		}
		total = total.Add(free[i])
	}
	var used resource.Vector
	refused, tried := 0, 0
	for refused*10 <= tried || tried < 20 {
		want := resource.Vector{MilliCores: int64(500 * (1 + rng.IntN(32))), MemoryMB: int64(512 * (1 + rng.IntN(48)))}
		if rng.IntN(20) == 0 {
			want.Accelerators = 1
		}
		tried++
		i := fit(free, want)
		if i < 0 {
			refused++
			continue
		}
		free[i] = free[i].Sub(want)
		used = used.Add(want)
	}
	return used.Dominant(total)
}

// TestBestFitPacksBetter compares best fit with first fit and random choice.
func TestBestFitPacksBetter(t *testing.T) {
	for _, workers := range []int{50, 400} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			var best, first, random float64
			const seeds = 10
			for seed := uint64(1); seed <= seeds; seed++ {
				best += pack(seed, workers, BestFit) / seeds
				first += pack(seed, workers, firstFit) / seeds
				random += pack(seed, workers, randomFit(rand.New(rand.NewPCG(seed, 5)))) / seeds
			}
			t.Logf("%d workers: dominant resource used at 10 %% refusals: best fit %.1f %%, first fit %.1f %%, random %.1f %%",
				workers, 100*best, 100*first, 100*random)
			assert.Assert(t, best > random, "best fit %.3f, random %.3f", best, random)
		})
	}
}

// BenchmarkIndex places and frees tasks over racks of 8 workers.
func BenchmarkIndex(b *testing.B) {
	for _, workers := range []int{50, 475, 3800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			const perRack = 8
			rng := rand.New(rand.NewPCG(1, 6))
			index := NewIndex()
			for r := range workers / perRack {
				free := make([]resource.Vector, perRack)
				for i := range free {
					free[i] = resource.Vector{MilliCores: int64(1000 * rng.IntN(32)), MemoryMB: int64(1024 * rng.IntN(64))}
				}
				index.Set(fmt.Sprintf("rack/a/r%d", r), free)
			}
			want := resource.Vector{MilliCores: 2000, MemoryMB: 2048}
			latencies := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for range b.N {
				begin := time.Now()
				rack, i, ok := index.BestFit(want, nil)
				if ok {
					index.Reserve(rack, i, want)
					index.Reserve(rack, i, resource.Vector{MilliCores: -2000, MemoryMB: -2048})
				}
				latencies = append(latencies, time.Since(begin))
			}
			b.StopTimer()
			slices.Sort(latencies)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
		})
	}
}
