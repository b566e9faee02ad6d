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
		{"as fast as sibling tasks", Speed{400 * ms, 0.4, 0.6, time.Second, 1, 0}, 500 * ms, 1, false},
		{"seven times as long on a normal worker: a larger task", Speed{400 * ms, 0.06, 0.94, time.Second, 1, 0}, 500 * ms, 1, false},
		{"seven times as long on a slow worker", Speed{400 * ms, 0.06, 0.94, time.Second, 7, 0}, 500 * ms, 1, true},
		{"seven times as long, no siblings to compare with", Speed{400 * ms, 0.06, 0.94, 0, 1, 0}, 500 * ms, 1, false},
		{"no siblings to compare with, on a slow worker", Speed{400 * ms, 0.06, 0.94, 0, 7, 0}, 500 * ms, 1, true},
		{"on a slow worker, but as fast as sibling tasks", Speed{400 * ms, 0.4, 0.6, time.Second, 7, 0}, 500 * ms, 1, false},
		{"three times as long, little remains", Speed{400 * ms, 0.13, 0.3, time.Second, 3, 0}, 500 * ms, 1, false},
		{"three times as long, little remains, progress is kept", Speed{2400 * ms, 0.13, 0.3, 6 * time.Second, 3, 0}, 500 * ms, 0.3, true},
		{"stalled", Speed{700 * ms, 0, 0.7, 0, 1, 0}, 500 * ms, 1, true},
		{"no progress, but observed too briefly", Speed{600 * ms, 0, 0.7, 0, 1, 0}, 500 * ms, 1, false},
		{"between two steps of a long task", Speed{1400 * ms, 0, 0.7, 0, 1, 6 * time.Second}, 500 * ms, 1, false},
		{"a long task stalls", Speed{6 * time.Second, 0, 0.7, 0, 1, 6 * time.Second}, 500 * ms, 1, true},
		{"a long task stalls beside sibling tasks", Speed{6 * time.Second, 0, 0.7, 150 * time.Second, 1, 6 * time.Second}, 500 * ms, 1, true},
		{"about to end", Speed{100 * ms, 0, 0.01, time.Second, 1, 0}, 500 * ms, 1, false},
		{"observed only once", Speed{0, 0, 1, time.Second, 1, 0}, 500 * ms, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.speed.IsStraggler(test.restartDelay, test.restartFraction), test.want, "slowness %.2f", test.speed.Slowness())
		})
	}
}

// TestSlownessBetweenSteps guards against sound workers that count as slow: a long run gains
// nothing that its percentage shows for most of the time.
func TestSlownessBetweenSteps(t *testing.T) {
	for _, expected := range []time.Duration{100 * time.Second, 150 * time.Second, time.Hour} {
		speed := Speed{Window: expected / 100, Expected: expected, StallAfter: StallTime(expected/100, 0)}
		assert.Assert(t, speed.Slowness() <= 1, "%.2f", speed.Slowness())
	}
}

func TestStallTime(t *testing.T) {
	for _, tc := range []struct {
		name    string
		perStep time.Duration
		stalls  int
		want    time.Duration
	}{
		{"a short task", 10 * time.Millisecond, 0, 700 * time.Millisecond},
		{"nothing is expected", 0, 0, 700 * time.Millisecond},
		{"the longest estimate", 8 * 30 * 24 * time.Hour / 100, 1 << 30, 4 * 8 * 30 * 24 * time.Hour / 100},
		{"a task of an hour", 36 * time.Second, 0, 144 * time.Second},
		{"stalled once", 0, 1, 700 * time.Millisecond},
		{"stalled three times", 0, 3, 2800 * time.Millisecond},
		{"stalled for ever", 0, 1 << 30, 700 * time.Millisecond << 17},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, StallTime(tc.perStep, tc.stalls), tc.want) })
	}
}

func TestMedianRunTime(t *testing.T) {
	assert.Equal(t, MedianRunTime([]time.Duration{3, 1}), time.Duration(0), "too few")
	assert.Equal(t, MedianRunTime([]time.Duration{50, 1, 3}), time.Duration(3))
}
