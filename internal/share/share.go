// Package share computes the fair share of each team when the cell is full. It
// implements weighted dominant resource fairness (Ghodsi et al., NSDI 2011) over
// the resources of all workers of the cell.
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

// Demand is the demand of one team: the resources that it uses and those that
// its pending tasks need in addition.
type Demand struct {
	Weight  float64
	Used    resource.Vector
	Pending resource.Vector
}

// Entitlements returns the dominant share of total that each team is entitled
// to. Capacity for which a team has no demand is divided among the others by
// weight.
func Entitlements(total resource.Vector, demands map[string]Demand) map[string]float64 {
	type team struct {
		name          string
		weight        float64
		demand        resource.Vector
		dominantShare float64
	}
	var teams []team
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		d := demands[name]
		demand := d.Used.Add(d.Pending)
		teams = append(teams, team{name, d.Weight, demand, demand.Dominant(total)})
	}
	slices.SortStableFunc(teams, func(a, b team) int {
		return cmp.Compare(a.dominantShare/a.weight, b.dominantShare/b.weight)
	})
	entitled := make(map[string]float64, len(teams))
	// Teams get all they demand in the order of their dominant share per weight,
	// until a resource would run out. The remaining teams get the same share per
	// weight, which is the level at which the resource runs out.
	for i, t := range teams {
		level := exhaustionLevel(total, i, func(j int) (float64, float64, resource.Vector) {
			return teams[j].weight, teams[j].dominantShare, teams[j].demand
		}, len(teams))
		if t.dominantShare/t.weight <= level {
			entitled[t.name] = t.dominantShare
			continue
		}
		for _, remaining := range teams[i:] {
			entitled[remaining.name] = level * remaining.weight
		}
		break
	}
	return entitled
}

// exhaustionLevel returns the dominant share per weight at which the first
// resource runs out, if the teams before first get all they demand and the
// shares of the others grow in proportion to their weights.
func exhaustionLevel(total resource.Vector, first int, teamAt func(int) (weight, dominantShare float64, demand resource.Vector), n int) (level float64) {
	const unlimited = 1e18
	level = unlimited
	for _, amount := range []func(resource.Vector) int64{
		func(v resource.Vector) int64 { return v.MilliCores },
		func(v resource.Vector) int64 { return v.MemoryMB },
		func(v resource.Vector) int64 { return v.Accelerators },
	} {
		capacity := float64(amount(total))
		if capacity == 0 {
			continue
		}
		remaining, rate := 1.0, 0.0
		for j := range n {
			weight, dominantShare, demand := teamAt(j)
			fraction := float64(amount(demand)) / capacity
			switch {
			case j < first:
				remaining -= fraction
			case dominantShare > 0:
				rate += fraction / dominantShare * weight
			}
		}
		if rate > 0 {
			level = min(level, remaining/rate)
		}
	}
	return level
}
