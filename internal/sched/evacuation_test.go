package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
)

// TestEvacuationPlan guards against an evacuation that interrupts more of a step than it
// allows, that stops what finds no capacity elsewhere, and that moves work which would end
// sooner where it is. One worker elsewhere has capacity for eight tasks unless stated.
func TestEvacuationPlan(t *testing.T) {
	core := func(n int64) resource.Vector { return resource.Vector{MilliCores: 1000 * n, MemoryMB: 1000 * n} }
	const s = time.Second
	serving, starting := MoveRun{Serving: true}, MoveRun{}
	lasting := func(maxAway, away, waiting int, runs ...MoveRun) MoveStep {
		return MoveStep{Lasting: true, Tasks: 9, Demand: core(1), MaxAway: maxAway, Away: away, Waiting: waiting, MaxTasks: []int{99}, Runs: runs}
	}
	saving := func(runs ...MoveRun) MoveStep {
		return MoveStep{Tasks: 9, Demand: core(1), MaxTasks: []int{99}, MoveTime: s, Runs: runs}
	}
	gang := func(tasks int, runs ...MoveRun) MoveStep {
		g := saving(runs...)
		g.Gang, g.Tasks = true, tasks
		return g
	}
	long := func(remaining, age time.Duration) MoveRun {
		return MoveRun{Remaining: remaining, Saved: true, SavedAge: age}
	}
	gangOf := func(remaining ...time.Duration) (runs []MoveRun) {
		for _, r := range remaining {
			runs = append(runs, long(r, 0))
		}
		return runs
	}
	limited := lasting(3, 0, 0, serving, serving, serving)
	limited.MaxTasks = []int{1}
	lastingGang := lasting(1, 0, 0, serving, serving)
	lastingGang.Gang, lastingGang.Tasks = true, 2
	tests := []struct {
		name  string
		steps []MoveStep
		free  int64 // cores; 0: 8
		e     Evacuation
		want  []Move
	}{
		{"one of a step without a limit", []MoveStep{lasting(0, 0, 0, serving, serving)}, 0, Evacuation{}, []Move{{0, 0}}},
		{"as many as the limit", []MoveStep{lasting(2, 0, 0, serving, serving, serving)}, 0, Evacuation{}, []Move{{0, 0}, {0, 1}}},
		{"another task does not serve", []MoveStep{lasting(2, 1, 0, serving, serving)}, 0, Evacuation{}, []Move{{0, 0}}},
		{"too many do not serve", []MoveStep{lasting(1, 1, 0, serving)}, 0, Evacuation{}, nil},
		{"what does not serve there may go", []MoveStep{lasting(1, 1, 0, serving, starting)}, 0, Evacuation{}, []Move{{0, 1}}},
		{"no capacity", []MoveStep{lasting(2, 0, 0, serving, serving)}, 1, Evacuation{}, []Move{{0, 0}}},
		{"capacity that a waiting task needs", []MoveStep{lasting(3, 1, 1, serving), lasting(1, 1, 1)}, 2, Evacuation{}, nil},
		{"limited number on a worker", []MoveStep{limited}, 0, Evacuation{}, []Move{{0, 0}}},
		{"lasting gang", []MoveStep{lastingGang}, 0, Evacuation{}, nil},
		{"bounded rate", []MoveStep{lasting(3, 0, 0, serving, serving, serving)}, 0, Evacuation{MaxMoves: 2}, []Move{{0, 0}, {0, 1}}},
		{"lasting before others, in a crowded cell alone", []MoveStep{saving(long(60*s, 0)), lasting(1, 0, 0, serving)}, 0,
			Evacuation{Crowded: true}, []Move{{1, 0}}},
		{"lasting before others", []MoveStep{saving(long(60*s, 0)), lasting(1, 0, 0, serving)}, 0, Evacuation{}, []Move{{1, 0}, {0, 0}}},
		{"about to end", []MoveStep{saving(long(3*s, 0))}, 0, Evacuation{}, nil},
		{"progress is not saved", []MoveStep{saving(MoveRun{Remaining: 60 * s})}, 0, Evacuation{}, nil},
		{"progress was saved long ago", []MoveStep{saving(long(20*s, 9*s))}, 0, Evacuation{}, nil},
		{"newest progress first", []MoveStep{saving(long(20*s, 950*time.Millisecond), long(20*s, 900*time.Millisecond))}, 0,
			Evacuation{MaxMoves: 1}, []Move{{0, 1}}},
		{"most benefit first", []MoveStep{saving(long(20*s, 0), long(60*s, 0))}, 0, Evacuation{MaxMoves: 1}, []Move{{0, 1}}},
		{"capacity kept for urgent work", []MoveStep{saving(long(60*s, 0), long(60*s, 0))}, 2, Evacuation{Keep: core(1)}, []Move{{0, 0}}},
		{"whole gang", []MoveStep{gang(2, gangOf(60*s, 60*s)...)}, 0, Evacuation{}, []Move{{0, 0}, {0, 1}}},
		{"gang with a member about to end", []MoveStep{gang(2, gangOf(60*s, s)...)}, 0, Evacuation{}, nil},
		{"gang with a member that cannot be moved", []MoveStep{gang(3, gangOf(60*s, 60*s)...)}, 0, Evacuation{}, nil},
		{"gang with a member that saves nothing", []MoveStep{gang(2, long(60*s, 0), MoveRun{Remaining: 60 * s})}, 0, Evacuation{}, nil},
		{"gang without capacity for all", []MoveStep{gang(2, gangOf(60*s, 60*s)...)}, 1, Evacuation{}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := test.e
			if e.MaxMoves == 0 {
				e.MaxMoves = 99
			}
			free := core(8)
			if test.free > 0 {
				free = core(test.free)
			}
			e.Free = []resource.Vector{free}
			for _, step := range test.steps {
				step.MaxTasks = append([]int(nil), step.MaxTasks...)
				e.Steps = append(e.Steps, step)
			}
			assert.DeepEqual(t, e.Plan(), test.want)
		})
	}
}
