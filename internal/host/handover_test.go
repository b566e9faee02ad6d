package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRelayed guards against an owner that offers the cell to others at the beginning of an
// outage of the whole store, after which it starts nothing until the store is back.
func TestRelayed(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name                                     string
		directOutage, sinceFailure, sinceSuccess time.Duration
		want                                     bool
	}{
		{"direct access", 0, time.Hour, 50 * ms, false},
		{"served by other hosts", time.Second, time.Hour, 50 * ms, true},
		{"no call has failed yet, and none succeeds", 500 * ms, time.Hour, 900 * ms, false},
		{"a call has failed", time.Second, 100 * ms, 50 * ms, false},
		{"the direct outage has just begun", 100 * ms, time.Hour, 50 * ms, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, relayed(tc.directOutage, tc.sinceFailure, tc.sinceSuccess), tc.want)
		})
	}
}
