// Package speed learns how long tasks take on the workers of a pool relative to each other. It
// does no input or output and reads no clock.
//
// The run time of a task is modelled as the product of its estimate, the bias of the
// estimates of its queue and team, the slowness of the kind of worker and the slowness of the
// worker. The factors are learned as logarithms, each by a Kalman filter without covariances:
// a factor moves by the share of its variance in the variance of a sample, so a worker with few
// samples counts as its kind and a kind with few samples as the mean.
//
// # Usage
//
//	m := speed.New()
//	w := m.AddWorker("m5")
//	m.Learn(now, speed.Step{Queue: "q", Team: "t", Estimate: time.Second, Runs: runs})
//	runTime := estimate * w.Slowness()
package speed

import (
	"math"
	"slices"
)

// Model holds the learned factors of one pool of workers.
type Model struct {
	queues map[string]*Queue
	kinds  []*Kind
}

// New returns a model that knows nothing.
func New() *Model { return &Model{queues: map[string]*Queue{}} }

// Kind is a kind of worker.
type Kind struct {
	name     string
	workers  int
	factor   factor
	slowness float64 // 1 unless it is clearly different
	log      float64 // of slowness
}

// Name returns the label of the kind.
func (k *Kind) Name() string { return k.name }

// Slowness returns the factor by which tasks take longer on the kind than on the mean of the
// pool; exactly 1 unless it is clearly different.
func (k *Kind) Slowness() float64 { return k.slowness }

// Samples returns the number of runs from which the factor was learned.
func (k *Kind) Samples() int { return k.factor.samples }

// Worker is one incarnation of a worker.
type Worker struct {
	kind     *Kind
	factor   factor
	slowness float64 // relative to the kind; 1 unless it is clearly different
	log      float64 // of slowness
}

// Kind returns the kind of the worker.
func (w *Worker) Kind() *Kind { return w.kind }

// Slowness returns the factor by which tasks take longer on the worker than on the mean of the
// pool; exactly 1 unless it is clearly different.
func (w *Worker) Slowness() float64 { return w.kind.slowness * w.slowness }

const (
	// classWidth is the width of a class of workers, as a logarithm. Workers of one class count
	// as equally fast, so that the fastest one is not filled before the others are used.
	classWidth = 0.2
	// maxClass bounds the classes.
	maxClass = 15
)

// classSlowness holds the slowness of each class.
var classSlowness = func() (list [2*maxClass + 1]float64) {
	for i := range list {
		list[i] = math.Exp(classWidth * float64(i-maxClass))
	}
	return list
}()

// class returns the index of the class to which the worker belongs.
func (w *Worker) class() int {
	return int(min(max(math.Round((w.kind.log+w.log)/classWidth), -maxClass), maxClass)) + maxClass
}

// ClassSlowness returns the slowness of the class to which the worker belongs. It is the same
// for all workers that differ little.
func (w *Worker) ClassSlowness() float64 { return classSlowness[w.class()] }

// Range collects the classes of a set of workers.
type Range struct {
	counts [2*maxClass + 1]int
	total  int
}

// Add adds a worker. One that is not known counts as a worker of mean speed.
func (r *Range) Add(w *Worker) {
	class := maxClass
	if w != nil {
		class = w.class()
	}
	r.counts[class]++
	r.total++
}

// outlierFraction is the fraction of the workers that does not decide about a Range. A few
// workers cannot be relied on, and their factors are less certain than that of a kind.
const outlierFraction = 0.1

// Bounds returns the slowness of the fastest and of the slowest workers, without outliers.
func (r *Range) Bounds() (fastest, slowest float64) {
	outliers := int(outlierFraction * float64(r.total))
	low, high := 0, len(r.counts)-1
	for left := outliers; low < maxClass && r.counts[low] <= left; low++ {
		left -= r.counts[low]
	}
	for left := outliers; high > maxClass && r.counts[high] <= left; high-- {
		left -= r.counts[high]
	}
	return classSlowness[low], classSlowness[high]
}

