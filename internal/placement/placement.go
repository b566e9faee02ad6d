// Package placement chooses where a task runs.
//
// # Usage
//
//	i := placement.BestFit(free, want)
//	if i < 0 {
//		// fits nowhere
//	}
package placement

import "turmericspread.org/turmericspread/internal/resource"

// BestFit returns the index of the vector that want fits into with the least
// left over, or -1. What is left over is compared by its largest part of the
// vector's own size, so that no dimension is stranded.
func BestFit(free []resource.Vector, want resource.Vector) (best int) {
	best = -1
	var bestLeft float64
	for i, v := range free {
		if !v.Fits(want) {
			continue
		}
		left := leftover(v, want)
		if best < 0 || left < bestLeft {
			best, bestLeft = i, left
		}
	}
	return best
}

// leftover weighs what remains of free in units common to all dimensions: one
// accelerator counts as 8 cores, one core as 2 GB.
func leftover(free, want resource.Vector) float64 {
	const coresPerAccelerator, mbPerCore = 8, 2048
	rest := free.Sub(want)
	return float64(rest.MilliCores)/1000 + float64(rest.MemoryMB)/mbPerCore + float64(rest.Accelerators)*coresPerAccelerator
}
