package placement

import (
	"math/bits"
	"slices"
	"strings"

	"turmericspread.org/turmericspread/internal/resource"
)

// Index holds the free capacity of the workers of many racks. Racks are divided
// into classes by the most free cores that any of their workers has. A search
// skips the classes of racks that have too few free cores, and ends in the first
// class with a fitting worker.
type Index struct {
	racks   map[string]*indexedRack
	classes [numClasses]map[string]*indexedRack
}

// indexedRack contains the free capacity of each worker of a rack.
type indexedRack struct {
	name  string
	free  []resource.Vector
	class int
}

// numClasses is the number of classes. Each covers the amounts of millicores with
// the same bit length.
const numClasses = 64

// maxComparedRacks bounds the number of racks with a fitting worker that are
// compared in one class.
const maxComparedRacks = 32

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{racks: map[string]*indexedRack{}} }

// Set records the free capacity of the workers of a rack. The index keeps the
// slice and modifies it.
func (x *Index) Set(rack string, free []resource.Vector) {
	r, ok := x.racks[rack]
	if !ok {
		r = &indexedRack{name: rack, class: -1}
		x.racks[rack] = r
	}
	r.free = free
	x.updateClass(r)
}

// Free returns the free capacity of the workers of a rack, or nil if the rack is
// not in the index.
func (x *Index) Free(rack string) []resource.Vector {
	if r, ok := x.racks[rack]; ok {
		return r.free
	}
	return nil
}

// Racks returns the names of the racks in sorted order.
func (x *Index) Racks() (names []string) {
	for name := range x.racks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Reserve subtracts demand from the free capacity of a worker of a rack, given by
// its index. A negative demand releases it.
func (x *Index) Reserve(rack string, worker int, demand resource.Vector) {
	r := x.racks[rack]
	r.free[worker] = r.free[worker].Sub(demand)
	x.updateClass(r)
}

// classOf returns the class of an amount of cores.
func classOf(milliCores int64) int { return bits.Len64(uint64(max(milliCores, 0))) }

// updateClass moves a rack to the class of its free capacity.
func (x *Index) updateClass(r *indexedRack) {
	var maxCores int64
	for _, v := range r.free {
		maxCores = max(maxCores, v.MilliCores)
	}
	class := classOf(maxCores)
	if class == r.class {
		return
	}
	if r.class >= 0 {
		delete(x.classes[r.class], r.name)
	}
	if x.classes[class] == nil {
		x.classes[class] = map[string]*indexedRack{}
	}
	x.classes[class][r.name] = r
	r.class = class
}

// BestFit returns a rack and the index of a worker on which demand fits with
// little capacity left over: the best of up to maxComparedRacks racks of the
// lowest class with a fit. If allowed is set, only racks for which it returns
// true are considered.
func (x *Index) BestFit(demand resource.Vector, allowed func(rack string) bool) (rack string, worker int, ok bool) {
	var minLeftover float64
	for class := classOf(demand.MilliCores); class < numClasses; class++ {
		compared := 0
		for name, r := range x.classes[class] {
			if allowed != nil && !allowed(name) {
				continue
			}
			i := BestFit(r.free, demand)
			if i < 0 {
				continue
			}
			remaining := leftover(r.free[i], demand)
			if !ok || remaining < minLeftover || remaining == minLeftover && strings.Compare(name, rack) < 0 {
				rack, worker, minLeftover, ok = name, i, remaining, true
			}
			if compared++; compared >= maxComparedRacks {
				break
			}
		}
		if ok {
			return rack, worker, true
		}
	}
	return "", -1, false
}
