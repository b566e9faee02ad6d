// Package placement chooses the worker for a task.
//
// # Usage
//
//	i := placement.BestFit(free, demand)
//	if i < 0 {
//		// no worker has enough free capacity
//	}
package placement

import "turmericspread.org/turmericspread/internal/resource"

// BestFit returns the index of the free capacity into which demand fits with the
// least left over, or -1 if it fits into none. The leftover counts all
// dimensions, so that free capacity of no dimension is stranded.
func BestFit(free []resource.Vector, demand resource.Vector) (best int) {
	best = -1
	var minLeftover float64
	for i, v := range free {
		if !v.Fits(demand) {
			continue
		}
		remaining := leftover(v, demand)
		if best < 0 || remaining < minLeftover {
			best, minLeftover = i, remaining
		}
	}
	return best
}

// leftover returns the capacity that remains of free after demand is subtracted,
// as a number of cores. One accelerator counts as 8 cores, 2 GB of memory as one
// core.
func leftover(free, demand resource.Vector) float64 {
	const coresPerAccelerator, mbPerCore = 8, 2048
	remaining := free.Sub(demand)
	return float64(remaining.MilliCores)/1000 + float64(remaining.MemoryMB)/mbPerCore + float64(remaining.Accelerators)*coresPerAccelerator
}