// estimate returns the best estimate of the logarithm, also if it is not certain.
func (w *Worker) estimate() float64 { return w.kind.factor.mean + w.factor.mean }

// Queue is what is learned of the tasks of a queue.
type Queue struct {
	bias      factor
	teams     map[string]*factor
	error     variance // of the estimates, by step
	deviation variance // of the run times of the tasks of one step
}

// variance is a running mean of squares.
type variance struct {
	value   float64
	samples int
}

const (
	// initialDeviation is the standard deviation of run times that is assumed without samples,
	// initialError that of estimates. Both are those of logarithms.
	initialDeviation = 0.3
	initialError     = 0.7
	// minDeviation bounds it from below.
	minDeviation = 0.05
	// varianceMemory is the number of samples over which a variance is averaged.
	varianceMemory = 200
)

func (v *variance) add(x float64) {
	v.samples++
	v.value += (x*x - v.value) / float64(min(v.samples+varianceWarmup, varianceMemory))
}

// varianceWarmup is the number of samples that the initial value counts for.
const varianceWarmup = 10

// AddWorker adds a worker of a kind.
func (m *Model) AddWorker(kind string) *Worker {
	at := slices.IndexFunc(m.kinds, func(k *Kind) bool { return k.name == kind })
	if at < 0 {
		at = len(m.kinds)
		m.kinds = append(m.kinds, &Kind{name: kind, slowness: 1})
	}
	m.kinds[at].workers++
	return &Worker{kind: m.kinds[at], slowness: 1}
}

// maxKinds is the number of kinds beyond which those without workers are forgotten. Labels may
// be different for each worker.
const maxKinds = 64

// RemoveWorker removes a worker. What is known of its kind stays, unless there are many kinds.
func (m *Model) RemoveWorker(w *Worker) {
	w.kind.workers--
	if w.kind.workers == 0 && len(m.kinds) > maxKinds {
		m.kinds = slices.DeleteFunc(m.kinds, func(k *Kind) bool { return k == w.kind })
	}
}

// Kinds returns the known kinds of worker.
func (m *Model) Kinds() []*Kind { return m.kinds }

// Restart forgets what was learned of the former incarnation of the worker.
func (w *Worker) Restart() { w.factor, w.slowness, w.log = factor{}, 1, 0 }

// queue returns what is known of a queue.
func (m *Model) queue(name string) *Queue {
	q := m.queues[name]
	if q == nil {
		q = &Queue{
			teams: map[string]*factor{}, error: variance{value: initialError * initialError}, deviation: variance{value: initialDeviation * initialDeviation},
		}
		m.queues[name] = q
	}
	return q
}

// Bias returns the factor by which the tasks of a queue and team take longer than estimated on
// a worker of mean speed.
func (m *Model) Bias(queue, team string) float64 {
	q := m.queues[queue]
	if q == nil {
		return 1
	}
	bias := q.bias.mean
	if f := q.teams[team]; f != nil {
		bias += f.mean
	}
	return math.Exp(bias)
}

// EstimateError returns the standard deviation of the estimates of a queue, as a logarithm.
func (m *Model) EstimateError(queue string) float64 {
	if q := m.queues[queue]; q != nil {
		return math.Sqrt(q.error.value)
	}
	return initialError
}

// maxMargin bounds SlowestOf.
const maxMargin = 3

// SlowestOf returns the factor by which the slowest of count tasks of a queue is expected to
// take longer than the median on workers of the same speed.
func (m *Model) SlowestOf(queue string, count int) float64 {
	if count < 2 {
		return 1
	}
	deviation := initialDeviation
	if q := m.queues[queue]; q != nil {
		deviation = math.Sqrt(q.deviation.value)
	}
	// The expected maximum of count standard normal values, within 10 % from 5 to 100.
	const scale = 0.75
	return min(math.Exp(deviation*scale*math.Sqrt(2*math.Log(float64(count)))), maxMargin)
}
