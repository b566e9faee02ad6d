package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/work"
)

// evacuate requests the evacuation of a data centre. The store has to be available.
func (s *sim) evacuate(place string) {
	s.tracef("evacuation of %s is requested", place)
	s.evacuated[place] = s.now
}

// endEvacuation withdraws the request.
func (s *sim) endEvacuation(place string) {
	s.tracef("evacuation of %s ends", place)
	delete(s.evacuated, place)
}

// running returns how many tasks of a job run, in one data centre or, if place is empty, in all.
func (s *sim) running(job, place string) (count int) {
	for _, w := range s.workers {
		for name := range w.runs {
			if strings.HasPrefix(name, job+".") && (place == "" || w.worker.Place == place) && !w.down {
				count++
			}
		}
	}
	return count
}

// TestNoStartInEvacuatedPlace guards against starts that are sent although the request was
// read: of work that waits, and of work that was assigned before and waits for its record. The
// workers check that none is executed later than the bound.
func TestNoStartInEvacuatedPlace(t *testing.T) {
	for _, saveDelay := range []time.Duration{0, 600 * time.Millisecond} {
		for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
			s := newSim(t, 1, 4)
			s.listDelay = 200 * time.Millisecond
			s.claim()
			save, start := s.owner.SaveProgress, s.owner.Start
			s.owner.SaveProgress = func(batch []ProgressWrite, done func([]SaveResult)) { s.after(saveDelay, func() { save(batch, done) }) }
			s.owner.Start = func(w work.Worker, request work.StartRequest, done func(work.RunResponse, error)) {
				if s.owner.evacuated[w.Place] {
					s.fatalf("a start is sent to %s", w.ID)
				}
				start(w, request, done)
			}
			for i := range 60 {
				s.after(time.Duration(i)*100*time.Millisecond, func() { s.submit(fmt.Sprintf("j%02d", i), newStep(3, 150*time.Millisecond)) })
			}
			s.run(2*time.Second + offset)
			s.evacuate("place-0")
			s.run(30 * time.Second)
			for i := range 60 {
				s.assertState(fmt.Sprintf("j%02d", i), work.StateCompleted)
			}
		}
	}
}

// TestTakeoverInEvacuation guards against a new owner that starts work in an evacuated data
// centre, or that lets end what still runs there.
func TestTakeoverInEvacuation(t *testing.T) {
	s := newSim(t, 1, 4)
	s.claim()
	s.submit("short", newStep(12, 6*time.Second))
	s.run(time.Second)
	assert.Assert(t, s.running("short", "place-0") > 0)
	s.evacuate("place-0")
	s.run(s.now + 700*time.Millisecond)
	s.owner.kill()
	s.run(s.now + 1500*time.Millisecond)
	s.claim()
	s.submit("more", newStep(8, time.Second))
	s.run(s.now + 30*time.Second)
	s.assertState("short", work.StateCompleted)
	s.assertState("more", work.StateCompleted)
	assert.Equal(t, s.starts, 20, "each task must have run once")
}

// TestEvacuationInOutage guards against an outage of the store that ends an evacuation, or in
// which runs are stopped although their tasks could not be recorded elsewhere.
func TestEvacuationInOutage(t *testing.T) {
	s := newSim(t, 1, 8)
	s.claim()
	s.submit("lasting", newLastingStep(4))
	s.run(time.Second)
	assert.Equal(t, s.running("lasting", "place-0"), 4)
	s.evacuate("place-0")
	s.run(s.now + 400*time.Millisecond)
	s.store.down = true
	s.run(s.now + time.Second) // what was stopped before has ended
	moved := s.owner.Counters.RunsMoved
	for range 8 {
		s.submit(fmt.Sprintf("j%d", s.serial), newStep(4, 500*time.Millisecond))
		s.run(s.now + 500*time.Millisecond) // the workers check the starts
	}
	assert.Equal(t, s.owner.Counters.RunsMoved, moved)
	s.store.down = false
	s.run(s.now + 15*time.Second)
	assert.Equal(t, s.running("lasting", "place-0"), 0)
	assert.Equal(t, s.running("lasting", "place-1"), 4)
}

// TestLastingTasksMove guards against an evacuation that interrupts more tasks of a step than it
// allows, also if others are away for another reason, and against one that stops what has no
// place elsewhere.
func TestLastingTasksMove(t *testing.T) {
	for _, tc := range []struct {
		name            string
		maxUnavailable  int
		crash           bool // a worker elsewhere with a task of the step crashes
		elsewhere       int  // tasks of the step that already run elsewhere
		blocked, remain int  // workers elsewhere that are full; tasks that stay
	}{
		{"one at a time", 0, false, 0, 0, 0},
		{"two at a time", 2, false, 0, 0, 0},
		{"beside a crash", 1, true, 1, 0, 0},
		{"too little capacity", 1, false, 0, 3, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 12)
			s.claim()
			s.run(300 * time.Millisecond)
			s.evacuate("place-0")
			s.run(s.now + 500*time.Millisecond)
			full := newStep(tc.blocked, time.Hour)
			full.Demand.MilliCores, full.MaxPerWorker, full.Count = 4000, 1, tc.blocked+2
			s.submit("full", full)
			s.run(s.now + time.Second)
			s.endEvacuation("place-0")
			s.evacuate("place-1")
			s.run(s.now + time.Second)
			step := newLastingStep(4)
			step.MaxUnavailable = tc.maxUnavailable
			s.submit("lasting", step)
			s.run(s.now + time.Second)
			s.endEvacuation("place-1")
			s.run(s.now + 500*time.Millisecond)
			assert.Equal(t, s.running("lasting", "place-0"), 4)
			s.evacuate("place-0")
			most := max(tc.maxUnavailable, 1)
			crashed := false
			for until := s.now + 20*time.Second; s.now < until; {
				s.run(s.now + 10*time.Millisecond)
				away, moving := 4-s.running("lasting", ""), 0
				if crashed && away == 0 {
					crashed = false
				}
				_ = moving
				if away > most {
					s.fatalf("%d tasks are away", away)
				}
			}
			assert.Equal(t, s.running("lasting", "place-0"), tc.remain)
			assert.Equal(t, s.running("lasting", ""), 4)
		})
	}
}
