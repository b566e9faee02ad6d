package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
)

// Release is capacity that a worker is expected to free.
type Release struct {
	At     time.Duration
	Amount resource.Vector
}

// BusyWorker is a worker whose capacity is expected to become free.
type BusyWorker struct {
	Free     resource.Vector
	Releases []Release // in any order
	MaxTasks int       // how many tasks of the step it may take
}

// Slot is the capacity for one task on a worker.
type Slot struct {
	Worker int           // index of the worker
	At     time.Duration // when the capacity is expected to be free
	Freed  resource.Vector
}

// EarliestSlots returns the slots that are free first for count tasks of the given
// demand, or nil if the workers never have that many. Freed is the sum of the releases of
// the worker up to that time.
//
// It is for tasks that need most of a worker, and for gangs. Capacity becomes free in
// parts, and narrow tasks take each part at once: in a well-used pool no worker is ever
// empty unless its capacity is reserved.
func EarliestSlots(workers []BusyWorker, demand resource.Vector, count int, now time.Duration) (slots []Slot) {
	for i := range workers {
		slots = append(slots, workers[i].slots(i, demand, count, now)...)
	}
	if len(slots) < count {
		return nil
	}
	slices.SortStableFunc(slots, func(a, b Slot) int { return cmp.Compare(a.At, b.At) })
	return slots[:count]
}

// slots returns when the worker has capacity for its first, second and further tasks,
// for up to count tasks.
func (w *BusyWorker) slots(index int, demand resource.Vector, count int, now time.Duration) (slots []Slot) {
	count = min(count, w.MaxTasks)
	releases := slices.SortedStableFunc(slices.Values(w.Releases), func(a, b Release) int { return cmp.Compare(a.At, b.At) })
	free, at := w.Free, now
	var freed resource.Vector
	for i := 0; len(slots) < count; i++ {
		for len(slots) < count && free.Fits(demand.Scale(int64(len(slots)+1))) {
			slots = append(slots, Slot{Worker: index, At: at, Freed: freed})
		}
		if i >= len(releases) {
			return slots
		}
		free, freed = free.Add(releases[i].Amount), freed.Add(releases[i].Amount)
		at = max(at, releases[i].At)
	}
	return slots
}
