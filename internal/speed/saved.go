package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Saved is what is known of a pool, apart from its single workers, in the form in which it is
// stored. Numbers are integers, which are short and cannot be infinite.
type Saved struct {
	_      struct{} `cbor:",toarray"`
	Kinds  []SavedKind
	Queues []SavedQueue
}

// SavedKind is the factor of a kind of worker.
type SavedKind struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Factor SavedFactor
}

// SavedQueue is what is known of the estimates of a queue.
type SavedQueue struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	Bias             SavedFactor
	Error, Deviation SavedVariance
	Teams            []SavedKind
}

// SavedFactor is a factor. Mean and Deviation are logarithms in units of 1/SavedUnits.
type SavedFactor struct {
	_               struct{} `cbor:",toarray"`
	Mean, Deviation int64
	Samples         int64
	Age             int64 // seconds since the last sample
}

// SavedVariance is a running variance, as a standard deviation.
type SavedVariance struct {
	_         struct{} `cbor:",toarray"`
	Deviation int64
	Samples   int64
}

const (
	// SavedUnits is the number of units of a stored logarithm per 1.
	SavedUnits = 10000
	// maxSavedSpeed bounds the logarithm of the slowness of a kind or worker, and maxSavedBias
	// that of a bias. Nothing beyond them is learned from plausible run times.
	maxSavedSpeed = 3 * SavedUnits
	maxSavedBias  = 10 * SavedUnits
	// minSavedDeviation bounds the certainty of a restored factor, which else would not learn.
	minSavedDeviation = SavedUnits / 1000
	// maxSavedAge bounds ages. The variance of a factor has reached that of its prior by then,
	// apart from that of kinds.
	maxSavedAge = 24 * time.Hour
	// maxSamples bounds numbers of samples.
	maxSamples = 1 << 40
	// maxSavedQueues bounds the queues that are restored, and the teams of each of them.
	maxSavedQueues = 1000
	// savedCertainty is the part of the standard deviation of the prior below which a factor
	// differs from nothing known.
	savedCertainty = 0.9
)

// ErrSaved classes records of learned factors that are not plausible.
var ErrSaved = errs.Class("saved speeds")

// save returns the factor in the form in which it is stored; ok is false if it does not differ
// clearly from nothing known.
func (f *factor) save(p *prior, now time.Duration) (saved SavedFactor, ok bool) {
	deviation := math.Sqrt(f.variance)
	if f.samples == 0 || deviation > savedCertainty*math.Sqrt(p.variance) && f.distinct(p) == 0 {
		return SavedFactor{}, false
	}
	return SavedFactor{
		Mean: int64(math.Round(f.mean * SavedUnits)), Deviation: max(int64(math.Round(deviation*SavedUnits)), minSavedDeviation),
		Samples: int64(f.samples), Age: int64(min(max(now-f.updatedAt, 0), maxSavedAge) / time.Second),
	}, true
}

// restore returns the factor that was stored the given time ago.
func (s SavedFactor) restore(now, ago time.Duration) factor {
	deviation := float64(s.Deviation) / SavedUnits
	age := min(time.Duration(s.Age)*time.Second+max(ago, 0), maxSavedAge)
	return factor{mean: float64(s.Mean) / SavedUnits, variance: deviation * deviation, samples: int(s.Samples), updatedAt: now - age}
}

// valid reports whether the factor is plausible.
func (s SavedFactor) valid(p *prior, maxMean int64) bool {
	maxDeviation := int64(math.Ceil(math.Sqrt(p.variance) * SavedUnits))
	return s.Mean >= -maxMean && s.Mean <= maxMean && s.Deviation >= minSavedDeviation && s.Deviation <= maxDeviation &&
		s.Samples > 0 && s.Samples <= maxSamples && s.Age >= 0 && s.Age <= int64(maxSavedAge/time.Second)
}

func (v *variance) save() SavedVariance {
	return SavedVariance{Deviation: int64(math.Round(math.Sqrt(v.value) * SavedUnits)), Samples: int64(v.samples)}
}

func (s SavedVariance) restore() variance {
	deviation := float64(s.Deviation) / SavedUnits
	return variance{value: deviation * deviation, samples: int(s.Samples)}
}

