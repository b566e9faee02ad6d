package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEarliestSlots(t *testing.T) {
	const now = 10 * time.Second
	busy := []BusyWorker{
		{Free: cores(1), MaxTasks: 9, Releases: []Release{{At: 15 * time.Second, Amount: cores(2)}, {At: 12 * time.Second, Amount: cores(1)}}},
		{Free: cores(0), MaxTasks: 9, Releases: []Release{{At: 11 * time.Second, Amount: cores(4)}}},
		{Free: cores(8), MaxTasks: 0},
		{Free: cores(2), MaxTasks: 1, Releases: []Release{{At: 9 * time.Second, Amount: cores(2)}}},
	}
	tests := []struct {
		name  string
		cores int64
		count int
		want  []Slot
	}{
		{"capacity that is free now", 2, 1, []Slot{{Worker: 3, At: now}}},
		{"several tasks on one worker", 2, 3, []Slot{
			{Worker: 3, At: now}, {Worker: 1, At: 11 * time.Second, Freed: cores(4)}, {Worker: 1, At: 11 * time.Second, Freed: cores(4)},
		}},
		{"a release that is overdue counts as due now", 4, 1, []Slot{{Worker: 3, At: now, Freed: cores(2)}}},
		{"the releases in the order of their time", 2, 4, []Slot{
			{Worker: 3, At: now}, {Worker: 1, At: 11 * time.Second, Freed: cores(4)}, {Worker: 1, At: 11 * time.Second, Freed: cores(4)},
			{Worker: 0, At: 12 * time.Second, Freed: cores(1)},
		}},
		{"never enough", 5, 1, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.DeepEqual(t, EarliestSlots(busy, cores(tc.cores), tc.count, now), tc.want)
		})
	}
}
