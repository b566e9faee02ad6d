package speed

import (
	"math"
	"time"
)

// factor is a learned factor, as a logarithm. Its variance says how uncertain it is.
type factor struct {
	mean, variance float64
	samples        int
	updatedAt      time.Duration
}

// prior describes a kind of factor before there are samples.
type prior struct {
	variance  float64 // of the factor
	perSecond float64 // growth of the variance with the age of the factor
	distinct  float64 // smallest logarithm that counts as different from 0
	certainty float64 // number of standard deviations by which it has to differ from 0
}

// The standard deviations are those of logarithms: 0.15 is 15 %. The growth per second bounds
// the memory of a factor. A worker keeps what is known of it for some minutes without work.
var (
	queuePrior  = prior{variance: 1, perSecond: 1e-4}
	teamPrior   = prior{variance: 0.2 * 0.2, perSecond: 1e-5}
	kindPrior   = prior{variance: 0.5 * 0.5, perSecond: 1e-6, distinct: 0.07, certainty: 3}
	workerPrior = prior{variance: 0.15 * 0.15, perSecond: 1e-5, distinct: 0.12, certainty: 3.5}
)

// age adds the uncertainty of the time since the last sample.
func (f *factor) age(p *prior, now time.Duration) {
	if f.samples == 0 {
		f.variance = p.variance
	}
	f.variance = min(p.variance, f.variance+p.perSecond*max(now-f.updatedAt, 0).Seconds())
	f.updatedAt = now
}

// correct applies the share of an innovation that belongs to the factor. Total is the variance
// of the innovation, and sensitivity the part of the factor that the innovation shows.
func (f *factor) correct(innovation, total, sensitivity float64) {
	gain := f.variance * sensitivity / total
	f.mean += gain * innovation
	f.variance *= 1 - gain*sensitivity
	f.samples++
}

// distinct returns the logarithm if it clearly differs from 0, and else 0.
func (f *factor) distinct(p *prior) float64 {
	if f.samples == 0 || math.Abs(f.mean) < max(p.distinct, p.certainty*math.Sqrt(f.variance)) {
		return 0
	}
	return f.mean
}
