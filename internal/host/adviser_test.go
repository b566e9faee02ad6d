package host

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLightQueriesAvoidHeavyOnes checks which hosts are free for queries: a host sends one
// heavy query at a time, and no light one behind it.
func TestLightQueriesAvoidHeavyOnes(t *testing.T) {
	const light, heavy = 10 * time.Millisecond, 500 * time.Millisecond
	hosts := []string{"h-1", "h-2", "h-3"}
	tests := []struct {
		name        string
		pending     map[string]time.Duration
		light       bool
		heavy       bool
		lightChoice string
	}{
		{"all idle", nil, true, true, "h-1"},
		{"a heavy query on one host", map[string]time.Duration{"h-2": heavy}, true, true, "h-1"},
		{"heavy queries on all hosts for them", map[string]time.Duration{"h-2": heavy, "h-3": heavy}, true, false, "h-1"},
		{"a backlog of light queries on one host", map[string]time.Duration{"h-1": 6 * light}, true, true, "h-2"},
		{"all busy", map[string]time.Duration{"h-1": 6 * light, "h-2": heavy, "h-3": heavy}, false, false, "h-1"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a := adviceBalancer{pending: map[string]time.Duration{}, cooldownUntil: map[string]time.Time{}}
			maps.Copy(a.pending, tc.pending)
			assert.Equal(t, a.hasFree(eligibleHosts(hosts, light), light), tc.light)
			assert.Equal(t, a.hasFree(eligibleHosts(hosts, heavy), heavy), tc.heavy)
			assert.Equal(t, a.acquire(eligibleHosts(hosts, light), light), tc.lightChoice)
		})
	}
}

// TestAdviserAvoidsAFailedHost reproduces queries that were sent through a host
// that no longer exists. The host kept being chosen, because it was the first
// eligible host or, as all its queries failed immediately, the one with the lowest
// load.
func TestAdviserAvoidsAFailedHost(t *testing.T) {
	tests := []struct {
		name    string
		failed  []string
		pending []string // each has one query in flight
		want    string
	}{
		{"all idle", nil, nil, "h-1"},
		{"the least busy", nil, []string{"h-1"}, "h-2"},
		{"the first has failed", []string{"h-1"}, nil, "h-2"},
		{"a failed one is idle, the others are not", []string{"h-1"}, []string{"h-2", "h-3", "h-3"}, "h-2"},
		{"a failed one comes last", []string{"h-3"}, []string{"h-1", "h-2", "h-2"}, "h-1"},
		{"all have failed", []string{"h-1", "h-2", "h-3"}, []string{"h-1"}, "h-2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const cost = 400 * time.Millisecond
			a := adviceBalancer{pending: map[string]time.Duration{}, cooldownUntil: map[string]time.Time{}}
			for _, address := range test.pending {
				a.pending[address] += cost
			}
			for _, address := range test.failed {
				a.release(address, 0, true)
			}
			assert.Equal(t, a.acquire([]string{"h-1", "h-2", "h-3"}, cost), test.want)
		})
	}
}
