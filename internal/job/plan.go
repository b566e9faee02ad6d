package job

import (
	"slices"
	"time"

	"turmericspread.org/turmericspread/internal/config"
	"turmericspread.org/turmericspread/internal/placement"
	"turmericspread.org/turmericspread/internal/rack"
	"turmericspread.org/turmericspread/internal/resource"
	"turmericspread.org/turmericspread/internal/shard"
)

// planAge is for how long one plan serves: rooms that tasks leave show after it.
const maxPlanAge = 50 * time.Millisecond

// plan is what decisions are made over: what is free in every rack, less what
// this queue is placing. It is built anew when heartbeats have come, and kept up
// to date by the answers of racks in between.
type plan struct {
	built       time.Time
	index       *placement.Index
	workers     map[shard.ID][]string
	place       map[shard.ID]string
	assignments map[shard.ID][]rack.TaskSpec
}

// present returns the plan, built from the newest summaries if need be.
func (q *Queue) currentPlan() *plan {
	now := q.Now()
	if q.plan != nil && now.Sub(q.plan.built) < maxPlanAge {
		return q.plan
	}
	q.plan = &plan{
		built:       now,
		index:       placement.NewIndex(),
		workers:     map[shard.ID][]string{},
		place:       map[shard.ID]string{},
		assignments: map[shard.ID][]rack.TaskSpec{},
	}
	for _, summary := range q.Racks() {
		q.plan.setRack(summary)
	}
	for _, t := range q.tasks {
		if t.state == TaskAssigning {
			q.plan.reserve(t)
		}
	}
	return q.plan
}

func (p *plan) setRack(summary rack.Summary) {
	if !summary.Ready {
		summary.Free = nil
	}
	p.index.Set(string(summary.Shard), slices.Clone(summary.Free))
	p.workers[summary.Shard] = summary.Workers
	p.place[summary.Shard] = summary.Place
}

// learn takes what a rack answered into the plan.
func (q *Queue) applySummary(summary rack.Summary) {
	if q.plan == nil || summary.Shard == "" {
		return
	}
	q.plan.setRack(summary)
	for _, t := range q.tasks {
		if t.state == TaskAssigning && t.shard == summary.Shard {
			q.plan.reserve(t)
		}
	}
}

// fit returns the worker of a rack that a task would go to, or -1.
func (p *plan) bestWorker(id shard.ID, t *task) int {
	demand, free := t.demand, p.index.Free(string(id))
	if len(t.avoid) == 0 {
		return placement.BestFit(free, demand)
	}
	free = slices.Clone(free)
	for i, name := range p.workers[id] {
		if i < len(free) && slices.Contains(t.avoid, name) {
			free[i] = resource.Vector{MilliCores: -1, MemoryMB: -1, Accelerators: -1}
		}
	}
	return placement.BestFit(free, demand)
}

// take notes what a task will use in its rack.
func (p *plan) reserve(t *task) {
	i := p.bestWorker(t.shard, t)
	if i >= 0 {
		p.index.Reserve(string(t.shard), i, t.demand)
	}
}

// choose picks the rack for a task. Services are spread over places and racks;
// other work goes where it leaves little room.
func (p *plan) chooseRack(t *task) (best shard.ID, ok bool) {
	best, ok = p.chooseOnce(t)
	if !ok && len(t.avoid) > 0 {
		// Better where it failed before than nowhere.
		t.avoid = nil
		return p.chooseOnce(t)
	}
	return best, ok
}

func (p *plan) chooseOnce(t *task) (best shard.ID, ok bool) {
	policy := t.job.record.Policy
	switch {
	case policy.Kind == config.KindService:
		return p.chooseSpread(t)
	case len(t.avoid) > 0:
		return p.chooseAvoiding(t)
	}
	var allowed func(string) bool
	if len(policy.Places) > 0 {
		allowed = func(name string) bool { return policy.AllowsPlace(p.place[shard.ID(name)]) }
	}
	name, _, ok := p.index.BestFit(t.demand, allowed)
	return shard.ID(name), ok
}

// chooseAvoiding looks at all racks for a task that avoids some workers.
func (p *plan) chooseAvoiding(t *task) (best shard.ID, ok bool) {
	for _, name := range p.index.Racks() {
		id := shard.ID(name)
		if t.job.record.Policy.AllowsPlace(p.place[id]) && p.bestWorker(id, t) >= 0 {
			return id, true
		}
	}
	return "", false
}

// chooseSpread looks at all racks for the place, and there the rack, with the
// fewest tasks of the same service.
func (p *plan) chooseSpread(t *task) (best shard.ID, ok bool) {
	inRack, inPlace := countTasks(t.job)
	var bestCount [2]int
	for _, name := range p.index.Racks() {
		id := shard.ID(name)
		if !t.job.record.Policy.AllowsPlace(p.place[id]) || p.bestWorker(id, t) < 0 {
			continue
		}
		count := [2]int{inPlace[p.place[id]], inRack[id]}
		if !ok || count[0] < bestCount[0] || count[0] == bestCount[0] && count[1] < bestCount[1] {
			best, bestCount, ok = id, count, true
		}
	}
	return best, ok
}

// spread counts the tasks of a job that hold resources, by rack and by place.
func countTasks(j *job) (inRack map[shard.ID]int, inPlace map[string]int) {
	inRack, inPlace = map[shard.ID]int{}, map[string]int{}
	for _, t := range j.tasks {
		if t.state.occupies() && t.shard != "" {
			inRack[t.shard]++
			inPlace[t.shard.Place()]++
		}
	}
	return inRack, inPlace
}
