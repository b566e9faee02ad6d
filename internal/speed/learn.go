package speed

import (
	"math"
	"slices"
	"time"
)

// Run is the run time of one task of a step, measured at its end or extrapolated from its
// progress.
type Run struct {
	Worker  *Worker
	RunTime time.Duration
}

// Step holds runs of tasks of one step, which are expected to be equally long. The runs that
// still last must be among them, because the slow ones end last.
type Step struct {
	Queue, Team string
	Estimate    time.Duration // 0: unknown
	Runs        []Run
}

const (
	// MinSiblings is the number of runs of one step that are compared with each other.
	MinSiblings = 3
	// maxInnovation bounds the difference between a run and its prediction. Workers also
	// become slow for some seconds, which is no lasting property.
	maxInnovation = 1
)

// Learn updates the factors with the runs of a step.
//
// A run is compared with the median of its siblings, each corrected by the factors of its
// worker. This needs no estimate. The kind learns from it as far as siblings are on workers of
// other kinds. The estimate tells the bias of the queue. It tells the speed of the workers only
// if there are no siblings or none of another kind, because its error is large and is the same
// for all runs of a job.
func (m *Model) Learn(now time.Duration, s Step) {
	s.Runs = slices.DeleteFunc(slices.Clone(s.Runs), func(r Run) bool { return r.RunTime <= 0 })
	if len(s.Runs) == 0 {
		return
	}
	q := m.queue(s.Queue)
	nominal := make([]float64, len(s.Runs))
	for i, r := range s.Runs {
		nominal[i] = math.Log(float64(r.RunTime)) - r.Worker.estimate()
	}
	median := medianOf(nominal)
	if s.Estimate > 0 {
		q.learnBias(now, median-math.Log(float64(s.Estimate)), &s)
	}
	if len(s.Runs) >= MinSiblings {
		for i, r := range s.Runs {
			kinds, workers := othersOf(s.Runs, i)
			// What the runs before have corrected must not be corrected again.
			innovation := math.Log(float64(r.RunTime)) - r.Worker.estimate() - median
			q.learnWorker(now, clamp(innovation), r.Worker, kinds, workers)
		}
	}
	m.center()
	for _, k := range m.kinds {
		k.update()
	}
}

// update derives the slowness from the factor.
func (k *Kind) update() {
	k.log = k.factor.distinct(&kindPrior)
	k.slowness = math.Exp(k.log)
}

func clamp(innovation float64) float64 { return min(max(innovation, -maxInnovation), maxInnovation) }

// medianOf returns the median of a list, which it does not change.
func medianOf(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}

// othersOf returns the fractions of the siblings of run i that are on workers of other kinds,
// and on other workers.
func othersOf(runs []Run, i int) (kinds, workers float64) {
	siblings := float64(len(runs) - 1)
	for _, r := range runs {
		if r.Worker.kind != runs[i].Worker.kind {
			kinds += 1 / siblings
		}
		if r.Worker != runs[i].Worker {
			workers += 1 / siblings
		}
	}
	return kinds, workers
}

// learnWorker updates the factors of a worker and its kind with the difference between a run
// and its siblings. It tells as much of each factor as siblings do not share it.
func (q *Queue) learnWorker(now time.Duration, innovation float64, w *Worker, otherKinds, otherWorkers float64) {
	k := w.kind
	k.factor.age(&kindPrior, now)
	w.factor.age(&workerPrior, now)
	noise := max(q.deviation.value, minDeviation*minDeviation)
	total := noise + k.factor.variance*otherKinds*otherKinds + w.factor.variance*otherWorkers*otherWorkers
	if otherKinds > 0 {
		k.factor.correct(innovation, total, otherKinds)
	}
	if otherWorkers > 0 {
		w.factor.correct(innovation, total, otherWorkers)
		w.update()
	}
	q.deviation.add(innovation)
}

// update derives the slowness from the factor.
func (w *Worker) update() {
	w.log = w.factor.distinct(&workerPrior)
	w.slowness = math.Exp(w.log)
}

// learnBias updates the bias of a queue and team with the logarithm of the run time of a step,
// corrected by the factors of its workers, over its estimate. If the runs tell nothing about
// their workers by comparison, it updates the factors of these as well.
func (q *Queue) learnBias(now time.Duration, sample float64, s *Step) {
	team := q.teams[s.Team]
	if team == nil {
		team = &factor{}
		q.teams[s.Team] = team
	}
	q.bias.age(&queuePrior, now)
	team.age(&teamPrior, now)
	innovation := clamp(sample - q.bias.mean - team.mean)
	total := max(q.error.value, minDeviation*minDeviation) + q.bias.variance + team.variance
	w, k := s.Runs[0].Worker, s.Runs[0].Worker.kind
	sameKind := !slices.ContainsFunc(s.Runs, func(r Run) bool { return r.Worker.kind != k })
	sameWorker := !slices.ContainsFunc(s.Runs, func(r Run) bool { return r.Worker != w })
	if sameKind {
		k.factor.age(&kindPrior, now)
		total += k.factor.variance
	}
	if sameWorker {
		w.factor.age(&workerPrior, now)
		total += w.factor.variance
	}
	q.error.add(innovation)
	q.bias.correct(innovation, total, 1)
	team.correct(innovation, total, 1)
	if sameKind {
		k.factor.correct(innovation, total, 1)
	}
	if sameWorker {
		w.factor.correct(innovation, total, 1)
		w.update()
	}
}

// center makes the factors of the kinds relative to the mean of the pool's workers, and adds
// the difference to the biases. Only their sum is known from run times.
func (m *Model) center() {
	var sum, workers float64
	for _, k := range m.kinds {
		if k.factor.samples > 0 {
			sum += k.factor.mean * float64(k.workers)
			workers += float64(k.workers)
		}
	}
	if workers == 0 {
		return
	}
	mean := sum / workers
	for _, k := range m.kinds {
		if k.factor.samples > 0 {
			k.factor.mean -= mean
		}
	}
	for _, q := range m.queues {
		q.bias.mean += mean
	}
}
