package cell

import "time"

// ratio is a running mean, as of measured over expected run times.
type ratio struct {
	mean  float64
	count int
}

const (
	// ratioWeight is the weight of a new sample in a running mean.
	ratioWeight = 0.15
	// ratioMost bounds one sample, so that a single straggler does not condemn.
	ratioMost = 8
	// ratioSamples is how many samples a worker needs before it is judged.
	ratioSamples = 4
	// ratioWarm is the number of samples that are averaged evenly before weights apply.
	ratioWarm = 7
	// paceMemory is how long the pace of a worker holds that gets no work:
	// workers turn slow for some seconds.
	paceMemory = 8 * time.Second
	// slowRatio is from where a worker counts as slow.
	slowRatio = 1.5
)

func (r *ratio) add(x float64) {
	x = min(x, ratioMost)
	r.count++
	if r.count <= ratioWarm {
		r.mean += (x - r.mean) / float64(r.count)
		return
	}
	r.mean += ratioWeight * (x - r.mean)
}

// learn takes in the run time of a task that is done. Estimates of a queue may
// all be off, so a worker is judged against its queue's mean.
func (o *Owner) learn(r *run, took time.Duration) {
	n, t := r.node, r.task
	spec := t.step.spec
	if spec.Gang || len(t.failedRuns) > 0 {
		return
	}
	like := o.like(r)
	switch {
	case like > 0 && took < time.Duration(slowRatio*float64(like)):
		n.lastOnTimeEnd, n.slowUntil = o.Now(), 0
	case like == 0 && o.Now() >= n.slowUntil:
		n.lastOnTimeEnd = o.Now()
	}
	t.runTime, t.doneOn = took, n.worker.ID
	if spec.Estimate <= 0 {
		return
	}
	x := float64(took) / float64(spec.Estimate)
	queue := o.runTimeRatios.of(t.step.job.spec.Queue)
	queue.add(x)
	if queue.count > ratioSamples {
		if o.Now()-n.ratioUpdatedAt > paceMemory {
			n.runTimeRatio = ratio{}
		}
		n.ratioUpdatedAt = o.Now()
		n.runTimeRatio.add(x / max(queue.mean, 0.05))
	}
}

// ratios are running means by queue.
type ratios map[string]*ratio

// of returns the running mean of a queue.
func (m ratios) of(queue string) *ratio {
	r := m[queue]
	if r == nil {
		r = &ratio{}
		m[queue] = r
	}
	return r
}

// slowness returns by how much a worker is slower than others, 0 unless clearly so.
func (o *Owner) slowness(n *node, now time.Duration) (slower float64) {
	if now < n.slowUntil {
		slower = n.slowBy
	}
	if n.runTimeRatio.count >= ratioSamples && now-n.ratioUpdatedAt <= paceMemory && n.runTimeRatio.mean >= slowRatio {
		slower = max(slower, n.runTimeRatio.mean-1)
	}
	return slower
}
