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
		demand      resource.Vector
		best, first int
	}{
		{"the worker with the least left over is chosen", resource.Vector{MilliCores: 1500, MemoryMB: 1000}, 1, 0},
		{"a worker with accelerators is avoided by other tasks", resource.Vector{MilliCores: 8000, MemoryMB: 8000}, 0, 0},
		{"only one worker has accelerators", resource.Vector{MilliCores: 1000, Accelerators: 1}, 2, 2},
		{"no worker has enough free capacity", resource.Vector{MilliCores: 64000}, -1, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, BestFit(free, tc.demand), tc.best)
			assert.Equal(t, firstFit(free, tc.demand), tc.first)
		})
	}
}

// firstFit returns the index of the first free capacity into which demand fits,
// or -1.
func firstFit(free []resource.Vector, demand resource.Vector) int {
	for i, v := range free {
		if v.Fits(demand) {
			return i
		}
	}
	return -1
}

// randomFit returns a function that chooses randomly among the free capacities
// into which demand fits.
func randomFit(rng *rand.Rand) func([]resource.Vector, resource.Vector) int {
	return func(free []resource.Vector, demand resource.Vector) int {
		var candidates []int
		for i, v := range free {
			if v.Fits(demand) {
				candidates = append(candidates, i)
			}
		}
		if len(candidates) == 0 {
			return -1
		}
		return candidates[rng.IntN(len(candidates))]
	}
}

// pack assigns tasks of mixed sizes until one in ten is rejected, and returns the
// fraction of the dominant resource that is used then.
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
	rejected, tried := 0, 0
	for rejected*10 <= tried || tried < 20 {
		demand := resource.Vector{MilliCores: int64(500 * (1 + rng.IntN(32))), MemoryMB: int64(512 * (1 + rng.IntN(48)))}
		if rng.IntN(20) == 0 {
			demand.Accelerators = 1
		}
		tried++
		i := fit(free, demand)
		if i < 0 {
			rejected++
			continue
		}
		free[i] = free[i].Sub(demand)
		used = used.Add(demand)
	}
	return used.Dominant(total)
}

// TestBestFitPacksBetter checks that best fit uses more capacity than random
// choice, and logs first fit for comparison.
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

// BenchmarkIndex measures a search in an index of racks with 8 workers. Each
// demand is reserved and released again.
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
			demand := resource.Vector{MilliCores: 2000, MemoryMB: 2048}
			latencies := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for range b.N {
				start := time.Now()
				rack, i, ok := index.BestFit(demand, nil)
				if ok {
					index.Reserve(rack, i, demand)
					index.Reserve(rack, i, resource.Vector{MilliCores: -2000, MemoryMB: -2048})
				}
				latencies = append(latencies, time.Since(start))
			}
			b.StopTimer()
			slices.Sort(latencies)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
		})
	}
}
