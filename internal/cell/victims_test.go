package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/sched"
	"turmericspread.org/turmericspread/internal/work"
)

// TestVictimsCostLeast guards against runs that are stopped although the delay of others costs
// callers less, or although they are not needed.
func TestVictimsCostLeast(t *testing.T) {
	const now = time.Hour
	o := New()
	o.WallClock = func() time.Duration { return now }
	o.Now = o.WallClock
	o.Tables = func() *work.Tables { return &work.Tables{} }
	victim := func(id string, priority int, age time.Duration, cores int64) *run {
		j := newJob(&work.Job{
			ID: id, Accepted: now - age, Policy: &work.Policy{Priority: priority, Stretch: 2, Target: time.Second},
			Steps: []work.Step{{Count: 1, Demand: resource.Vector{MilliCores: 1000 * cores}, Estimate: 10 * time.Second, Checkpointing: true}},
		})
		return &run{state: runLive, node: &node{}, task: j.tasks[0], demand: j.tasks[0].demand()}
	}
	inTime, late, expired, low := victim("in time", 1, 0, 4), victim("late", 1, 15*time.Second, 2), victim("expired", 1, time.Minute, 1), victim("low", 2, 0, 2)
	for _, tc := range []struct {
		name    string
		victims []*run
		cores   int64 // demanded; one is free
		want    []*run
	}{
		{"what is of no use comes first", []*run{inTime, low, late, expired}, 2, []*run{expired}},
		{"then lower priorities, then late work", []*run{inTime, late, low}, 5, []*run{low, late}},
		{"work in time comes last", []*run{inTime, late}, 3, []*run{late}},
		{"what is not needed in the end is spared", []*run{expired, inTime}, 5, []*run{inTime}},
		{"nothing is stopped if there is room", []*run{expired}, 1, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got, want []string
			for _, r := range o.leastCost(tc.victims, resource.Vector{MilliCores: 1000}, resource.Vector{MilliCores: 1000 * tc.cores}) {
				got = append(got, r.task.step.job.spec.ID)
			}
			for _, r := range tc.want {
				want = append(want, r.task.step.job.spec.ID)
			}
			assert.DeepEqual(t, got, want)
		})
	}
	for _, tc := range []struct {
		rank sched.Rank
		want bool
	}{{sched.Rank{}, true}, {sched.Rank{Expired: true}, false}, {sched.Rank{Hopeless: true}, false}} {
		s := inTime.task.step
		waiting := &step{job: s.job, spec: s.spec, rank: tc.rank}
		assert.Equal(t, o.preemptible(low, waiting), tc.want, "for work of the rank %+v", tc.rank)
	}
}
