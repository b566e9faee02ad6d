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

// maxPlanAge bounds the age of a plan. Capacity that ended tasks free is used
// once a new plan is built.
const maxPlanAge = 50 * time.Millisecond

// plan is the view of the cell that scheduling decisions use: the free capacity
// of every rack, less the demand of tasks that this queue is assigning. It is
// rebuilt from the summaries in heartbeats and updated in between from the
// responses of racks.
type plan struct {
	built       time.Time
	index       *placement.Index
	workers     map[shard.ID][]string        // worker names by rack, in the order of the index
	place       map[shard.ID]string          // data centre of each rack
	assignments map[shard.ID][]rack.TaskSpec // tasks to send to each rack
}

// currentPlan returns the plan and rebuilds it from the latest summaries if it
// has reached maxPlanAge.
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

// setRack replaces the capacity of a rack; a rack that is not ready has none.
func (p *plan) setRack(summary rack.Summary) {
	if !summary.Ready {
		summary.Free = nil
	}
	p.index.Set(string(summary.Shard), slices.Clone(summary.Free))
	p.workers[summary.Shard] = summary.Workers
	p.place[summary.Shard] = summary.Place
}

// applySummary updates the plan with the summary from a rack's response. Tasks
// that are still being assigned to the rack are reserved again on top of it.
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

// bestWorker returns the index of the worker of a rack that fits a task best,
// or -1 if the task fits on no worker or only on workers that it avoids.
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

// reserve subtracts the demand of a task from the free capacity of its rack.
func (p *plan) reserve(t *task) {
	i := p.bestWorker(t.shard, t)
	if i >= 0 {
		p.index.Reserve(string(t.shard), i, t.demand)
	}
}

// chooseRack selects the rack for a task. Service tasks are spread over data
// centres and racks; other tasks are packed by best fit.
func (p *plan) chooseRack(t *task) (best shard.ID, ok bool) {
	best, ok = p.chooseOnce(t)
	if !ok && len(t.avoid) > 0 {
		// No other worker has the capacity, so allow those on which the task failed.
		t.avoid = nil
		return p.chooseOnce(t)
	}
	return best, ok
}

// chooseOnce selects a rack without the workers that the task avoids.
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

// chooseAvoiding scans all racks for one in which the task fits on a worker
// that it does not avoid. The index cannot exclude single workers.
func (p *plan) chooseAvoiding(t *task) (best shard.ID, ok bool) {
	for _, name := range p.index.Racks() {
		id := shard.ID(name)
		if t.job.record.Policy.AllowsPlace(p.place[id]) && p.bestWorker(id, t) >= 0 {
			return id, true
		}
	}
	return "", false
}

// chooseSpread scans all racks and selects the data centre, and within it the
// rack, with the fewest tasks of the same job.
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

// countTasks counts the tasks of a job that occupy resources, by rack and by
// data centre.
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
