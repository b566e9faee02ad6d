package share

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericspread.org/turmericspread/internal/resource"
)

var total = resource.Vector{MilliCores: 100_000, MemoryMB: 200_000}

// cpu returns n cores with 100 MB of memory each.
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
		{"capacity without demand goes to the others", map[string]Demand{"a": {1, cpu(0), cpu(10)}, "b": {1, cpu(0), cpu(500)}},
			map[string]float64{"a": 0.1, "b": 0.9}},
		{"different dominant resources", map[string]Demand{
			"a": {1, resource.Vector{}, resource.Vector{MilliCores: 1_000_000, MemoryMB: 1000}},
			"b": {1, resource.Vector{}, resource.Vector{MilliCores: 1000, MemoryMB: 2_000_000}},
		}, map[string]float64{"a": 0.9999, "b": 0.9999}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Entitlements(total, tc.demands)
			for team, want := range tc.want {
				assert.Assert(t, math.Abs(got[team]-want) < 0.005, "team %s is entitled to %f, want %f", team, got[team], want)
			}
		})
	}
}

// TestEntitlementsFit checks that entitlements exceed neither the capacity of
// the cell nor the demand of a team.
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
			demanded := d.Pending.Dominant(total)
			if entitled[name] > demanded+1e-9 {
				t.Fatalf("team %s is entitled to %f but demands only %f", name, entitled[name], demanded)
			}
			fraction := entitled[name] / demanded
			cores += fraction * float64(d.Pending.MilliCores)
			memory += fraction * float64(d.Pending.MemoryMB)
		}
		const slack = 1 + 1e-6
		if cores > float64(total.MilliCores)*slack || memory > float64(total.MemoryMB)*slack {
			t.Fatalf("entitlements of %f millicores and %f MB exceed the cell", cores, memory)
		}
	})
}
