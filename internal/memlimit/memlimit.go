// Package memlimit adapts the garbage collector of a process to the memory of its machine.
//
// # Usage
//
//	memlimit.Apply(144)
package memlimit

import "runtime/debug"

const (
	// gcPercent is the heap growth between collections, in percent. It is low because
	// entry hosts have little memory, while their CPUs are idle nine tenths of the time.
	gcPercent = 50
	// limitFraction is the fraction of the machine's memory from which the garbage
	// collector runs more often.
	limitFraction = 0.5
)

// Apply sets the garbage collector for a machine with the given memory in MB. If it is unknown
// (0), only the heap growth is set.
func Apply(memoryMB int64) {
	debug.SetGCPercent(gcPercent)
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(memoryMB<<20) * limitFraction))
	}
}
