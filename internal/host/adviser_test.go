package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAdviserAvoidsAFailedHost replays questions through a host that is gone:
// the first of its lane, and the one with the least to do.
func TestAdviserAvoidsAFailedHost(t *testing.T) {
	tests := []struct {
		name   string
		failed []string
		busy   []string // each with one question under way
		want   string
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
			a := adviser{busy: map[string]time.Duration{}, rest: map[string]time.Time{}}
			for _, address := range test.busy {
				a.busy[address] += cost
			}
			for _, address := range test.failed {
				a.give(address, 0, true)
			}
			assert.Equal(t, a.take([]string{"h-1", "h-2", "h-3"}, cost), test.want)
		})
	}
}
