package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClaimDelay guards against a weak host that owns the cell although stronger ones are alive:
// hosts notice the end of an owner at different times, and one of many weak ones is the first.
func TestClaimDelay(t *testing.T) {
	const spread = 350 * time.Millisecond
	strong, stronger := claimant{0.8, 1}, claimant{0.8, 0}
	weak := claimant{0.2, 0}
	for _, tc := range []struct {
		name   string
		self   claimant
		others []claimant
		want   time.Duration
	}{
		{"the strongest claims at once", stronger, []claimant{strong, weak}, 0},
		{"hosts of equal strength claim one after the other", strong, []claimant{stronger, weak}, claimDelayStep},
		{"a weak host waits until strong ones have noticed", weak, []claimant{strong, stronger}, 2*claimDelayStep + spread},
		{"a slightly weaker one does not", claimant{0.6, 0}, []claimant{strong}, claimDelayStep},
		{"equal weak hosts do not", weak, []claimant{{0.2, 1}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, tc.self.delay(tc.others, spread), tc.want) })
	}
}
