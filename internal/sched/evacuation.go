package sched

import (
	"cmp"
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/resource"
)

// Evacuation decides which runs in evacuated data centres are stopped so that their tasks
// continue elsewhere. It is for a data centre that runs lasting tasks, long tasks with saved
// progress and short tasks while the rest of the cell has little free capacity: moving all of
// them at once would interrupt what serves callers, and queue it behind other work.
type Evacuation struct {
	Steps []MoveStep
	Free  []resource.Vector // of each worker elsewhere
	// Keep is the free capacity that tasks with an end leave to urgent work.
	Keep resource.Vector
	// Crowded means that other work waits for free capacity. Only lasting tasks are moved
	// then: a task with an end would wait behind that work, or delay it.
	Crowded  bool
	MaxMoves int
}

// MoveStep is a step that has runs in an evacuated data centre, or a lasting step that has
// tasks without a run.
type MoveStep struct {
	Lasting  bool
	Gang     bool
	Tasks    int             // that are not done
	Demand   resource.Vector // of one task
	MaxAway  int             // of a lasting step: how many tasks may be unavailable; counts as at least 1
	Away     int             // of a lasting step: tasks that do not serve, for any cause
	Waiting  int             // tasks that still need free capacity elsewhere
	MaxTasks []int           // how many more of its tasks each worker elsewhere may take
	MoveTime time.Duration   // expected from a stop until the task runs elsewhere
	Runs     []MoveRun       // that may be moved; of a gang all, wherever they are
}

// MoveRun is a run that may be moved.
type MoveRun struct {
	Serving   bool          // of a lasting task
	Remaining time.Duration // expected; of a task with an end
	Saved     bool          // its progress is saved
	SavedAge  time.Duration // how long ago
}

// Move names a run by the indexes of its step and of the run in it.
type Move struct{ Step, Run int }

// minMoveBenefit is the number of times by which the remaining time of a task has to exceed
// the cost of its move. The remaining time is an expectation, and long estimates are wrong by
// a factor of about two either way; below this number, waiting for the end empties the data
// centre almost as soon.
const minMoveBenefit = 4

// moveUnit is what is moved together: one run, or all runs of a gang.
type moveUnit struct {
	step     int
	runs     []int
	away     int // tasks that stop serving
	lasting  bool
	benefit  int64 // multiples of the cost
	unsaved  bool
	savedAge time.Duration
}

// Plan returns the runs to stop now. Lasting tasks come first, then tasks by the benefit, with
// equal benefit those whose saved progress is newest. It uses up Free and the MaxTasks.
func (e *Evacuation) Plan() (moves []Move) {
	blocked := make([]bool, len(e.Steps))
	for i := range e.Steps {
		// Tasks that were stopped before take their capacity first.
		blocked[i] = !e.place(&e.Steps[i], e.Steps[i].Waiting)
	}
	for _, u := range e.units() {
		s := &e.Steps[u.step]
		switch {
		case blocked[u.step] || len(moves)+len(u.runs) > e.MaxMoves:
			continue
		case s.Lasting && s.Away+u.away > max(s.MaxAway, 1) && u.away > 0:
			continue
		case !s.Lasting && (e.Crowded || !e.leavesReserve(s.Demand.Scale(int64(len(u.runs))))):
			continue
		case !e.place(s, len(u.runs)):
			continue
		}
		s.Away += u.away
		for _, run := range u.runs {
			moves = append(moves, Move{u.step, run})
		}
	}
	return moves
}

// units returns what is worth a move, in the order of preference.
func (e *Evacuation) units() (units []moveUnit) {
	for i := range e.Steps {
		s := &e.Steps[i]
		var gang moveUnit
		for at := range s.Runs {
			u := s.unit(at)
			u.step = i
			if !s.Gang {
				units = append(units, u)
				continue
			}
			gang = gang.join(u)
		}
		if s.Gang && len(gang.runs) == s.Tasks {
			units = append(units, gang)
		}
	}
	units = slices.DeleteFunc(units, func(u moveUnit) bool { return !u.lasting && (u.unsaved || u.benefit < minMoveBenefit) })
	slices.SortStableFunc(units, func(a, b moveUnit) int {
		return cmp.Or(compareBool(b.lasting, a.lasting), cmp.Compare(b.benefit, a.benefit), compareBool(a.unsaved, b.unsaved),
			cmp.Compare(a.savedAge, b.savedAge))
	})
	return units
}

// unit returns the unit of a single run. What was done since the progress was saved may have
// to be done again.
func (s *MoveStep) unit(at int) (u moveUnit) {
	r := &s.Runs[at]
	u = moveUnit{runs: []int{at}, lasting: s.Lasting, unsaved: !r.Saved, savedAge: r.SavedAge}
	if s.Lasting {
		if r.Serving {
			u.away = 1
		}
		return u
	}
	u.benefit = int64(r.Remaining / max(s.MoveTime+r.SavedAge, time.Millisecond))
	return u
}

// join adds a run to the unit of its gang, which is moved for the sake of the run that gains
// least.
func (u moveUnit) join(other moveUnit) moveUnit {
	if len(u.runs) == 0 {
		return other
	}
	u.runs = append(u.runs, other.runs...)
	u.away += other.away
	u.benefit = min(u.benefit, other.benefit)
	u.unsaved = u.unsaved || other.unsaved
	u.savedAge = max(u.savedAge, other.savedAge)
	return u
}

// leavesReserve reports whether enough capacity stays free beside demand.
func (e *Evacuation) leavesReserve(demand resource.Vector) bool {
	var sum resource.Vector
	for _, free := range e.Free {
		sum = sum.Add(free)
	}
	return sum.Fits(demand.Add(e.Keep))
}

// place takes the free capacity for count tasks of the step, or none and returns false.
func (e *Evacuation) place(s *MoveStep, count int) bool {
	taken := make([]int, 0, min(count, len(e.Free)))
	for range count {
		best := -1
		for i, free := range e.Free {
			if s.MaxTasks[i] > 0 && free.Fits(s.Demand) && (best < 0 || free.MilliCores < e.Free[best].MilliCores) {
				best = i
			}
		}
		if best < 0 {
			for _, i := range taken {
				e.Free[i], s.MaxTasks[i] = e.Free[i].Add(s.Demand), s.MaxTasks[i]+1
			}
			return false
		}
		e.Free[best], s.MaxTasks[best] = e.Free[best].Sub(s.Demand), s.MaxTasks[best]-1
		taken = append(taken, best)
	}
	return true
}
