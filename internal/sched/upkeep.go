package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Upkeep decides which machines of a wave have their upkeep next. It is for a wave that takes
// down many machines of a loaded pool within a given time: an upkeep ends everything on its
// machine, so machines are emptied first, and the wave still has to end in time.
type Upkeep struct {
	Maximum  int           // machines that may be down for their upkeep at a time
	Down     int           // machines that are down for it, or may be
	Left     time.Duration // until the wave is due
	Round    time.Duration // from the order of an upkeep until its machine is back
	Machines []UpkeepMachine
	// Waiting is the number of machines whose upkeep has not begun, besides Machines.
	Waiting  int
	Steps    []UpkeepStep
	RackDown map[string]int // machines that are down, by rack
}

// UpkeepMachine is a machine whose upkeep has not begun and can be ordered.
type UpkeepMachine struct {
	Rack      string
	Chosen    bool          // it gets no work already
	ChosenFor time.Duration // for how long
	Runs      int
	Savable   int             // runs whose progress a stop saves, and that are not being stopped
	Saving    bool            // such runs are being stopped
	Ends      time.Duration   // until its work with an end that a stop does not save has ended
	Lost      time.Duration   // work that an interruption repeats
	Serving   []UpkeepServing // tasks of lasting steps that an interruption ends
}

// UpkeepServing is the number of tasks of a lasting step that are at work on a machine. Of a
// gang it is the number of all its tasks at work.
type UpkeepServing struct{ Step, Count int }

// UpkeepStep is a lasting step that has tasks on machines of the wave.
type UpkeepStep struct {
	MaxAway int // how many of its tasks may be unavailable; counts as at least 1
	Away    int // tasks that are not at work, for any cause
}

// UpkeepPlan names machines by their indexes.
type UpkeepPlan struct {
	Next  []int // get no more work
	Stop  []int // runs whose progress is saved are stopped there
	Order []int // have their upkeep now
	// Pressed means that the wave would be late if machines were emptied first.
	Pressed bool
}

const (
	// upkeepPatience is the time after which a machine that is not empty has no precedence over
	// other machines any more. Short tasks and moves of lasting tasks take less.
	upkeepPatience = 5 * time.Second
	// upkeepMargin is kept until the wave is due, for a takeover of the cell and for
	// calls without a response.
	upkeepMargin = 6 * time.Second
	// upkeepRoundMargin is the factor by which rounds take longer than expected.
	upkeepRoundMargin = 1.25
	// upkeepSaveAhead is how long before the end of other work on a machine the runs whose
	// progress is saved are stopped. A stop takes about as long.
	upkeepSaveAhead = time.Second
	// upkeepRestart is how long lasting tasks are away beyond the upkeep of their machine.
	upkeepRestart = 2 * time.Second
	// upkeepMoveTime is the time in which a lasting task is moved if there is capacity for it.
	upkeepMoveTime = 2 * time.Second
	// upkeepCostStep is the difference of costs below which machines count as equal, so that the
	// rack decides.
	upkeepCostStep = 500 * time.Millisecond
)

// Plan returns what to do now. While there is time, only empty machines have their upkeep.
// Later the machines that cost least are interrupted. Tasks of a lasting step are never ended
// while as many others of it are away as may be. It adds to Away and RackDown.
func (u *Upkeep) Plan() (plan UpkeepPlan) {
	rounds := (len(u.Machines) + u.Waiting + u.Maximum - 1) / max(u.Maximum, 1)
	need := time.Duration(float64(rounds) * upkeepRoundMargin * float64(u.Round))
	needLasting := time.Duration(float64(u.lastingRounds()) * upkeepRoundMargin * float64(u.Round+upkeepRestart))
	plan.Pressed = u.Left <= need+upkeepMargin
	pressedLasting := u.Left <= needLasting+upkeepMargin
	slots := max(u.Maximum-u.Down, 0)
	count := slots
	if u.Left <= 2*max(need, needLasting)+upkeepMargin {
		count += u.Maximum // the next machines are emptied while others are down
	}
	if pressedLasting {
		plan.Next = u.interruptible((slots + 1) / 2)
	}
	plan.Next = u.next(plan.Next, count)
	for _, i := range plan.Next {
		m := &u.Machines[i]
		if slots <= 0 {
			break
		}
		switch u.step(m, plan.Pressed || pressedLasting && len(m.Serving) > 0 && m.ChosenFor >= upkeepMoveTime) {
		case upkeepStop:
			plan.Stop = append(plan.Stop, i)
		case upkeepOrder:
			for _, serving := range m.Serving {
				u.Steps[serving.Step].Away += serving.Count
			}
			plan.Order = append(plan.Order, i)
		case upkeepSave:
		default:
			continue
		}
		slots--
	}
	return plan
}

