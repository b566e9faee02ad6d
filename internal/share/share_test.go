package share

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericspread.org/turmericspread/internal/resource"
)

var total = resource.Vector{MilliCores: 100_000, MemoryMB: 200_000}

func cpu(n int64) resource.Vector { return resource.Vector{MilliCores: n * 1000, MemoryMB: n * 100} }

func TestEntitlements(t *testing.T) {
	for _, tc := range []struct {
		name    string
		demands map[string]Demand
		want    map[string]float64
	}{
		{"equal shares", map[string]Demand{"a": {1, cpu(0), cpu(200)}, "b": {1, cpu(90), cpu(100)}},
			map[string]float64{"a": 0.5, "b": 0.5}},
		{"weights", map[string]Demand{"a": {1, cpu(0), cpu(200)}, "b": {3, cpu(0), cpu(200)}},
			map[string]float64{"a": 0.25, "b": 0.75}},
		{"what one does not want goes to the others", map[string]Demand{"a": {1, cpu(0), cpu(10)}, "b": {1, cpu(0), cpu(500)}},
			map[string]float64{"a": 0.1, "b": 0.9}},
		{"different dominant resources", map[string]Demand{
			"a": {1, resource.Vector{}, resource.Vector{MilliCores: 1_000_000, MemoryMB: 1000}},
			"b": {1, resource.Vector{}, resource.Vector{MilliCores: 1000, MemoryMB: 2_000_000}},
		}, map[string]float64{"a": 0.9999, "b": 0.9999}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Entitlements(total, tc.demands)
			for team, want := range tc.want {
				assert.Assert(t, math.Abs(got[team]-want) < 0.005, "team %s: %f, not %f", team, got[team], want)
			}
		})
	}
}

// TestEntitlementsFit checks that entitlements never exceed the cell, nor a
// team's demand.
func TestEntitlementsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := map[string]Demand{}
		for _, name := range []string{"a", "b", "c", "d"} {
			demands[name] = Demand{
				Weight:  rapid.Float64Range(0.1, 10).Draw(t, "weight"),
				Pending: resource.Vector{MilliCores: rapid.Int64Range(1, 300_000).Draw(t, "cores"), MemoryMB: rapid.Int64Range(1, 600_000).Draw(t, "memory")},
			}
		}
		entitled := Entitlements(total, demands)
		var cores, memory float64
		for name, d := range demands {
			wanted := d.Pending.Dominant(total)
			if entitled[name] > wanted+1e-9 {
				t.Fatalf("team %s gets %f and wants %f", name, entitled[name], wanted)
			}
			part := entitled[name] / wanted
			cores += part * float64(d.Pending.MilliCores)
			memory += part * float64(d.Pending.MemoryMB)
		}
		const slack = 1 + 1e-6
		if cores > float64(total.MilliCores)*slack || memory > float64(total.MemoryMB)*slack {
			t.Fatalf("%f cores and %f MB are given away", cores, memory)
		}
	})
}
