// Package share computes what each team is entitled to when the cell is full:
// weighted dominant-resource fairness (Ghodsi et al., NSDI 2011) over the
// usage of the whole fleet.
//
// # Usage
//
//	entitled := share.Entitlements(total, demands)
//	if used.Dominant(total) < entitled["jerami"] { ... }
package share

import (
	"cmp"
	"maps"
	"slices"

	"turmericspread.org/turmericspread/internal/resource"
)

// Demand is what one team uses and could use besides.
type Demand struct {
	Weight  float64
	Used    resource.Vector
	Pending resource.Vector
}

// Entitlements returns for each team the dominant fraction of total that it is
// entitled to. Capacity that a team has no demand for is divided among the
// others by weight.
func Entitlements(total resource.Vector, demands map[string]Demand) map[string]float64 {
	type team struct {
		name   string
		weight float64
		want   resource.Vector
		wanted float64
	}
	var teams []team
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		d := demands[name]
		want := d.Used.Add(d.Pending)
		teams = append(teams, team{name, d.Weight, want, want.Dominant(total)})
	}
	slices.SortStableFunc(teams, func(a, b team) int {
		return cmp.Compare(a.wanted/a.weight, b.wanted/b.weight)
	})
	entitled := make(map[string]float64, len(teams))
	// Teams are filled in the order in which they are satisfied; level is the
	// dominant share per weight at which some resource runs out.
	for i, t := range teams {
		level := exhaustion(total, i, func(j int) (float64, float64, resource.Vector) {
			return teams[j].weight, teams[j].wanted, teams[j].want
		}, len(teams))
		if t.wanted/t.weight <= level {
			entitled[t.name] = t.wanted
			continue
		}
		for _, rest := range teams[i:] {
			entitled[rest.name] = level * rest.weight
		}
		break
	}
	return entitled
}

// exhaustion returns the level at which the first resource is used up when the
// teams before first have all they want and the others grow evenly.
func exhaustion(total resource.Vector, first int, at func(int) (weight, wanted float64, want resource.Vector), n int) (level float64) {
	const unlimited = 1e18
	level = unlimited
	for _, dim := range []func(resource.Vector) int64{
		func(v resource.Vector) int64 { return v.MilliCores },
		func(v resource.Vector) int64 { return v.MemoryMB },
		func(v resource.Vector) int64 { return v.Accelerators },
	} {
		capacity := float64(dim(total))
		if capacity == 0 {
			continue
		}
		left, slope := 1.0, 0.0
		for j := range n {
			weight, wanted, want := at(j)
			fraction := float64(dim(want)) / capacity
			switch {
			case j < first:
				left -= fraction
			case wanted > 0:
				slope += fraction / wanted * weight
			}
		}
		if slope > 0 {
			level = min(level, left/slope)
		}
	}
	return level
}
