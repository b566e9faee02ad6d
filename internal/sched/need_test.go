package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	fast, slow = 0.74, 1.8
	ms         = time.Millisecond
)

// TestNeed checks which speeds jobs of the two classes accept in a cell whose slow workers take
// more than twice as long as the others.
func TestNeed(t *testing.T) {
	short := Allowance{
		Pace: 1.7, Left: 1525 * ms, Useful: 4575 * ms, RunTime: 850 * ms, Margin: 1.3, Fastest: fast, Overhead: 60 * ms,
	}
	long := Allowance{
		Pace: 2.5, Left: 17700 * ms, Useful: 53 * time.Second, Rest: 3200 * ms, RunTime: 3200 * ms, Margin: 1.7, Fastest: fast, Overhead: 700 * ms,
	}
	with := func(a Allowance, change func(a *Allowance)) Allowance {
		change(&a)
		return a
	}
	tests := []struct {
		name       string
		allowance  Allowance
		fast, slow bool // whether the work is in time there
	}{
		{"short", short, true, false},
		{"short, its first step has ended early", with(short, func(a *Allowance) { a.Left = 2100 * ms }), true, false},
		{"long", long, true, true},
		{"long, last step after a slow one", with(long, func(a *Allowance) { a.Left, a.Rest = 8200*ms, 0 }), true, false},
		{"long, tasks of very different length", with(long, func(a *Allowance) { a.Margin = 3 }), true, false},
		{"short, has waited, in time only without a slowest task", with(short, func(a *Allowance) { a.Left = 800 * ms }), false, false},
		{"short, late: it leaves the fast workers", with(short, func(a *Allowance) { a.Left, a.Useful = 0, 3050*ms }), true, true},
		{"useless", with(short, func(a *Allowance) { a.Left, a.Useful = -3*time.Second, 0 }), true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			need := test.allowance.Need()
			assert.Equal(t, need.InTime(&Candidate{Slowness: fast}), test.fast, "%+v", need)
			assert.Equal(t, need.InTime(&Candidate{Slowness: slow}), test.slow, "%+v", need)
		})
	}
}

func TestChooseBySpeed(t *testing.T) {
	candidates := []Candidate{
		{Free: cores(3), MaxTasks: 9, Slowness: slow},
		{Free: cores(9), MaxTasks: 9, Slowness: fast},
		{Free: cores(2), MaxTasks: 9, Slowness: fast},
		{Free: cores(1), MaxTasks: 9, Slowness: fast, Penalty: 7},
		{Free: cores(1), MaxTasks: 9, Slowness: slow, Penalty: 1},
	}
	tests := []struct {
		name   string
		need   Need
		demand int64
		want   int
	}{
		{"little time: a fast worker, the fullest", Need{time.Second, time.Second, true}, 1, 2},
		{"no time: the one that ends first", AnyGain, 1, 2},
		{"no time, no room on fast workers: slow ones, not none", AnyGain, 10, -1},
		{"ample time: a slow worker", Need{time.Second, 2 * time.Second, true}, 1, 0},
		{"ample time, room only on fast workers", Need{time.Second, 2 * time.Second, true}, 4, 1},
		{"any speed, others need fast ones", Need{KeepFast: true}, 1, 0},
		{"ample time, nobody needs fast ones: the fullest", Need{time.Second, 2 * time.Second, false}, 1, 2},
		{"any speed: the fullest without a penalty", Need{}, 1, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, Choose(candidates, cores(test.demand), test.need), test.want)
		})
	}
	assert.Equal(t, Choose(candidates[:1], cores(1), AnyGain), 0, "urgent work does not wait for a fast worker")
}

// TestChooseAllDoesNotMixSpeeds guards against a gang that waits for its one member on a slow
// worker.
func TestChooseAllDoesNotMixSpeeds(t *testing.T) {
	candidates := []Candidate{
		{Free: cores(1), MaxTasks: 9, Slowness: slow, Rack: "a"},
		{Free: cores(2), MaxTasks: 9, Slowness: fast, Rack: "a"},
		{Free: cores(2), MaxTasks: 9, Slowness: slow, Rack: "b"},
		{Free: cores(2), MaxTasks: 9, Slowness: fast, Rack: "b"},
	}
	ample, little := Need{time.Second, 2 * time.Second, true}, Need{time.Second, time.Second, true}
	tests := []struct {
		name     string
		need     Need
		count    int
		sameRack bool
		want     []int
	}{
		{"ample time: slow workers only", ample, 3, false, []int{0, 2, 2}},
		{"ample time, too many for slow workers: fast ones only", ample, 4, false, []int{1, 1, 3, 3}},
		{"little time", little, 2, false, []int{1, 1}},
		{"all of them", little, 7, false, []int{1, 1, 3, 3, 0, 2, 2}},
		{"one rack", ample, 2, true, []int{2, 2}},
		{"one rack, mixed rather than two racks", little, 4, true, []int{3, 3, 2, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ChooseAll(candidates, cores(1), test.count, test.need, GangPreference{SameRack: test.sameRack})
			assert.DeepEqual(t, got, test.want)
		})
	}
}
