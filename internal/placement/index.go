package placement

import (
	"math/bits"
	"slices"
	"strings"

	"turmericspread.org/turmericspread/internal/resource"
)

// Index holds what is free on the workers of many racks. Racks are kept in
// classes by the cores of their freest worker, so that racks that cannot hold
// a task are not looked at, and a search ends in the first class with a fit.
type Index struct {
	racks   map[string]*indexed
	classes [classes]map[string]*indexed
}

type indexed struct {
	name  string
	free  []resource.Vector
	class int
}

// classes is one per power of two of cores in thousandths.
const classes = 64

// searchLimit bounds how many racks that fit are compared in one class.
const searchLimit = 32

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{racks: map[string]*indexed{}} }

// Set records what is free on the workers of a rack. The index keeps free.
func (x *Index) Set(rack string, free []resource.Vector) {
	r, ok := x.racks[rack]
	if !ok {
		r = &indexed{name: rack, class: -1}
		x.racks[rack] = r
	}
	r.free = free
	x.reclass(r)
}

// Free returns what is free on the workers of a rack.
func (x *Index) Free(rack string) []resource.Vector {
	if r, ok := x.racks[rack]; ok {
		return r.free
	}
	return nil
}

// Racks lists the racks by name.
func (x *Index) Racks() (names []string) {
	for name := range x.racks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Reserve uses want of worker i of a rack; a negative want gives it back.
func (x *Index) Reserve(rack string, i int, want resource.Vector) {
	r := x.racks[rack]
	r.free[i] = r.free[i].Sub(want)
	x.reclass(r)
}

func classOf(milliCores int64) int { return bits.Len64(uint64(max(milliCores, 0))) }

func (x *Index) reclass(r *indexed) {
	var most int64
	for _, v := range r.free {
		most = max(most, v.MilliCores)
	}
	class := classOf(most)
	if class == r.class {
		return
	}
	if r.class >= 0 {
		delete(x.classes[r.class], r.name)
	}
	if x.classes[class] == nil {
		x.classes[class] = map[string]*indexed{}
	}
	x.classes[class][r.name] = r
	r.class = class
}

// BestFit returns the rack and the worker that want fits into with little left
// over: the best of some racks of the lowest class that holds it. Allowed, if
// set, tells which racks may be used.
func (x *Index) BestFit(want resource.Vector, allowed func(rack string) bool) (rack string, worker int, ok bool) {
	var bestLeft float64
	for class := classOf(want.MilliCores); class < classes; class++ {
		compared := 0
		for name, r := range x.classes[class] {
			if allowed != nil && !allowed(name) {
				continue
			}
			i := BestFit(r.free, want)
			if i < 0 {
				continue
			}
			left := leftover(r.free[i], want)
			if !ok || left < bestLeft || left == bestLeft && strings.Compare(name, rack) < 0 {
				rack, worker, bestLeft, ok = name, i, left, true
			}
			if compared++; compared >= searchLimit {
				break
			}
		}
		if ok {
			return rack, worker, true
		}
	}
	return "", -1, false
}
