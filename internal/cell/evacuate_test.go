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

// running returns how many tasks of a job run on workers that respond, in one data centre or, if
// place is empty, in all.
func (s *sim) running(job, place string) (count int) {
	for _, w := range s.workers {
		for name := range w.runs {
			if strings.HasPrefix(name, job+".") && (place == "" || w.worker.Place == place) && !w.down && !w.unreachable {
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
// which runs are stopped although their tasks could not be recorded elsewhere. Capacity elsewhere
// becomes free during the outage.
func TestEvacuationInOutage(t *testing.T) {
	s := newSim(t, 1, 8)
	for _, id := range []string{"w04", "w05", "w06", "w07"} {
		s.workers[id].worker.Labels = []string{"full"}
	}
	s.claim()
	full := newStep(16, time.Second)
	full.Label = "full"
	s.submit("full", full)
	s.jobs["full"].spec.Payload = "4s"
	s.submit("lasting", newLastingStep(4))
	s.run(time.Second)
	assert.Equal(t, s.running("lasting", "place-0"), 4)
	assert.Equal(t, s.running("full", "place-1"), 16)
	s.evacuate("place-0")
	s.run(2 * time.Second)
	s.store.down = true
	for i := range 10 {
		s.submit(fmt.Sprintf("j%d", i), newStep(2, 500*time.Millisecond))
		s.run(s.now + 500*time.Millisecond) // the workers check the starts
	}
	assert.Assert(t, s.running("full", "") == 0 && s.starts > 20, "work must go on elsewhere")
	assert.Equal(t, s.owner.Counters.RunsMoved, int64(0))
	s.store.down = false
	s.run(s.now + 15*time.Second)
	assert.Equal(t, s.running("lasting", "place-0"), 0)
	assert.Equal(t, s.running("lasting", "place-1"), 4)
}

// TestLastingTasksMove guards against an evacuation that interrupts more tasks of a step than it
// allows, also beside one that is away for another reason, and against one that stops what has
// no place elsewhere.
func TestLastingTasksMove(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		tasks, maxUnavailable int
		full                  int    // workers elsewhere without free capacity
		cut                   string // worker elsewhere that does not respond during the evacuation
		remain                int    // tasks that stay
	}{
		{"one at a time", 6, 0, 0, "", 0},
		{"two at a time", 6, 2, 0, "", 0},
		{"too little capacity", 6, 1, 4, "", 4},
		{"beside a worker that does not respond", 7, 1, 0, "w06", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(t, 1, 12)
			for i := range tc.full {
				s.workers[fmt.Sprintf("w%02d", 11-i)].worker.Labels = []string{"full"}
			}
			s.claim()
			if tc.full > 0 {
				full := newStep(4*tc.full, time.Hour)
				full.Label = "full"
				s.submit("full", full)
			}
			step := newLastingStep(tc.tasks)
			step.MaxUnavailable = tc.maxUnavailable
			s.submit("lasting", step)
			s.run(2 * time.Second)
			assert.Equal(t, s.running("lasting", "place-0"), 6)
			checkFrom := s.now
			if tc.cut != "" {
				s.workers[tc.cut].disconnect(20 * time.Second)
				checkFrom += 3 * time.Second // until then the owner may not know
			}
			s.evacuate("place-0")
			for until := s.now + 40*time.Second; s.now < until; s.run(s.now + 10*time.Millisecond) {
				if away := tc.tasks - s.running("lasting", ""); s.now >= checkFrom && away > max(tc.maxUnavailable, 1) {
					s.fatalf("%d tasks are away", away)
				}
			}
			assert.Equal(t, s.running("lasting", "place-0"), tc.remain)
			assert.Equal(t, s.running("lasting", ""), tc.tasks)
		})
	}
}

// TestLongTasksMove guards against an evacuation that stops tasks which lose their progress, and
// against one in which long tasks with saved progress hold the data centre until their end.
func TestLongTasksMove(t *testing.T) {
	s := newSim(t, 1, 8)
	s.savesOften = true
	s.claim()
	saving, plain := newStep(4, time.Minute), newStep(4, time.Minute)
	saving.Checkpointing = true
	s.submit("saving", saving)
	s.submit("plain", plain)
	s.run(time.Second)
	assert.Equal(t, s.running("saving", "place-0"), 4)
	assert.Equal(t, s.running("plain", "place-0"), 4)
	s.evacuate("place-0")
	s.run(20 * time.Second)
	assert.Equal(t, s.running("saving", "place-0"), 0)
	assert.Equal(t, s.running("saving", "place-1"), 4)
	assert.Equal(t, s.running("plain", "place-0"), 4)
	s.run(3 * time.Minute)
	s.assertState("saving", work.StateCompleted)
	s.assertState("plain", work.StateCompleted)
}

// TestManyStepsDoNotBlockMoves guards against steps that have no place elsewhere and keep an
// evacuation from considering others.
func TestManyStepsDoNotBlockMoves(t *testing.T) {
	s := newSim(t, 1, 8)
	for _, id := range []string{"w00", "w01", "w02", "w03"} {
		s.workers[id].worker.Labels = []string{"here"}
	}
	s.claim()
	for i := range maxMoveSteps + 5 {
		step := newLastingStep(1)
		step.Demand.MilliCores, step.Demand.MemoryMB, step.Label = 50, 50, "here"
		s.submit(fmt.Sprintf("here%d", i), step)
	}
	s.run(time.Second)
	s.submit("free", newLastingStep(1))
	s.run(2 * time.Second)
	assert.Equal(t, s.running("free", "place-0"), 1)
	s.evacuate("place-0")
	s.run(8 * time.Second)
	assert.Equal(t, s.running("free", "place-1"), 1)
	assert.Equal(t, s.owner.Counters.RunsMoved, int64(1))
}

// TestUsedAgainAfterEvacuation guards against workers that stay idle after the request is gone.
func TestUsedAgainAfterEvacuation(t *testing.T) {
	s := newSim(t, 1, 4)
	s.evacuate("place-0")
	s.claim()
	s.submit("a", newStep(16, 10*time.Second))
	s.run(3 * time.Second)
	assert.Equal(t, s.running("a", "place-0"), 0)
	s.endEvacuation("place-0")
	s.run(s.now + s.listInterval + 100*time.Millisecond)
	assert.Equal(t, s.running("a", "place-0"), 8)
}

// TestColdWorkersComeLast guards against work on workers that are slow after their start while
// others are free, and against cold workers that are not used at all.
func TestColdWorkersComeLast(t *testing.T) {
	s := newSim(t, 1, 4)
	for _, id := range []string{"w00", "w01"} {
		s.workers[id].worker.ColdLeft = 5 * time.Second
	}
	s.claim()
	s.submit("a", newStep(8, time.Minute))
	s.run(time.Second)
	assert.Equal(t, s.running("a", "place-0"), 0)
	s.submit("b", newStep(1, time.Minute))
	s.run(2 * time.Second)
	assert.Equal(t, s.running("b", "place-0"), 1)
}

// TestRandomEvacuations is TestRandomFaults with evacuations. The workers check that no start is
// executed too late after a request. Requests that an outage kept from the owner count from its end.
func TestRandomEvacuations(t *testing.T) {
	const length = 30 * time.Second
	for seed := uint64(1); seed <= uint64(*seedsFlag)/2; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newSim(t, seed, 8)
			for range 3 {
				s.after(time.Duration(s.rng.Int64N(int64(length))), func() {
					place := fmt.Sprintf("place-%d", s.rng.IntN(2))
					if s.store.down || len(s.evacuated) > 0 {
						return
					}
					s.evacuate(place)
					s.after(time.Duration(1+s.rng.IntN(8))*time.Second, func() { s.endEvacuation(place) })
				})
			}
			var countOutage func()
			countOutage = func() {
				for place := range s.evacuated {
					if s.store.down && !s.owner.evacuated[place] {
						s.evacuated[place] = s.now
					}
				}
				s.after(10*time.Millisecond, countOutage)
			}
			s.after(0, countOutage)
			s.playRandomFaults(length)
		})
	}
}
