package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTail guards against second runs that do not change whether a job is in time, and against
// steps that get too many of them.
func TestTail(t *testing.T) {
	const s = time.Second
	short, slow := TailRun{Left: s}, TailRun{Left: 5 * s, Again: 2 * s}
	move := func(cost time.Duration) TailRun { return TailRun{Left: 5 * s, Again: 2 * s, Cost: cost} }
	for _, tc := range []struct {
		name string
		tail Tail
		want []int
	}{
		{"the last task is on a slow worker", Tail{Tasks: 10, InTime: 3 * s, OfValue: 9 * s, Runs: []TailRun{short, slow}}, []int{1}},
		{"the only task", Tail{Tasks: 1, InTime: 3 * s, OfValue: 9 * s, Runs: []TailRun{slow}}, []int{0}},
		{"in time anyway", Tail{Tasks: 10, InTime: 5 * s, OfValue: 15 * s, Runs: []TailRun{short, slow}}, nil},
		{"late in any case, but of use", Tail{Tasks: 10, InTime: 1 * s, OfValue: 9 * s, Runs: []TailRun{short, slow}}, nil},
		{"of use only with a copy", Tail{Tasks: 10, InTime: s, OfValue: 3 * s, Runs: []TailRun{short, slow}}, []int{1}},
		{"of no use in any case", Tail{Tasks: 10, InTime: -9 * s, OfValue: -s, Runs: []TailRun{short, slow}}, nil},
		{"another task ends late as well", Tail{Tasks: 10, InTime: 3 * s, OfValue: 9 * s, Runs: []TailRun{slow, {Left: 5 * s}}}, nil},
		{"a copy ends hardly earlier", Tail{Tasks: 10, InTime: 3 * s, OfValue: 9 * s, Runs: []TailRun{{Left: 3100 * time.Millisecond, Again: 2900 * time.Millisecond}}}, nil},
		{"two of ten", Tail{Tasks: 10, InTime: 3 * s, OfValue: 9 * s, Runs: []TailRun{slow, short, slow}}, []int{0, 2}},
		{"three of ten", Tail{Tasks: 10, InTime: 3 * s, OfValue: 9 * s, Runs: []TailRun{slow, slow, slow}}, nil},
		{"one beside two", Tail{Tasks: 10, Second: 2, InTime: 3 * s, OfValue: 9 * s, Runs: []TailRun{slow, short, short}}, nil},
		{"move at a low cost", Tail{Tasks: 10, InTime: 3 * s, OfValue: 9 * s, Runs: []TailRun{move(s)}}, []int{0}},
		{"move at a high cost", Tail{Tasks: 10, InTime: 3 * s, OfValue: 9 * s, Runs: []TailRun{move(2 * s)}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.DeepEqual(t, tc.tail.Plan(), tc.want) })
	}
}