func (s SavedVariance) valid() bool {
	return s.Deviation >= 0 && s.Deviation <= maxSavedSpeed && s.Samples >= 0 && s.Samples <= maxSamples
}

// Save returns what is known of the kinds and queues, ordered by name.
func (m *Model) Save(now time.Duration) (saved Saved) {
	for _, k := range m.kinds {
		if f, ok := k.factor.save(&kindPrior, now); ok && len(saved.Kinds) < maxKinds {
			saved.Kinds = append(saved.Kinds, SavedKind{Name: k.name, Factor: f})
		}
	}
	slices.SortFunc(saved.Kinds, func(a, b SavedKind) int { return cmp.Compare(a.Name, b.Name) })
	for _, name := range slices.Sorted(maps.Keys(m.queues)) {
		q := m.queues[name]
		bias, ok := q.bias.save(&queuePrior, now)
		if !ok || len(saved.Queues) == maxSavedQueues {
			continue
		}
		queue := SavedQueue{Name: name, Bias: bias, Error: q.error.save(), Deviation: q.deviation.save()}
		for _, team := range slices.Sorted(maps.Keys(q.teams)) {
			if f, ok := q.teams[team].save(&teamPrior, now); ok && len(queue.Teams) < maxSavedQueues {
				queue.Teams = append(queue.Teams, SavedKind{Name: team, Factor: f})
			}
		}
		saved.Queues = append(saved.Queues, queue)
	}
	return saved
}

// Check returns an error if a number is not plausible.
func (s *Saved) Check() error {
	if len(s.Kinds) > maxKinds || len(s.Queues) > maxSavedQueues {
		return ErrSaved.New("%d kinds and %d queues", len(s.Kinds), len(s.Queues))
	}
	for _, k := range s.Kinds {
		if !k.Factor.valid(&kindPrior, maxSavedSpeed) {
			return ErrSaved.New("kind %q: %+v", k.Name, k.Factor)
		}
	}
	for i := range s.Queues {
		q := &s.Queues[i]
		if !q.Bias.valid(&queuePrior, maxSavedBias) || !q.Error.valid() || !q.Deviation.valid() || len(q.Teams) > maxSavedQueues {
			return ErrSaved.New("queue %q: %+v, error %+v, deviation %+v, %d teams", q.Name, q.Bias, q.Error, q.Deviation, len(q.Teams))
		}
		for _, t := range q.Teams {
			if !t.Factor.valid(&teamPrior, maxSavedBias) {
				return ErrSaved.New("queue %q, team %q: %+v", q.Name, t.Name, t.Factor)
			}
		}
	}
	return nil
}

// Restored returns a model that knows what was stored the given time ago. Call Check first.
func Restored(now, ago time.Duration, s *Saved) *Model {
	m := New()
	for _, saved := range s.Kinds {
		k := &Kind{name: saved.Name, factor: saved.Factor.restore(now, ago)}
		k.factor.age(&kindPrior, now)
		k.update()
		m.kinds = append(m.kinds, k)
	}
	for i := range s.Queues {
		saved := &s.Queues[i]
		q := m.queue(saved.Name)
		q.bias, q.error, q.deviation = saved.Bias.restore(now, ago), saved.Error.restore(), saved.Deviation.restore()
		for _, t := range saved.Teams {
			f := t.Factor.restore(now, ago)
			q.teams[t.Name] = &f
		}
	}
	return m
}

// Save returns the worker's own factor; ok is false if the worker counts as its kind.
func (w *Worker) Save(now time.Duration) (saved SavedFactor, ok bool) {
	if w.log == 0 {
		return SavedFactor{}, false
	}
	return w.factor.save(&workerPrior, now)
}

// CheckWorker returns an error if a number is not plausible for a worker.
func (s SavedFactor) CheckWorker() error {
	if !s.valid(&workerPrior, maxSavedSpeed) {
		return ErrSaved.New("worker: %+v", s)
	}
	return nil
}

// Restore sets the worker's own factor to one that was stored the given time ago. Call
// CheckWorker first, and only if the factor is that of the same incarnation.
func (w *Worker) Restore(now, ago time.Duration, s SavedFactor) {
	w.factor = s.restore(now, ago)
	w.factor.age(&workerPrior, now)
	w.update()
}
