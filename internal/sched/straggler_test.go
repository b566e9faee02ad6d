package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIsStraggler(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name            string
		speed           Speed
		restartDelay    time.Duration
		restartFraction float64
		want            bool
	}{
		{"as fast as sibling tasks", Speed{400 * ms, 0.4, 0.6, time.Second, 1}, 500 * ms, 1, false},
		{"seven times as long on a normal worker: a larger task", Speed{400 * ms, 0.06, 0.94, time.Second, 1}, 500 * ms, 1, false},
		{"seven times as long on a slow worker", Speed{400 * ms, 0.06, 0.94, time.Second, 7}, 500 * ms, 1, true},
		{"seven times as long, no siblings to compare with", Speed{400 * ms, 0.06, 0.94, 0, 1}, 500 * ms, 1, false},
		{"no siblings to compare with, on a slow worker", Speed{400 * ms, 0.06, 0.94, 0, 7}, 500 * ms, 1, true},
		{"on a slow worker, but as fast as sibling tasks", Speed{400 * ms, 0.4, 0.6, time.Second, 7}, 500 * ms, 1, false},
		{"three times as long, little remains", Speed{400 * ms, 0.13, 0.3, time.Second, 3}, 500 * ms, 1, false},
		{"three times as long, little remains, progress is kept", Speed{2400 * ms, 0.13, 0.3, 6 * time.Second, 3}, 500 * ms, 0.3, true},
		{"stalled", Speed{700 * ms, 0, 0.7, 0, 1}, 500 * ms, 1, true},
		{"no progress, but observed too briefly", Speed{600 * ms, 0, 0.7, 0, 1}, 500 * ms, 1, false},
		{"about to end", Speed{100 * ms, 0, 0.01, time.Second, 1}, 500 * ms, 1, false},
		{"observed only once", Speed{0, 0, 1, time.Second, 1}, 500 * ms, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.speed.IsStraggler(test.restartDelay, test.restartFraction), test.want, "slowness %.2f", test.speed.Slowness())
		})
	}
}

func TestMedianRunTime(t *testing.T) {
	assert.Equal(t, MedianRunTime([]time.Duration{3, 1}), time.Duration(0), "too few")
	assert.Equal(t, MedianRunTime([]time.Duration{50, 1, 3}), time.Duration(3))
}
