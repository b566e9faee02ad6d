package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
