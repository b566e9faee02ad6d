package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUpkeepPlan guards against more machines down than allowed, against machines that are
// interrupted although there is time to empty them, and against tasks of a lasting step that end
// together.
func TestUpkeepPlan(t *testing.T) {
	const s = time.Second
	empty := UpkeepMachine{Rack: "a"}
	chosen := func(m UpkeepMachine, since time.Duration) UpkeepMachine {
		m.Chosen, m.ChosenFor = true, since
		return m
	}
	short := func(ends time.Duration) UpkeepMachine { return UpkeepMachine{Rack: "a", Runs: 1, Ends: ends, Lost: s} }
	saving := func(lost time.Duration) UpkeepMachine {
		return UpkeepMachine{Rack: "a", Runs: 1, Savable: 1, Lost: lost}
	}
	lasting := func(count int) UpkeepMachine {
		return UpkeepMachine{Rack: "a", Runs: count, Serving: []UpkeepServing{{0, count}}}
	}
	in := func(rack string) UpkeepMachine { return UpkeepMachine{Rack: rack} }
	all := func(m ...UpkeepMachine) []UpkeepMachine { return m }
	steps := func(maxAway, away int) []UpkeepStep { return []UpkeepStep{{maxAway, away}} }
	tests := []struct {
		name              string
		u                 Upkeep
		next, stop, order []int
	}{
		{"at most maximum", Upkeep{Maximum: 2, Machines: all(empty, empty, empty)}, []int{0, 1}, nil, []int{0, 1}},
		{"others are down", Upkeep{Maximum: 2, Down: 1, Machines: all(empty, empty)}, []int{0}, nil, []int{0}},
		{"more are down than allowed", Upkeep{Maximum: 1, Down: 2, Machines: all(empty, empty)}, nil, nil, nil},
		{"empty machines first", Upkeep{Maximum: 1, Machines: all(lasting(1), short(s), empty), Steps: steps(1, 0)}, []int{2}, nil, []int{2}},
		{"least work first", Upkeep{Maximum: 1, Machines: all(short(9*s), short(2*s))}, []int{1}, nil, nil},
		{"an empty machine that was chosen first", Upkeep{Maximum: 1, Machines: all(empty, chosen(empty, 9*s))}, []int{1}, nil, []int{1}},
		{"saved work first", Upkeep{Maximum: 1, Machines: all(saving(9*s), saving(0))}, []int{1}, nil, nil},
		{"a chosen machine stays", Upkeep{Maximum: 1, Machines: all(empty, chosen(short(2*s), s))}, []int{1}, nil, nil},
		{"not if its work does not end", Upkeep{Maximum: 1, Machines: all(empty, chosen(short(2*s), 9*s))}, []int{0}, nil, []int{0}},
		{"one machine of each rack", Upkeep{Maximum: 2, RackDown: map[string]int{"a": 1}, Machines: all(in("a"), in("b"), in("b"), in("c"))}, []int{1, 3}, nil, []int{1, 3}},
		{"progress is saved", Upkeep{Maximum: 1, Machines: all(chosen(saving(s), s))}, []int{0}, []int{0}, nil},
		{"but not while others are down", Upkeep{Maximum: 1, Down: 1, Left: 10 * s, Round: 3 * s, Machines: all(chosen(saving(s), s))}, []int{0}, nil, nil},
		{"waits for work while there is time", Upkeep{Maximum: 1, Machines: all(chosen(short(4*s), s))}, []int{0}, nil, nil},
		{"interrupts when pressed", Upkeep{Maximum: 1, Left: 8 * s, Machines: all(chosen(short(4*s), s)), Round: 3 * s}, []int{0}, nil, []int{0}},
		{"not what is about to end", Upkeep{Maximum: 1, Left: 8 * s, Machines: all(chosen(short(s), s)), Round: 3 * s}, []int{0}, nil, nil},
		{"not before progress is saved", Upkeep{Maximum: 1, Left: 8 * s, Machines: all(chosen(saving(4*s), s)), Round: 3 * s}, []int{0}, []int{0}, nil},
		{"not while progress is being saved", Upkeep{Maximum: 1, Left: 8 * s, Machines: all(chosen(UpkeepMachine{Runs: 1, Saving: true}, s)), Round: 3 * s}, []int{0}, nil, nil},
		{"lasting task within the limit", Upkeep{Maximum: 1, Left: 8 * s, Machines: all(chosen(lasting(1), s)), Round: 3 * s, Steps: steps(1, 0)}, []int{0}, nil, []int{0}},
		{"lasting task whose step is at its limit", Upkeep{Maximum: 1, Left: -s, Machines: all(chosen(lasting(1), s)), Round: 3 * s, Steps: steps(1, 1)}, []int{0}, nil, nil},
		{"more tasks than the limit", Upkeep{Maximum: 1, Left: -s, Machines: all(chosen(lasting(2), s)), Round: 3 * s, Steps: steps(1, 0)}, []int{0}, nil, nil},
		{"one machine after the other", Upkeep{Maximum: 2, Left: -s, Machines: all(chosen(lasting(1), s), chosen(lasting(1), s)), Round: 3 * s, Steps: steps(1, 0)}, []int{0, 1}, nil, []int{0}},
		{"lasting tasks that end in many rounds begin early", Upkeep{Maximum: 2, Left: 24 * s, Machines: all(chosen(lasting(1), 2*s),
			chosen(lasting(1), 2*s), chosen(lasting(1), s), chosen(short(4*s), s)), Round: 3 * s, Steps: steps(1, 0)}, []int{0, 3, 1, 2}, nil, []int{0}},
		{"but may move first", Upkeep{Maximum: 2, Left: 24 * s, Machines: all(chosen(lasting(1), s), chosen(lasting(1), s), chosen(lasting(1), s)),
			Round: 3 * s, Steps: steps(1, 0)}, []int{0, 1, 2}, nil, nil},
		{"emptied ahead when time is short", Upkeep{Maximum: 1, Down: 1, Left: 12 * s, Round: 3 * s, Machines: all(empty, empty)}, []int{0}, nil, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if tc.u.Round == 0 {
				tc.u.Left, tc.u.Round = time.Hour, 3*s
			}
			plan := tc.u.Plan()
			assert.DeepEqual(t, plan.Next, tc.next)
			assert.DeepEqual(t, plan.Stop, tc.stop)
			assert.DeepEqual(t, plan.Order, tc.order)
		})
	}
}