// lastingRounds returns in how many rounds the tasks of lasting steps would end if none of them
// could be moved.
func (u *Upkeep) lastingRounds() (rounds int) {
	counts := make([]int, len(u.Steps))
	for i := range u.Machines {
		for _, serving := range u.Machines[i].Serving {
			counts[serving.Step] += serving.Count
		}
	}
	for i, count := range counts {
		allowed := max(u.Steps[i].MaxAway, 1)
		rounds = max(rounds, (count+allowed-1)/allowed)
	}
	return rounds
}

// interruptible returns at most count machines whose lasting tasks may end together.
func (u *Upkeep) interruptible(count int) (list []int) {
	trial := Upkeep{Steps: slices.Clone(u.Steps)}
	for i := range u.Machines {
		m := &u.Machines[i]
		if len(list) >= count || len(m.Serving) == 0 || !trial.mayInterrupt(m) {
			continue
		}
		for _, serving := range m.Serving {
			trial.Steps[serving.Step].Away += serving.Count
		}
		list = append(list, i)
	}
	return list
}

// upkeepAction is what happens to a machine whose turn it is.
type upkeepAction int

const (
	upkeepWait  upkeepAction = iota // other machines may have their upkeep before it
	upkeepSave                      // as upkeepWait, but it keeps its place
	upkeepStop                      // runs whose progress is saved are stopped
	upkeepOrder                     // its upkeep begins
)

// step returns what happens to a machine next. A machine that has just been chosen is not
// interrupted: its short tasks may be about to end.
func (u *Upkeep) step(m *UpkeepMachine, pressed bool) upkeepAction {
	switch {
	case m.Runs == 0:
		return upkeepOrder
	case !m.Chosen:
		return upkeepWait
	case m.Savable > 0 && (pressed || m.Ends <= upkeepSaveAhead):
		return upkeepStop
	case m.Saving:
		return upkeepSave
	case !pressed || m.Ends > 0 && m.Ends <= upkeepSaveAhead && m.keepsTurn() || !u.mayInterrupt(m):
		return upkeepWait
	}
	return upkeepOrder
}

// mayInterrupt reports whether all tasks of lasting steps on the machine may end at once.
func (u *Upkeep) mayInterrupt(m *UpkeepMachine) bool {
	return !slices.ContainsFunc(m.Serving, func(serving UpkeepServing) bool {
		s := &u.Steps[serving.Step]
		return s.Away+serving.Count > max(s.MaxAway, 1)
	})
}

// next adds machines to those given until there are count, with the least cost first. Among equal
// ones it takes racks in turn, so that data stays reachable on other machines of a rack.
func (u *Upkeep) next(next []int, count int) []int {
	racks := maps.Clone(u.RackDown)
	if racks == nil {
		racks = map[string]int{}
	}
	var left []int
	for i := range u.Machines {
		if slices.Contains(next, i) {
			racks[u.Machines[i].Rack]++
		} else {
			left = append(left, i)
		}
	}
	compare := func(a, b int) int { return u.Machines[a].compareCost(&u.Machines[b]) }
	slices.SortStableFunc(left, compare)
	for len(left) > 0 && len(next) < count {
		equal := 1
		for equal < len(left) && compare(left[0], left[equal]) == 0 {
			equal++
		}
		turn := make(map[int]int, equal) // machines of its rack that come before a machine
		for _, i := range left[:equal] {
			turn[i] = racks[u.Machines[i].Rack]
			racks[u.Machines[i].Rack]++
		}
		slices.SortStableFunc(left[:equal], func(a, b int) int { return turn[a] - turn[b] })
		next = append(next, left[:min(equal, count-len(next))]...)
		left = left[equal:]
	}
	return next
}

// compareCost orders machines by the cost of their upkeep. A machine that was chosen keeps its
// precedence for a time, so that what was emptied for it is not wasted.
func (m *UpkeepMachine) compareCost(other *UpkeepMachine) int {
	return cmp.Or(
		compareBool(other.Runs == 0 && other.Chosen, m.Runs == 0 && m.Chosen),
		compareBool(other.keepsTurn(), m.keepsTurn()),
		compareBool(len(m.Serving) > 0, len(other.Serving) > 0),
		compareBool(m.Runs > 0, other.Runs > 0),
		cmp.Compare(m.Ends/upkeepCostStep, other.Ends/upkeepCostStep),
		cmp.Compare(m.Lost/upkeepCostStep, other.Lost/upkeepCostStep),
	)
}

func (m *UpkeepMachine) keepsTurn() bool { return m.Chosen && m.ChosenFor < upkeepPatience }
