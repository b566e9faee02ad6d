package cell

import "time"

// ratio is a running mean of measured over expected run times.
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
func (o *Owner) learn(n *node, t *task, took time.Duration) {
	spec := t.step.spec
	if spec.Estimate <= 0 || spec.Gang || len(t.failed) > 0 || t.checkpoint != "" {
		return
	}
	x := float64(took) / float64(spec.Estimate)
	queue := o.ratio(t.step.job.spec.Queue)
	queue.add(x)
	if queue.count > ratioSamples {
		n.pace.add(x / max(queue.mean, 0.05))
	}
}

func (o *Owner) ratio(name string) *ratio {
	r := o.ratios[name]
	if r == nil {
		r = &ratio{}
		o.ratios[name] = r
	}
	return r
}

// slowness returns by how much a worker is slower than others, 0 unless clearly so.
func (o *Owner) slowness(n *node) float64 {
	if n.pace.count < ratioSamples || n.pace.mean < slowRatio {
		return 0
	}
	return n.pace.mean - 1
}
