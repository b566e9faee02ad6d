package cell

import (
	"math"
	"time"
)

// runningMean is a mean in which recent samples have more weight.
type runningMean struct {
	mean  float64
	count int
}

const (
	// sampleWeight is the weight of a new sample in a running mean.
	sampleWeight = 0.15
	// maxSample bounds one sample, so that a single straggler does not make a worker
	// count as slow.
	maxSample = 8
	// minSamples is the number of samples from which a mean is used.
	minSamples = 4
	// warmupSamples is the number of samples that are averaged evenly before
	// sampleWeight applies.
	warmupSamples = 7
	// ratioValidity is how long the run time ratio of a worker that gets no work stays
	// valid. Workers become slow for some seconds.
	ratioValidity = 8 * time.Second
	// slowRatio is the ratio from which a worker counts as slow.
	slowRatio = 1.5
)

func (r *runningMean) add(x float64) { r.observe(min(x, maxSample)) }

// observe adds a sample of any size.
func (r *runningMean) observe(x float64) {
	r.count++
	if r.count <= warmupSamples {
		r.mean += (x - r.mean) / float64(r.count)
		return
	}
	r.mean += sampleWeight * (x - r.mean)
}

// recordRunTime records the run time of a task that is done. All estimates of a queue
// may be wrong, so a worker is compared with the mean of the queue. Its lasting speed is taken
// out: what remains is a passing slowdown.
func (o *Owner) recordRunTime(r *run, runTime time.Duration) {
	n, t := r.node, r.task
	spec := t.step.spec
	o.observe(r, runTime)
	if spec.Gang || len(t.failedRuns) > 0 {
		return
	}
	sibling := o.siblingRunTime(r)
	switch {
	case sibling > 0 && runTime < time.Duration(slowRatio*float64(sibling)):
		n.lastOnTimeEnd, n.slowUntil = o.Now(), 0
	case sibling == 0 && o.Now() >= n.slowUntil:
		n.lastOnTimeEnd = o.Now()
	}
	t.runTime, t.doneOn = runTime, n
	if spec.Estimate <= 0 {
		return
	}
	ratio := float64(runTime) / float64(spec.Estimate) / n.slowness()
	queue := o.runTimeRatios.of(t.step.job.spec.Queue)
	queue.add(ratio)
	if queue.count > minSamples {
		if o.Now()-n.ratioUpdatedAt > ratioValidity {
			n.runTimeRatio = runningMean{}
		}
		n.ratioUpdatedAt = o.Now()
		n.runTimeRatio.add(ratio / max(queue.mean, 0.05))
	}
}

// runningMeans holds running means by queue.
type runningMeans map[string]*runningMean

// of returns the running mean of a queue.
func (m runningMeans) of(queue string) *runningMean {
	r := m[queue]
	if r == nil {
		r = &runningMean{}
		m[queue] = r
	}
	return r
}

// slownessPenalty returns how much slower than others a worker is, as a fraction; 0
// unless it is clearly slower.
func (o *Owner) slownessPenalty(n *node, now time.Duration) (penalty float64) {
	if now < n.slowUntil {
		penalty = n.slowBy
	}
	if n.runTimeRatio.count >= minSamples && now-n.ratioUpdatedAt <= ratioValidity && n.runTimeRatio.mean >= slowRatio {
		penalty = max(penalty, n.runTimeRatio.mean-1)
	}
	return penalty
}

// recordLongestRun records the run time of the longest task of a step that is done. The last
// task decides when a step ends.
func (o *Owner) recordLongestRun(s *step) {
	if s.tasksDone < len(s.tasks) || s.spec.Estimate <= 0 {
		return
	}
	var longest time.Duration
	for _, t := range s.tasks {
		longest = max(longest, t.runTime)
	}
	if longest > 0 {
		ratio := float64(longest) / float64(s.spec.Estimate)
		mean := o.longestRatios.of(s.job.spec.Queue)
		mean.add(ratio)
		o.longestSpreads.of(s.job.spec.Queue).add(math.Abs(ratio - mean.mean))
	}
}
