// Package resource defines amounts of the resources that tasks demand and
// workers offer.
//
// # Usage
//
//	free := capacity.Sub(used)
//	if free.Fits(demand) {
//		used = used.Add(demand)
//	}
package resource

import "fmt"

// Vector is an amount of each resource. Cores are counted in thousandths, memory
// in MiB and accelerators in whole devices.
type Vector struct {
	MilliCores   int64 `json:"milli-cores,omitempty"`
	MemoryMB     int64 `json:"memory-mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns v + w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.MilliCores + w.MilliCores, v.MemoryMB + w.MemoryMB, v.Accelerators + w.Accelerators}
}

// Sub returns v - w.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.MilliCores - w.MilliCores, v.MemoryMB - w.MemoryMB, v.Accelerators - w.Accelerators}
}

// Scale returns v * n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.MilliCores * n, v.MemoryMB * n, v.Accelerators * n}
}

// Fits reports whether demand is at most v in every dimension.
func (v Vector) Fits(demand Vector) bool {
	return demand.MilliCores <= v.MilliCores && demand.MemoryMB <= v.MemoryMB && demand.Accelerators <= v.Accelerators
}

// Max returns the larger of v and w in each dimension.
func (v Vector) Max(w Vector) Vector {
	return Vector{max(v.MilliCores, w.MilliCores), max(v.MemoryMB, w.MemoryMB), max(v.Accelerators, w.Accelerators)}
}

// Min returns the smaller of v and w in each dimension.
func (v Vector) Min(w Vector) Vector {
	return Vector{min(v.MilliCores, w.MilliCores), min(v.MemoryMB, w.MemoryMB), min(v.Accelerators, w.Accelerators)}
}

// IsZero reports whether every dimension is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// Dominant returns the dominant share of v: the largest fraction of total that v
// takes in any dimension. Dimensions in which total is zero are ignored.
func (v Vector) Dominant(total Vector) (fraction float64) {
	for _, pair := range [][2]int64{
		{v.MilliCores, total.MilliCores},
		{v.MemoryMB, total.MemoryMB},
		{v.Accelerators, total.Accelerators},
	} {
		if pair[1] > 0 {
			fraction = max(fraction, float64(pair[0])/float64(pair[1]))
		}
	}
	return fraction
}

// Count returns how many times demand fits into v, at most 1<<30. A zero demand
// fits that often.
func (v Vector) Count(demand Vector) (n int64) {
	const unlimited = 1 << 30
	n = unlimited
	for _, pair := range [][2]int64{
		{v.MilliCores, demand.MilliCores},
		{v.MemoryMB, demand.MemoryMB},
		{v.Accelerators, demand.Accelerators},
	} {
		if pair[1] > 0 {
			n = min(n, max(pair[0], 0)/pair[1])
		}
	}
	return n
}

// String returns v in human-readable form.
func (v Vector) String() string {
	return fmt.Sprintf("%.3g cores, %d MB, %d accelerators", float64(v.MilliCores)/1000, v.MemoryMB, v.Accelerators)
}
